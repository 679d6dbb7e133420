//! Tests of the gateway's decisions: the core over simulated backend servers,
//! on a virtual clock.

mod load;
mod world;
