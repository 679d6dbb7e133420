//! The platform's key-value service, as the control core sees it.
//!
//! The core asks by [`StoreOp`] and hears a [`StoreResult`]. A call that failed
//! says whether its write may have taken effect; only a read settles that.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Version of one key in the service; each write gets a higher one.
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
    /// The value, at most a megabyte.
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
    /// Grants a lease; its keys vanish when it lapses.
    Grant { ttl: Millis },
    /// Renews a lease.
    Renew { lease: LeaseId },
    /// Revokes a lease and deletes its keys.
    Revoke { lease: LeaseId },
    /// Waits until a key's version differs from `version`, or for `wait`.
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
    /// The key's entry, or none: answers `Get` and `Watch`.
    Entry(Option<StoreEntry>),
    /// The write took effect.
    Written(KeyVersion),
    /// The write had no effect, as the key's entry is another.
    Conflict(Option<StoreEntry>),
    /// The lease was granted or renewed.
    Lease(LeaseId),
    /// The lease is unknown: it lapsed or was revoked.
    LeaseGone,
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreFailure {
    /// It was refused or never left: it had no effect.
    NotRun { retry_after: Option<Millis> },
    /// No answer came: a write may have taken effect.
    MayHaveRun,
}

/// What became of a call.
pub type StoreResult = Result<StoreAnswer, StoreFailure>;
