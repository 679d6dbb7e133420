//! Messages between the control core and the traffic threads that talk to
//! backend servers.
//!
//! Tokens do not pass through the control thread: the traffic thread relays
//! them to the caller and tells the core about the first token, progress at
//! intervals, and the end. [`traffic`] runs the calls, [`http`] is the adapter.

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

/// What a caller wants from an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model's name.
    pub model: String,
    /// The prompt's text.
    pub text: String,
    /// Its length in tokens, estimated.
    pub tokens: u64,
    /// Hash of its first part, for prefix affinity.
    pub prefix: u64,
    /// Output tokens allowed; 0 until the core fills in the kind's number.
    pub max_tokens: u32,
}

impl Prompt {
    /// Returns the text of the tokens from `from` to before `to`, as if all
    /// tokens had the same length; parts that follow each other leave nothing
    /// out.
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

/// What a caller wants from a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The service's name.
    pub service: String,
    /// The operation's name.
    pub operation: String,
    /// The body, passed on as it is.
    pub body: Vec<u8>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

/// The work of one request.
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
    /// The workspace that asked.
    pub workspace: String,
    /// The epoch under which the capacity was granted.
    pub epoch: Epoch,
    /// Importance, 0 to 100; engines serve higher first.
    pub priority: u8,
    /// Point in time at which the whole answer is due.
    pub deadline: Millis,
    /// Longest time without progress before the connection counts as silent.
    pub silence: Millis,
    /// How the call begins.
    pub start: CallStart,
    /// The work.
    pub work: Arc<Work>,
}

/// How a call begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStart {
    /// From nothing.
    Fresh,
    /// Reads on at `offset` in the stream that runs on this engine already.
    Resume { offset: u32 },
    /// Generates on another engine what follows the first `offset` tokens.
    Continue { offset: u32 },
}

/// What a traffic thread tells the core about an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The backend server took the call.
    Accepted,
    /// The first token (or answer byte) came.
    FirstToken,
    /// The relay has passed on all tokens before `offset`.
    Progress { offset: u32 },
    /// A plain service's whole answer, which the relay has too; comes before
    /// the end.
    Answer { status: u16, body: Vec<u8> },
    /// The attempt is over.
    Ended(AttemptEnd),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole; `tokens` is its length.
    Whole { tokens: u32 },
    /// The connection was refused: the call never left.
    Refused,
    /// The backend server refused the call before running it.
    Rejected(Rejection),
    /// The connection broke; `offset` tokens had come.
    Broken { verdict: Verdict, offset: u32 },
    /// No progress for the call's silence bound; `offset` tokens had come.
    Silent { verdict: Verdict, offset: u32 },
    /// Cancelled by the core's order.
    Cancelled { offset: u32 },
}

/// Why a backend server refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The epoch is older than one it has seen.
    StaleEpoch,
    /// It has no room.
    Full,
    /// It is starting and cannot bear the call.
    Cold,
    /// It does not know the stream to resume.
    UnknownStream,
    /// The call is invalid; another backend server would say the same.
    Invalid,
}

/// A stream that an engine runs, as its load report shows it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunningStream {
    /// The request it serves.
    #[serde_as(as = "HexDigits")]
    pub request: RequestId,
    /// The instance that started it.
    pub owner: String,
    /// Memory it holds, in tokens.
    pub memory_tokens: u64,
}

/// An engine's load report; it lags.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's boot number.
    pub boot: Boot,
    /// The highest epoch it has seen.
    pub epoch: Epoch,
    /// How old the figures are.
    pub age_ms: Millis,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// Memory in all, in tokens.
    pub memory_total: u64,
    /// Prompt tokens waiting to be processed.
    pub prefill_waiting: u64,
    /// Streams in flight.
    pub streams: Vec<RunningStream>,
    /// Models that are loaded.
    pub models: Vec<String>,
}

/// One entry of an engine's cache event feed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number in the feed; gaps show lost events.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it is now held, or was evicted.
    pub held: bool,
}

/// Orders to an engine outside any attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendOrder {
    /// Stops a stream and frees its memory.
    Cancel { request: RequestId, epoch: Epoch },
    /// Asks for a load report.
    Load,
    /// Asks for cache events after a sequence number.
    CacheEvents { after: u64 },
    /// Processes part of a gang's prompt and keeps it for the request.
    Prefill {
        /// The request.
        request: RequestId,
        /// The epoch under which the capacity was granted.
        epoch: Epoch,
        /// The instance that asks.
        owner: String,
        /// Importance, 0 to 100.
        priority: u8,
        /// First token of the part.
        from_token: u64,
        /// The token after the part.
        to_token: u64,
        /// Memory reserved on this engine, in tokens.
        memory_tokens: u64,
        /// The work; only the part's text is sent.
        work: Arc<Work>,
    },
    /// Makes what the engine holds of a request's prompt readable for another.
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
    /// Takes over what another engine exported.
    Import {
        /// The request.
        request: RequestId,
        /// The epoch under which the capacity was granted.
        epoch: Epoch,
        /// The handle that the export gave.
        segment: String,
        /// The exporting engine's address, `ip:port`.
        addr: String,
    },
}

/// Answers to [`BackendOrder`]s.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendAnswer {
    /// The stream is gone.
    Cancelled { request: RequestId },
    /// A load report.
    Load(LoadReport),
    /// Cache events, oldest first.
    CacheEvents(Vec<CacheEvent>),
    /// Part of a gang's prompt is processed, up to a token.
    Prefilled { request: RequestId, to_token: u64 },
    /// The handle of an export.
    Exported { request: RequestId, segment: String },
    /// An import is complete.
    Imported { request: RequestId },
    /// An order of a gang was refused or had no answer.
    GangFailed { request: RequestId, refused: bool },
    /// No answer.
    Failed { refused: bool },
}
