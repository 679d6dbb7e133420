//! How a request ended, and whether it may have run.
//!
//! Each failure carries a [`Verdict`]. `NotRun` is a guarantee that no backend
//! server executed any part of the request; where that cannot be proven, the
//! verdict is `MayHaveRun`. The reasons are a closed set, defined in one table
//! with their code and HTTP status.

#[cfg(test)]
mod tests;

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Whether a request may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// No backend server executed any part of it.
    NotRun,
    /// A backend server may have executed all or part of it.
    MayHaveRun,
    /// It ran to completion and its answer is known.
    Done,
}

impl Verdict {
    /// Returns the value of the field `ran` in answers to callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "no",
            Verdict::MayHaveRun => "maybe",
            Verdict::Done => "yes",
        }
    }

    /// Combines the verdicts of two attempts: `NotRun` only if both are, `Done`
    /// if either is.
    #[must_use]
    pub const fn combine(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
            (Verdict::Done, _) | (_, Verdict::Done) => Verdict::Done,
            _ => Verdict::MayHaveRun,
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $status:literal;)*) => {
        /// Why a request was refused or failed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, in the order of the table.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// Returns the stable error code in answers to callers.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Reason::$name => $code,)*
                }
            }

            /// Returns the reason with this code.
            #[must_use]
            pub fn from_code(code: &str) -> Option<Reason> {
                Reason::ALL.iter().copied().find(|reason| reason.code() == code)
            }

            /// Returns the HTTP status of an answer with this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Reason::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    BadRequest = "bad_request", 400;
    /// The bearer token is missing or unknown.
    Unauthorized = "unauthorized", 401;
    /// No such path, kind, model, service or operation.
    NotFound = "not_found", 404;
    /// Headers or body are larger than allowed.
    TooLarge = "too_large", 413;
    /// The body did not arrive in time.
    SlowRequest = "slow_request", 408;
    /// The idempotency key was used with another body.
    KeyReused = "idempotency_key_reused", 422;
    /// The idempotency key's first call has no known result.
    KeyUnsettled = "idempotency_key_unsettled", 409;
    /// No claim could be made for the idempotency key.
    ClaimUnavailable = "claim_unavailable", 503;
    /// The workspace's or the kind's queue is full.
    QueueFull = "queue_full", 429;
    /// The predicted finish lies past the deadline.
    DeadlineUnreachable = "deadline_unreachable", 503;
    /// The deadline passed before the answer was complete.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// No selector allows any backend server that is in service.
    NoBackend = "no_backend", 503;
    /// No permitted set of engines can hold the prompt.
    PromptTooLong = "prompt_too_long", 422;
    /// The request crashed backend servers and is quarantined.
    Quarantined = "quarantined", 503;
    /// Every try failed.
    BackendFailed = "backend_failed", 502;
    /// The backend server refused the call as invalid.
    BackendRejected = "backend_rejected", 422;
    /// Another change touched the same objects of the declarations.
    Conflict = "declaration_conflict", 409;
    /// This instance is draining or not ready.
    Unavailable = "unavailable", 503;
    /// The caller disconnected before the answer was complete.
    CallerGone = "caller_gone", 499;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// The final answer to a request that was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request did not succeed.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Millis>,
    /// One human-readable sentence.
    pub message: String,
}

impl Refusal {
    /// Returns a refusal of a request that no backend server executed.
    #[must_use]
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal {
            reason,
            verdict: Verdict::NotRun,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Returns the failure of a request that may have been executed.
    #[must_use]
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal {
            verdict: Verdict::MayHaveRun,
            ..Refusal::not_run(reason, message)
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Millis) -> Refusal {
        self.retry_after = Some(delay);
        self
    }
}
