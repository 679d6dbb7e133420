//! Inputs and outputs of the gateway's core, and the types that they carry.

use std::fmt;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::instances::Item;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::Recipient;
use crate::gateway::relay::RelayTerms;
use crate::gateway::route::RouteTable;
use crate::gateway::server_table::ServerEntry;
use crate::gateway::settings::Bounds;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// The fields of a caller's request head that the gateway uses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Request id set by the caller, a new one for each of its own retries;
    /// empty if absent.
    pub request_id: String,
    /// Time limit set by the caller.
    pub deadline: Option<Millis>,
    /// API key.
    pub key: Option<String>,
    /// Prompt and output lengths; `None` if the request carries no prompt.
    pub prompt: Option<PromptShape>,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Id of the last event that the caller received of a resumed stream. The
    /// core does not use it; the header itself is forwarded.
    pub last_event: Option<String>,
}

/// Identifies a part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart(pub u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Lengths of a prompt and its output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum output tokens.
    pub max_output_tokens: u64,
    /// Output tokens that the caller expects.
    pub expected_output_tokens: Option<u64>,
}

/// An engine that the request's helpers header lists: a helper that prefills a
/// part of the prompt, or the primary engine itself if memory is reserved on
/// it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillHelper {
    /// Address, `ip:port`.
    pub addr: String,
    /// Id of the memory reservation there; `None` if the engine prefills
    /// without holding memory.
    pub reservation: Option<String>,
}

/// The fields of a backend server's response head that the gateway uses.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the response has the stamp header, which shows that a backend
    /// server wrote it and not an intermediary.
    pub stamped: bool,
    /// Whether the response states that the request was not run, or has status
    /// 421.
    pub refused: bool,
    /// Whether the body has a content encoding, which only an intermediary
    /// would add.
    pub encoded: bool,
    /// What the backend server states about itself.
    pub notice: ServerNotice,
    /// Address of the failed backend server, if it is not the sender.
    pub at_fault: Option<String>,
    /// Keep-alive timeout of the connection.
    pub idle_timeout: Option<Millis>,
    /// Whether the connection is closed after this response.
    pub closes: bool,
}

/// What a backend server states about itself in a response; also sent between
/// instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerNotice {
    /// Remaining time in the cold state.
    pub cold_remaining: Option<Millis>,
    /// Requests per second that it accepts from all instances together; `None`
    /// if it names no limit.
    pub rate_limit: Option<f64>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time for which it asks the instance that it answers to send it nothing.
    pub pause: Option<Millis>,
}

/// Identifies a caller's request within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Number of an attempt within its request, from 0. Tells reports on an attempt
/// from those on the attempt that replaced it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

impl RequestHead {
    /// Lists the shared parts of the prompt, for the log.
    #[must_use]
    pub fn describe_shared_parts(&self) -> String {
        let ids: Vec<String> = self.shared_parts.iter().map(ToString::to_string).collect();
        ids.join(",")
    }
}

/// A caller's request, completely received.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Submission {
    /// Decoded head.
    pub head: RequestHead,
    /// Host that the request was sent to.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Arrival time of the head.
    pub arrived: Millis,
    /// Size of the body.
    pub body_bytes: usize,
    /// Hash of method, URI, key, shared prompt parts and body; identifies
    /// repetitions of a request.
    pub fingerprint: u64,
    /// What the instance that relayed the request states; `None` if the caller
    /// sent it to this instance.
    pub relay: Option<RelayTerms>,
}

/// Outcome of a probe of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeEnd {
    /// The server answered, with whatever status; or the connection stayed open,
    /// if nothing was to be sent.
    Answered,
    /// Another server answered at its address.
    Replaced,
    /// No connection could be opened, or it broke before an answer.
    Unreachable,
    /// The connection stayed open without an answer.
    Unanswered,
}

/// Outcome of one attempt to send a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete response was forwarded.
    Whole,
    /// The backend server reported a failure in a stamped response, which can
    /// be forwarded.
    Failed,
    /// Nothing was written: no connection could be used.
    NotSent,
    /// Nothing was written: no connection could be opened.
    Unreachable,
    /// Nothing was written: an engine refused a memory reservation, or did not
    /// confirm it.
    NoMemory,
    /// The backend server refused the request before running it.
    Refused,
    /// The address now belongs to another backend server.
    Misdirected,
    /// The connection broke, or the response was invalid, belongs to another
    /// request, or has a status that callers take for not run (408, 421, 429,
    /// 503) without the not-run header.
    Broken,
    /// No output within the attempt's time limit.
    Silent,
    /// The instance that the request was relayed to refused it, and no backend
    /// server has run it.
    RelayRefused {
        /// Why.
        reason: Reason,
        /// When the caller may retry.
        retry_after: Option<Millis>,
    },
    /// The instance that the request was relayed to could not complete it, and a
    /// backend server may have run it.
    RelayFailed {
        /// Why.
        reason: Reason,
    },
    /// Another attempt of the request answered first.
    Superseded,
    /// The process exits.
    ShutDown,
    /// The caller disconnected.
    CallerGone,
}

