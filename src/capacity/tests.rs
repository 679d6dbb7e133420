//! Concurrency limits over many instances, on a virtual clock, under faults.

mod amounts;
mod documents;
mod faults;
mod mixed;
mod simulation;
mod store;
