//! Counters, gauges and histograms of one process.
//!
//! All metrics are listed in one table; a new metric only needs a line there.
//! Components count through [`Metrics::add`]; the admin listener encodes the
//! registry in the OpenMetrics text format. Names and help texts call a
//! coordinator `home` and a capacity lease `credit`.

#[cfg(test)]
mod tests;

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::clock::Millis;

macro_rules! metrics {
    ($all:ident, $type:ident: $($name:ident = $text:literal, $help:literal;)*) => {
        /// A metric of this process, with name and help text from the table.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $type {
            $(#[doc = $help] $name,)*
        }

        const $all: &[(&str, &str)] = &[$(($text, $help),)*];
    };
}

metrics! { COUNTERS, Count:
    Submitted = "requests_submitted", "Requests that reached the control core";
    Done = "requests_done", "Requests whose whole answer was given";
    RefusedNotRun = "requests_refused_not_run", "Requests refused before any backend server ran them";
    FailedMayHaveRun = "requests_failed_may_have_run", "Requests that failed after a backend server may have run them";
    CallersGone = "callers_gone", "Callers that left before their answer was whole";
    Attempts = "attempts", "Calls sent to backend servers";
    Retries = "retries", "Calls sent to backend servers after a first try";
    AttemptsStalled = "attempts_stalled", "Calls whose backend server gave no output for too long";
    Successors = "attempts_successors", "Second calls, sent to another backend server while the first gave no output";
    Quarantined = "requests_quarantined", "Requests and prompt parts that were held as they crashed backend servers";
    RateLimits = "rate_limits_named", "Times that a backend server named a rate limit, or another one than before";
    ServersLeaving = "servers_leaving", "Backend servers that said in an answer that they are leaving";
    Pauses = "pauses_named", "Times that a backend server asked for a pause";
    StoreRestored = "store_restores", "Times that the platform's store returned from an older copy";
    LinksLost = "links_lost", "Times that this instance reached no backend server of a service";
    ItemsNotForwarded = "store_items_not_forwarded", "Changes of backend servers' entries that were not forwarded to the other instances, as there were too many at once or they were too large";
    LinkProbes = "link_probes", "Probes of backend servers while the link to them was in doubt or lost";
    Queued = "requests_queued", "Requests that had to wait at this instance for room on backend servers";
    RefusedNoRoom = "requests_refused_no_room", "Requests refused as no room appeared while they waited";
    RefusedOverShare = "requests_refused_over_share", "Requests refused while their workspace had more than its fair share";
    RefusedOutranked = "requests_refused_outranked", "Requests refused as requests of a more urgent rank were";
    RefusedQueueFull = "requests_refused_queue_full", "Requests refused as too many waited";
    Relayed = "requests_relayed", "Requests relayed to another instance, as this one reached no backend server of the service";
    RelayedReceived = "requests_relayed_received", "Requests that other instances relayed to this one";
    Moves = "requests_moved", "Requests that left an attempt in progress for another backend server";
    StoreCalls = "store_calls", "Calls sent to the platform's key-value service";
    StoreFailures = "store_failures", "Calls to the key-value service without an answer";
    PeerFramesSent = "peer_frames_sent", "Frames sent to other instances";
    PeerBytesSent = "peer_bytes_sent", "Bytes of frames sent to other instances, before HTTP/2 framing";
    PeerFramesDropped = "peer_frames_dropped", "Frames from other instances that were malformed or not authentic";
    PeerFramesReceived = "peer_frames_received", "Frames taken over from other instances";
    PeerBytesReceived = "peer_bytes_received", "Bytes of frames taken over from other instances, before HTTP/2 framing";
    PeerFramesEarlier = "peer_frames_earlier_format", "Datagrams sent in the format of earlier releases, as their recipients read no newer one";
    PeerMessagesUnknown = "peer_messages_unknown", "Messages of other instances that were skipped, as this release does not know their kind";
    PeerFramesLost = "peer_frames_lost", "Frames to other instances that were lost: a full queue, a failed connection, no answer";
    PeerConnections = "peer_connections", "Connections opened to other instances";
    BodiesNoMemory = "bodies_refused_no_memory", "Requests refused before their body was read, or inside it, as the memory budget was used up";
    BodiesUnadmitted = "bodies_refused_unread", "Requests with a large body that were refused by their head: no route, unknown key, not ready";
    BodiesTooLarge = "bodies_refused_too_large", "Requests refused as their body is over the limit";
    BodiesSlow = "bodies_refused_slow", "Requests refused as their body did not arrive in time";
    ConnectionsRefused = "connections_refused", "Callers' connections closed at once, as too many were open and none could be closed for them";
    ConnectionsCrowdedOut = "connections_crowded_out", "Callers' connections closed for newer ones, as too many were open";
    CallersNotReading = "callers_not_reading", "Callers' connections closed as nothing of a response was read for too long";
    BadRequests = "requests_bad", "Requests refused before they reached the control core";
    ConditionChanges = "condition_changes", "Changes of a backend server's condition as this instance sees it";
    Gangs = "gangs_started", "Prompts over one engine's memory that began on several engines";
    GangsBroken = "gangs_broken", "Gangs given up as a member failed";
    Evicted = "requests_evicted", "Admitted requests refused in the queue, before any attempt or between two";
    DeclarationsAdopted = "declarations_adopted", "Revisions of the declarations that came into force on this instance";
    DeclarationsUnreadable = "declarations_unreadable", "Revisions of the declarations that this instance could not read";
    DeclarationPulls = "declaration_pulls", "Times that a newer revision of the declarations was asked of a peer";
    DeclarationChanges = "declaration_changes", "Revisions of the declarations that this instance put in force in the key-value service";
    DeclarationConflicts = "declaration_conflicts", "Changes of operators refused as others had changed the same objects";
    DeclarationRestores = "declaration_restores", "Times that the key-value service held an older or another head and was written anew";
    HomesStarted = "homes_started", "Times that this instance became home of a backend server";
    CreditAnswers = "credit_answers", "Answers with credits given as a home";
    CreditRecalls = "credit_recalls", "Credits recalled as a home";
    OrphansCancelled = "orphans_cancelled", "Cancels of streams that no live instance answered for";
    StaleFrames = "stale_frames", "Answer frames dropped as their attempt or offset did not match";
}

