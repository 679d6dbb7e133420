//! Frames between instances.
//!
//! A frame gathers all messages that one instance has for another at one
//! moment. It is encoded by `bincode` and travels as the body of one request on
//! an `h2` connection. Each duty defines the messages it sends.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Boot;
use crate::once;

/// All messages from one instance to another at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender's name.
    pub from: String,
    /// The sender's boot number.
    pub boot: Boot,
    /// The sender's logical clock.
    pub stamp: u64,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// One message between instances, by duty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Claims of idempotency keys.
    Once(once::Message),
}
