//! Messages of the membership protocol.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::Epoch;
use crate::id::Revision;

/// The load of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Requests queued on the instance.
    pub waiting: u32,
    /// Requests in flight that are not queued.
    pub running: u32,
}

/// The state that an instance reports to all others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceState {
    /// The highest epoch of coordinators (homes) that it knows for its own failure
    /// domain.
    pub epoch: Epoch,
    /// The revision of the declarations that it has applied.
    pub revision: Revision,
    /// Its load.
    pub load: Load,
}

/// Identifies one heartbeat of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatId {
    /// Its number, from 1; 0 means no heartbeat.
    pub number: u64,
    /// The low 16 bits of the boot number of the process that sent it.
    pub tag: u16,
}

/// The state of another failure domain, forwarded by a delegate to its own domain.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainView {
    /// The other failure domain.
    pub domain: String,
    /// Time since a delegate received the state.
    pub age: Millis,
    /// The state of the instance that sent it.
    pub state: InstanceState,
}

/// Periodic message that shows another instance that the sender is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's failure domain.
    pub domain: String,
    /// The sender's address for peers, `ip:port`.
    pub addr: String,
    /// Whether the sender is draining.
    pub leaving: bool,
    /// The sender's state.
    pub state: InstanceState,
    /// The id of this heartbeat.
    pub id: HeartbeatId,
    /// The newest heartbeat that the sender has received from the receiver.
    /// With it the sender guarantees not to take over the servers that the
    /// receiver coordinates until it considers the receiver gone; a sender that
    /// is taking them over sends the default.
    pub echo: HeartbeatId,
    /// From a delegate to its own failure domain: the states of other domains.
    pub views: Vec<DomainView>,
}
