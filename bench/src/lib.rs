//! Stand-ins for the platform and the backend servers, a load tool,
//! experiments and a demonstration.
//!
//! The stand-ins speak the protocols of `docs/PROTOCOLS.md` on loopback and take
//! fault orders over HTTP (`POST /fault`); `GET /stats` gives their counters.

pub mod answer;
pub mod check;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod experiment;
pub mod list;
pub mod load;
pub mod okonkwo;
pub mod report;
pub mod serve;
pub mod service;
pub mod site;
pub mod slopes;
pub mod stage;
pub mod store;
