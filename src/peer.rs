//! Transport of frames between instances.
//!
//! A frame batches all messages for one instance that result from one input of
//! the control core. It is encoded with `bincode` and sent as the body of one
//! request on an HTTP/2 connection. Each component defines its own messages.
//!
//! Delivery is at most once and may be out of order: a frame is lost when a
//! queue is full or a connection fails. Components resend messages that must
//! arrive.

mod link;
mod listener;
mod mac;
mod replay;
#[cfg(test)]
mod tests;
mod transport;

pub use mac::FrameKey;
pub use replay::ReplayGuard;
pub use transport::PeerTransport;

use bincode::error::DecodeError;
use bincode::error::EncodeError;
use serde::Deserialize;
use serde::Serialize;

use crate::capacity;
use crate::id::Boot;
use crate::membership;
use crate::once;
use crate::quarantine;
use crate::spread;

/// Maximum length of an encoded frame, in bytes; leaves room for a declaration
/// of one megabyte.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// All messages for one instance that result from one input of the control
/// core.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender's name.
    pub from: String,
    /// The sender's boot number.
    pub boot: Boot,
    /// The sender's logical clock: increases with each frame of a process.
    pub stamp: u64,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// One message between instances, by component.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Claims of idempotency keys.
    Once(once::Message),
    /// Fingerprints of requests that crash backend servers.
    Quarantine(quarantine::Message),
    /// Heartbeats.
    Membership(membership::Heartbeat),
    /// Revisions of the declarations.
    Spread(spread::Message),
    /// Capacity leases (`credit`) and coordinators of backend servers (`home`).
    Capacity(capacity::Message),
}

/// Sends frames to other instances.
pub trait PeerSender {
    /// Queues a frame for the instance at `addr` (`ip:port`); never blocks.
    fn send(&self, addr: &str, frame: PeerFrame);
}

impl PeerFrame {
    /// Returns the frame's encoding.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is longer than [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard())?;
        if body.len() > MAX_FRAME_BYTES {
            return Err(EncodeError::Other("the frame exceeds the maximum length"));
        }
        Ok(body)
    }

    /// Decodes a frame from the whole of `body`.
    ///
    /// # Errors
    ///
    /// Returns an error if `body` is not a frame, or has trailing bytes.
    pub fn decode(body: &[u8]) -> Result<PeerFrame, DecodeError> {
        let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
        let (frame, used) = bincode::serde::decode_from_slice(body, config)?;
        if used != body.len() {
            return Err(DecodeError::Other("trailing bytes after the frame"));
        }
        Ok(frame)
    }
}
