//! The diff of two texts that differ in one contiguous part.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// XXH3 hash of a text of the declarations, to identify it; not cryptographic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct TextHash(pub u64);

impl TextHash {
    /// Returns the hash of a text.
    #[must_use]
    pub fn of(text: &str) -> TextHash {
        TextHash(xxh3_64(text.as_bytes()))
    }
}

/// A diff that replaces one contiguous part of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Splice {
    /// The hash of the text to which it applies.
    pub base: TextHash,
    /// Number of bytes of the old text kept at its start.
    pub front: usize,
    /// Number of bytes of the old text kept at its end.
    pub back: usize,
    /// The new text between the two kept parts.
    pub middle: String,
}

impl Splice {
    /// Returns the diff from `old` to `new`, or `None` if its text would be longer
    /// than half of `new`.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Option<Splice> {
        let shared = |(a, b): &(u8, u8)| a == b;
        let pairs = old.bytes().zip(new.bytes());
        let mut front = pairs.take_while(shared).count();
        while !new.is_char_boundary(front) {
            front -= 1;
        }
        let rest = old.len().min(new.len()) - front;
        let pairs = old.bytes().rev().zip(new.bytes().rev());
        let mut back = pairs.take(rest).take_while(shared).count();
        while !new.is_char_boundary(new.len() - back) {
            back -= 1;
        }
        let middle = &new[front..new.len() - back];
        if middle.len() > new.len() / 2 {
            return None;
        }
        Some(Splice {
            base: TextHash::of(old),
            front,
            back,
            middle: middle.to_owned(),
        })
    }

    /// Returns the new text, or `None` if `old` is not the text to which the diff
    /// applies.
    #[must_use]
    pub fn apply(&self, old: &str) -> Option<String> {
        if TextHash::of(old) != self.base {
            return None;
        }
        let front = old.get(..self.front)?;
        let back = old.get(old.len().checked_sub(self.back)?..)?;
        Some(format!("{front}{}{back}", self.middle))
    }
}
