//! The platform's edges: its key-value service and its instance list.
//!
//! Each edge is a trait with one HTTP adapter. Calls block and have a time
//! limit, so they run on traffic threads, never on the control thread. A failed
//! call says whether its write may have taken effect.

mod http;

pub use http::HttpList;
pub use http::HttpStore;

use std::fmt;

use crate::fleet::Listing;
use crate::store::StoreOp;
use crate::store::StoreResult;

/// The key-value service.
pub trait StoreEdge: Send + Sync {
    /// Makes one call and waits for its answer or its time limit.
    ///
    /// # Errors
    ///
    /// Returns whether a call without an answer may have taken effect.
    fn call(&self, op: &StoreOp) -> StoreResult;
}

/// The instance list.
pub trait ListEdge: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns why there is no list.
    fn fetch(&self) -> Result<Vec<Listing>, ListFailure>;
}

/// Why the instance list could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListFailure {
    /// No answer, or one that refuses.
    Unavailable(String),
    /// The answer is no instance list.
    Malformed(String),
}

impl fmt::Display for ListFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListFailure::Unavailable(cause) => {
                write!(f, "the instance list is unavailable: {cause}")
            }
            ListFailure::Malformed(cause) => write!(f, "the instance list is malformed: {cause}"),
        }
    }
}

impl std::error::Error for ListFailure {}

#[cfg(test)]
mod tests;
