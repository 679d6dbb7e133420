//! What an engine is asked to run, and what it says to that.

use serde::Deserialize;

use skylarkhook::backend::Rejection;

/// The body of a submit.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Submit {
    /// The request, 16 hexadecimal digits.
    pub request: String,
    /// The attempt's number.
    pub attempt: u32,
    /// The instance that sends it.
    pub owner: String,
    /// The epoch of the grant.
    pub epoch: u64,
    /// Higher goes first in prefill.
    pub priority: u8,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Hash of the prompt's first part.
    pub prefix: u64,
    /// Tokens allowed.
    pub max_tokens: u32,
    /// Tokens that the caller has already.
    pub offset: u32,
    /// Their text.
    pub generated: String,
}

/// What an engine does with a submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// It runs; the connection follows by `EngineState::attach`.
    Accepted,
    /// It runs, and its connection is to be cut.
    AnswerLost,
    /// It does not run.
    Rejected(Rejection),
    /// The engine fell over.
    Crashed,
}
