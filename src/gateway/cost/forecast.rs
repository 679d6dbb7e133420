//! Expected loss of placing a call on a server.
//!
//! What is uncertain is drawn at random within its uncertainty, for each call and
//! server (Thompson sampling). Instances whose views are old therefore do not all
//! choose the same server, and a server of which little is known, or that has been
//! bad some time ago, is tried now and then.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::servers::Estimate;
use super::servers::Uncertain;
use super::work::WorkDistribution;
use crate::clock::Millis;

/// Loss of an answer after the latency target, of one that never comes being 1.
const LATE_LOSS: f64 = 0.7;
/// Loss of a call that fails and may be sent again: it spends a retry and time.
const RETRIED_FAILURE_LOSS: f64 = 0.4;
/// Loss of a call that a server refuses to run: as above, but nothing was run.
const REFUSAL_LOSS: f64 = 0.3;
/// Loss of an answer that takes as long as the target, without being late.
const WAIT_LOSS: f64 = 0.1;
/// Share of the ends of other instances' calls that is assumed not to be heard.
const TOLD_LOSS: f64 = 0.1;
/// Difference between losses that does not matter for a call.
const NEGLIGIBLE_LOSS: f64 = 0.03;
/// Share of the servers' slots that may be busy without calls that wait, also if
/// half of the other instances' calls are not heard of.
const EASY_UTILIZATION: f64 = 0.4;
/// Part of a server's slots that calls of usual work keep busy from which on the
/// time of its calls tells of its queue rather than of its speed.
pub(super) const QUEUEING_UTILIZATION: f64 = 0.6;
/// Least factor by which a server may be drawn to be faster than usual.
const MIN_SLOWNESS: f64 = 0.1;

/// A call to be placed.
#[derive(Debug, Clone, Copy)]
pub struct CallTerms {
    /// Hash of the route's name.
    pub route: u64,
    /// Latency target of the route.
    pub target: Millis,
    /// Time left until the target.
    pub target_left: Millis,
    /// Time left until the caller's deadline.
    pub deadline_left: Millis,
    /// Whether it may be sent again after a failure.
    pub is_repeatable: bool,
    /// Random number of the attempt; `None` to use expected values.
    pub draw: Option<u64>,
}

/// What is known of a server without learning.
#[derive(Debug, Clone, Copy)]
pub struct ServerView {
    /// Hash of its id.
    pub hash: u64,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Whether it is in another failure domain.
    pub is_cross_domain: bool,
}

/// Calls of other instances on a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OtherCalls {
    /// Expected number.
    count: f64,
    /// Variance of the number.
    variance: f64,
    /// Expected time until they have ended, one after the other, in ms.
    left_ms: f64,
}

impl OtherCalls {
    /// Returns what is left of calls of these ages whose ends were not heard.
    #[must_use]
    pub fn told(work: &WorkDistribution, slowness: f64, ages: &[Millis]) -> OtherCalls {
        let mut others = OtherCalls::default();
        for age in ages {
            let done = age.0 as f64 / slowness;
            let runs_on = work.share_above(done).max(f64::MIN_POSITIVE);
            let is_open = runs_on / (runs_on + TOLD_LOSS * (1.0 - runs_on));
            others.count += is_open;
            others.variance += is_open * (1.0 - is_open);
            others.left_ms += is_open * work.mean_left_ms(done) * slowness;
        }
        others
    }

    /// Returns what is left if this many are in flight on average.
    #[must_use]
    pub fn estimated(work: &WorkDistribution, slowness: f64, in_flight: f64) -> OtherCalls {
        OtherCalls {
            count: in_flight,
            variance: in_flight,
            left_ms: in_flight * work.mean_ms() * slowness / 2.0,
        }
    }
}

/// Forecast of a call on a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Expected loss.
    pub loss: f64,
    /// Work of the call, in ms.
    pub work_ms: f64,
    /// Work that the server still has to do, in ms.
    pub work_left_ms: f64,
    /// Standard deviation of that, in ms.
    pub work_left_deviation_ms: f64,
    /// Part of the work left that is this instance's, of which only it knows.
    pub own_left_ms: f64,
    /// Time until the call begins to run, in ms.
    pub wait_ms: f64,
    /// Time until the answer, in ms.
    pub answer_ms: f64,
    /// Share of such calls that are answered after the target.
    pub late_share: f64,
    /// Calls of usual work that the server can run at a time.
    pub capacity: f64,
    /// Whether the server is in another failure domain.
    pub is_cross_domain: bool,
    /// Condition of the server.
    pub estimate: Estimate,
}

