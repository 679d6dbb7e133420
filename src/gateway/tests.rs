//! Tests of the gateway's decisions: the core over simulated backend servers,
//! on a virtual clock.

mod core;
mod engine;
mod feed;
mod load;
mod memory;
mod world;
