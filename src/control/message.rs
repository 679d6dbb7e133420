//! Inputs and outputs of the control core.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::AttemptEvent;
use crate::backend::BackendAnswer;
use crate::backend::BackendOrder;
use crate::backend::Call;
use crate::backend::Work;
use crate::clock::Millis;
use crate::fleet::Listing;
use crate::id::AttemptId;
use crate::id::Boot;
use crate::id::Fingerprint;
use crate::id::RequestId;
use crate::id::Revision;
use crate::peer::PeerFrame;
use crate::peer::PeerMessage;
use crate::spread::ApplyRequest;
use crate::store::StoreOp;
use crate::store::StoreResult;
use crate::timeline::Event;
use crate::timeline::Subject;
use crate::verdict::Refusal;

/// Who an instance is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name, as in the instance list.
    pub name: String,
    /// The failure domain it stands in.
    pub domain: String,
    /// Its boot number.
    pub boot: Boot,
    /// Its address for peers, `ip:port`.
    pub peer_addr: String,
    /// Unix time at the zero of its clock.
    pub unix_zero: Millis,
}

/// A caller's request, parsed but not yet admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Its id, drawn by the entry.
    pub request: RequestId,
    /// SHA-256 of the bearer token, in hexadecimal.
    pub token_sha256: String,
    /// The kind that the caller names; none: the entry's rule for the path.
    pub kind: Option<String>,
    /// A shorter time limit than the kind's.
    pub deadline: Option<Millis>,
    /// A lower importance than the kind's.
    pub importance: Option<u8>,
    /// Hash of all that identifies the request.
    pub fingerprint: Fingerprint,
    /// The work.
    pub work: Arc<Work>,
}

/// Whose store call it is; the answer goes back to that duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Duty {
    /// Homes and leases.
    Capacity,
    /// Declarations.
    Spread,
    /// Idempotency keys.
    Once,
}

/// Names one store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// Whose call.
    pub duty: Duty,
    /// The duty's own number for it.
    pub number: u64,
}

/// What the core is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A caller's request.
    Submit(Submission),
    /// A caller left before its answer was whole.
    CallerGone { request: RequestId },
    /// News of an attempt.
    Attempt {
        attempt: AttemptId,
        event: AttemptEvent,
    },
    /// A backend server's answer to an order.
    Backend {
        backend: String,
        answer: BackendAnswer,
    },
    /// A frame from another instance, already authenticated.
    Peer(PeerFrame),
    /// The key-value service's answer.
    Store { ticket: Ticket, result: StoreResult },
    /// The platform's instance list.
    Listings(Vec<Listing>),
    /// An operator's question or order.
    Admin { ticket: u64, query: AdminQuery },
    /// The process was told to leave.
    Shutdown,
}

/// What the core wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Calls a backend server.
    Send(Call),
    /// Drops an attempt's connection; its relay takes no more of its frames.
    Drop { attempt: AttemptId },
    /// Gives a backend server an order outside any attempt.
    Order {
        backend: String,
        addr: String,
        order: BackendOrder,
    },
    /// The final word to a caller.
    Reply { request: RequestId, reply: Reply },
    /// A message to another instance; those of one `handle` share a frame.
    Peer {
        to: String,
        addr: String,
        message: PeerMessage,
    },
    /// Calls the key-value service.
    Store { ticket: Ticket, op: StoreOp },
    /// Answers an operator.
    Admin { ticket: u64, answer: AdminAnswer },
    /// All admitted requests are answered after `Shutdown`: the process may end.
    Stopped,
}

/// The final word to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The answer is whole; its tokens have passed the relay.
    Whole,
    /// A recorded answer to a non-idempotent call.
    Recorded { status: u16, body: Vec<u8> },
    /// No whole answer.
    Refused(Refusal),
}

/// An operator's question or order.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminQuery {
    /// What this instance knows of itself and its fleet.
    Status,
    /// Events of this process.
    Timeline { filter: Subject, limit: usize },
    /// The declarations' text; none: the newest.
    GetDeclaration { revision: Option<Revision> },
    /// Changes the declarations.
    ApplyDeclaration(ApplyRequest),
    /// The revisions of the declarations that are kept.
    History,
    /// Which instances hold which revision of the declarations.
    Held,
    /// The platform's instance list, as this instance last read it.
    Listings,
    /// Why each backend server would or would not be taken for a request.
    Explain(ExplainRequest),
    /// The models that a caller with this token's SHA-256 can ask for.
    Models { token_sha256: String },
}

/// A request that operators ask about.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// The workspace's name.
    pub workspace: String,
    /// The request kind's name.
    pub kind: String,
    /// The model; for a plain service its name.
    pub model: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Output tokens allowed; none: the kind's default.
    pub max_tokens: Option<u32>,
}

/// Answers to [`AdminQuery`]s.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminAnswer {
    /// A JSON document.
    Json(serde_json::Value),
    /// Events, oldest first.
    Events(Vec<Event>),
    /// The order was refused.
    Refused(Refusal),
}

impl AdminAnswer {
    /// Returns a value as a JSON document.
    #[must_use]
    pub fn json(value: &impl Serialize) -> AdminAnswer {
        AdminAnswer::Json(serde_json::to_value(value).unwrap_or_default())
    }
}
