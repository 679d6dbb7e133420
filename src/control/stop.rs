//! The stop of an instance, from the order to shut down to the exit of its
//! process.
//!
//! New requests are refused. Admitted ones are finished, up to a time shortly
//! before the time limit at which those that are still open get their final
//! reply; waiting ones that are predicted to miss that time are refused as soon
//! as the prediction shows it. What is left of the time limit serves to deliver
//! these replies, to record results and release claims, and to hand over the
//! servers that this instance coordinates.

use super::Cx;
use super::Output;
use super::components::Components;
use crate::attempt::InFlightRequest;
use crate::clock::Millis;
use crate::metrics::Level;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Longest time that a draining instance with neither open requests nor
/// unconfirmed claims waits for the handover of the servers that it
/// coordinates.
const HANDOVER_TIMEOUT: Millis = Millis(10_000);
/// Part of the time limit that remains after the final replies; reduced to a
/// tenth of the time limit if that is shorter.
const EXIT_MARGIN: Millis = Millis(10_000);

/// Progress of the stop of this instance.
#[derive(Debug, Default)]
pub(super) struct Stop {
    /// When the requests that are still open get their final reply; set while
    /// this instance drains.
    reply_by: Option<Millis>,
    /// When this draining instance first had no open requests and no
    /// unconfirmed claims.
    idle_since: Option<Millis>,
    /// Number of requests that were unfinished at `reply_by`.
    cut: usize,
    stopped: bool,
}

impl Components {
    /// Returns whether this instance takes no new requests as it is to stop.
    pub(super) fn draining(&self) -> bool {
        self.stop.reply_by.is_some()
    }

    pub(super) fn on_shutdown(&mut self, cx: &mut Cx<'_>, time_limit: Millis) {
        if self.draining() {
            return;
        }
        let margin = EXIT_MARGIN.min(Millis(time_limit.0 / 10));
        let reply_by = cx.now + time_limit.since(margin);
        self.stop.reply_by = Some(reply_by);
        for in_flight in self.in_flight.values_mut() {
            if !in_flight.caller_detached {
                in_flight.deadline = in_flight.deadline.min(reply_by);
            }
        }
        self.queue
            .shorten_deadlines(cx.now, &self.fleet, &mut self.router, reply_by);
        self.members.start_draining(cx);
        self.capacity.drain();
        cx.metrics.set(Level::Ready, 0);
        let detail = format!("draining with {} open requests", self.in_flight.len());
        cx.event(EventKind::Ready, Subject::default(), detail);
    }

    /// Returns the refusal of an expired request, and counts it, if it expired
    /// because of the stop.
    pub(super) fn cut_refusal(&mut self, in_flight: &InFlightRequest) -> Option<Refusal> {
        if self.stop.reply_by != Some(in_flight.deadline) || in_flight.caller_detached {
            return None;
        }
        self.stop.cut += 1;
        let text = "this instance stops before the request could be finished";
        Some(Refusal::not_run(Reason::Unavailable, text).retry_after(Millis::ZERO))
    }

    /// Returns the refusal of a request by the queue; if only the stop leaves it
    /// too little time, one that says so.
    pub(super) fn queue_refusal(&self, in_flight: &InFlightRequest, refusal: Refusal) -> Refusal {
        let is_late = matches!(
            refusal.reason,
            Reason::DeadlineUnreachable | Reason::DeadlineExceeded
        );
        match is_late && self.stop.reply_by == Some(in_flight.deadline) {
            true => draining_refusal(),
            false => refusal,
        }
    }

    /// Stops a draining instance that has no work left. Runs after every input.
    pub(super) fn check_drained(&mut self, cx: &mut Cx<'_>) {
        let idle = self.in_flight.is_empty() && self.once.unconfirmed_count() == 0;
        if !self.draining() || self.stop.stopped || !idle {
            return;
        }
        let since = *self.stop.idle_since.get_or_insert(cx.now);
        if self.capacity.has_drained() || cx.now.since(since) >= HANDOVER_TIMEOUT {
            self.stop.stopped = true;
            let cut = self.stop.cut;
            cx.out.push(Output::Stopped { cut });
        }
    }
}

/// Returns the refusal of a request that this instance cannot run as it drains.
pub(super) fn draining_refusal() -> Refusal {
    let text = "this instance is draining; send the request again";
    Refusal::not_run(Reason::Unavailable, text).retry_after(Millis::ZERO)
}
