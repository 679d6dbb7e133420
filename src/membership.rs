//! Which instances there are, and which of them are alive.

mod message;

pub use message::DomainLoad;
pub use message::Heartbeat;
