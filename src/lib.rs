//! skylarkhook: a serving layer for model engines with prompts of widely differing lengths.
//!
//! The control core ([`control`]) performs no I/O and reads no clock: it receives
//! an input with the current time and returns outputs. Traffic threads own all
//! sockets and exchange messages with it over channels.

#[path = "../platform/mod.rs"]
pub mod adapter;
pub mod admin;
pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod backend;
pub mod capacity;
pub mod cli;
pub mod clock;
pub mod condition;
pub mod config;
pub mod control;
pub mod daemon;
pub mod declaration;
pub mod entry;
#[cfg(test)]
mod fixture;
pub mod fleet;
pub mod gang;
pub mod gateway;
pub mod id;
pub mod job;
pub mod listener;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod once;
pub mod peer;
pub mod platform;
pub mod prediction;
pub mod quarantine;
pub mod relay;
pub mod routing;
pub mod selector;
pub mod spread;
pub mod store;
pub mod timeline;
pub mod verdict;
