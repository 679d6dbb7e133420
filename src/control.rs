//! The control core: everything that is decided, and nothing that is read or
//! sent.
//!
//! [`Control::handle`] takes the time and one input and returns outputs. It runs
//! on one thread of the daemon and, on a virtual clock, in scenarios and
//! property tests.

mod admin;
mod attempts;
mod claim;
mod declare;
mod duties;
mod gangs;
mod message;
mod request;
#[cfg(test)]
mod tests;

pub use attempts::SILENCE_LIMIT;
pub use message::AdminAnswer;
pub use message::AdminQuery;
pub use message::Duty;
pub use message::ExplainRequest;
pub use message::Identity;
pub use message::Input;
pub use message::Output;
pub use message::Reply;
pub use message::Submission;
pub use message::Ticket;

use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::duties::Duties;
use crate::clock::Millis;
use crate::declaration::Declaration;
use crate::id::Revision;
use crate::metrics::Count;
use crate::metrics::Metrics;
use crate::spread::Periods;
use crate::spread::Spread;
use crate::store::StoreOp;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::timeline::Timeline;

/// The control core of one instance.
#[derive(Debug)]
pub struct Control {
    me: Identity,
    rng: ChaCha8Rng,
    timeline: Timeline,
    metrics: Arc<Metrics>,
    duties: Duties,
}

impl Control {
    /// Returns the core of a starting instance; `seed` feeds its random numbers.
    #[must_use]
    pub fn new(me: Identity, seed: u64, metrics: Arc<Metrics>) -> Control {
        Control {
            rng: ChaCha8Rng::seed_from_u64(seed),
            timeline: Timeline::new(&me.name),
            duties: Duties::new(&me),
            me,
            metrics,
        }
    }

    /// Sets how often the declarations are looked at.
    #[must_use]
    pub fn with_periods(mut self, periods: Periods) -> Control {
        self.duties.spread = Spread::new(periods);
        self
    }

    /// Returns the core of an instance that shares its backend servers with
    /// nobody: it needs neither homes nor the key-value service for them.
    #[must_use]
    pub fn alone(me: Identity, seed: u64, metrics: Arc<Metrics>) -> Control {
        Control {
            duties: Duties::alone(&me),
            ..Control::new(me, seed, metrics)
        }
    }

    /// Handles one input at time `now`, which never decreases.
    #[must_use]
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        let (duties, mut cx) = self.split(now, &mut out);
        duties.handle(&mut cx, input);
        out
    }

    /// Brings a declaration into force without the key-value service.
    pub fn declare(&mut self, now: Millis, declaration: &Declaration, revision: Revision) {
        let mut out = Vec::new();
        let (duties, mut cx) = self.split(now, &mut out);
        duties.declare(&mut cx, declaration, revision);
    }

    /// Returns the logical clock for an outgoing frame.
    pub fn stamp(&mut self) -> u64 {
        self.timeline.stamp()
    }

    /// Returns whether callers may be sent to this instance.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.duties.ready()
    }

    fn split<'a>(&'a mut self, now: Millis, out: &'a mut Vec<Output>) -> (&'a mut Duties, Cx<'a>) {
        let cx = Cx {
            now,
            me: &self.me,
            out,
            rng: &mut self.rng,
            timeline: &mut self.timeline,
            metrics: &self.metrics,
        };
        (&mut self.duties, cx)
    }
}

/// What every duty may use while it handles one input.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The time.
    pub now: Millis,
    /// Who this instance is.
    pub me: &'a Identity,
    /// Outputs, in order.
    pub out: &'a mut Vec<Output>,
    /// Seeded random numbers.
    pub rng: &'a mut ChaCha8Rng,
    /// The time line.
    pub timeline: &'a mut Timeline,
    /// Metrics of the process.
    pub metrics: &'a Metrics,
}

impl Cx<'_> {
    /// Counts one.
    pub fn count(&self, count: Count) {
        self.metrics.add(count, 1);
    }

    /// Records an event on the time line.
    pub fn event(&mut self, kind: EventKind, subject: Subject, detail: String) {
        self.timeline.record(self.now, kind, subject, detail);
    }

    /// Asks the key-value service.
    pub fn store(&mut self, ticket: Ticket, op: StoreOp) {
        self.count(Count::StoreCalls);
        self.out.push(Output::Store { ticket, op });
    }
}
