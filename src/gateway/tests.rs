//! Tests of the gateway's decisions: the control core with simulated backend
//! servers, on a virtual clock.

mod answer_times;
mod competition;
mod core;
mod crashes;
mod datagrams;
mod engine;
mod events;
mod feed;
mod framing;
mod links;
mod load;
mod memory;
mod notices;
mod queue;
mod rate_limits;
mod relays;
mod reload;
mod restored;
mod shutdown;
mod simulation;
mod upstream;
mod watching;
