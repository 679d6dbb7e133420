//! Gangs in the control core, on a virtual clock.

use std::sync::Arc;

use super::*;
use crate::backend::AttemptEnd;
use crate::backend::AttemptEvent;
use crate::backend::Call;
use crate::backend::Prompt;
use crate::control::AdminAnswer;
use crate::control::AdminQuery;
use crate::control::Control;
use crate::control::Input;
use crate::control::Reply;
use crate::control::Submission;
use crate::declaration::Declaration;
use crate::fixture::identity;
use crate::fixture::listing;
use crate::id::Fingerprint;
use crate::id::Revision;
use crate::metrics::Metrics;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

const DECLARATION: &str = "
[[domain]]
name = 'ikeja'
[[limit]]
warm = { streams = 4, memory_tokens = 100000, prefill_tokens = 100000 }
cold = { streams = 4, memory_tokens = 100000, prefill_tokens = 100000 }
[[kind]]
name = 'dispute'
deadline_ms = 600000
importance = 90
[[workspace]]
name = 'compliance'
token_sha256 = 'aa'
[[route]]
name = 'all'
prefer = ['']
";

struct Simulation {
    control: Control,
    now: Millis,
}

impl Simulation {
    /// Creates three engines, of which those in `labelled` carry the gang
    /// label.
    fn new(labelled: &[&str]) -> Simulation {
        let mut control = Control::standalone(identity(), 7, Arc::new(Metrics::new()));
        let declaration: Declaration = toml::from_str(DECLARATION).unwrap();
        control.apply_declaration(Millis(0), &declaration, Revision(1));
        let listings = ["a", "b", "c"].map(|name| {
            let label = if labelled.contains(&name) {
                "gang=x"
            } else {
                ""
            };
            listing(name, "ikeja", label)
        });
        let _ = control.handle(Millis(0), Input::Listings(listings.to_vec()));
        Simulation {
            control,
            now: Millis(1),
        }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        self.now += Millis(1);
        self.control.handle(self.now, input)
    }

    fn submit(&mut self, request: u64, tokens: u64) -> Vec<Output> {
        self.input(Input::Submit(Submission {
            request: RequestId(request),
            token_sha256: "aa".to_owned(),
            kind: None,
            time_limit: None,
            importance: None,
            fingerprint: Fingerprint(request),
            work: Arc::new(Work::Prompt(Prompt {
                model: "m".to_owned(),
                text: "x".repeat(4_000),
                tokens,
                prefix: 0,
                max_tokens: 20,
            })),
        }))
    }

    fn answer(&mut self, backend: &str, answer: BackendAnswer) -> Vec<Output> {
        let backend = backend.to_owned();
        self.input(Input::Backend { backend, answer })
    }

    /// Confirms each cancel and returns the outputs that followed.
    fn confirm_cancels(&mut self, outputs: &[Output]) -> Vec<Output> {
        let mut after = Vec::new();
        for output in outputs {
            let Output::Order { backend, order, .. } = output else {
                continue;
            };
            if let BackendOrder::Cancel { request, .. } = order {
                let request = *request;
                after.extend(self.answer(backend, BackendAnswer::Cancelled { request }));
            }
        }
        after
    }

    /// Returns the free streams of each engine, and the number of streams whose
    /// cancel is not confirmed yet.
    fn status(&mut self) -> (Vec<u64>, u64) {
        let query = AdminQuery::Status;
        let out = self.input(Input::Admin { query_id: 1, query });
        let Some(Output::Admin {
            answer: AdminAnswer::Json(status),
            ..
        }) = out.last()
        else {
            panic!("no status in {out:?}");
        };
        let backends = status["backends"].as_array().unwrap();
        let free = backends
            .iter()
            .map(|backend| backend["free_streams"].as_u64().unwrap());
        (free.collect(), status["streams_given_up"].as_u64().unwrap())
    }

    fn assert_nothing_reserved(&mut self) {
        assert_eq!(self.status(), (vec![4, 4, 4], 0));
    }
}

