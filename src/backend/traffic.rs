//! Traffic threads: each runs one call to a backend server at a time.
//!
//! Calls block, so each runs on its own thread with a small stack; idle threads
//! are reused. Commands outside attempts use a separate pool, so that a cancel
//! never queues behind streams, and steps of gangs, which last as long as an
//! engine computes, another one.

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
use crate::relay::AnswerPrefix;
use crate::relay::AttemptSide;
use crate::relay::Relays;
use crate::verdict::Verdict;

/// Minimum interval between two progress reports to the core.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of threads for commands outside attempts, and of those for
/// the steps of gangs.
const ORDER_THREADS: usize = 32;

/// Adapter for calls to backend servers; all methods block.
pub trait BackendClient: Send + Sync + 'static {
    /// Runs a call to its end and returns how it ended. Sends tokens to the
    /// relay and events to the core, both through `output`.
    fn call(&self, call: &Call, output: &mut CallOutput) -> AttemptEnd;

    /// Sends a command outside any attempt.
    fn order(&self, addr: &str, order: &BackendOrder) -> BackendAnswer;
}

/// Limits of [`Traffic`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficSettings {
    /// Maximum number of concurrent calls; further ones wait for a thread.
    pub max_calls: usize,
}

impl Default for TrafficSettings {
    fn default() -> TrafficSettings {
        TrafficSettings { max_calls: 4096 }
    }
}

/// Runs all calls and commands of one process to backend servers.
#[derive(Clone)]
pub struct Traffic {
    client: Arc<dyn BackendClient>,
    relays: Relays,
    control: flume::Sender<Input>,
    calls: Pool,
    orders: Pool,
    gang_steps: Pool,
}

impl Traffic {
    /// Creates the thread pools; threads start on demand.
    #[must_use]
    pub fn new(
        cfg: TrafficSettings,
        client: Arc<dyn BackendClient>,
        relays: Relays,
        control: flume::Sender<Input>,
    ) -> Traffic {
        Traffic {
            client,
            relays,
            control,
            calls: Pool::new("call", cfg.max_calls),
            orders: Pool::new("order", ORDER_THREADS),
            gang_steps: Pool::new("gang", ORDER_THREADS),
        }
    }

    /// Starts a call. The core receives its events and exactly one
    /// [`AttemptEvent::Ended`].
    pub fn send(&self, call: Call) {
        let side = self.relays.announce(call.attempt);
        let mut output = CallOutput::new(side, self.control.clone());
        let client = Arc::clone(&self.client);
        self.calls.run(move || {
            let end = client.call(&call, &mut output);
            output.end(end);
        });
    }

    /// Drops an attempt: its relay accepts no further frames of it, and its
    /// thread ends at the next line or at the call's progress timeout.
    pub fn drop_attempt(&self, attempt: AttemptId) {
        self.relays.drop_attempt(attempt);
    }

    /// Sends a command; the answer goes to the core.
    pub fn order(&self, backend: String, addr: String, order: BackendOrder) {
        let client = Arc::clone(&self.client);
        let control = self.control.clone();
        let pool = match order {
            BackendOrder::Prefill { .. }
            | BackendOrder::Export { .. }
            | BackendOrder::Import { .. } => &self.gang_steps,
            BackendOrder::Cancel { .. } | BackendOrder::Load | BackendOrder::CacheEvents { .. } => {
                &self.orders
            }
        };
        pool.run(move || {
            let answer = client.order(&addr, &order);
            let _ = control.send(Input::Backend { backend, answer });
        });
    }
}

/// Outputs of a running call: the relay for tokens, the core for events.
#[derive(Debug)]
pub struct CallOutput {
    side: AttemptSide,
    control: flume::Sender<Input>,
    begun: bool,
    first_token_sent: bool,
    last_progress: Option<(Instant, u32)>,
    ended: bool,
}

impl CallOutput {
    /// Creates the outputs of an announced attempt.
    #[must_use]
    pub fn new(side: AttemptSide, control: flume::Sender<Input>) -> CallOutput {
        CallOutput {
            side,
            control,
            begun: false,
            first_token_sent: false,
            last_progress: None,
            ended: false,
        }
    }

    /// Returns the relay.
    #[must_use]
    pub fn side(&self) -> &AttemptSide {
        &self.side
    }

    /// Makes the attempt the current one, see [`AttemptSide::begin`]. From here
    /// on a failure counts as [`Verdict::MayHaveRun`].
    pub fn begin(&mut self) -> Option<AnswerPrefix> {
        self.begun = true;
        self.side.begin()
    }

    /// Reports an event to the core.
    pub fn send_event(&self, event: AttemptEvent) {
        let attempt = self.side.attempt();
        // A closed channel means that the process is ending.
        let _ = self.control.send(Input::Attempt { attempt, event });
    }

    /// Reports the first token to the core, once.
    pub fn first_token(&mut self) {
        if !self.first_token_sent {
            self.first_token_sent = true;
            self.send_event(AttemptEvent::FirstToken);
        }
    }

    /// Reports progress to the core, at most once per [`PROGRESS_INTERVAL`].
    pub fn progress(&mut self, offset: u32) {
        let now = Instant::now();
        let Some((at, before)) = self.last_progress else {
            self.last_progress = Some((now, offset));
            return;
        };
        if offset == before || now.duration_since(at) < PROGRESS_INTERVAL {
            return;
        }
        self.last_progress = Some((now, offset));
        self.send_event(AttemptEvent::Progress { offset });
    }

    /// Reports to the core how the attempt ended, once.
    pub fn end(&mut self, end: AttemptEnd) {
        if !self.ended {
            self.ended = true;
            self.send_event(AttemptEvent::Ended(end));
        }
    }
}

impl Drop for CallOutput {
    /// Reports the call as broken if its thread panicked, so that the core
    /// always receives an end.
    fn drop(&mut self) {
        let verdict = match self.begun {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        };
        let offset = self.side.offset();
        self.end(AttemptEnd::Broken { verdict, offset });
    }
}
