//! The head of the declarations: the one key that says which revision is in
//! force, and which came before it.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::splice::Splice;
use super::splice::TextHash;
use crate::clock::Millis;
use crate::id::Revision;
use crate::store::KeyVersion;

/// Key of the head.
pub const HEAD_KEY: &str = "declarations/current";
/// Revisions that a head names, itself included; texts of older ones are
/// deleted.
pub const HISTORY: usize = 32;

/// One revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Past {
    /// Its number.
    pub revision: Revision,
    /// The id of the change that made it.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Its text.
    pub hash: TextHash,
    /// Version of the key that holds the text.
    pub version: KeyVersion,
}

impl Past {
    /// Returns the key that holds the text.
    #[must_use]
    pub fn text_key(&self) -> String {
        let change = xxh3_64(self.change.as_bytes());
        format!("declarations/revision/{}/{change:016x}", self.revision.0)
    }

    /// Returns whether both are the same revision by the same change.
    #[must_use]
    pub fn is(&self, other: &Past) -> bool {
        self.revision == other.revision && self.change == other.change
    }
}

/// The newest revision, how it differs from the one before, and older ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// The newest revision.
    pub newest: Past,
    /// What makes its text of the one before, if that is short.
    pub splice: Option<Splice>,
    /// Older revisions, newest first.
    pub older: Vec<Past>,
}

/// How a head stands to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// Both are the same revision.
    Same,
    /// The other comes later.
    Behind,
    /// The other is older, as in a store that was restored.
    Ahead,
    /// Each has accepted changes that the other lacks.
    Diverged,
}

impl Head {
    /// Returns the value kept in the key-value service.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a value of the key-value service.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Head> {
        serde_json::from_slice(value).ok()
    }

    /// Returns all revisions that it names, newest first.
    pub fn all(&self) -> impl Iterator<Item = &Past> {
        std::iter::once(&self.newest).chain(&self.older)
    }

    /// Returns whether it is, or follows, this revision.
    #[must_use]
    pub fn follows(&self, past: &Past) -> bool {
        self.all().any(|own| own.is(past))
    }

    /// Returns the revision that a change made, if it is named.
    #[must_use]
    pub fn made_by(&self, change: &str) -> Option<&Past> {
        self.all().find(|past| past.change == change)
    }

    /// Returns how this head stands to `other`.
    #[must_use]
    pub fn relation(&self, other: &Head) -> Relation {
        if self.newest.is(&other.newest) {
            return Relation::Same;
        }
        if other.follows(&self.newest) || other.forgot(&self.newest) {
            return Relation::Behind;
        }
        if self.follows(&other.newest) || self.forgot(&other.newest) {
            return Relation::Ahead;
        }
        Relation::Diverged
    }

    /// Returns the newest revision that both name.
    #[must_use]
    pub fn common(&self, other: &Head) -> Option<&Past> {
        self.all().find(|past| other.follows(past))
    }

    /// Returns whether a revision is older than all that are named.
    fn forgot(&self, past: &Past) -> bool {
        let oldest = self.older.last().unwrap_or(&self.newest);
        self.older.len() + 1 >= HISTORY && past.revision < oldest.revision
    }
}

/// Returns the revisions of one or two heads as those before a new one, and
/// those that no longer have a place.
#[must_use]
pub fn history(heads: &[&Head]) -> (Vec<Past>, Vec<Past>) {
    let mut all: Vec<Past> = Vec::new();
    for past in heads.iter().flat_map(|head| head.all()) {
        if !all.iter().any(|known| known.is(past)) {
            all.push(past.clone());
        }
    }
    all.sort_by(|a, b| (b.revision, &b.change).cmp(&(a.revision, &a.change)));
    let dropped = all.split_off(all.len().min(HISTORY - 1));
    (all, dropped)
}
