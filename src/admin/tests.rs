//! Expected: metrics and health are open, questions need the operators' token,
//! and each answer goes to its own question.

use std::thread;

use super::*;
use crate::control::Input;

const TOKEN: &str = "the-operators-own-token";

fn start(answer_timeout: Duration) -> (Listener, Answers, flume::Receiver<Input>, Arc<Metrics>) {
    let (tx, control) = flume::unbounded();
    let answers = Answers::new(tx);
    let metrics = Arc::new(Metrics::new());
    let cfg = AdminSettings {
        token: Secret::new(TOKEN),
        answer_timeout,
        ..AdminSettings::default()
    };
    let listener = super::start(cfg, answers.clone(), Arc::clone(&metrics)).unwrap();
    (listener, answers, control, metrics)
}

fn get(listener: &Listener, path: &str) -> minreq::Response {
    minreq::get(format!("http://{}{path}", listener.addr()))
        .send()
        .unwrap()
}

fn ask(listener: &Listener, authorization: &str, body: &str) -> minreq::Response {
    minreq::post(format!("http://{}/v1/admin", listener.addr()))
        .with_header("Authorization", authorization)
        .with_body(body)
        .send()
        .unwrap()
}

#[test]
fn metrics_and_health_are_open() {
    let (listener, _answers, _control, metrics) = start(Duration::from_secs(60));
    let answer = get(&listener, "/metrics");
    assert_eq!(answer.header("content-type"), Some(OPENMETRICS));
    assert!(answer.as_str().unwrap().ends_with("# EOF\n"));
    assert_eq!(get(&listener, "/healthz").status_code, 200);
    assert_eq!(get(&listener, "/readyz").status_code, 503);
    metrics.set(Level::Ready, 1);
    assert_eq!(get(&listener, "/readyz").status_code, 200);
    assert_eq!(get(&listener, "/v1/admin").status_code, 404);
}

#[test]
fn only_the_operators_token_may_ask() {
    let (listener, _answers, control, metrics) = start(Duration::from_secs(60));
    let longer = format!("Bearer {TOKEN}x");
    let shorter = format!("Bearer {}", &TOKEN[..TOKEN.len() - 1]);
    for wrong in [
        "",
        "Bearer",
        "Bearer ",
        "Basic abc",
        &longer,
        &shorter,
        TOKEN,
    ] {
        let answer = ask(&listener, wrong, "\"status\"");
        assert_eq!(answer.status_code, 401, "{wrong}");
        assert!(!answer.as_str().unwrap().contains(TOKEN));
    }
    assert!(control.is_empty());
    assert!(!metrics.encode().unwrap().contains(TOKEN));
}

#[test]
fn an_empty_token_makes_nobody_an_operator() {
    let (tx, _control) = flume::unbounded();
    let metrics = Arc::new(Metrics::new());
    let listener = super::start(AdminSettings::default(), Answers::new(tx), metrics).unwrap();
    assert_eq!(ask(&listener, "Bearer ", "\"status\"").status_code, 401);
    assert_eq!(ask(&listener, "", "\"status\"").status_code, 401);
}

#[test]
fn crossed_answers_go_to_their_own_questions() {
    let (listener, answers, control, _metrics) = start(Duration::from_secs(60));
    let listener = Arc::new(listener);
    let asking: Vec<_> = (0..2)
        .map(|number| {
            let listener = Arc::clone(&listener);
            let limit = number + 1;
            let query = format!(
                r#"{{"timeline":{{"filter":{{"request":null,"backend":null,"domain":null}},"limit":{limit}}}}}"#
            );
            thread::spawn(move || ask(&listener, &format!("Bearer {TOKEN}"), &query))
        })
        .collect();
    let mut asked = Vec::new();
    while asked.len() < 2 {
        let Input::Admin {
            query_id: ticket,
            query: AdminQuery::Timeline { limit, .. },
        } = control.recv().unwrap()
        else {
            panic!("another question");
        };
        asked.push((ticket, limit));
    }
    asked.reverse();
    for (ticket, limit) in asked {
        answers.answer(ticket, AdminAnswer::Json(limit.into()));
    }
    for (number, asking) in asking.into_iter().enumerate() {
        let answer = asking.join().unwrap();
        assert_eq!(
            answer.as_str().unwrap(),
            format!("{{\"json\":{}}}", number + 1)
        );
    }
}

#[test]
fn no_answer_and_bad_questions_are_errors() {
    let (listener, answers, control, _metrics) = start(Duration::from_millis(50));
    let token = format!("Bearer {TOKEN}");
    let late = ask(&listener, &token, "\"status\"");
    assert_eq!(late.status_code, 503);
    let Input::Admin {
        query_id: ticket, ..
    } = control.recv().unwrap()
    else {
        panic!("another input");
    };
    // Nobody waits any more: the late answer is dropped.
    answers.answer(ticket, AdminAnswer::Json(1.into()));
    let bad = ask(&listener, &token, "{\"unknown\":1}");
    assert_eq!(bad.status_code, 400);
    assert!(bad.as_str().unwrap().contains("not an admin query"));
}
