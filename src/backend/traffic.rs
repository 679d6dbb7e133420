//! Traffic threads: each runs one call to a backend server at a time.
//!
//! Calls block, so each has a thread of its own, with a small stack; idle
//! threads are used again. Orders outside attempts have a pool of their own, so
//! that a cancel never waits behind streams.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::backend::AttemptEnd;
use crate::backend::AttemptEvent;
use crate::backend::BackendAnswer;
use crate::backend::BackendOrder;
use crate::backend::Call;
use crate::backend::pool::Pool;
use crate::control::Input;
use crate::id::AttemptId;
use crate::relay::AttemptSide;
use crate::relay::Begun;
use crate::relay::Relays;
use crate::verdict::Verdict;

/// Least time between two reports of progress to the core.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Threads for orders outside attempts, at most.
const ORDER_THREADS: usize = 32;

/// The edge to backend servers; calls block.
pub trait BackendEdge: Send + Sync + 'static {
    /// Runs a call to its end, which it returns. Tokens go to the relay, news
    /// to the core, both through `flow`.
    fn call(&self, call: &Call, flow: &mut Flow) -> AttemptEnd;

    /// Gives an order outside any attempt.
    fn order(&self, addr: &str, order: &BackendOrder) -> BackendAnswer;
}

/// How many threads the traffic may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficSettings {
    /// Calls to backend servers at one time; more wait for a thread.
    pub max_calls: usize,
}

impl Default for TrafficSettings {
    fn default() -> TrafficSettings {
        TrafficSettings { max_calls: 4096 }
    }
}

/// All traffic of one process towards backend servers.
#[derive(Clone)]
pub struct Traffic {
    edge: Arc<dyn BackendEdge>,
    relays: Relays,
    control: flume::Sender<Input>,
    calls: Pool,
    orders: Pool,
}

impl Traffic {
    /// Returns the traffic over `edge`; threads start as they are needed.
    #[must_use]
    pub fn new(
        cfg: TrafficSettings,
        edge: Arc<dyn BackendEdge>,
        relays: Relays,
        control: flume::Sender<Input>,
    ) -> Traffic {
        Traffic {
            edge,
            relays,
            control,
            calls: Pool::new("call", cfg.max_calls),
            orders: Pool::new("order", ORDER_THREADS),
        }
    }

    /// Starts a call. The core gets its news and exactly one
    /// [`AttemptEvent::Ended`].
    pub fn send(&self, call: Call) {
        let side = self.relays.announce(call.attempt);
        let mut flow = Flow::new(side, self.control.clone());
        let edge = Arc::clone(&self.edge);
        self.calls.run(move || {
            let end = edge.call(&call, &mut flow);
            flow.end(end);
        });
    }

    /// Drops an attempt: its relay takes no more of its frames, and its thread
    /// ends with the next line or the silence bound.
    pub fn drop_attempt(&self, attempt: AttemptId) {
        self.relays.drop_attempt(attempt);
    }

    /// Gives an order; the answer goes to the core.
    pub fn order(&self, backend: String, addr: String, order: BackendOrder) {
        let edge = Arc::clone(&self.edge);
        let control = self.control.clone();
        self.orders.run(move || {
            let answer = edge.order(&addr, &order);
            let _ = control.send(Input::Backend { backend, answer });
        });
    }
}

/// What a running call reports to: the relay and the core.
#[derive(Debug)]
pub struct Flow {
    side: AttemptSide,
    control: flume::Sender<Input>,
    begun: bool,
    started: bool,
    reported: Option<(Instant, u32)>,
    ended: bool,
}

impl Flow {
    /// Returns the reports of an announced attempt.
    #[must_use]
    pub fn new(side: AttemptSide, control: flume::Sender<Input>) -> Flow {
        Flow {
            side,
            control,
            begun: false,
            started: false,
            reported: None,
            ended: false,
        }
    }

    /// Returns the relay.
    #[must_use]
    pub fn side(&self) -> &AttemptSide {
        &self.side
    }

    /// Makes the attempt the current one, as [`AttemptSide::begin`] does; from
    /// then on it may run.
    pub fn begin(&mut self) -> Option<Begun> {
        self.begun = true;
        self.side.begin()
    }

    /// Tells the core something.
    pub fn tell(&self, event: AttemptEvent) {
        let attempt = self.side.attempt();
        // A closed channel means that the process is ending.
        let _ = self.control.send(Input::Attempt { attempt, event });
    }

    /// Tells the core about the first sign of an answer, once.
    pub fn first_token(&mut self) {
        if !self.started {
            self.started = true;
            self.tell(AttemptEvent::FirstToken);
        }
    }

    /// Tells the core about progress, at most once in [`PROGRESS_INTERVAL`].
    pub fn progress(&mut self, offset: u32) {
        let now = Instant::now();
        let Some((at, before)) = self.reported else {
            self.reported = Some((now, offset));
            return;
        };
        if offset == before || now.duration_since(at) < PROGRESS_INTERVAL {
            return;
        }
        self.reported = Some((now, offset));
        self.tell(AttemptEvent::Progress { offset });
    }

    /// Tells the core how the attempt ended.
    pub fn end(&mut self, end: AttemptEnd) {
        if !self.ended {
            self.ended = true;
            self.tell(AttemptEvent::Ended(end));
        }
    }
}

impl Drop for Flow {
    /// Reports a call whose thread died as broken, so that the core never waits
    /// for an end that does not come.
    fn drop(&mut self) {
        let verdict = match self.begun {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        };
        let offset = self.side.offset();
        self.end(AttemptEnd::Broken { verdict, offset });
    }
}
