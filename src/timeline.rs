//! The timeline: a bounded ring buffer of the decisions and observations of this
//! process.
//!
//! Each event has a logical timestamp (Lamport 1978, "Time, Clocks, and the
//! Ordering of Events in a Distributed System"). Frames between instances carry
//! the logical clock, so that the events of all processes can be merged in
//! causal order.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::RequestId;

/// Maximum number of events that a process keeps.
pub const TIMELINE_EVENTS: usize = 16_384;

macro_rules! event_kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// Kind of an event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum EventKind {
            $($(#[$doc])* $name,)*
        }

        impl EventKind {
            /// Returns the event's name in text output.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(EventKind::$name => $text,)*
                }
            }
        }
    };
}

event_kinds! {
    /// A request was admitted.
    Admitted = "admitted";
    /// A request was refused.
    Refused = "refused";
    /// An attempt was sent to a backend server.
    AttemptSent = "attempt_sent";
    /// An attempt ended.
    AttemptEnded = "attempt_ended";
    /// A request was answered completely.
    Done = "done";
    /// A request failed.
    Failed = "failed";
    /// A backend server's condition changed.
    Condition = "condition";
    /// The coordinator of a backend server changed; called `home` in the output.
    Home = "home";
    /// A member joined, left or became unresponsive.
    Member = "member";
    /// A declaration revision was applied.
    Revision = "revision";
    /// An idempotency key was claimed or settled.
    Claim = "claim";
    /// A request was quarantined or released.
    Quarantine = "quarantine";
    /// The key-value service became unreachable or reachable.
    Store = "store";
    /// The readiness of the process changed.
    Ready = "ready";
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Logical timestamp.
    pub stamp: u64,
    /// Time on the recording process's clock.
    pub at: Millis,
    /// The recording process's name.
    pub instance: String,
    /// Kind of the event.
    pub kind: EventKind,
    /// The request concerned.
    pub request: Option<RequestId>,
    /// The backend server concerned.
    pub backend: Option<String>,
    /// The failure domain concerned.
    pub domain: Option<String>,
    /// Human-readable detail.
    pub detail: String,
}

/// The objects that an event concerns; also used as a filter.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Subject {
    /// The request concerned.
    pub request: Option<RequestId>,
    /// The backend server concerned.
    pub backend: Option<String>,
    /// The failure domain concerned.
    pub domain: Option<String>,
}

impl Subject {
    /// Returns the subject of an event about a request.
    #[must_use]
    pub fn request(request: RequestId) -> Subject {
        Subject {
            request: Some(request),
            ..Subject::default()
        }
    }

    /// Returns the subject of an event about a backend server.
    #[must_use]
    pub fn backend(name: &str) -> Subject {
        Subject {
            backend: Some(name.to_owned()),
            ..Subject::default()
        }
    }

    /// Returns the subject of an event about a failure domain.
    #[must_use]
    pub fn domain(name: &str) -> Subject {
        Subject {
            domain: Some(name.to_owned()),
            ..Subject::default()
        }
    }

    /// Returns whether `self`, used as a filter, accepts an event about `other`.
    /// Unset fields accept everything.
    #[must_use]
    pub fn accepts(&self, other: &Subject) -> bool {
        let matches =
            |filter: &Option<String>, value: &Option<String>| filter.is_none() || filter == value;
        (self.request.is_none() || self.request == other.request)
            && matches(&self.backend, &other.backend)
            && matches(&self.domain, &other.domain)
    }
}

/// The event ring buffer of one process.
#[derive(Debug)]
pub struct Timeline {
    instance: String,
    stamp: u64,
    events: VecDeque<Event>,
}

impl Timeline {
    /// Returns an empty timeline for the process `instance`.
    #[must_use]
    pub fn new(instance: &str) -> Timeline {
        Timeline {
            instance: instance.to_owned(),
            stamp: 0,
            events: VecDeque::new(),
        }
    }

    /// Records an event; drops the oldest one if the ring is full.
    pub fn record(&mut self, at: Millis, kind: EventKind, subject: Subject, detail: String) {
        self.stamp += 1;
        if self.events.len() == TIMELINE_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            stamp: self.stamp,
            at,
            instance: self.instance.clone(),
            kind,
            request: subject.request,
            backend: subject.backend,
            domain: subject.domain,
            detail,
        });
    }

    /// Advances the logical clock and returns it for an outgoing frame.
    pub fn next_stamp(&mut self) -> u64 {
        self.stamp += 1;
        self.stamp
    }

    /// Merges the logical clock of an incoming frame.
    pub fn observe(&mut self, stamp: u64) {
        self.stamp = self.stamp.max(stamp) + 1;
    }

    /// Returns the newest events that match the filter, at most `limit`, in
    /// order from oldest to newest.
    #[must_use]
    pub fn select(&self, filter: &Subject, limit: usize) -> Vec<Event> {
        let mut events: Vec<Event> = self
            .events
            .iter()
            .rev()
            .filter(|event| {
                filter.accepts(&Subject {
                    request: event.request,
                    backend: event.backend.clone(),
                    domain: event.domain.clone(),
                })
            })
            .take(limit)
            .cloned()
            .collect();
        events.reverse();
        events
    }
}

/// Merges the events of several processes in causal order.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.stamp, &a.instance, a.at).cmp(&(b.stamp, &b.instance, b.at)));
    events
}
