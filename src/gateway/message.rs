//! Inputs and outputs of the gateway's core, and the types that cross its
//! border.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::gateway::instances::Item;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::roster::ServerEntry;
use crate::gateway::route::RouteTable;
use crate::verdict::Refusal;

/// What the gateway reads of the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of this try; empty if there is none.
    pub request_id: String,
    /// How long the caller will wait.
    pub deadline: Option<Millis>,
    /// The caller's key.
    pub key: Option<String>,
    /// Lengths of prompt and answer, if it is a prompt.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller has of a stream that goes on.
    pub last_event: Option<String>,
}

/// Lengths of a prompt and its answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Greatest length of the answer, in tokens.
    pub max_output_tokens: u64,
    /// Length of the answer that the caller expects, in tokens.
    pub expected_output_tokens: Option<u64>,
}

/// An engine that reads a part of a prompt for another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Its address, `ip:port`.
    pub addr: String,
    /// Name of the memory reserved there; none: it only reads.
    pub reservation: Option<String>,
}

/// What the gateway reads of the head of a backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerHead {
    /// HTTP status.
    pub status: u16,
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the backend server's signature.
    pub signed: bool,
    /// Whether it says that the request was not run.
    pub refused: bool,
    /// Whether the body is encoded, and so not the backend server's own.
    pub encoded: bool,
    /// How much longer the backend server stays cold.
    pub cold_left: Option<Millis>,
    /// Address of the backend server at fault, where it is another.
    pub at_fault: Option<String>,
    /// How long the connection may stay idle.
    pub idle_limit: Option<Millis>,
    /// Whether the connection ends with this answer.
    pub closes: bool,
}

/// Names a caller's request within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A caller's request, read whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Submission {
    /// What its head says.
    pub head: CallerHead,
    /// The host that it was sent to.
    pub host: String,
    /// Its path, without the query.
    pub path: String,
    /// When its head had arrived.
    pub arrived: Millis,
    /// Hash of method, path, key and body, by which a request that comes again
    /// is known.
    pub fingerprint: u64,
}

/// How one send to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// The whole answer was passed on.
    Whole,
    /// The backend server answered that the request failed; the answer is
    /// signed and could be passed on.
    Failed,
    /// Nothing was written: no connection.
    NotSent,
    /// Nothing was written: an engine had no memory to reserve.
    NoMemory,
    /// The backend server refused it before it ran.
    Refused,
    /// The address belongs to another backend server now.
    Misdirected,
    /// The connection ended, or what came was no answer to this request.
    Broken,
    /// No answer within the limit for this send.
    Silent,
    /// The caller left.
    CallerGone,
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Number of the send, from 0.
    pub send: u32,
    /// Address of the backend server, `ip:port`.
    pub addr: String,
    /// Its id.
    pub server_id: String,
    /// Connections that it accepts from this instance.
    pub max_connections: usize,
    /// Engines that read parts of the prompt.
    pub parts: Vec<Part>,
    /// Memory to reserve before sending: engine, its id and tokens.
    pub reservations: Vec<Reservation>,
    /// Urgency at the engine, 0 to 9.
    pub urgency: Option<u8>,
    /// The caller's workspace, empty if it has none.
    pub workspace: String,
    /// When the caller's final answer is due.
    pub answer_due: Millis,
    /// Until when the first output may come before the send is given up.
    pub output_due: Millis,
    /// Longest time without output once it has begun, where the request may go
    /// on elsewhere.
    pub silence: Millis,
    /// Whether the answer may go on elsewhere once it has begun.
    pub resumable: bool,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Whether a failure that the backend server reports is tried elsewhere.
    pub retry_failures: bool,
}

/// Memory to reserve on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Address of the engine, `ip:port`.
    pub addr: String,
    /// Name of the reservation.
    pub name: String,
    /// Size, in tokens.
    pub tokens: u64,
    /// Time for which it holds unless it is released.
    pub hold: Millis,
    /// Time after the request's end from which on it counts as leaked.
    pub free_limit: Millis,
}

/// A fact that the platform's store holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact {
    /// A version of the configuration.
    Routes(Arc<RouteTable>),
    /// A failure domain gets nothing new.
    DomainOut(String),
    /// A failure domain is in service again.
    DomainBack(String),
    /// A backend server's entry.
    Server(ServerEntry),
    /// A backend server's entry is gone.
    ServerGone(String),
    /// An instance of this system.
    Instance(Member),
    /// An instance's entry is gone.
    InstanceGone(String),
}

/// How an instance watches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watching {
    /// Asks often, watches everything and passes it on.
    Closely,
    /// Only waits for changes by operators; the rest comes from others.
    Loosely,
}

/// What comes to the core.
#[derive(Debug)]
pub enum Input {
    /// A caller's request.
    Submit(Ticket, Submission),
    /// The first output of a send has come.
    Started(Ticket),
    /// A stream that has begun went on at this time.
    Progress(Ticket, Millis),
    /// A backend server's answer said how long it stays cold.
    ColdSeen(Ticket, Millis),
    /// An engine said how much memory it has left, in tokens.
    MemorySeen {
        /// Its address, `ip:port`.
        addr: String,
        /// Memory left, in tokens.
        free: u64,
    },
    /// A send has ended.
    Ended(Ticket, SendEnd),
    /// Facts from the store, in order.
    Facts {
        /// When the store was asked, if its answer proves that the operators'
        /// configuration is known as of then.
        proved_at: Option<Millis>,
        /// Revision of the newest change by operators that is known.
        config_revision: u64,
        /// Digest of the backend servers' entries.
        entries_digest: u64,
        /// The facts.
        facts: Vec<Fact>,
    },
    /// A change that the other instances are to be told.
    PassOn(Item),
    /// The store did not answer.
    StoreLost,
    /// Another instance's message.
    Peer(PeerMessage),
    /// Time has passed.
    Tick,
    /// The instance is to leave.
    Leave,
}

/// What the core wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a request.
    Send(Ticket, Plan),
    /// Answer a request without a backend server.
    Refuse(Ticket, Refusal),
    /// Pass the backend server's own failure on.
    PassFailure(Ticket),
    /// Tell all other instances.
    Tell(Arc<Vec<String>>, PeerMessage),
    /// How the store is to be watched has changed.
    Watch(Watching),
    /// Readiness has changed.
    Ready(bool),
    /// What callers may send has changed.
    Limits(crate::gateway::route::CallerLimits),
}
