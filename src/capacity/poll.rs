//! Load reports: when they are asked for, and from when their figures are.

use std::collections::BTreeMap;

use crate::backend::BackendOrder;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;

/// Time between two load reports of one backend server.
pub const LOAD_PERIOD: Millis = Millis(1_000);
/// Time between two load reports while nothing is known of what runs.
pub const LOAD_PERIOD_BLIND: Millis = Millis(250);
/// Time after which another report is asked for though the last has not come.
const ANSWER_BOUND: Millis = Millis(3_000);

#[derive(Debug, Clone, Copy, Default)]
struct Poll {
    open: Option<Millis>,
    next: Millis,
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
        if waiting || (cx.now < poll.next && cx.now + period < poll.next + LOAD_PERIOD) {
            return;
        }
        poll.open = Some(cx.now);
        poll.next = cx.now + LOAD_PERIOD;
        let backend = fleet.backend(key);
        cx.out.push(Output::Order {
            backend: backend.name.clone(),
            addr: backend.addr.clone(),
            order: BackendOrder::Load,
        });
    }

    /// Takes over that a report came whose figures are `age` old; returns the
    /// latest time of this instance's clock by which they were surely taken
    /// after.
    pub fn answered(&mut self, key: BackendKey, age: Millis) -> Option<Millis> {
        let sent = self.polls.get_mut(&key)?.open.take()?;
        Some(sent.since(age))
    }
}