/// Returns the first order of a gang among the outputs.
fn find_order(out: &[Output]) -> Option<(String, BackendOrder)> {
    out.iter().find_map(|output| match output {
        Output::Order { backend, order, .. }
            if !matches!(order, BackendOrder::Cancel { .. } | BackendOrder::Load) =>
        {
            Some((backend.clone(), order.clone()))
        }
        _ => None,
    })
}

/// Returns the first call among the outputs.
fn find_call(out: &[Output]) -> Option<&Call> {
    out.iter().find_map(|output| match output {
        Output::Send(call) => Some(call),
        _ => None,
    })
}

/// Returns the first refusal among the outputs.
fn find_refusal(out: &[Output]) -> Option<&Refusal> {
    out.iter().find_map(|output| match output {
        Output::Reply {
            reply: Reply::Refused(refusal),
            ..
        } => Some(refusal),
        _ => None,
    })
}

/// Returns the answer of an engine that carried out an order.
fn success_answer(order: &BackendOrder) -> BackendAnswer {
    match order {
        BackendOrder::Prefill {
            request, to_token, ..
        } => BackendAnswer::Prefilled {
            request: *request,
            to_token: *to_token,
        },
        BackendOrder::Export { request, .. } => BackendAnswer::Exported {
            request: *request,
            segment: "handle".to_owned(),
        },
        BackendOrder::Import { request, .. } => BackendAnswer::Imported { request: *request },
        other => panic!("not a gang's order: {other:?}"),
    }
}

/// Answers at most `steps` orders of a gang; returns the outputs after the last
/// one and the number of answered orders.
fn answer_steps(
    simulation: &mut Simulation,
    mut out: Vec<Output>,
    steps: usize,
) -> (Vec<Output>, usize) {
    for step in 0..steps {
        let Some((backend, order)) = find_order(&out) else {
            return (out, step);
        };
        out = simulation.answer(&backend, success_answer(&order));
    }
    (out, steps)
}

fn complete_call(simulation: &mut Simulation, out: &[Output]) -> Vec<Output> {
    let attempt = find_call(out).expect("a call").attempt;
    let event = AttemptEvent::Ended(AttemptEnd::Whole { tokens: 20 });
    simulation.input(Input::Attempt { attempt, event })
}

#[test]
fn a_gang_prefills_all_parts_and_releases_all_members() {
    let mut simulation = Simulation::new(&["a", "b", "c"]);
    let mut out = simulation.submit(1, 220_000);
    let mut parts = Vec::new();
    while let Some((backend, order)) = find_order(&out) {
        if let BackendOrder::Prefill {
            from_token,
            to_token,
            ..
        } = &order
        {
            parts.push((backend.clone(), *from_token, *to_token));
        }
        out = simulation.answer(&backend, success_answer(&order));
    }
    assert!(
        parts.windows(2).all(|pair| pair[0].2 == pair[1].1),
        "parts are contiguous"
    );
    assert_eq!((parts[0].1, parts[parts.len() - 1].2), (0, 220_000));
    assert!(
        parts
            .iter()
            .all(|(_, from, to)| to - from <= chain::MAX_SLICE_TOKENS)
    );
    let mut names: Vec<&str> = parts.iter().map(|(name, ..)| name.as_str()).collect();
    names.dedup();
    assert_eq!(names, ["a", "b", "c"]);
    let out = complete_call(&mut simulation, &out);
    simulation.confirm_cancels(&out);
    simulation.assert_nothing_reserved();
}

#[test]
fn too_few_labelled_engines_form_no_gang() {
    for labelled in [&[][..], &["a"], &["a", "b"]] {
        let mut simulation = Simulation::new(labelled);
        let out = simulation.submit(1, 220_000);
        let refusal = find_refusal(&out).expect("a refusal");
        assert_eq!(refusal.reason, Reason::PromptTooLong);
        assert_eq!(refusal.verdict, Verdict::NotRun);
        simulation.assert_nothing_reserved();
    }
}

