//! Operations and results of the platform's key-value service.
//!
//! The control core issues a [`StoreOp`] and receives a [`StoreResult`]. The
//! error of a failed call tells whether its write may have taken effect; in that
//! case only a read shows the actual state.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Version of a key; increases with each write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyVersion(pub u64);

/// A lease granted by the service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub String);

/// A key's value and version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreEntry {
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// Its version.
    pub version: KeyVersion,
}

/// One call to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreOp {
    /// Reads a key.
    Get { key: String },
    /// Creates a key that does not exist.
    Create {
        key: String,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    },
    /// Replaces a key's value if its version is still `version`.
    Swap {
        key: String,
        value: Vec<u8>,
        version: KeyVersion,
        lease: Option<LeaseId>,
    },
    /// Deletes a key if its version is still `version`.
    Delete { key: String, version: KeyVersion },
    /// Grants a lease; its keys are deleted when it expires.
    Grant { ttl: Millis },
    /// Renews a lease.
    Renew { lease: LeaseId },
    /// Revokes a lease and deletes its keys.
    Revoke { lease: LeaseId },
    /// Waits up to `wait` until a key's version differs from `version`.
    Watch {
        key: String,
        version: KeyVersion,
        wait: Millis,
    },
}

/// The service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreAnswer {
    /// Answer to `Get` and `Watch`: the entry, or `None` if the key does not
    /// exist.
    Entry(Option<StoreEntry>),
    /// The write took effect.
    Written(KeyVersion),
    /// The write had no effect because the key has this other entry, or does not
    /// exist.
    Conflict(Option<StoreEntry>),
    /// The lease was granted or renewed.
    Lease(LeaseId),
    /// The lease has expired or was revoked.
    LeaseGone,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreFailure {
    /// The call was refused or not sent, so it had no effect.
    NotRun { retry_after: Option<Millis> },
    /// No answer arrived; the write may have taken effect.
    MayHaveRun,
}

/// Result of a call.
pub type StoreResult = Result<StoreAnswer, StoreFailure>;
