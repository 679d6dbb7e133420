//! Messages of membership.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::Epoch;
use crate::id::Revision;

/// How busy an instance is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Requests that wait on the instance.
    pub waiting: u32,
    /// Requests that the instance has in flight.
    pub running: u32,
}

/// What an instance tells all others of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnState {
    /// The highest epoch of homes that it knows for its own failure domain.
    pub epoch: Epoch,
    /// The revision of the declarations that it has in force.
    pub revision: Revision,
    /// How busy it is.
    pub load: Load,
}

/// Names one heartbeat of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BeatId {
    /// Its number, from 1; 0 stands for none.
    pub number: u64,
    /// The low bits of the sending process's boot number.
    pub tag: u16,
}

/// What a delegate knows of another failure domain, passed on to its own.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainView {
    /// The other failure domain.
    pub domain: String,
    /// Time since the delegate heard from it.
    pub age: Millis,
    /// The state of the instance that it heard from.
    pub state: OwnState,
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
    /// The sender's state.
    pub state: OwnState,
    /// This heartbeat.
    pub id: BeatId,
    /// The last heartbeat that came from the receiver: until the receiver is
    /// gone for it, the sender takes no duty from it.
    pub echo: BeatId,
    /// From a delegate to its own failure domain: what it knows of others.
    pub views: Vec<DomainView>,
}
