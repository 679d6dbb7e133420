//! Messages of membership.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Epoch;
use crate::id::Revision;

/// How busy a failure domain is, as one of its instances sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainLoad {
    /// Requests that wait on the sending instance.
    pub waiting: u32,
    /// Requests that the sending instance has in flight.
    pub running: u32,
}

/// Tells another instance that the sender lives.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's failure domain.
    pub domain: String,
    /// The sender's address for peers, `ip:port`.
    pub addr: String,
    /// The sender is leaving.
    pub leaving: bool,
    /// The highest epoch of homes that the sender knows for its own domain.
    pub epoch: Epoch,
    /// The revision of the declarations that the sender has in force.
    pub revision: Revision,
    /// How busy the sender is.
    pub load: DomainLoad,
}
