//! Whether this instance reaches the backend servers of each service.
//!
//! One server that cannot be reached has failed, or the link to it has. If an
//! instance reaches no server of a service, its own link is the likelier cause.
//! After each failure the instance therefore probes a few other servers: it sends
//! a request to each on a new connection. If one of them answers, the failed server
//! is at fault. If none does, the link is lost, until a later probe is answered.
//! Open connections say nothing about the link, as they may go on while new ones
//! are refused; and a connection that opens says nothing either, as something on
//! the way may accept it and pass nothing on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::gateway::message::ProbeEnd;
use crate::gateway::server_table::ServerKey;

/// Servers that cannot be reached at which the link counts as lost; all, if the
/// service has fewer. The loss of one failure domain of three leaves enough
/// servers to tell it apart.
const UNREACHABLE_UNTIL_LOST: usize = 4;
/// Servers that are probed at once while the link is in doubt.
const PROBES_IN_DOUBT: usize = 3;
/// Interval of the probes of a lost link, one server each.
const LOST_PROBE_PERIOD: Millis = Millis(250);
/// Interval at which a silent link is probed.
const SILENCE_PROBE_PERIOD: Millis = Millis(1_000);
/// Time without any output by the servers of a service, though they have
/// requests, after which the link is in doubt.
const MAX_SILENCE: Millis = Millis(500);

/// Links to the servers of all services.
#[derive(Debug, Default)]
pub struct ServerLinks {
    services: HashMap<String, Link>,
    /// Number of probes so far. Selects the next server to probe.
    probes: usize,
}

/// The link to the servers of one service.
#[derive(Debug, Default)]
struct Link {
    state: LinkState,
    /// Servers that are being probed, and since when.
    probing: BTreeMap<ServerKey, Millis>,
    /// When a lost link is probed next.
    next_probe: Millis,
    /// When a silent link may be put in doubt next.
    next_silence_check: Millis,
    /// When a server of the service last gave output.
    last_output: Millis,
}

#[derive(Debug, Default)]
enum LinkState {
    #[default]
    Up,
    /// These servers could not be reached, and no other one has been since.
    InDoubt(BTreeSet<ServerKey>),
    Lost {
        since: Millis,
    },
}

/// Change of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A doubt turned out to be unfounded.
    Confirmed,
    /// No server can be reached.
    Lost,
    /// A server can be reached again, after this time.
    Restored(Millis),
}

impl ServerLinks {
    /// Returns whether no server of the service can be reached.
    #[must_use]
    pub fn is_lost(&self, service: &str) -> bool {
        let link = self.services.get(service);
        matches!(link.map(|link| &link.state), Some(LinkState::Lost { .. }))
    }

    /// Lists the services of which no server can be reached.
    #[must_use]
    pub fn lost_services(&self) -> Vec<String> {
        let links = self.services.iter();
        let lost = links.filter(|(_, link)| matches!(link.state, LinkState::Lost { .. }));
        let mut services: Vec<String> = lost.map(|(service, _)| service.clone()).collect();
        services.sort();
        services
    }

    /// Lists the services whose links are in doubt or lost.
    #[must_use]
    pub fn services_to_probe(&self) -> Vec<String> {
        let links = self.services.iter();
        let down = links.filter(|(_, link)| !matches!(link.state, LinkState::Up));
        down.map(|(service, _)| service.clone()).collect()
    }

    /// Puts the link in doubt unless it is lost.
    pub fn doubt(&mut self, service: &str) {
        let link = self.link(service);
        if matches!(link.state, LinkState::Up) {
            link.state = LinkState::InDoubt(BTreeSet::new());
        }
    }