impl AttemptEnd {
    /// Returns whether the backend server answered.
    #[must_use]
    pub fn is_answered(self) -> bool {
        match self {
            AttemptEnd::Whole
            | AttemptEnd::Failed
            | AttemptEnd::Refused
            | AttemptEnd::Misdirected => true,
            AttemptEnd::NotSent
            | AttemptEnd::Unreachable
            | AttemptEnd::NoMemory
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::RelayRefused { .. }
            | AttemptEnd::RelayFailed { .. }
            | AttemptEnd::Superseded
            | AttemptEnd::ShutDown
            | AttemptEnd::CallerGone => false,
        }
    }

    /// Returns whether no backend server ran the attempt.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        match self {
            AttemptEnd::NotSent
            | AttemptEnd::Unreachable
            | AttemptEnd::NoMemory
            | AttemptEnd::Refused
            | AttemptEnd::RelayRefused { .. }
            | AttemptEnd::Misdirected => true,
            AttemptEnd::Whole
            | AttemptEnd::Failed
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::RelayFailed { .. }
            | AttemptEnd::Superseded
            | AttemptEnd::ShutDown
            | AttemptEnd::CallerGone => false,
        }
    }
}

/// What sets the deadline of a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeLimit {
    /// The caller's deadline.
    CallerDeadline,
    /// The route's time limit in a version of the configuration.
    Route {
        /// The version.
        config_version: u64,
    },
}

impl TimeLimit {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            TimeLimit::CallerDeadline => "caller_deadline",
            TimeLimit::Route { .. } => "route_time_limit",
        }
    }

    /// Returns the version of the configuration that states the limit; 0 if none
    /// does.
    #[must_use]
    pub fn config_version(self) -> u64 {
        match self {
            TimeLimit::CallerDeadline => 0,
            TimeLimit::Route { config_version } => config_version,
        }
    }
}

/// One attempt: where and how to send a request. An attempt that is relayed goes
/// to another instance instead of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptPlan {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Address of the recipient, `ip:port`.
    pub addr: String,
    /// Id of the backend server, or name of the instance.
    pub server_id: String,
    /// Terms of a relayed attempt; `None` if it goes to a backend server.
    pub relay: Option<RelayTerms>,
    /// Maximum connections from this instance to the recipient.
    pub max_connections: usize,
    /// Engines that the helpers header lists.
    pub helpers: Vec<PrefillHelper>,
    /// Memory to reserve before sending.
    pub reservations: Vec<Reservation>,
    /// Scheduling priority at the engine, 0 to 9; 0 is the highest.
    pub engine_priority: Option<u8>,
    /// The caller's workspace; empty if it has none.
    pub workspace: String,
    /// Deadline of the complete response.
    pub response_deadline: Millis,
    /// What sets that deadline.
    pub time_limit: TimeLimit,
    /// Deadline of the first output; the attempt is cancelled after it. Earlier
    /// than the response deadline only if memory is reserved, because that must
    /// not stay unused for longer.
    pub first_output_deadline: Millis,
    /// Whether another server can resume the response once it has begun.
    pub resumable: bool,
    /// Whether the response is an event stream.
    pub streaming: bool,
    /// Whether a failure reported by the backend server is retried on another
    /// one.
    pub retry_failures: bool,
}

/// Memory to reserve on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Address of the engine, `ip:port`.
    pub addr: String,
    /// Reservation id.
    pub id: String,
    /// Size, in tokens.
    pub tokens: u64,
    /// Time after which it expires unless it is renewed or released.
    pub ttl: Millis,
    /// Time after the end of the request after which memory that is still
    /// reserved counts as leaked.
    pub leak_limit: Millis,
}

/// Number of times that the store has returned from an older copy. What was
/// written after that copy is lost, and revisions are given out again: those of
/// different eras say nothing about which change is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A point in the store's history. Every point of an era is later than all of the
/// eras before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Era.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: u64,
}

/// The state of all backend servers' entries, by which instances compare what they
/// know.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntriesState {
    /// Position of the newest change.
    pub position: StorePosition,
    /// Digest of the existing entries and their revisions.
    pub digest: u64,
}

/// A decoded change of the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreUpdate {
    /// A new version of the configuration.
    Routes(Arc<RouteTable>),
    /// A failure domain is cordoned: it receives no new requests.
    DomainCordoned(String),
    /// A failure domain is no longer cordoned.
    DomainUncordoned(String),
    /// A known cordon is missing since the store returned from an older copy. The
    /// operators have either ended it or not written it again yet.
    CordonMissing(String),
    /// A backend server's entry was written.
    Server(ServerEntry),
    /// A known backend server's entry was read after the store returned from an
    /// older copy. It may be older than the known one.
    RestoredServer(ServerEntry),
    /// A backend server's entry was removed.
    ServerRemoved(String),
    /// An instance's entry was written.
    Instance(Member),
    /// An instance's entry was removed.
    InstanceRemoved(String),
}