#[test]
fn a_second_gang_waits_without_reserving_members() {
    let mut simulation = Simulation::new(&["a", "b", "c"]);
    let first = simulation.submit(1, 150_000);
    let second = simulation.submit(2, 150_000);
    assert!(find_order(&first).is_some());
    assert!(find_order(&second).is_none(), "only one engine is free");
    assert_eq!(
        simulation.status().0.iter().sum::<u64>(),
        10,
        "the second reserves no member"
    );
    let (out, _) = answer_steps(&mut simulation, first, 1_000);
    let mut out = complete_call(&mut simulation, &out);
    out.extend(simulation.confirm_cancels(&out.clone()));
    let (out, _) = answer_steps(&mut simulation, out, 1_000);
    let out = complete_call(&mut simulation, &out);
    simulation.confirm_cancels(&out);
    simulation.assert_nothing_reserved();
}

#[test]
fn a_member_that_fails_at_any_step_leaves_nothing_reserved() {
    let steps = {
        let mut simulation = Simulation::new(&["a", "b", "c"]);
        let out = simulation.submit(1, 150_000);
        answer_steps(&mut simulation, out, 1_000).1
    };
    for step in 0..steps {
        for refused in [true, false] {
            let mut simulation = Simulation::new(&["a", "b", "c"]);
            let out = simulation.submit(1, 150_000);
            let (out, _) = answer_steps(&mut simulation, out, step);
            let (failed, _) = find_order(&out).expect("a step");
            let request = RequestId(1);
            let answer = BackendAnswer::GangFailed { request, refused };
            let mut out = simulation.answer(&failed, answer);
            out.extend(simulation.confirm_cancels(&out.clone()));
            let (backend, first) = find_order(&out).expect("a new gang without the failed engine");
            assert_ne!(backend, failed);
            assert!(matches!(first, BackendOrder::Prefill { from_token: 0, .. }));
            let (out, _) = answer_steps(&mut simulation, out, 1_000);
            let out = complete_call(&mut simulation, &out);
            simulation.confirm_cancels(&out);
            simulation.assert_nothing_reserved();
        }
    }
}

#[test]
fn a_disconnected_caller_and_an_unresponsive_member_release_everything() {
    let mut simulation = Simulation::new(&["a", "b", "c"]);
    let out = simulation.submit(1, 220_000);
    answer_steps(&mut simulation, out, 5);
    let request = RequestId(1);
    let out = simulation.input(Input::CallerGone { request });
    simulation.confirm_cancels(&out);
    simulation.assert_nothing_reserved();
    let out = simulation.submit(2, 220_000);
    answer_steps(&mut simulation, out, 15);
    simulation.now += STEP_TIMEOUT;
    let out = simulation.input(Input::Tick);
    let refusal = find_refusal(&out).expect("a refusal: no engines for another gang");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert_eq!(refusal.reason, Reason::NoBackend);
    simulation.confirm_cancels(&out);
    simulation.assert_nothing_reserved();
}

#[test]
fn answers_to_other_steps_are_ignored() {
    let mut simulation = Simulation::new(&["a", "b", "c"]);
    let out = simulation.submit(1, 150_000);
    let (backend, first) = find_order(&out).expect("a step");
    let request = RequestId(1);
    let late = BackendAnswer::Prefilled {
        request,
        to_token: 1,
    };
    for (from, answer) in [
        ("c", success_answer(&first)),
        (&*backend, late),
        (&*backend, BackendAnswer::Imported { request }),
    ] {
        let out = simulation.answer(from, answer);
        assert!(find_order(&out).is_none());
    }
    let out = simulation.answer(&backend, success_answer(&first));
    assert!(find_order(&out).is_some());
}

#[test]
fn the_parts_of_a_prompt_join_to_its_text() {
    let prompt = Prompt {
        model: String::new(),
        text: "ŋgụ́ ".repeat(50),
        tokens: 77,
        prefix: 0,
        max_tokens: 1,
    };
    let parts: String = (0..77).map(|token| prompt.part(token, token + 1)).collect();
    assert_eq!(parts, prompt.text);
}
