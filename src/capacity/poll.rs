//! Polls backend servers for load reports, and bounds the time at which a
//! report's figures were taken.

use std::collections::BTreeMap;

use crate::backend::BackendOrder;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::fleet::Backend;
use crate::fleet::BackendKey;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;

/// Interval at which a coordinator polls one backend server for a load report.
pub const LOAD_REPORT_INTERVAL: Millis = Millis(1_000);
/// Interval between the polls of one backend server while its coordinator may
/// not grant leases yet.
pub const INITIAL_LOAD_REPORT_INTERVAL: Millis = Millis(250);
/// Maximum number of polls per second that one instance sends for routing,
/// besides those that it needs as a coordinator.
pub const MAX_ROUTING_POLLS_PER_S: u64 = 16;
/// Time after which an unanswered poll is considered lost.
const REPORT_TIMEOUT: Millis = Millis(3_000);

#[derive(Debug, Clone, Copy, Default)]
struct Poll {
    pending_since: Option<Millis>,
    last_sent: Option<Millis>,
}

/// Polls of all backend servers.
#[derive(Debug, Default)]
pub struct Polls {
    polls: BTreeMap<BackendKey, Poll>,
}

impl Polls {
    /// Polls a backend server unless one poll is pending or the last was less
    /// than `period` ago.
    pub fn poll_if_due(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, key: BackendKey, period: Millis) {
        let poll = self.polls.entry(key).or_default();
        let pending = poll
            .pending_since
            .is_some_and(|sent| cx.now.since(sent) < REPORT_TIMEOUT);
        let early = poll
            .last_sent
            .is_some_and(|sent| cx.now.since(sent) < period);
        if pending || early {
            return;
        }
        poll.pending_since = Some(cx.now);
        poll.last_sent = Some(cx.now);
        let backend = fleet.backend(key);
        cx.out.push(Output::Order {
            backend: backend.name.clone(),
            addr: backend.addr.clone(),
            order: BackendOrder::Load,
        });
    }

    /// Polls all backend servers of a failure domain for routing, at a rate of
    /// at most [`MAX_ROUTING_POLLS_PER_S`].
    pub fn poll_domain(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, domain: Option<DomainKey>) {
        let local = |backend: &Backend| Some(backend.domain) == domain && !backend.draining;
        let keys: Vec<BackendKey> = fleet
            .backends()
            .filter(|(_, backend)| local(backend))
            .map(|(key, _)| key)
            .collect();
        let count = u64::try_from(keys.len()).unwrap_or(u64::MAX);
        let period =
            Millis(count.saturating_mul(1_000) / MAX_ROUTING_POLLS_PER_S).max(LOAD_REPORT_INTERVAL);
        for key in keys {
            self.poll_if_due(cx, fleet, key, period);
        }
    }

    /// Completes the pending poll with a report whose figures are `age` old.
    /// Returns a time of this instance's clock that is certainly not after the
    /// time at which they were taken.
    pub fn complete(&mut self, key: BackendKey, age: Millis) -> Option<Millis> {
        let sent = self.polls.get_mut(&key)?.pending_since.take()?;
        Some(sent.since(age))
    }
}
