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

/// The identity of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name, as in the instance list.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its boot number, random for each run of the process.
    pub boot: Boot,
    /// Its address for peers, `ip:port`.
    pub peer_addr: String,
    /// Unix time at which its clock reads zero.
    pub unix_time_at_start: Millis,
}

/// A caller's request, parsed but not yet admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Its id, chosen at random by the instance that received it.
    pub request: RequestId,
    /// SHA-256 of the bearer token, in hexadecimal.
    pub token_sha256: String,
    /// The kind that the caller names; if `None`, the first declared kind that
    /// accepts the work.
    pub kind: Option<String>,
    /// The caller's time limit, which can only shorten the kind's.
    pub time_limit: Option<Millis>,
    /// The caller's importance, 0 to 100; can only lower the kind's.
    pub importance: Option<u8>,
    /// Equal for repeats of the same request; see [`Fingerprint`].
    pub fingerprint: Fingerprint,
    /// The prompt or service call to run.
    pub work: Arc<Work>,
}

/// The component that made a store call and receives its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Component {
    /// Coordinators of backend servers (`home` in the store) and leases.
    Capacity,
    /// Distribution of the declarations.
    Spread,
    /// Claims of idempotency keys.
    Once,
}

/// Identifies one store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// The component that made the call.
    #[serde(rename = "duty")]
    pub component: Component,
    /// The number of the call, unique within the component.
    pub number: u64,
}

/// Inputs of the control core.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A periodic tick.
    Tick,
    /// A caller's request.
    Submit(Submission),
    /// A caller disconnected before its answer was complete.
    CallerGone { request: RequestId },
    /// An event of an attempt.
    Attempt {
        attempt: AttemptId,
        event: AttemptEvent,
    },
    /// A backend server's answer to an order, or its load report or cache
    /// events.
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
    /// An operator's query or command, or a caller's list of models; the answer
    /// carries the same id.
    Admin { query_id: u64, query: AdminQuery },
    /// The process is to drain, and to stop within this time.
    Shutdown { time_limit: Millis },
}

/// Outputs of the control core: the actions to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Calls a backend server.
    Send(Call),
    /// Closes the connection of an attempt; what still arrives from it is not
    /// passed on to the caller.
    Drop { attempt: AttemptId },
    /// Sends a backend server an order that belongs to no attempt.
    Order {
        backend: String,
        addr: String,
        order: BackendOrder,
    },
    /// Sends a caller the final reply.
    Reply { request: RequestId, reply: Reply },
    /// Sends a message to another instance; all messages to it from one call of
    /// `handle` share a frame.
    Peer {
        to: String,
        addr: String,
        message: PeerMessage,
    },
    /// Calls the key-value service.
    Store { ticket: Ticket, op: StoreOp },
    /// Answers an operator.
    Admin { query_id: u64, answer: AdminAnswer },
    /// The instance is drained, and the process may exit: all requests are
    /// answered, all claims confirmed, and the servers that it coordinates
    /// handed over (or the wait for that timed out). `cut` requests were
    /// answered as unfinished because the time limit was over.
    Stopped { cut: usize },
}

/// The final reply to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The answer is complete; the caller gets it from the relay of the
    /// request, see [`crate::relay`].
    Complete,
    /// The recorded answer to an earlier call with the same idempotency key.
    Recorded { status: u16, body: Vec<u8> },
    /// The request was refused or failed without a complete answer.
    Refused(Refusal),
}

/// An operator's query or command; [`AdminQuery::Models`] is a caller's.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminQuery {
    /// The status of this instance and of its view of the fleet.
    Status,
    /// Events of this process.
    Timeline { filter: Subject, limit: usize },
    /// The text of a revision of the declarations; if `None`, of the newest.
    GetDeclaration { revision: Option<Revision> },
    /// Changes the declarations.
    ApplyDeclaration(ApplyRequest),
    /// The revisions of the declarations that are retained.
    History,
    /// The revision of the declarations that each instance has.
    Held,
    /// The platform's instance list, as this instance last read it.
    Listings,
    /// Why each backend server would or would not be selected for a request.
    Explain(ExplainRequest),
    /// The models available to the caller whose token has this SHA-256.
    Models { token_sha256: String },
}

/// A hypothetical request whose placement an operator wants explained.
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
    /// Output tokens allowed; if `None`, the kind's default.
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
    /// The query or command was refused.
    Refused(Refusal),
}

impl AdminAnswer {
    /// Returns an answer with `value` as a JSON document.
    #[must_use]
    pub fn json(value: &impl Serialize) -> AdminAnswer {
        AdminAnswer::Json(serde_json::to_value(value).unwrap_or_default())
    }
}
