//! Relaying of requests to another instance.
//!
//! An instance that reaches no backend server of a service sends its callers'
//! requests to an instance that does. That instance treats them like those of its
//! own callers, except that it never relays them again. They arrive at a listener
//! of their own, with a header that states what the first instance has done.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::gateway::message::AttemptEnd;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// Header of a relayed request that carries its [`RelayTerms`] as JSON.
const RELAY_TERMS: HeaderName = HeaderName::from_static("skylarkhook-relay");
/// Maximum size of that header, in bytes.
pub const MAX_TERMS_BYTES: usize = 1_024;

/// What an instance states about a request that it relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayTerms {
    /// Time since the request arrived at the first instance, in ms.
    pub waited: Millis,
    /// Attempts that backend servers may still run.
    pub attempts_left: u32,
    /// Number of the first attempt. The first instance does not use it or a later
    /// one, so that the ids of their memory reservations differ.
    pub first_attempt: u32,
    /// Version of the configuration that the first instance has applied.
    pub config_version: u64,
}

impl RelayTerms {
    /// Adds the terms to the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if they cannot be encoded.
    pub fn insert(&self, headers: &mut HeaderMap) -> Result<(), http::Error> {
        // Serializing a struct of numbers cannot fail.
        let json = serde_json::to_string(self).unwrap_or_default();
        headers.insert(RELAY_TERMS, HeaderValue::from_str(&json)?);
        Ok(())
    }

    /// Removes the terms from the headers of a request; `None` if there are none
    /// or if they cannot be decoded.
    pub fn remove(headers: &mut HeaderMap) -> Option<RelayTerms> {
        let value = headers.remove(RELAY_TERMS)?;
        serde_json::from_slice(value.as_bytes()).ok()
    }
}

/// The fields of an instance's own error response that the first instance uses.
#[derive(Debug)]
#[derive(Deserialize)]
struct RelayedError {
    error: String,
    ran: String,
}

/// Decodes the error response of the instance that a request was relayed to.
/// A response that it did not make leaves open whether the request has run.
#[must_use]
pub fn decode_error(body: &[u8], retry_after: Option<Millis>) -> AttemptEnd {
    let Ok(RelayedError { error, ran }) = serde_json::from_slice(body) else {
        return AttemptEnd::Broken;
    };
    let Some(reason) = Reason::from_code(&error) else {
        return AttemptEnd::Broken;
    };
    match ran == Verdict::NotRun.as_str() {
        true => AttemptEnd::RelayRefused {
            reason,
            retry_after,
        },
        false => AttemptEnd::RelayFailed { reason },
    }
}
