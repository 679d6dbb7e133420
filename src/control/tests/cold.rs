//! Tests of engines that turn cold under load: requests above the cold limit
//! continue on another engine at the token they had reached, as soon as one can
//! take them.

use super::*;

/// Returns a core with two warm engines: the limit is one stream for a cold
/// engine and four for a warm one, and one success makes an engine warm.
fn control_with_warm_engines() -> Control {
    let mut control = control();
    let text = DECLARATION
        .replace("warm = { streams = 2 }", "warm = { streams = 4 }")
        .replace(
            "cold = { streams = 2 }",
            "cold = { streams = 1 }\nramp_successes = 1\nramp_steps = 1",
        );
    let declaration: Declaration = toml::from_str(&text).expect("a declaration");
    control.apply_declaration(Millis(0), &declaration, Revision(2));
    for request in [101, 102] {
        let out = control.handle(Millis(1), prompt(request));
        let call = calls(&out)[0].clone();
        let _ = control.handle(
            Millis(2),
            attempt_ended(&call, AttemptEnd::Whole { tokens: 4 }),
        );
    }
    control
}

fn dropped_requests(out: &[Output]) -> Vec<u64> {
    let attempts = out.iter().filter_map(|output| match output {
        Output::Drop { attempt } => Some(attempt.request.0),
        _ => None,
    });
    attempts.collect()
}

#[test]
fn a_stream_on_a_cold_engine_is_not_cut_while_no_other_engine_can_take_it() {
    let mut control = control_with_warm_engines();
    let _ = control.handle(Millis(3), Input::Listings(vec![engine("e1")]));
    let mut sent = Vec::new();
    for request in 1..=4 {
        let out = control.handle(Millis(4), prompt(request));
        sent.extend(calls(&out).into_iter().cloned());
    }
    assert_eq!(sent.len(), 4, "the engine is warm");
    let cold = AttemptEnd::Rejected(Rejection::Cold);
    let _ = control.handle(Millis(5), attempt_ended(&sent[0], cold));
    for now in [6, 1_000, 5_000] {
        let out = control.handle(Millis(now), Input::Tick);
        assert!(dropped_requests(&out).is_empty(), "at {now} ms");
        assert!(refusal(&out).is_none(), "at {now} ms");
    }
    for call in &sent[1..] {
        let whole = AttemptEnd::Whole { tokens: 4 };
        let out = control.handle(Millis(6_000), attempt_ended(call, whole));
        let request = call.attempt.request;
        let reply = Reply::Complete;
        assert!(out.contains(&Output::Reply { request, reply }));
    }
}

#[test]
fn requests_above_the_cold_limit_move_once_another_engine_has_room() {
    let mut control = control_with_warm_engines();
    let mut sent = Vec::new();
    for request in 1..=7 {
        let out = control.handle(Millis(3), prompt(request));
        sent.extend(calls(&out).into_iter().cloned());
    }
    let (on_first, on_second): (Vec<Call>, Vec<Call>) = sent
        .into_iter()
        .partition(|call| call.addr == "127.0.0.1:e1");
    assert_eq!(on_first.len() + on_second.len(), 7, "both engines are warm");
    let cold = AttemptEnd::Rejected(Rejection::Cold);
    let mut outputs = control.handle(Millis(4), attempt_ended(&on_first[0], cold));
    outputs.extend(control.handle(Millis(5), Input::Tick));
    outputs.extend(control.handle(Millis(6), Input::Tick));
    for call in &on_second {
        let whole = AttemptEnd::Whole { tokens: 4 };
        outputs.extend(control.handle(Millis(8), attempt_ended(call, whole)));
    }
    outputs.extend(control.handle(Millis(60), Input::Tick));
    assert!(refusal(&outputs).is_none());
    let moved = dropped_requests(&outputs);
    assert_eq!(
        moved.len(),
        on_first.len() - 2,
        "one request stays besides the rejected one"
    );
    for (index, output) in outputs.iter().enumerate() {
        let Output::Drop { attempt } = output else {
            continue;
        };
        let after = calls(&outputs[index..]);
        let next = after
            .iter()
            .find(|call| call.attempt.request == attempt.request);
        let next = next.expect("a call on another engine");
        assert_eq!(next.addr, "127.0.0.1:e2");
        assert_eq!(next.attempt.number, attempt.number + 1);
    }
    assert!(
        calls(&outputs)
            .iter()
            .all(|call| call.addr == "127.0.0.1:e2")
    );
}

#[test]
fn a_moved_request_continues_after_the_tokens_its_caller_has() {
    let mut control = control_with_warm_engines();
    let mut sent = Vec::new();
    for request in 1..=5 {
        let out = control.handle(Millis(3), prompt(request));
        sent.extend(calls(&out).into_iter().cloned());
    }
    for call in &sent {
        for event in [
            AttemptEvent::FirstToken,
            AttemptEvent::Progress { offset: 2 },
        ] {
            let attempt = call.attempt;
            let _ = control.handle(Millis(4), Input::Attempt { attempt, event });
        }
    }
    let (on_first, on_second): (Vec<Call>, Vec<Call>) = sent
        .into_iter()
        .partition(|call| call.addr == "127.0.0.1:e1");
    let (more, fewer) = match on_first.len() > on_second.len() {
        true => (on_first, on_second),
        false => (on_second, on_first),
    };
    assert_eq!((more.len(), fewer.len()), (3, 2));
    let cold = AttemptEnd::Rejected(Rejection::Cold);
    let _ = control.handle(Millis(5), attempt_ended(&more[0], cold));
    let out = control.handle(Millis(6), Input::Tick);
    let moved = calls(&out);
    assert_eq!(moved.len(), 1, "one request stays besides the rejected one");
    assert_eq!(moved[0].addr, fewer[0].addr);
    assert_eq!(moved[0].start, CallStart::Continue { offset: 2 });
}
