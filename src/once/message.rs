//! Claims, and the messages between an instance and a shard's keeper.

use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;

use super::CLAIM_SHARDS;
use crate::clock::Millis;
use crate::id::RequestId;

/// Where a claim stands: 16 bytes of the SHA-256 over workspace and key.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Slot(#[serde_as(as = "SlotBytes")] pub [u8; 16]);

/// Compact in `bincode`, hexadecimal in text.
type SlotBytes = serde_with::IfIsHumanReadable<Hex, [serde_with::Same; 16]>;

impl Slot {
    /// Returns the slot of a workspace's idempotency key.
    #[must_use]
    pub fn of(workspace: &str, key: &str) -> Slot {
        let mut hash = Sha256::new();
        hash.update((workspace.len() as u64).to_be_bytes());
        hash.update(workspace);
        hash.update(key);
        let digest = hash.finalize();
        let mut slot = [0; 16];
        slot.copy_from_slice(&digest[..16]);
        Slot(slot)
    }

    /// Returns the shard that holds the slot.
    #[must_use]
    pub fn shard(self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]]) % CLAIM_SHARDS
    }
}

/// A change that an instance wants made to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// The request that owns the claim, or wants to.
    pub request: RequestId,
    /// The claim.
    pub slot: Slot,
    /// What is to change.
    pub kind: ChangeKind,
}

/// What is to change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ChangeKind {
    /// Claims the key; `body` is the hash of the call's body.
    Claim { body: u64, retention: Millis },
    /// Records the result.
    Settle { result: Recorded },
    /// Gives the claim back, as the call surely did not run.
    Release,
}

/// A recorded result.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recorded {
    /// The plain service's HTTP status.
    pub status: u16,
    /// Its answer; none if it was too long to be kept.
    pub body: Option<Vec<u8>>,
}

/// The keeper's answer to a change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is the asker's: the call may be sent, once.
    Granted,
    /// The call ran already, with this result.
    Recorded(Recorded),
    /// The key belongs to a call with another body.
    OtherBody,
    /// Another call holds the key; whether it ran is not known.
    Unsettled,
    /// The shard has no room for further claims.
    NoRoom,
    /// A result or release is stored.
    Stored,
}

impl ClaimAnswer {
    /// Returns the answer's name in text output.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            ClaimAnswer::Granted => "granted",
            ClaimAnswer::Recorded(_) => "recorded",
            ClaimAnswer::OtherBody => "other body",
            ClaimAnswer::Unsettled => "unsettled",
            ClaimAnswer::NoRoom => "no room",
            ClaimAnswer::Stored => "stored",
        }
    }
}

/// Messages of this duty.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// To the keeper: a change.
    Change(Change),
    /// From the keeper: its answer, to a claim or to a result or release.
    Answer {
        request: RequestId,
        claim: bool,
        answer: ClaimAnswer,
    },
}
