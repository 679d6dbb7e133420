//! A waiting job with all that its order rests on.

use crate::clock::Millis;
use crate::declaration::Limits;
use crate::job::Job;
use crate::prediction::Prediction;
use crate::routing::LaneKey;

/// Prompt tokens that one output token counts as.
pub const OUTPUT_WEIGHT: u64 = 8;
/// Tokens that a request counts as at least, calls of plain services too.
pub const LEAST_TOKENS: u64 = 256;
/// Part of the predicted time that is added to it as a margin.
const MARGIN_PERCENT: u64 = 10;
/// Margin that is added to any predicted time.
const MARGIN: Millis = Millis(50);

/// Orders the jobs of a workspace: by the moment they are due to start, then by
/// arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// When the job is due to start.
    pub due: Millis,
    /// Order of arrival.
    pub sequence: u64,
}

/// A waiting job.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The job.
    pub job: Job,
    /// Its lane.
    pub lane: LaneKey,
    /// Whether it takes several engines.
    pub gang: bool,
    /// Order of arrival.
    pub sequence: u64,
    /// Predicted time on an idle backend server, with a margin.
    pub span: Millis,
    /// The last moment at which it may start and still finish in time.
    pub latest: Millis,
    /// When it is due to start: half-way from admission to `latest`.
    pub due: Millis,
    /// What it costs its workspace, in tokens.
    pub tokens: u64,
    /// What it takes of the backend servers, in milliseconds of a whole one.
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
        let span = Millis(predicted.whole.0 * (100 + MARGIN_PERCENT) / 100) + MARGIN;
        let latest = job.deadline.since(span);
        let due = job.admitted + Millis(latest.since(job.admitted).0 / 2);
        let cost = job.cost(0);
        let output = u64::from(job.max_tokens.saturating_sub(job.offset));
        Entry {
            lane,
            gang: false,
            sequence,
            span,
            latest,
            due,
            tokens: (cost.prefill_tokens + OUTPUT_WEIGHT * output).max(LEAST_TOKENS),
            work_ms: predicted.work_ms(limits, cost),
            job,
        }
    }

    /// Returns the key that orders the entries of a workspace.
    #[must_use]
    pub fn key(&self) -> OrderKey {
        OrderKey {
            due: self.due,
            sequence: self.sequence,
        }
    }
}
