//! Load reports: when they are asked for, and from when their figures are.

use std::collections::BTreeMap;

use crate::backend::BackendOrder;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::fleet::Backend;
use crate::fleet::BackendKey;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;

/// Time between two load reports of one backend server.
pub const LOAD_PERIOD: Millis = Millis(1_000);
/// Time between two load reports while nothing is known of what runs.
pub const LOAD_PERIOD_BLIND: Millis = Millis(250);
/// Load reports asked for in a second, besides those that a home needs.
pub const POLLS_PER_SECOND: u64 = 16;
/// Time after which another report is asked for though the last has not come.
const ANSWER_BOUND: Millis = Millis(3_000);

#[derive(Debug, Clone, Copy, Default)]
struct Poll {
    open: Option<Millis>,
    asked: Option<Millis>,
}

/// Load reports that were asked for.
#[derive(Debug, Default)]
pub struct Polls {
    polls: BTreeMap<BackendKey, Poll>,
}

impl Polls {
    /// Asks for a load report if one is due.
    pub fn ask(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, key: BackendKey, period: Millis) {
        let poll = self.polls.entry(key).or_default();
        let waiting = poll
            .open
            .is_some_and(|sent| cx.now.since(sent) < ANSWER_BOUND);
        let early = poll.asked.is_some_and(|asked| cx.now.since(asked) < period);
        if waiting || early {
            return;
        }
        poll.open = Some(cx.now);
        poll.asked = Some(cx.now);
        let backend = fleet.backend(key);
        cx.out.push(Output::Order {
            backend: backend.name.clone(),
            addr: backend.addr.clone(),
            order: BackendOrder::Load,
        });
    }

    /// Asks all backend servers of a failure domain in turn, for the sake of
    /// routing; not more than [`POLLS_PER_SECOND`].
    pub fn ask_all(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, domain: Option<DomainKey>) {
        let local = |backend: &Backend| Some(backend.domain) == domain && !backend.leaving;
        let keys: Vec<BackendKey> = fleet
            .backends()
            .filter(|(_, backend)| local(backend))
            .map(|(key, _)| key)
            .collect();
        let count = u64::try_from(keys.len()).unwrap_or(u64::MAX);
        let period = Millis(count.saturating_mul(1_000) / POLLS_PER_SECOND).max(LOAD_PERIOD);
        for key in keys {
            self.ask(cx, fleet, key, period);
        }
    }

    /// Takes over that a report came whose figures are `age` old; returns the
    /// latest time of this instance's clock by which they were surely taken
    /// after.
    pub fn answered(&mut self, key: BackendKey, age: Millis) -> Option<Millis> {
        let sent = self.polls.get_mut(&key)?.open.take()?;
        Some(sent.since(age))
    }
}
