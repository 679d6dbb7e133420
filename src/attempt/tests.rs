use std::sync::Arc;

use la_arena::Idx;
use la_arena::RawIdx;
use proptest::prelude::*;

use super::*;
use crate::backend::ServiceCall;
use crate::id::Epoch;
use crate::id::RequestId;
use crate::job::Cost;

fn running(start: CallStart) -> RunningAttempt {
    RunningAttempt {
        attempt: AttemptId {
            request: RequestId(1),
            number: 1,
        },
        lease: LeaseUse {
            backend: Idx::from_raw(RawIdx::from_u32(0)),
            cost: Cost::default(),
            epoch: Epoch(1),
        },
        sent_at: Millis(0),
        first_token_at: None,
        start,
        offset: 0,
        resumes: 0,
        migrating: false,
        migrate_at: None,
    }
}

fn service_request(idempotent: bool) -> InFlightRequest {
    InFlightRequest {
        job: None,
        work: Arc::new(Work::Service(ServiceCall {
            service: "callbacks".to_owned(),
            operation: "log".to_owned(),
            body: Vec::new(),
            idempotency_key: None,
        })),
        workspace: "bank".to_owned(),
        idempotent,
        claim_slot: None,
        service_answer: None,
        caller_detached: false,
        deadline: Millis(10_000),
        last_attempt_number: 1,
        tries: 1,
        verdict: Verdict::NotRun,
        phase: Phase::Waiting,
    }
}

fn next_step(request: &InFlightRequest, end: &AttemptEnd) -> NextStep {
    let running = running(CallStart::Fresh);
    let outcome = AttemptOutcome::from_end(&running, end);
    request.next_step(
        &running,
        end,
        &outcome,
        &mut RetryBudgets::default(),
        "callbacks",
    )
}

#[test]
fn non_idempotent_call_that_may_have_run_is_not_retried() {
    let end = AttemptEnd::Broken {
        verdict: Verdict::MayHaveRun,
        offset: 0,
    };
    let next = next_step(&service_request(false), &end);
    assert_eq!(next, NextStep::Fail(Reason::BackendFailed));
}

#[test]
fn non_idempotent_call_that_was_refused_is_retried_elsewhere() {
    assert_eq!(
        next_step(&service_request(false), &AttemptEnd::Refused),
        NextStep::RetryElsewhere
    );
}

/// When coordinators change, several backend servers in a row may have seen a
/// newer epoch than that of the capacity lease and reject the call as stale.
#[test]
fn stale_epochs_are_retried_beyond_max_tries() {
    let end = AttemptEnd::Rejected(Rejection::StaleEpoch);
    let mut request = service_request(false);
    request.tries = MAX_TRIES;
    request.last_attempt_number = MAX_TRIES;
    assert_eq!(next_step(&request, &end), NextStep::RetryElsewhere);
    request.last_attempt_number = MAX_ATTEMPTS_BEFORE_RUN;
    assert_eq!(
        next_step(&request, &end),
        NextStep::Fail(Reason::BackendFailed)
    );
}

#[test]
fn idempotent_call_is_retried_elsewhere_after_a_broken_connection() {
    let end = AttemptEnd::Broken {
        verdict: Verdict::MayHaveRun,
        offset: 0,
    };
    assert_eq!(
        next_step(&service_request(true), &end),
        NextStep::RetryElsewhere
    );
}

#[test]
fn refused_resume_is_reported_as_may_have_run() {
    let outcome = AttemptOutcome::from_end(
        &running(CallStart::Resume { offset: 3 }),
        &AttemptEnd::Refused,
    );
    assert_eq!(outcome.verdict, Verdict::MayHaveRun);
    assert!(outcome.crashed);
}

proptest! {
    #[test]
    fn retries_add_at_most_their_ratio(ops in prop::collection::vec(any::<bool>(), 0..2_000)) {
        let mut budgets = RetryBudgets::default();
        let (mut first_tries, mut retries) = (0_u32, 0_u32);
        for retry in ops {
            if retry {
                retries += u32::from(budgets.try_withdraw("m"));
            } else {
                budgets.deposit("m");
                first_tries += 1;
            }
        }
        let earned = RETRIES_PER_FIRST_TRY * f64::from(first_tries);
        prop_assert!(f64::from(retries) <= MAX_SAVED_RETRIES + earned + 1e-6);
    }
}