metrics! { GAUGES, Level:
    RequestsOpen = "requests_open", "Requests admitted and not yet answered";
    Revision = "declaration_revision", "Revision of the declarations in force";
    Gangs = "gangs", "Gangs of engines reserved by this instance";
    Waiting = "requests_waiting", "Requests in the queue";
    WorkspacesActive = "workspaces_active", "Workspaces whose prompts have used engines within about a second";
    LargestWorkspaceShare = "workspace_largest_share_percent", "Largest share of the engines' recent work that one workspace has";
    WaitingTokens = "tokens_waiting", "Tokens of the requests in the queue, output tokens weighted by 8";
    BackendsWarm = "backends_warm", "Backend servers that this instance counts as warm";
    BackendsCold = "backends_cold", "Backend servers that this instance counts as cold or warming up";
    BackendsSilent = "backends_silent", "Backend servers that this instance counts as silent";
    Homes = "homes", "Backend servers whose home this instance is";
    StaticShares = "static_shares", "Backend servers of which this instance uses its static share as their home is silent";
    MembersLive = "members_live", "Other instances that are known and not suspected, leaving or gone";
    MembersEarlierFormat = "members_earlier_format", "Live instances that read only the datagrams of earlier releases";
    ConfigAge = "config_proof_age_ms", "Age of the newest proof that the operators' configuration is current, in ms";
    MemoryHeads = "memory_heads_bytes", "Memory budget in use by long request heads, in bytes";
    MemoryBodies = "memory_bodies_bytes", "Memory budget in use by request bodies, in bytes";
    MemoryAnswers = "memory_answers_bytes", "Memory budget in use by answers and events that callers have not read, in bytes";
    Connections = "connections_open", "Open connections of callers and other instances";
    Ready = "ready", "1 when the instance takes callers, else 0";
}

