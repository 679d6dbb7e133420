//! Claims, and the messages between an instance and a shard's keeper.

use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;

use super::CLAIM_SHARDS;
use super::Claim;
use crate::clock::Millis;
use crate::id::RequestId;
use crate::store::KeyVersion;

/// Identifier of a claim: the first 16 bytes of the SHA-256 of workspace name
/// and idempotency key. Its first two bytes give the shard.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Slot(#[serde_as(as = "SlotBytes")] pub [u8; 16]);

/// Binary in `bincode`, hexadecimal in text formats.
type SlotBytes = serde_with::IfIsHumanReadable<Hex, [serde_with::Same; 16]>;

impl Slot {
    /// Returns the slot of an idempotency key in a workspace.
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

    /// Returns the number of the shard that holds the slot.
    #[must_use]
    pub fn shard(self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]]) % CLAIM_SHARDS
    }
}

/// A change of a claim, requested by an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// The request that owns the claim or tries to.
    pub request: RequestId,
    /// Identifier of the claim.
    pub slot: Slot,
    /// Kind of the change.
    pub kind: ChangeKind,
}

/// Kind of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ChangeKind {
    /// Claims the key; `body` is the hash of the request body, `retention` the
    /// time for which the claim is kept.
    Claim { body: u64, retention: Millis },
    /// Records the result of the call.
    Settle { result: Recorded },
    /// Releases the claim of a call that certainly did not run.
    Release,
}

/// Recorded result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status of the plain service's response.
    pub status: u16,
    /// Response body, or `None` if it was too long to be kept.
    pub body: Option<Vec<u8>>,
}

/// The keeper's answer to a change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request owns the claim and may send the call.
    Granted,
    /// The call has already run, with this result.
    Recorded(Recorded),
    /// The key belongs to a call with a different body.
    OtherBody,
    /// Another request owns the key, and no result of its call is recorded: it
    /// may still run, or have run.
    Unsettled,
    /// The shard document has reached its size limit.
    NoRoom,
    /// The result or release is stored, or the request no longer owns the
    /// claim.
    Stored,
}

impl ClaimAnswer {
    /// Returns the name of the answer for text output.
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

/// Claims that a keeper has added to a shard's document, or removed from it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Written {
    /// The shard.
    pub shard: u16,
    /// Version of the document with the changes.
    pub version: KeyVersion,
    /// The claims, `None` for a removed one.
    pub claims: Vec<(Slot, Option<Claim>)>,
}

/// A message between an instance and a keeper.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// To the keeper: a change to make.
    Change(Change),
    /// From the keeper: the answer to a change; `claim` is whether it was a
    /// claim.
    Answer {
        request: RequestId,
        claim: bool,
        answer: ClaimAnswer,
    },
    /// From a keeper to those of other failure domains, which keep the claims in
    /// case the key-value service loses them. Earlier releases drop the frame that
    /// holds it; components send again what must arrive.
    Written(Written),
}
