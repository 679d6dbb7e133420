use std::sync::Arc;

use la_arena::Idx;
use la_arena::RawIdx;
use proptest::prelude::*;

use super::*;
use crate::backend::ServiceCall;
use crate::id::Epoch;
use crate::id::RequestId;
use crate::job::Cost;

fn running(start: CallStart) -> Running {
    Running {
        attempt: AttemptId {
            request: RequestId(1),
            number: 1,
        },
        held: LeaseUse {
            backend: Idx::from_raw(RawIdx::from_u32(0)),
            cost: Cost::default(),
            epoch: Epoch(1),
        },
        sent: Millis(0),
        first_token: None,
        start,
        offset: 0,
        resumes: 0,
        moves: false,
    }
}

fn service_flight(idempotent: bool) -> Flight {
    Flight {
        job: None,
        work: Arc::new(Work::Service(ServiceCall {
            service: "callbacks".to_owned(),
            operation: "log".to_owned(),
            body: Vec::new(),
            idempotency_key: None,
        })),
        workspace: "bank".to_owned(),
        idempotent,
        slot: None,
        answer: None,
        detached: false,
        deadline: Millis(10_000),
        number: 1,
        tries: 1,
        ran: Verdict::NotRun,
        phase: Phase::Waiting,
    }
}

fn decide(flight: &Flight, end: &AttemptEnd) -> Next {
    let running = running(CallStart::Fresh);
    let outcome = Outcome::of(&running, end);
    flight.next(
        &running,
        end,
        &outcome,
        &mut Budgets::default(),
        "callbacks",
    )
}

#[test]
fn non_idempotent_call_that_may_have_run_is_not_retried() {
    let end = AttemptEnd::Broken {
        verdict: Verdict::MayHaveRun,
        offset: 0,
    };
    let next = decide(&service_flight(false), &end);
    assert_eq!(next, Next::Fail(Reason::BackendFailed));
}

#[test]
fn non_idempotent_call_that_was_refused_is_retried_elsewhere() {
    assert_eq!(
        decide(&service_flight(false), &AttemptEnd::Refused),
        Next::Elsewhere
    );
}

/// When coordinators change, several backend servers in a row may have seen a
/// newer epoch than that of the capacity lease and reject the call as stale.
#[test]
fn stale_epochs_use_up_neither_tries_nor_budget() {
    let end = AttemptEnd::Rejected(Rejection::StaleEpoch);
    let mut flight = service_flight(false);
    flight.tries = MAX_TRIES;
    flight.number = MAX_TRIES;
    assert_eq!(decide(&flight, &end), Next::Elsewhere);
    flight.number = MAX_CALLS;
    assert_eq!(decide(&flight, &end), Next::Fail(Reason::BackendFailed));
}

#[test]
fn idempotent_call_is_retried_elsewhere_after_a_broken_connection() {
    let end = AttemptEnd::Broken {
        verdict: Verdict::MayHaveRun,
        offset: 0,
    };
    assert_eq!(decide(&service_flight(true), &end), Next::Elsewhere);
}

#[test]
fn refused_resume_is_reported_as_may_have_run() {
    let outcome = Outcome::of(
        &running(CallStart::Resume { offset: 3 }),
        &AttemptEnd::Refused,
    );
    assert_eq!(outcome.verdict, Verdict::MayHaveRun);
    assert!(outcome.crashed);
}

proptest! {
    #[test]
    fn retries_add_at_most_their_ratio(ops in prop::collection::vec(any::<bool>(), 0..2_000)) {
        let mut budgets = Budgets::default();
        let (mut first_tries, mut retries) = (0_u32, 0_u32);
        for retry in ops {
            if retry {
                retries += u32::from(budgets.spend("m"));
            } else {
                budgets.earn("m");
                first_tries += 1;
            }
        }
        let earned = RETRIES_PER_FIRST_TRY * f64::from(first_tries);
        prop_assert!(f64::from(retries) <= MAX_SAVED_RETRIES + earned + 1e-6);
    }
}
