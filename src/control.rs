//! The control core: makes all decisions and performs no I/O.
//!
//! [`Control::handle`] takes the current time and one input and returns outputs.
//! It runs on one thread of the daemon and, on a virtual clock, in scenarios and
//! property tests.

mod admin;
mod attempts;
mod claim;
mod components;
mod declare;
mod gangs;
mod message;
mod migration;
mod request;
mod stop;
#[cfg(test)]
mod tests;

pub use attempts::SILENCE_LIMIT;
pub use message::AdminAnswer;
pub use message::AdminQuery;
pub use message::Component;
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

use self::components::Components;
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
    components: Components,
}

impl Control {
    /// Returns the core of a starting instance; `seed` seeds its random number
    /// generator.
    #[must_use]
    pub fn new(me: Identity, seed: u64, metrics: Arc<Metrics>) -> Control {
        Control {
            rng: ChaCha8Rng::seed_from_u64(seed),
            timeline: Timeline::new(&me.name),
            components: Components::new(&me),
            me,
            metrics,
        }
    }

    /// Sets the polling and watch periods of the declarations. To be called
    /// before the first `handle`: it resets the state of their distribution.
    #[must_use]
    pub fn with_spread_periods(mut self, periods: Periods) -> Control {
        self.components.spread = Spread::new(periods);
        self
    }

    /// Returns the core of an instance that shares its backend servers with no
    /// other instance, and so needs neither coordinators nor the key-value
    /// service to divide their capacity.
    #[must_use]
    pub fn standalone(me: Identity, seed: u64, metrics: Arc<Metrics>) -> Control {
        Control {
            components: Components::standalone(&me),
            ..Control::new(me, seed, metrics)
        }
    }

    /// Handles one input at time `now`, which never decreases.
    #[must_use]
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        let (components, mut cx) = self.split(now, &mut out);
        components.handle(&mut cx, input);
        out
    }

    /// Applies a declaration without the key-value service.
    pub fn apply_declaration(
        &mut self,
        now: Millis,
        declaration: &Declaration,
        revision: Revision,
    ) {
        let mut out = Vec::new();
        let (components, mut cx) = self.split(now, &mut out);
        components.apply_declaration(&mut cx, declaration, revision);
    }

    /// Advances the logical clock and returns its value for an outgoing frame.
    pub fn next_stamp(&mut self) -> u64 {
        self.timeline.next_stamp()
    }

    /// Returns whether this instance is ready to accept callers' requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.components.ready()
    }

    fn split<'a>(
        &'a mut self,
        now: Millis,
        out: &'a mut Vec<Output>,
    ) -> (&'a mut Components, Cx<'a>) {
        let cx = Cx {
            now,
            me: &self.me,
            out,
            rng: &mut self.rng,
            timeline: &mut self.timeline,
            metrics: &self.metrics,
        };
        (&mut self.components, cx)
    }
}

/// The context that all components share while one input is handled.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The current time.
    pub now: Millis,
    /// The identity of this instance.
    pub me: &'a Identity,
    /// The outputs so far, in order.
    pub out: &'a mut Vec<Output>,
    /// The seeded random number generator.
    pub rng: &'a mut ChaCha8Rng,
    /// The timeline of events.
    pub timeline: &'a mut Timeline,
    /// The metrics of the process.
    pub metrics: &'a Metrics,
}

impl Cx<'_> {
    /// Increments a counter by one.
    pub fn count(&self, count: Count) {
        self.metrics.add(count, 1);
    }

    /// Records an event on the timeline.
    pub fn event(&mut self, kind: EventKind, subject: Subject, detail: String) {
        self.timeline.record(self.now, kind, subject, detail);
    }

    /// Sends a call to the key-value service.
    pub fn store(&mut self, ticket: Ticket, op: StoreOp) {
        self.count(Count::StoreCalls);
        self.out.push(Output::Store { ticket, op });
    }
}