impl StoreUpdate {
    /// Returns the update to a key that was known before the store returned from
    /// an older copy; `None` if it says nothing.
    #[must_use]
    pub fn after_restore(self) -> Option<StoreUpdate> {
        match self {
            StoreUpdate::Server(entry) => Some(StoreUpdate::RestoredServer(entry)),
            StoreUpdate::DomainUncordoned(domain) => Some(StoreUpdate::CordonMissing(domain)),
            // Heartbeats tell which of the known instances live.
            StoreUpdate::Instance(_) => None,
            update => Some(update),
        }
    }
}

/// How an instance watches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watching {
    /// Watches operators' keys and backend servers' entries with short waits
    /// and forwards changes to the other instances.
    Closely,
    /// Watches with short waits, but for itself: it forwards nothing, as other
    /// instances watch closely for all.
    ForItself,
    /// Watches only operators' keys; receives other changes from instances that
    /// watch closely.
    Loosely,
}

impl Watching {
    /// Returns whether the waits are short and backend servers' entries are watched.
    #[must_use]
    pub fn has_short_waits(self) -> bool {
        match self {
            Watching::Closely | Watching::ForItself => true,
            Watching::Loosely => false,
        }
    }
}

/// Times of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// When it began.
    pub started_at: Millis,
    /// Until when requests are admitted.
    pub accept_until: Millis,
    /// When the requests that are open are ended, shortly before the process
    /// exits.
    pub exit_at: Millis,
}

/// An input of the core.
#[derive(Debug)]
pub enum Input {
    /// A caller's request arrived.
    Submit(Ticket, Submission),
    /// The head of a caller's request arrived, whose body is too large to be read
    /// unasked.
    CheckHead(Ticket, Submission),
    /// The first output of an attempt arrived.
    FirstOutput(Ticket, AttemptNumber),
    /// A further event of a stream arrived at this time.
    Progress(Ticket, AttemptNumber, Millis),
    /// The caller reads a stream more slowly than it arrives, or no longer does.
    CallerBehind(Ticket, bool),
    /// A response to a request told about its backend server.
    ServerNotice {
        /// Id of the backend server.
        server_id: String,
        /// When the request was sent.
        sent_at: Millis,
        /// What the server stated.
        notice: ServerNotice,
    },
    /// An engine reported its free memory.
    FreeMemoryReported {
        /// Address, `ip:port`.
        addr: String,
        /// Free memory, in tokens.
        free: u64,
    },
    /// An attempt ended.
    AttemptEnded(Ticket, AttemptNumber, AttemptEnd),
    /// A probe of a backend server ended.
    ProbeEnded {
        /// Id of the backend server.
        server_id: String,
        /// Its outcome.
        end: ProbeEnd,
    },
    /// Changes from the store, in order.
    StoreUpdates {
        /// When the store was queried, if it was for the operators' keys.
        proved_at: Option<Millis>,
        /// Version of the configuration that the store shows; `None` if it shows
        /// none, or one that cannot be decoded.
        shown_version: Option<u64>,
        /// Position of the newest known change by operators.
        config_position: StorePosition,
        /// The changes.
        updates: Vec<StoreUpdate>,
    },
    /// The store has answered a query made at this time for the backend servers'
    /// entries. Sent before the changes that it shows.
    EntriesAnswered(Millis),
    /// Store changes for the other instances.
    ForwardItems(Vec<Item>),
    /// The entries of backend servers are known as of a query. Sent while they are
    /// watched for all instances.
    EntriesRead {
        /// When the store was queried.
        queried_at: Millis,
        /// What it showed.
        entries: EntriesState,
    },
    /// A call to the store failed.
    StoreCallFailed,
    /// The store is in a new era, or this instance has learned of its era.
    StoreEra {
        /// The era.
        era: StoreEra,
        /// Whether the store was seen in an earlier era.
        restored: bool,
    },
    /// A message from another instance.
    Peer {
        /// The message.
        message: PeerMessage,
        /// Time after which it arrived. It may have waited since, above all while
        /// the process was suspended.
        arrived_after: Millis,
    },
    /// Periodic timer.
    Tick,
    /// The settings of the process have changed.
    Bounds(Bounds),
    /// The instance starts to drain before it shuts down.
    Drain(Shutdown),
}

/// An action requested by the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a request to a backend server. If an attempt is in progress, the one
    /// that gives output first supersedes the other.
    Send(Ticket, AttemptPlan),
    /// End a request with the gateway's own error response, whether or not
    /// attempts were made.
    Refuse(Ticket, Refusal),
    /// The body of a request whose head was checked may be read.
    ReadBody(Ticket),
    /// Forward the buffered failure response of the backend server.
    ForwardFailure(Ticket),
    /// Send a message to these instances.
    Broadcast(Arc<Vec<Recipient>>, PeerMessage),
    /// Send a request to a backend server on a new connection and report whether
    /// it answers.
    Probe {
        /// Id of the backend server.
        server_id: String,
        /// Its address, `ip:port`.
        addr: String,
        /// Path of the request; `None` if the connection is only opened.
        path: Option<String>,
    },
    /// Change how the store is watched.
    Watch(Watching),
    /// Change the readiness state.
    Ready(bool),
    /// Change the limits on callers' requests.
    Limits(crate::gateway::route::CallerLimits),
}
