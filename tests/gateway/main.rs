//! The gateway as a process, between stand-ins of the users' platform.

mod connections;
mod path;
mod platform;
mod process;
mod soak;
