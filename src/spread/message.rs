//! Messages of the distribution of declarations, between instances and with
//! operators.

use serde::Deserialize;
use serde::Serialize;

use super::head::Head;
use super::splice::Splice;
use super::splice::TextHash;
use crate::clock::Millis;
use crate::id::Revision;

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Requests the newest revision.
    Pull {
        /// The revision of the requesting instance.
        have: Revision,
        /// The hash of its text, as the base of a diff.
        text: TextHash,
    },
    /// The newest revision that the sender has.
    Newest {
        /// The head with the revision and those before it.
        head: Box<Head>,
        /// The text of the newest revision.
        body: Body,
    },
}

/// A text, whole or as a diff.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// The whole text.
    Whole(String),
    /// The diff from the text of the requesting instance.
    Splice(Splice),
}

/// An operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The revision on which the text is based; 0 means an empty document.
    pub base: Revision,
    /// The whole new text.
    pub text: String,
    /// The id of the change; a request with the same id is a retry of the same
    /// change.
    pub change: String,
    /// The author of the change.
    pub author: String,
}

/// The outcome of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Applied {
    /// The revision that contains the change, or the current one if nothing
    /// changed.
    pub revision: Revision,
    /// Whether the text was merged with changes made since its base, and so
    /// differs from the one submitted.
    pub merged: bool,
    /// Whether nothing was written, as the current declarations already equal
    /// the result.
    pub unchanged: bool,
}

/// A revision of the document, as returned to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RevisionDocument {
    /// Its revision.
    pub revision: Revision,
    /// The change that made it.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Its text; empty in the answer to a history query.
    pub text: String,
}

/// The revisions of all instances, as one instance knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldRevisions {
    /// The instance that reports.
    pub instance: String,
    /// Its own revision.
    pub revision: Revision,
    /// The revisions of other instances, by their last heartbeats.
    pub peers: Vec<HeldRevision>,
}

/// The revision of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldRevision {
    /// The instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Its revision.
    pub revision: Revision,
}