macro_rules! timings {
    ($($name:ident = $text:literal, $label:literal, $help:literal, $buckets:expr;)*) => {
        /// A histogram of durations in seconds with one label. Name, label, help
        /// text and bucket bounds are from the table.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Timing {
            $(#[doc = $help] $name,)*
        }

        const TIMINGS: &[TimingDef] = &[$(TimingDef {
            name: $text,
            label: $label,
            help: $help,
            new: || Histogram::new($buckets),
        },)*];
    };
}

timings! {
    FirstToken = "first_token", "length", "Time from admission to the first token, by length class of the prompt",
        [0.05, 0.1, 0.2, 0.4, 0.87, 1.5, 3.0, 6.0, 12.0, 30.0, 60.0, 120.0, 300.0];
    FirstOutput = "first_output", "route", "Time from a forwarded request's arrival to the first output, by route",
        [0.01, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0];
    Queued = "queued", "route", "Time that a request waited at this instance for room, by route",
        [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0];
    Whole = "whole_answer", "kind", "Time from admission to the whole answer, by request kind",
        [0.01, 0.05, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 900.0];
}

/// Definition of a histogram.
struct TimingDef {
    name: &'static str,
    label: &'static str,
    help: &'static str,
    new: fn() -> Histogram,
}

/// A label and its value.
type Label = [(&'static str, String); 1];
type Timings = Family<Label, Histogram, fn() -> Histogram>;

/// All metrics of one process.
pub struct Metrics {
    registry: Registry,
    counters: Vec<Counter>,
    gauges: Vec<Gauge>,
    timings: Vec<Timings>,
}

impl Metrics {
    /// Registers all metrics of the table.
    #[must_use]
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("skylarkhook");
        let counters = COUNTERS
            .iter()
            .map(|&(name, help)| {
                let counter = Counter::default();
                registry.register(name, help, counter.clone());
                counter
            })
            .collect();
        let gauges = GAUGES
            .iter()
            .map(|&(name, help)| {
                let gauge = Gauge::default();
                registry.register(name, help, gauge.clone());
                gauge
            })
            .collect();
        let timings = TIMINGS
            .iter()
            .map(|def| {
                let timings = Timings::new_with_constructor(def.new);
                let (name, help) = (def.name, def.help);
                registry.register_with_unit(name, help, Unit::Seconds, timings.clone());
                timings
            })
            .collect();
        Metrics {
            registry,
            counters,
            gauges,
            timings,
        }
    }

    /// Adds `n` to a counter.
    pub fn add(&self, count: Count, n: u64) {
        self.counters[count as usize].inc_by(n);
    }

    /// Returns a counter's value.
    #[must_use]
    pub fn count(&self, count: Count) -> u64 {
        self.counters[count as usize].get()
    }

    /// Sets a gauge.
    pub fn set(&self, level: Level, value: i64) {
        self.gauges[level as usize].set(value);
    }

    /// Returns a gauge's value.
    #[must_use]
    pub fn level(&self, level: Level) -> i64 {
        self.gauges[level as usize].get()
    }

    /// Records a duration under a label value. Label values are from a closed
    /// or declared set, never from callers, which bounds their number.
    pub fn observe(&self, timing: Timing, value: &str, duration: Millis) {
        let label = [(TIMINGS[timing as usize].label, value.to_owned())];
        self.timings[timing as usize]
            .get_or_create(&label)
            .observe(duration.as_secs_f64());
    }

    /// Returns all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the text cannot be formatted.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
