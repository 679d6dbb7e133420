//! The gateway as a process, between stand-ins of the users' platform.

mod backend;
mod bodies;
mod connections;
mod fleet;
mod fuzz;
mod hostile;
mod keeper;
mod late_answers;
mod ledger;
mod links;
mod memory;
mod odd_answers;
mod odd_entries;
mod partition;
mod path;
mod platform;
mod process;
mod reload;
mod restored;
mod shutdown;
mod silent;
mod soak;
mod stops;
mod trickle;
mod upgrade;
