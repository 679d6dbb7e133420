//! Tests of the gateway's decisions: the control core with simulated backend
//! servers, on a virtual clock.

mod answer_times;
mod calls;
mod competition;
mod core;
mod cost;
mod crashes;
mod datagrams;
mod engine;
mod entries;
mod events;
mod feed;
mod framing;
mod links;
mod load;
mod lost_changes;
mod memory;
mod memory_budget;
mod notices;
mod queue;
mod rate_limits;
mod relays;
mod reload;
mod restored;
mod shutdown;
mod simulation;
mod store_reads;
mod upstream;
mod watching;
