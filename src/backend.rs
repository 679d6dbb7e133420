//! Messages between the control core and the traffic threads that talk to
//! backend servers.
//!
//! Tokens do not pass through the control thread: the traffic thread relays
//! them to the caller and reports only the first token, periodic progress and
//! the end to the core. [`traffic`] runs the calls, [`http`] is the adapter.

pub mod http;
mod pool;
pub mod traffic;

pub use pool::Pool;

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::clock::Millis;
use crate::id::AttemptId;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::HexDigits;
use crate::id::RequestId;
use crate::verdict::Verdict;

/// A text generation request for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model's name.
    pub model: String,
    /// The prompt's text.
    pub text: String,
    /// Estimated length, in tokens.
    pub tokens: u64,
    /// Hash of the beginning of the text, for prefix affinity.
    pub prefix: u64,
    /// Maximum number of output tokens; 0 until the core fills in the default of
    /// the request kind.
    pub max_tokens: u32,
}

impl Prompt {
    /// Returns the text of the tokens `from..to`, on the assumption that all
    /// tokens have the same length. Adjacent ranges cover the text without gap
    /// or overlap.
    #[must_use]
    pub fn part(&self, from: u64, to: u64) -> &str {
        let at = |token: u64| {
            let tokens = u128::from(self.tokens.max(1));
            let bytes = self.text.len() as u128 * u128::from(token) / tokens;
            let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
            let mut bytes = bytes.min(self.text.len());
            while !self.text.is_char_boundary(bytes) {
                bytes -= 1;
            }
            bytes
        };
        &self.text[at(from)..at(to.max(from))]
    }
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The service's name.
    pub service: String,
    /// The operation's name.
    pub operation: String,
    /// The body, forwarded unchanged.
    pub body: Vec<u8>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

/// The payload of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Text generation.
    Prompt(Prompt),
    /// A call to a plain service.
    Service(ServiceCall),
}

/// One call to a backend server, complete with its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The attempt it belongs to.
    pub attempt: AttemptId,
    /// The backend server's address, `ip:port`.
    pub addr: String,
    /// The workspace of the request.
    pub workspace: String,
    /// The epoch under which the capacity was granted.
    pub epoch: Epoch,
    /// Importance, 0 to 100; engines serve higher first.
    pub priority: u8,
    /// Point in time by which the answer has to be complete.
    pub deadline: Millis,
    /// Maximum time without progress; after it the call ends as
    /// [`AttemptEnd::Silent`].
    pub silence: Millis,
    /// Where generation starts.
    pub start: CallStart,
    /// The work.
    pub work: Arc<Work>,
}

/// Where generation starts in the output of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStart {
    /// At the first token.
    Fresh,
    /// Reattaches at `offset` to the stream that already runs on this engine.
    Resume { offset: u32 },
    /// Continues on another engine after the first `offset` tokens.
    Continue { offset: u32 },
}

/// An event of an attempt, reported by its traffic thread to the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The backend server accepted the call.
    Accepted,
    /// The first token, or the answer of a plain service, arrived.
    FirstToken,
    /// The relay has received all tokens before `offset`.
    Progress { offset: u32 },
    /// The complete answer of a plain service, which the relay also receives;
    /// precedes `Ended`.
    Answer { status: u16, body: Vec<u8> },
    /// The attempt is over.
    Ended(AttemptEnd),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete; `tokens` is its length.
    Whole { tokens: u32 },
    /// The connection was refused, so the call was not sent.
    Refused,
    /// The backend server refused the call before running it.
    Rejected(Rejection),
    /// The connection failed after `offset` tokens.
    Broken { verdict: Verdict, offset: u32 },
    /// No progress for [`Call::silence`], after `offset` tokens.
    Silent { verdict: Verdict, offset: u32 },
    /// The core cancelled the attempt.
    Cancelled { offset: u32 },
}

/// Why a backend server refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The epoch is older than the newest one the backend server has seen.
    StaleEpoch,
    /// The concurrency limit or the memory is exhausted.
    Full,
    /// The backend server is warming up and cannot accept the call yet.
    Cold,
    /// The stream to resume is unknown.
    UnknownStream,
    /// The call is invalid and would be rejected by any backend server.
    Invalid,
}

/// An entry for a running stream in an engine's load report.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunningStream {
    /// The request of the stream.
    #[serde_as(as = "HexDigits")]
    pub request: RequestId,
    /// The instance that started it.
    pub owner: String,
    /// KV cache memory in use by the stream, in tokens.
    pub memory_tokens: u64,
}

/// An engine's load report; its figures are [`age_ms`](Self::age_ms) old.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's boot number.
    pub boot: Boot,
    /// The highest epoch the engine has seen.
    pub epoch: Epoch,
    /// Age of the figures.
    pub age_ms: Millis,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// Total memory, in tokens.
    pub memory_total: u64,
    /// Prompt tokens waiting for prefill.
    pub prefill_waiting: u64,
    /// Streams in flight.
    pub streams: Vec<RunningStream>,
    /// Loaded models.
    pub models: Vec<String>,
}

/// One entry of an engine's cache event feed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number in the feed; a gap means lost events.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was cached (`true`) or evicted (`false`).
    pub held: bool,
}

/// Commands to an engine that are not part of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendOrder {
    /// Stops a stream and frees its memory.
    Cancel { request: RequestId, epoch: Epoch },
    /// Requests a load report.
    Load,
    /// Requests the cache events after a sequence number.
    CacheEvents { after: u64 },
    /// Prefills part of a gang's prompt and keeps its KV cache for the request.
    Prefill {
        /// The request.
        request: RequestId,
        /// The epoch under which the capacity was granted.
        epoch: Epoch,
        /// The instance that sends the command.
        owner: String,
        /// Importance, 0 to 100.
        priority: u8,
        /// First token of the part.
        from_token: u64,
        /// The token after the part.
        to_token: u64,
        /// Memory reserved on this engine, in tokens.
        memory_tokens: u64,
        /// The prompt; only the text of the part is sent.
        work: Arc<Work>,
    },
    /// Exports the KV cache of a request's prompt for another engine.
    Export {
        /// The request.
        request: RequestId,
        /// The epoch under which the capacity was granted.
        epoch: Epoch,
        /// First token.
        from_token: u64,
        /// The token after the last.
        to_token: u64,
    },
    /// Imports the KV cache that another engine exported.
    Import {
        /// The request.
        request: RequestId,
        /// The epoch under which the capacity was granted.
        epoch: Epoch,
        /// The handle returned by the export.
        segment: String,
        /// The exporting engine's address, `ip:port`.
        addr: String,
    },
}

/// Answers to [`BackendOrder`]s.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendAnswer {
    /// The stream no longer runs.
    Cancelled { request: RequestId },
    /// A load report.
    Load(LoadReport),
    /// Cache events, oldest first.
    CacheEvents(Vec<CacheEvent>),
    /// Prefill of part of a gang's prompt is complete up to `to_token`.
    Prefilled { request: RequestId, to_token: u64 },
    /// The handle of an export.
    Exported { request: RequestId, segment: String },
    /// An import is complete.
    Imported { request: RequestId },
    /// A command of a gang was refused or got no valid answer.
    GangFailed { request: RequestId, refused: bool },
    /// The command was refused or got no valid answer.
    Failed { refused: bool },
}
