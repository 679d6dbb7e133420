//! The gateway: forwards callers' HTTP requests unchanged to the backend
//! servers of a platform that keeps its own registry and configuration.
//!
//! [`core::Core`] makes all decisions and does no I/O; it runs on the control
//! thread. The traffic thread owns all sockets: callers ([`server`]), backend
//! servers ([`upstream`]), the platform's store ([`feed`]) and the other
//! instances ([`peers`]). Only [`crate::adapter`] knows the platform's wire
//! formats.

pub mod answer_times;
pub mod attempt;
pub mod body;
pub mod body_reads;
pub mod connection;
pub mod connection_table;
pub mod core;
pub mod cost;
pub mod daemon;
pub mod datagram;
pub mod engine;
pub mod events;
pub mod fair_shares;
pub mod feed;
pub mod forward;
pub mod framing;
pub mod instances;
pub mod lanes;
pub mod memory;
pub mod memory_budget;
pub mod message;
pub mod peers;
pub mod placement;
pub mod queue;
pub mod ranks;
pub mod rate_limits;
pub mod relay;
pub mod reload;
pub mod response;
pub mod route;
pub mod server;
pub mod server_links;
pub mod server_stream;
pub mod server_table;
pub mod settings;
pub mod shares;
pub mod slowdown;
pub mod store_client;
#[cfg(test)]
mod tests;
pub mod upstream;
