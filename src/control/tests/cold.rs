//! Expected: an engine that turns cold under load keeps what its cold limit
//! allows; the rest goes on elsewhere at the token it had reached.

use super::*;

/// Cold engines bear one stream, warm ones four; one success warms them up.
fn warm() -> Control {
    let mut control = control();
    let text = DECLARATION
        .replace("warm = { streams = 2 }", "warm = { streams = 4 }")
        .replace(
            "cold = { streams = 2 }",
            "cold = { streams = 1 }\nramp_successes = 1\nramp_steps = 1",
        );
    let declaration: Declaration = toml::from_str(&text).expect("a declaration");
    control.declare(Millis(0), &declaration, Revision(2));
    for request in [101, 102] {
        let out = control.handle(Millis(1), prompt(request));
        let call = calls(&out)[0].clone();
        let _ = control.handle(Millis(2), ended(&call, AttemptEnd::Whole { tokens: 4 }));
    }
    control
}

fn dropped(out: &[Output]) -> Vec<u64> {
    let attempts = out.iter().filter_map(|output| match output {
        Output::Drop { attempt } => Some(attempt.request.0),
        _ => None,
    });
    attempts.collect()
}

#[test]
fn work_above_the_cold_limit_moves() {
    let mut control = warm();
    let mut sent = Vec::new();
    for request in 1..=7 {
        let out = control.handle(Millis(3), prompt(request));
        sent.extend(calls(&out).into_iter().cloned());
    }
    let (here, elsewhere): (Vec<Call>, Vec<Call>) = sent
        .into_iter()
        .partition(|call| call.addr == "127.0.0.1:e1");
    assert_eq!(here.len() + elsewhere.len(), 7, "both engines are warm");
    let cold = AttemptEnd::Rejected(Rejection::Cold);
    let _ = control.handle(Millis(4), ended(&here[0], cold));
    let out = control.handle(Millis(5), Input::Tick);
    let moving = dropped(&out);
    assert_eq!(moving.len(), here.len() - 2, "one may stay");
    assert!(dropped(&control.handle(Millis(6), Input::Tick)).is_empty());
    for call in here
        .iter()
        .filter(|call| moving.contains(&call.attempt.request.0))
    {
        let end = AttemptEnd::Cancelled { offset: 2 };
        let out = control.handle(Millis(7), ended(call, end));
        assert!(refusal(&out).is_none());
    }
    let mut went_on = Vec::new();
    for call in &elsewhere {
        let whole = AttemptEnd::Whole { tokens: 4 };
        let out = control.handle(Millis(8), ended(call, whole));
        went_on.extend(calls(&out).into_iter().cloned());
    }
    let continued = went_on
        .iter()
        .filter(|call| call.start == CallStart::Continue { offset: 2 });
    assert_eq!(continued.count(), moving.len());
    assert!(went_on.iter().all(|call| call.addr == "127.0.0.1:e2"));
}
