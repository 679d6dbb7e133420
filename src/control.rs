//! The control core: everything that is decided, and nothing that is read or
//! sent.
//!
//! [`Control::handle`] takes the time and one input and returns outputs. It runs
//! on one thread of the daemon and, on a virtual clock, in scenarios and
//! property tests.

mod message;

pub use message::AdminAnswer;
pub use message::AdminQuery;
pub use message::Duty;
pub use message::Identity;
pub use message::Input;
pub use message::Output;
pub use message::Reply;
pub use message::Submission;
pub use message::Ticket;

use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::metrics::Count;
use crate::metrics::Metrics;
use crate::store::StoreOp;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::timeline::Timeline;

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
