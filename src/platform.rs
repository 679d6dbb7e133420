//! Clients of the platform's key-value service and instance list.
//!
//! Each is a trait with one HTTP adapter. Calls block up to their time limit, so
//! they run on traffic threads, never on the control thread. The error of a
//! failed call tells whether its write may have taken effect.

mod http;

pub use http::HttpList;
pub use http::HttpStore;

use std::fmt;

use crate::fleet::Listing;
use crate::store::StoreOp;
use crate::store::StoreResult;

/// Client of the key-value service.
pub trait StoreClient: Send + Sync {
    /// Makes one call and waits for its answer, up to its time limit.
    ///
    /// # Errors
    ///
    /// Returns whether the failed call may have taken effect.
    fn call(&self, op: &StoreOp) -> StoreResult;
}

/// Client of the instance list.
pub trait InstanceListClient: Send + Sync {
    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be fetched or parsed.
    fn fetch(&self) -> Result<Vec<Listing>, ListFailure>;
}

/// Why the instance list could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListFailure {
    /// No answer, or an error status.
    Unavailable(String),
    /// The answer is not a valid instance list.
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
