//! Tests of engines that turn cold under load: such an engine keeps as many
//! requests as its cold limit allows; the others continue on another engine at
//! the token they had reached.

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
fn requests_above_the_cold_limit_move_to_another_engine() {
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
    let _ = control.handle(Millis(4), attempt_ended(&on_first[0], cold));
    let out = control.handle(Millis(5), Input::Tick);
    let moving = dropped_requests(&out);
    assert_eq!(
        moving.len(),
        on_first.len() - 2,
        "one request stays besides the rejected one"
    );
    assert!(dropped_requests(&control.handle(Millis(6), Input::Tick)).is_empty());
    for call in on_first
        .iter()
        .filter(|call| moving.contains(&call.attempt.request.0))
    {
        let end = AttemptEnd::Cancelled { offset: 2 };
        let out = control.handle(Millis(7), attempt_ended(call, end));
        assert!(refusal(&out).is_none());
    }
    let mut resent = Vec::new();
    for call in &on_second {
        let whole = AttemptEnd::Whole { tokens: 4 };
        let out = control.handle(Millis(8), attempt_ended(call, whole));
        resent.extend(calls(&out).into_iter().cloned());
    }
    let continued = resent
        .iter()
        .filter(|call| call.start == CallStart::Continue { offset: 2 });
    assert_eq!(continued.count(), moving.len());
    assert!(resent.iter().all(|call| call.addr == "127.0.0.1:e2"));
}
