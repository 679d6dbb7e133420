//! Stand-ins for the platform and the backend servers, a load tool,
//! experiments and a demonstration.
//!
//! The stand-ins speak the protocols of `docs/PROTOCOLS.md` on loopback and take
//! fault orders over HTTP (`POST /fault`); `GET /stats` gives their counters.

pub mod answer;
pub mod engine;
pub mod list;
pub mod load;
pub mod serve;
pub mod service;
pub mod site;
pub mod store;