    /// Records that a server could not be reached. `servers` is the number of the
    /// service's servers. Returns the change.
    pub fn record_unreachable(
        &mut self,
        now: Millis,
        service: &str,
        server: ServerKey,
        servers: usize,
    ) -> Option<Change> {
        self.doubt(service);
        let link = self.link(service);
        let LinkState::InDoubt(unreachable) = &mut link.state else {
            return None;
        };
        unreachable.insert(server);
        if unreachable.len() < UNREACHABLE_UNTIL_LOST.min(servers.max(1)) {
            return None;
        }
        link.state = LinkState::Lost { since: now };
        link.next_probe = now + LOST_PROBE_PERIOD;
        Some(Change::Lost)
    }

    /// Records the end of a probe. Returns the change.
    pub fn record_probe(
        &mut self,
        now: Millis,
        service: &str,
        server: ServerKey,
        end: ProbeEnd,
        servers: usize,
    ) -> Option<Change> {
        let link = self.link(service);
        let probed_at = link.probing.remove(&server).unwrap_or(now);
        let is_reached = match end {
            ProbeEnd::Answered | ProbeEnd::Replaced => true,
            ProbeEnd::Unreachable => false,
            // While other requests are answered, the server is only slow.
            ProbeEnd::Unanswered => link.last_output > probed_at,
        };
        if !is_reached && matches!(link.state, LinkState::Up) {
            // Another server was reached meanwhile.
            return None;
        }
        if !is_reached {
            return self.record_unreachable(now, service, server, servers);
        }
        match std::mem::take(&mut link.state) {
            LinkState::Up => None,
            LinkState::InDoubt(_) => Some(Change::Confirmed),
            LinkState::Lost { since } => Some(Change::Restored(now.since(since))),
        }
    }

    /// Returns whether the link is neither in doubt nor lost.
    #[must_use]
    pub fn is_up(&self, service: &str) -> bool {
        let link = self.services.get(service);
        link.is_none_or(|link| matches!(link.state, LinkState::Up))
    }

    /// Returns whether a server is being probed because the link was in doubt.
    #[must_use]
    pub fn is_probing(&self, service: &str, server: ServerKey) -> bool {
        let link = self.services.get(service);
        link.is_some_and(|link| link.probing.contains_key(&server))
    }

    /// Records that a server of the service gave output.
    pub fn record_output(&mut self, now: Millis, service: &str) {
        self.link(service).last_output = now;
    }

    /// Puts the link in doubt if no server of the service has given output for
    /// long, though one has had a request since `waiting_since`.
    pub fn check_silence(&mut self, now: Millis, service: &str, waiting_since: Millis) {
        let link = self.link(service);
        let silent_since = link.last_output.max(waiting_since);
        if now.since(silent_since) >= MAX_SILENCE && now >= link.next_silence_check {
            link.next_silence_check = now + SILENCE_PROBE_PERIOD;
            self.doubt(service);
        }
    }

    /// Selects the servers to probe now, of the service's `servers`.
    pub fn take_probes(
        &mut self,
        now: Millis,
        service: &str,
        servers: &[ServerKey],
    ) -> Vec<ServerKey> {
        let Some(link) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let (wanted, unreachable) = match &link.state {
            LinkState::Up => return Vec::new(),
            LinkState::InDoubt(unreachable) => {
                let wanted = PROBES_IN_DOUBT.saturating_sub(link.probing.len());
                (wanted, Some(unreachable))
            }
            LinkState::Lost { .. } if now < link.next_probe => return Vec::new(),
            LinkState::Lost { .. } => (1, None),
        };
        let is_candidate = |server: &ServerKey| {
            !link.probing.contains_key(server)
                && !unreachable.is_some_and(|unreachable| unreachable.contains(server))
        };
        let mut candidates: Vec<ServerKey> = servers.iter().copied().filter(is_candidate).collect();
        if !candidates.is_empty() {
            let first = self.probes % candidates.len();
            candidates.rotate_left(first);
        }
        candidates.truncate(wanted);
        link.next_probe = now + LOST_PROBE_PERIOD;
        link.probing
            .extend(candidates.iter().map(|server| (*server, now)));
        self.probes += candidates.len();
        candidates
    }

    fn link(&mut self, service: &str) -> &mut Link {
        self.services.entry(service.to_owned()).or_default()
    }
}