/// Forecasts a call on a server that has `own_calls` of this instance.
#[must_use]
pub fn forecast(
    terms: &CallTerms,
    work: &WorkDistribution,
    estimate: &Estimate,
    view: ServerView,
    own_calls: usize,
    own_left_ms: f64,
    others: OtherCalls,
) -> Forecast {
    let draw = |value: Uncertain, quantity: u64| {
        value.mean + value.deviation * draw_deviation(terms.draw, view.hash, quantity)
    };
    let slowness = draw(estimate.slowness, 0).max(MIN_SLOWNESS);
    let refusals = draw(estimate.refusals, 1).clamp(0.0, 1.0);
    let failures = draw(estimate.failures, 2).clamp(0.0, 1.0);
    let count = Uncertain {
        mean: others.count,
        deviation: others.variance.sqrt(),
    };
    let expected_calls = own_calls as f64 + others.count;
    let calls = own_calls as f64 + draw(count, 3).max(0.0);

    let work_left_ms = own_left_ms + others.left_ms;
    let mean_left_ms = match expected_calls > 0.0 {
        true => work_left_ms / expected_calls,
        false => 0.0,
    };
    let slots = f64::from(view.slots.max(1));
    // A slot gets free each time that one of the running calls ends.
    let wait_ms = (calls + 1.0 - slots).max(0.0) * mean_left_ms / slots;
    let work_ms = work.mean_ms();
    let answer_ms = wait_ms + work_ms * slowness;
    let share_after = |limit: Millis| work.share_above((limit.0 as f64 - wait_ms) / slowness);
    let missed_share = share_after(terms.deadline_left);
    let late_share = share_after(terms.target_left).max(missed_share);

    let answer_loss = LATE_LOSS * (late_share - missed_share)
        + missed_share
        + WAIT_LOSS * (answer_ms / terms.target.0.max(1) as f64).min(1.0);
    let failure_loss = match terms.is_repeatable {
        true => RETRIED_FAILURE_LOSS,
        false => 1.0,
    };
    let sent_loss = failures * failure_loss + (1.0 - failures) * answer_loss;
    Forecast {
        loss: refusals * REFUSAL_LOSS + (1.0 - refusals) * sent_loss,
        work_ms,
        work_left_ms,
        work_left_deviation_ms: count.deviation * mean_left_ms,
        own_left_ms,
        wait_ms,
        answer_ms,
        late_share,
        is_cross_domain: view.is_cross_domain,
        capacity: slots / estimate.slowness.mean * (1.0 - estimate.refusals.mean),
        estimate: *estimate,
    }
}

/// Chooses one of the servers by its forecast; returns its index. `draw` gives the
/// chance of an index for a number, from 0 to 1.
///
/// All instances know about the same and act alike until the news of what they did
/// has come round. The server with the least loss would therefore be flooded by
/// them all; instead the call goes to the better of two drawn by their capacity from
/// as many good servers as bear the load easily, and among equals to the one in the
/// own failure domain.
#[must_use]
pub fn choose(forecasts: &[Forecast], draw: impl Fn(u64) -> f64) -> Option<usize> {
    let mut order: Vec<usize> = (0..forecasts.len()).collect();
    order.sort_by(|&a, &b| forecasts[a].loss.total_cmp(&forecasts[b].loss));
    let best = forecasts[*order.first()?].loss;
    let busy_slots: f64 = forecasts.iter().map(|one| one.estimate.busy_slots).sum();
    let mut capacity = 0.0;
    order.retain(|&index| {
        let is_needed = capacity * EASY_UTILIZATION < busy_slots;
        let is_good = forecasts[index].loss <= best + NEGLIGIBLE_LOSS;
        if is_needed || is_good {
            capacity += forecasts[index].capacity;
        }
        is_needed || is_good
    });
    let pick = |number: u64| {
        let mut left = draw(number) * capacity;
        let found = order.iter().find(|&&index| {
            left -= forecasts[index].capacity;
            left <= 0.0
        });
        found.or(order.last()).copied()
    };
    let (first, second) = (pick(0)?, pick(1)?);
    let (a, b) = (&forecasts[first], &forecasts[second]);
    // The fuller the servers, the more harm is done by many that act alike on what
    // they all know.
    let total_capacity: f64 = forecasts.iter().map(|one| one.capacity).sum();
    let is_compared = draw(2) * total_capacity * QUEUEING_UTILIZATION >= busy_slots;
    let is_equal = (a.loss - b.loss).abs() <= NEGLIGIBLE_LOSS;
    let is_better = match (is_compared, is_equal) {
        (true, false) => b.loss < a.loss,
        (false, _) if a.own_left_ms != b.own_left_ms => b.own_left_ms < a.own_left_ms,
        _ => a.is_cross_domain && !b.is_cross_domain,
    };
    match is_better {
        true => Some(second),
        false => Some(first),
    }
}

/// Returns a random number with mean 0 and variance 1, evenly distributed, or 0
/// without a draw.
fn draw_deviation(draw: Option<u64>, server: u64, quantity: u64) -> f64 {
    let Some(draw) = draw else {
        return 0.0;
    };
    let hash = xxh3_64_with_seed(&draw.to_le_bytes(), server ^ quantity);
    let fraction = hash as f64 / u64::MAX as f64;
    (2.0 * fraction - 1.0) * 3.0_f64.sqrt()
}
