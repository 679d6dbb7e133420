//! Calls with an idempotency key: the key is claimed before the call is sent, and
//! the call's answer is recorded under it afterwards.

use xxhash_rust::xxh3::Xxh3;

use super::Cx;
use super::Output;
use super::Reply;
use super::components::Components;
use crate::attempt::InFlightRequest;
use crate::attempt::Phase;
use crate::backend::ServiceCall;
use crate::backend::Work;
use crate::clock::Millis;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::once::ClaimAnswer;
use crate::once::ClaimOutcome;
use crate::once::MAX_RECORDED_BYTES;
use crate::once::Recorded;
use crate::once::Slot;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Retry delay sent to a caller whose key could not be claimed, or whose key
/// has no result yet.
const CLAIM_RETRY_AFTER: Millis = Millis(2_000);

impl Components {
    /// Returns the location of the claim to make before a call is sent, or
    /// `None` if it needs none: only non-idempotent service calls with an
    /// idempotency key do.
    pub(super) fn claim_slot(&self, job: &Job, work: &Work) -> Option<Slot> {
        if self.fleet.kind(job.kind).idempotent {
            return None;
        }
        let Work::Service(call) = work else {
            return None;
        };
        let key = call.idempotency_key.as_ref()?;
        let workspace = &self.fleet.workspace(job.workspace).name;
        Some(Slot::of(workspace, key))
    }

    /// Claims the key of a new request, which waits until the claim is answered.
    pub(super) fn claim(
        &mut self,
        cx: &mut Cx<'_>,
        in_flight: InFlightRequest,
        job: Job,
        slot: Slot,
    ) {
        let request = job.request;
        let hash = match &*in_flight.work {
            Work::Service(call) => call_hash(call),
            Work::Prompt(_) => 0,
        };
        let retention = self.fleet.kind(job.kind).claim_retention_ms;
        let in_flight = InFlightRequest {
            job: Some(job),
            claim_slot: Some(slot),
            phase: Phase::Claiming,
            ..in_flight
        };
        self.in_flight.insert(request, in_flight);
        let outcomes = self.once.claim(cx, request, slot, hash, retention);
        self.apply_claim_outcomes(cx, outcomes);
    }

    /// Continues the requests whose claims were answered.
    pub(super) fn apply_claim_outcomes(&mut self, cx: &mut Cx<'_>, outcomes: Vec<ClaimOutcome>) {
        for ClaimOutcome { request, answer } in outcomes {
            self.on_claim_answer(cx, request, answer);
        }
    }

    /// Releases the claim of a call that is known not to have run.
    pub(super) fn release_claim(&mut self, cx: &mut Cx<'_>, request: RequestId, slot: Slot) {
        let outcomes = self.once.release(cx, request, slot);
        self.apply_claim_outcomes(cx, outcomes);
    }

    /// Records the answer of a claimed call, without its body if that is longer than
    /// [`MAX_RECORDED_BYTES`].
    pub(super) fn record_claim_result(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        in_flight: &InFlightRequest,
    ) {
        let Some(slot) = in_flight.claim_slot else {
            return;
        };
        let result = match &in_flight.service_answer {
            Some((status, body)) => Recorded {
                status: *status,
                body: Some(body.clone()).filter(|body| body.len() <= MAX_RECORDED_BYTES),
            },
            // No answer was reported, so only the fact that the call ran is
            // recorded.
            None => Recorded {
                status: 200,
                body: None,
            },
        };
        let outcomes = self.once.settle(cx, request, slot, result);
        self.apply_claim_outcomes(cx, outcomes);
    }

    fn on_claim_answer(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        answer: Option<ClaimAnswer>,
    ) {
        let claiming = self
            .in_flight
            .get(&request)
            .is_some_and(|in_flight| matches!(in_flight.phase, Phase::Claiming));
        if !claiming {
            return;
        }
        let Some(mut in_flight) = self.in_flight.remove(&request) else {
            return;
        };
        let Some(job) = in_flight.job.take() else {
            return;
        };
        match answer {
            Some(ClaimAnswer::Granted) => self.admit(cx, in_flight, job),
            Some(ClaimAnswer::Recorded(Recorded {
                status,
                body: Some(body),
            })) => self.reply_recorded(cx, request, status, body),
            Some(answer) => self.reply_failed(cx, request, claim_refusal(&answer)),
            None => self.reply_failed(cx, request, claim_unavailable()),
        }
    }

    /// Replies with a recorded answer.
    fn reply_recorded(&mut self, cx: &mut Cx<'_>, request: RequestId, status: u16, body: Vec<u8>) {
        cx.count(Count::Done);
        let detail = "recorded answer".to_owned();
        cx.event(EventKind::Done, Subject::request(request), detail);
        let reply = Reply::Recorded { status, body };
        cx.out.push(Output::Reply { request, reply });
    }
}

fn call_hash(call: &ServiceCall) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(call.service.as_bytes());
    hash.update(b"/");
    hash.update(call.operation.as_bytes());
    hash.update(b"/");
    hash.update(&call.body);
    hash.digest()
}

fn claim_unavailable() -> Refusal {
    let text = "the idempotency key could not be claimed in time";
    Refusal::not_run(Reason::ClaimUnavailable, text).retry_after(CLAIM_RETRY_AFTER)
}

fn claim_refusal(answer: &ClaimAnswer) -> Refusal {
    match answer {
        ClaimAnswer::OtherBody => {
            let text = "the idempotency key belongs to a call with another body";
            Refusal::not_run(Reason::KeyReused, text)
        }
        ClaimAnswer::Recorded(_) => Refusal {
            verdict: crate::verdict::Verdict::Done,
            ..Refusal::not_run(
                Reason::KeyUnsettled,
                "the call ran, but its answer was not recorded",
            )
        },
        ClaimAnswer::Unsettled => {
            let text = "another call with this idempotency key has no result yet";
            Refusal::may_have_run(Reason::KeyUnsettled, text).retry_after(CLAIM_RETRY_AFTER)
        }
        ClaimAnswer::Granted | ClaimAnswer::NoRoom | ClaimAnswer::Stored => claim_unavailable(),
    }
}
