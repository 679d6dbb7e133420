//! A waiting job with the values that determine its order in the queue.

use crate::clock::Millis;
use crate::declaration::Limits;
use crate::job::Job;
use crate::prediction::Prediction;
use crate::routing::LaneKey;

/// Number of prompt tokens that one output token counts as when a request's
/// tokens are charged.
pub const OUTPUT_TOKEN_WEIGHT: u64 = 8;
/// Minimum tokens that a request is charged, also for calls to plain services.
pub const MIN_CHARGED_TOKENS: u64 = 256;
/// Relative safety margin on the predicted service time.
const PREDICTION_MARGIN_PERCENT: u64 = 10;
/// Fixed safety margin on the predicted service time.
const FIXED_PREDICTION_MARGIN: Millis = Millis(50);

/// Orders the jobs of a workspace by due start, then by sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// When the job is due to start.
    pub due_start: Millis,
    /// Sequence number of the entry.
    pub sequence: u64,
}

/// A waiting job.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The job.
    pub job: Job,
    /// Its lane: the backend servers of its route and model.
    pub lane: LaneKey,
    /// Whether the prompt needs several engines.
    pub needs_gang: bool,
    /// Sequence number of the entry, increasing in the order in which entries
    /// are built. A job that is requeued, or reassigned after a fleet change,
    /// gets a new one.
    pub sequence: u64,
    /// Predicted service time on an idle backend server, plus a margin.
    pub service_time: Millis,
    /// The latest start that still meets the deadline.
    pub latest_start: Millis,
    /// When it is due to start: half-way from admission to `latest_start`.
    pub due_start: Millis,
    /// Tokens charged to its workspace.
    pub tokens: u64,
    /// Predicted work: the milliseconds for which the job would occupy one
    /// whole backend server.
    pub work_ms: f64,
}

impl Entry {
    /// Returns the entry of a job that is predicted to take `predicted` on a
    /// backend server with these warm limits.
    #[must_use]
    pub fn new(
        job: Job,
        lane: LaneKey,
        sequence: u64,
        predicted: Prediction,
        limits: Limits,
    ) -> Entry {
        let service_time = Millis(predicted.total.0 * (100 + PREDICTION_MARGIN_PERCENT) / 100)
            + FIXED_PREDICTION_MARGIN;
        let latest_start = job.deadline.since(service_time);
        let due_start = job.submitted_at + Millis(latest_start.since(job.submitted_at).0 / 2);
        let cost = job.cost(0);
        let output = u64::from(job.max_tokens.saturating_sub(job.offset));
        Entry {
            lane,
            needs_gang: false,
            sequence,
            service_time,
            latest_start,
            due_start,
            tokens: (cost.prefill_tokens + OUTPUT_TOKEN_WEIGHT * output).max(MIN_CHARGED_TOKENS),
            work_ms: predicted.work_ms(limits, cost),
            job,
        }
    }

    /// Returns the key that orders the entries of a workspace.
    #[must_use]
    pub fn key(&self) -> OrderKey {
        OrderKey {
            due_start: self.due_start,
            sequence: self.sequence,
        }
    }
}
