//! Messages of the declarations' spread, between instances and with operators.

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
    /// Asks for the newest revision.
    Pull {
        /// The revision that the asking instance has.
        have: Revision,
        /// The text that it has.
        text: TextHash,
    },
    /// The newest revision that the sender has.
    Newest {
        /// The revision and those before it.
        head: Box<Head>,
        /// The text.
        body: Body,
    },
}

/// A text, whole or as a difference.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// The whole text.
    Whole(String),
    /// What makes it of the text that the asking instance has.
    Splice(Splice),
}

/// An operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The revision that the text was made from; 0: an empty document.
    pub base: Revision,
    /// The whole new text.
    pub text: String,
    /// Names the change: the same one again is the same change.
    pub change: String,
    /// Who makes it.
    pub author: String,
}

/// What became of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Applied {
    /// The revision that holds it.
    pub revision: Revision,
    /// Whether it was merged with changes made since its base.
    pub merged: bool,
    /// Whether nothing had to be changed.
    pub unchanged: bool,
}

/// A document, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Shown {
    /// Its revision.
    pub revision: Revision,
    /// The change that made it.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Its text; empty in a history.
    pub text: String,
}

/// What an instance knows of the revisions that others hold.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Held {
    /// The instance that tells.
    pub instance: String,
    /// Its own revision.
    pub revision: Revision,
    /// Others, as last heard.
    pub peers: Vec<HeldBy>,
}

/// The revision that one instance holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldBy {
    /// The instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Its revision.
    pub revision: Revision,
}
