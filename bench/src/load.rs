//! The load tool: sends requests at planned times whatever becomes of earlier
//! ones (open loop), and checks each answer against what it has to be.

pub mod client;
pub mod command;
pub mod outcome;
pub mod plan;
pub mod summary;
#[cfg(test)]
mod tests;

pub use client::Policy;
pub use client::Target;
pub use outcome::Ending;
pub use outcome::Outcome;
pub use plan::Arrival;
pub use plan::LoadClass;
pub use plan::LoadConfig;
pub use plan::LoadWorkspace;
pub use summary::Summary;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use self::client::Ask;
use self::client::Heard;
use self::client::What;
use crate::answer::expected_answer;
use crate::site::lock;

/// Calls in flight at one time; those above it are not sent and say so.
const IN_FLIGHT_MAX: usize = 1_500;
/// Longest wait of a caller before it sends a failed request again.
const RESEND_WAIT_MAX: Duration = Duration::from_secs(2);
/// Memory for the stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 512 << 10;

/// A run of the load tool.
pub struct Load {
    cfg: LoadConfig,
    target: Target,
    start: Instant,
    outcomes: Mutex<Vec<Outcome>>,
    in_flight: AtomicUsize,
    sent: AtomicUsize,
}

impl Load {
    /// Begins a run on a thread of its own.
    #[must_use]
    pub fn start(cfg: LoadConfig, target: Target) -> LoadRun {
        let load = Arc::new(Load {
            cfg,
            target,
            start: Instant::now(),
            outcomes: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            sent: AtomicUsize::new(0),
        });
        let driven = Arc::clone(&load);
        let driver = thread::spawn(move || drive(&driven));
        LoadRun { load, driver }
    }

    /// Returns calls sent, calls in flight and whole answers so far.
    #[must_use]
    pub fn progress(&self) -> (usize, usize, usize) {
        let whole = lock(&self.outcomes).iter().filter(|o| o.whole()).count();
        let sent = self.sent.load(Ordering::Relaxed);
        (sent, self.in_flight.load(Ordering::Relaxed), whole)
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Replaces the instances that the balancer knows.
    pub fn set_entries(&self, now: Vec<String>) {
        if let Target::Entries { addrs, .. } = &self.target {
            *lock(addrs) = now;
        }
    }
}

/// A run under way.
pub struct LoadRun {
    /// The run's state.
    pub load: Arc<Load>,
    driver: thread::JoinHandle<()>,
}

impl LoadRun {
    /// Returns whether all calls have ended.
    #[must_use]
    pub fn done(&self) -> bool {
        self.driver.is_finished()
    }

    /// Waits for all calls to end and returns their outcomes, in order.
    #[must_use]
    pub fn wait(self) -> Vec<Outcome> {
        // A driver that panicked leaves the outcomes it has.
        let _ = self.driver.join();
        let mut outcomes = std::mem::take(&mut *lock(&self.load.outcomes));
        outcomes.sort_by_key(|outcome| (outcome.number, outcome.copy));
        outcomes
    }
}

fn drive(load: &Arc<Load>) {
    let mut callers = Vec::new();
    for arrival in load.cfg.plan() {
        let due = load.start + arrival.at.as_duration();
        thread::sleep(due.saturating_duration_since(Instant::now()));
        for copy in 0..load.cfg.classes[arrival.class].copies.max(1) {
            callers.extend(call_on_thread(load, arrival.clone(), copy));
        }
    }
    for caller in callers {
        // A caller that panicked leaves no outcome, which the count shows.
        let _ = caller.join();
    }
}

fn call_on_thread(load: &Arc<Load>, arrival: Arrival, copy: u32) -> Option<thread::JoinHandle<()>> {
    load.sent.fetch_add(1, Ordering::Relaxed);
    if load.in_flight.fetch_add(1, Ordering::Relaxed) >= IN_FLIGHT_MAX {
        load.in_flight.fetch_sub(1, Ordering::Relaxed);
        let heard = not_sent();
        load.record(&arrival, copy, heard, Duration::ZERO);
        return None;
    }
    let load = Arc::clone(load);
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            load.call(&arrival, copy);
            load.in_flight.fetch_sub(1, Ordering::Relaxed);
        })
        .ok()
}

fn not_sent() -> Heard {
    Heard {
        text: String::new(),
        arrivals: Vec::new(),
        ending: Ending::Broken("load tool: too many calls in flight".to_owned()),
        failovers: 0,
    }
}

impl Load {
    /// Sends a request, and again after a failure as often as its class says.
    fn call(&self, arrival: &Arrival, copy: u32) {
        let resends = self.cfg.classes[arrival.class].resends;
        let ask = self.ask(arrival, copy);
        for sending in 0..=resends {
            let begun = Instant::now();
            let heard = client::ask(&self.target, &ask);
            let wait = resend_wait(&heard.ending);
            self.record(arrival, copy + sending * 100, heard, begun.elapsed());
            match wait {
                Some(wait) if sending < resends => thread::sleep(wait),
                _ => break,
            }
        }
    }

    fn ask(&self, arrival: &Arrival, copy: u32) -> Ask {
        let class = &self.cfg.classes[arrival.class];
        let what = match class.service.is_empty() {
            true => What::Prompt {
                model: class.model.clone(),
                prompt: self.cfg.prompt(arrival),
                max_tokens: class.max_tokens,
            },
            false => What::Service {
                service: class.service.clone(),
                operation: class.operation.clone(),
                key: self.key(arrival),
            },
        };
        Ask {
            token: self.cfg.workspaces[arrival.workspace].token.clone(),
            kind: class.kind.clone(),
            patience: self.cfg.patience.as_duration(),
            skip: copy as usize,
            what,
        }
    }

    fn key(&self, arrival: &Arrival) -> String {
        match self.cfg.classes[arrival.class].once {
            true => format!("key-{}-{}", self.cfg.seed, arrival.number),
            false => String::new(),
        }
    }

    fn record(&self, arrival: &Arrival, copy: u32, heard: Heard, total: Duration) {
        let class = &self.cfg.classes[arrival.class];
        let mut ending = heard.ending;
        if ending == Ending::Whole && class.service.is_empty() {
            let expected = expected_answer(&self.cfg.prompt(arrival), class.max_tokens);
            if heard.text != expected {
                ending = Ending::Wrong;
            }
        }
        let arrivals = &heard.arrivals;
        let outcome = Outcome {
            number: arrival.number,
            copy,
            class: arrival.class,
            prompt_tokens: arrival.prompt_tokens,
            at: arrival.at,
            key: self.key(arrival),
            ending,
            first: arrivals.first().copied(),
            total,
            tokens: arrivals.len() as u32,
            gaps: arrivals.windows(2).map(|pair| pair[1] - pair[0]).collect(),
            failovers: heard.failovers,
        };
        lock(&self.outcomes).push(outcome);
    }
}

/// Returns how long a caller waits before it sends a request again; none if it
/// has no reason to.
fn resend_wait(ending: &Ending) -> Option<Duration> {
    match ending {
        Ending::Whole | Ending::Wrong => None,
        Ending::Refused { retry_after_ms, .. } => {
            let wait = Duration::from_millis(retry_after_ms.unwrap_or(200));
            Some(wait.min(RESEND_WAIT_MAX))
        }
        Ending::Broken(_) => Some(Duration::from_millis(200)),
    }
}
