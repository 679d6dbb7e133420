//! The head of the declarations: the single key that lists the current revision
//! and those before it.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::splice::Splice;
use super::splice::TextHash;
use crate::clock::Millis;
use crate::id::Revision;
use crate::store::KeyVersion;

/// The key of the head in the key-value service.
pub const HEAD_KEY: &str = "declarations/current";
/// Maximum number of revisions that a head lists, including the newest; the texts
/// of older ones are deleted.
pub const MAX_LISTED_REVISIONS: usize = 32;

/// Metadata of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RevisionInfo {
    /// Its number.
    pub revision: Revision,
    /// The id of the change that made it.
    pub change: String,
    /// The author of that change.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// The hash of the whole declarations text of the revision.
    pub hash: TextHash,
    /// Version of the key that holds the text.
    pub version: KeyVersion,
}

impl RevisionInfo {
    /// Returns the key that holds the text.
    #[must_use]
    pub fn text_key(&self) -> String {
        let change = xxh3_64(self.change.as_bytes());
        format!("declarations/revision/{}/{change:016x}", self.revision.0)
    }

    /// Returns whether both are the same revision by the same change.
    #[must_use]
    pub fn is_same_revision(&self, other: &RevisionInfo) -> bool {
        self.revision == other.revision && self.change == other.change
    }
}

/// The newest revision, its diff from the one before, and the older revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// The newest revision.
    pub newest: RevisionInfo,
    /// The diff from the text of the revision before, if that is short.
    pub splice: Option<Splice>,
    /// Older revisions, newest first.
    pub older: Vec<RevisionInfo>,
}

/// How a head relates to another head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// Both are the same revision.
    Same,
    /// This head is older than the other one.
    Behind,
    /// This head is newer than the other one, as in a store that was restored
    /// from a backup.
    Ahead,
    /// Each head has accepted changes that the other lacks.
    Diverged,
}

impl Head {
    /// Encodes the head as the value of its key.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a head from the value of its key; returns `None` if it is invalid.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Head> {
        serde_json::from_slice(value).ok()
    }

    /// Returns all revisions that the head lists, newest first.
    pub fn revisions(&self) -> impl Iterator<Item = &RevisionInfo> {
        std::iter::once(&self.newest).chain(&self.older)
    }

    /// Returns whether the head lists this revision.
    #[must_use]
    pub fn lists(&self, info: &RevisionInfo) -> bool {
        self.revisions().any(|own| own.is_same_revision(info))
    }

    /// Returns the revision that a change made, if the head lists it.
    #[must_use]
    pub fn revision_of_change(&self, change: &str) -> Option<&RevisionInfo> {
        self.revisions().find(|info| info.change == change)
    }

    /// Returns the relation of this head to `other`.
    #[must_use]
    pub fn relation(&self, other: &Head) -> Relation {
        if self.newest.is_same_revision(&other.newest) {
            return Relation::Same;
        }
        if other.lists(&self.newest) || other.predates_history(&self.newest) {
            return Relation::Behind;
        }
        if self.lists(&other.newest) || self.predates_history(&other.newest) {
            return Relation::Ahead;
        }
        Relation::Diverged
    }

    /// Returns the newest revision that both heads list.
    #[must_use]
    pub fn newest_common_revision(&self, other: &Head) -> Option<&RevisionInfo> {
        self.revisions().find(|info| other.lists(info))
    }

    /// Returns whether a revision is older than all that the head lists, and
    /// the list is full.
    fn predates_history(&self, info: &RevisionInfo) -> bool {
        let oldest = self.older.last().unwrap_or(&self.newest);
        self.older.len() + 1 >= MAX_LISTED_REVISIONS && info.revision < oldest.revision
    }
}

/// Merges the revisions of `heads` into the history of a new revision; returns
/// the history, newest first, and the revisions for which the head has no room.
#[must_use]
pub fn merge_histories(heads: &[&Head]) -> (Vec<RevisionInfo>, Vec<RevisionInfo>) {
    let mut all: Vec<RevisionInfo> = Vec::new();
    for info in heads.iter().flat_map(|head| head.revisions()) {
        if !all.iter().any(|known| known.is_same_revision(info)) {
            all.push(info.clone());
        }
    }
    all.sort_by(|a, b| (b.revision, &b.change).cmp(&(a.revision, &a.change)));
    let dropped = all.split_off(all.len().min(MAX_LISTED_REVISIONS - 1));
    (all, dropped)
}
