//! Expected: answers are whole or say that they are not, and a caller that
//! leaves is noticed.

use super::*;
use crate::control::Reply;
use crate::relay::Finish;
use crate::relay::Push;

#[test]
fn a_whole_answer_has_all_tokens() {
    let rig = Rig::start(EntrySettings::default());
    let body = r#"{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}],"max_tokens":3}"#;
    let (mut caller, submission) = rig.submit(CHAT, body);
    let Work::Prompt(prompt) = &*submission.work else {
        panic!("no prompt");
    };
    assert_eq!(prompt.text, "user: hello\nassistant: ");
    assert_eq!((prompt.tokens, prompt.max_tokens), (6, 3));
    let side = rig.attempt(&submission);
    assert_eq!(side.push(0, "a\""), Push::Taken);
    assert_eq!(side.push(1, "\u{e9}"), Push::Taken);
    side.set_finish(Finish::Length);
    rig.ports.relays.finish(submission.request, Reply::Complete);
    let (status, head, answer) = caller.answer();
    assert_eq!(status, 200);
    assert!(head.contains(&format!("X-Request-Id: {}\r\n", submission.request)));
    assert_eq!(answer["choices"][0]["message"]["content"], "a\"\u{e9}");
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 2);
}

/// The second token does not exist before the caller has read the first one.
#[test]
fn each_token_of_a_stream_is_sent_before_the_next_exists() {
    let rig = Rig::start(EntrySettings::default());
    let body =
        r#"{"model":"m","prompt":"p","stream":true,"stream_options":{"include_usage":true}}"#;
    let (mut caller, submission) = rig.submit(COMPLETION, body);
    let side = rig.attempt(&submission);
    for (offset, text) in ["one", "two", "three"].into_iter().enumerate() {
        assert_eq!(side.push(offset as u32, text), Push::Taken);
        let event = caller.event();
        assert!(event.contains(&format!(r#""text":"{text}""#)), "{event}");
    }
    side.set_finish(Finish::Stop);
    rig.ports.relays.finish(submission.request, Reply::Complete);
    assert!(caller.event().contains(r#""finish_reason":"stop""#));
    assert!(caller.event().contains(r#""completion_tokens":3"#));
    assert_eq!(caller.event(), "data: [DONE]");
}

#[test]
fn a_stream_that_fails_midway_ends_with_an_error_and_never_as_done() {
    let rig = Rig::start(EntrySettings::default());
    let (mut caller, submission) = rig.submit(COMPLETION, STREAMED);
    let side = rig.attempt(&submission);
    assert_eq!(side.push(0, "a"), Push::Taken);
    let refusal = Refusal::may_have_run(Reason::BackendFailed, "every try failed");
    let reply = Reply::Refused(refusal.retry_after(Millis(1500)));
    rig.ports.relays.finish(submission.request, reply);
    let mut rest = String::new();
    caller.send("GET /v1/nothing HTTP/1.1\r\nConnection: close\r\n\r\n");
    caller.0.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("event: error\ndata: {"), "{rest}");
    assert!(rest.contains(r#""code":"backend_failed""#), "{rest}");
    assert!(rest.contains(r#""ran":"maybe""#), "{rest}");
    assert!(rest.contains(r#""retry_after_ms":1500"#), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
}

/// A final word without the engine's own end is not passed off as whole.
#[test]
fn a_stream_without_the_engines_end_is_not_done() {
    let rig = Rig::start(EntrySettings::default());
    let (mut caller, submission) = rig.submit(COMPLETION, STREAMED);
    rig.ports.relays.finish(submission.request, Reply::Complete);
    assert!(caller.event().starts_with("event: error"));
}

#[test]
fn an_early_refusal_has_its_own_status() {
    for body in [STREAMED, WHOLE] {
        let rig = Rig::start(EntrySettings::default());
        let (mut caller, submission) = rig.submit(COMPLETION, body);
        let refusal = Refusal::not_run(Reason::DeadlineUnreachable, "too late");
        let reply = Reply::Refused(refusal.retry_after(Millis(1500)));
        rig.ports.relays.finish(submission.request, reply);
        let (status, head, answer) = caller.answer();
        assert_eq!(status, 503);
        assert!(head.contains("Retry-After: 2\r\n"), "{head}");
        assert_eq!(answer["error"]["code"], "deadline_unreachable");
        assert_eq!(answer["error"]["ran"], "no");
        assert_eq!(answer["error"]["retry_after_ms"], 1500);
        assert_eq!(
            answer["error"]["request_id"],
            submission.request.to_string()
        );
    }
}

#[test]
fn a_caller_that_leaves_a_stream_is_noticed_while_it_waits_and_while_it_reads() {
    for first in [false, true] {
        let rig = Rig::start(EntrySettings {
            comment_interval: Duration::from_millis(20),
            ..EntrySettings::default()
        });
        let (mut caller, submission) = rig.submit(COMPLETION, STREAMED);
        let side = rig.attempt(&submission);
        if first {
            assert_eq!(side.push(0, "a"), Push::Taken);
            caller.event();
        }
        drop(caller);
        let request = submission.request;
        let told = rig.control.recv_timeout(LONG).unwrap();
        assert_eq!(told, Input::CallerGone { request });
        assert_eq!(side.push(9, "late"), Push::Gone);
    }
}

#[test]
fn a_service_call_carries_its_key_and_gets_its_answer_after_the_final_word() {
    let rig = Rig::start(EntrySettings::default());
    let headers = "Idempotency-Key: k-1\r\nX-Request-Kind: outcome\r\nX-Importance: 7\r\nX-Deadline-Ms: 900\r\n";
    let mut caller = rig.send(&post("/v1/services/callbacks/log", headers, "{\"id\":1}"));
    let submission = rig.submission();
    assert_eq!(submission.kind.as_deref(), Some("outcome"));
    assert_eq!(submission.importance, Some(7));
    assert_eq!(submission.time_limit, Some(Millis(900)));
    let expected = ServiceCall {
        service: "callbacks".to_owned(),
        operation: "log".to_owned(),
        body: b"{\"id\":1}".to_vec(),
        idempotency_key: Some("k-1".to_owned()),
    };
    assert_eq!(*submission.work, Work::Service(expected));
    let side = rig.attempt(&submission);
    assert_eq!(side.answer(200, b"{\"booked\":1}".to_vec()), Push::Taken);
    rig.ports.relays.finish(submission.request, Reply::Complete);
    let (status, _, answer) = caller.answer();
    assert_eq!((status, &answer["booked"]), (200, &1.into()));
}

#[test]
fn a_recorded_answer_is_given_again() {
    let rig = Rig::start(EntrySettings::default());
    let (mut caller, submission) = rig.submit("/v1/services/callbacks/log", "{}");
    let body = b"{\"booked\":1}".to_vec();
    let reply = Reply::Recorded { status: 201, body };
    rig.ports.relays.finish(submission.request, reply);
    let (status, _, answer) = caller.answer();
    assert_eq!((status, &answer["booked"]), (201, &1.into()));
}

#[test]
fn models_are_the_cores_answer() {
    let rig = Rig::start(EntrySettings::default());
    let get = format!("GET /v1/models HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n\r\n");
    let mut caller = rig.send(&get);
    let Input::Admin {
        query_id: ticket,
        query,
    } = rig.control.recv_timeout(LONG).unwrap()
    else {
        panic!("no question");
    };
    assert!(matches!(query, AdminQuery::Models { .. }));
    let models = serde_json::json!({"object": "list", "data": []});
    rig.ports
        .answers
        .answer(ticket, AdminAnswer::Json(models.clone()));
    let (status, _, answer) = caller.answer();
    assert_eq!((status, answer), (200, models));
}

/// Two callers, one answer late: each gets its own.
#[test]
fn crossed_answers_go_to_their_own_callers() {
    let rig = Rig::start(EntrySettings::default());
    let (mut first, one) = rig.submit(COMPLETION, WHOLE);
    let (mut second, two) = rig.submit(COMPLETION, WHOLE);
    for (submission, text) in [(&two, "second"), (&one, "first")] {
        let side = rig.attempt(submission);
        assert_eq!(side.push(0, text), Push::Taken);
        side.set_finish(Finish::Stop);
        rig.ports.relays.finish(submission.request, Reply::Complete);
    }
    assert_eq!(first.answer().2["choices"][0]["text"], "first");
    assert_eq!(second.answer().2["choices"][0]["text"], "second");
}

/// Requests of two workspaces that are equal to the byte share nothing that
/// names them: neither id nor fingerprint nor prefix. A caller cannot choose an
/// id.
#[test]
fn workspaces_are_apart() {
    let rig = Rig::start(EntrySettings::default());
    let (_one, mine) = rig.submit(COMPLETION, WHOLE);
    let stolen = format!("X-Request-Id: {}\r\n", mine.request);
    let text = post(COMPLETION, &stolen, WHOLE).replace(TOKEN, "another-token");
    let _two = rig.send(&text);
    let other = rig.submission();
    assert_ne!(other.request, mine.request);
    assert_ne!(other.token_sha256, mine.token_sha256);
    assert_ne!(other.fingerprint, mine.fingerprint);
    let prefix = |submission: &Submission| match &*submission.work {
        Work::Prompt(prompt) => prompt.prefix,
        Work::Service(_) => 0,
    };
    assert_ne!(prefix(&other), prefix(&mine));
}

#[test]
fn a_token_shows_nowhere() {
    let rig = Rig::start(EntrySettings::default());
    let (mut caller, submission) = rig.submit(COMPLETION, WHOLE);
    assert!(!format!("{submission:?}").contains(TOKEN));
    let refusal = Refusal::not_run(Reason::Unauthorized, "unknown bearer token");
    rig.ports
        .relays
        .finish(submission.request, Reply::Refused(refusal));
    let (status, head, answer) = caller.answer();
    assert_eq!(status, 401);
    assert!(!format!("{head}{answer}").contains(TOKEN));
    assert!(!rig.ports.metrics.encode().unwrap().contains(TOKEN));
}

/// The accept loop ends with the time limit on reading; callers must not notice.
#[test]
fn callers_are_served_after_the_accept_loop_has_ended() {
    let rig = Rig::start(EntrySettings {
        read_timeout: Duration::from_millis(50),
        ..EntrySettings::default()
    });
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(200));
        let (mut caller, submission) = rig.submit(COMPLETION, WHOLE);
        let side = rig.attempt(&submission);
        side.set_finish(Finish::Stop);
        rig.ports.relays.finish(submission.request, Reply::Complete);
        assert_eq!(caller.answer().0, 200);
    }
}

#[test]
fn a_caller_gets_its_word_when_the_core_has_ended() {
    let rig = Rig::start(EntrySettings::default());
    let (mut waiting, _submission) = rig.submit(COMPLETION, WHOLE);
    let Rig {
        entry,
        control,
        ports,
    } = rig;
    drop(control);
    let (status, _, answer) = waiting.answer();
    assert_eq!((status, &answer["error"]["ran"]), (503, &"maybe".into()));
    let stream = TcpStream::connect(entry.addr()).unwrap();
    let mut late = Connection(BufReader::new(stream));
    late.send(&post(COMPLETION, "", WHOLE));
    let (status, _, answer) = late.answer();
    assert_eq!((status, &answer["error"]["ran"]), (503, &"no".into()));
    assert!(ports.relays.is_empty());
}

/// The last answers reach their callers before the process may end.
#[test]
fn an_entry_is_idle_once_its_callers_have_their_answers() {
    let rig = Rig::start(EntrySettings::default());
    assert!(rig.entry.wait_idle(Duration::ZERO));
    let (mut caller, submission) = rig.submit(COMPLETION, STREAMED);
    assert!(!rig.entry.wait_idle(Duration::ZERO));
    let side = rig.attempt(&submission);
    side.set_finish(Finish::Stop);
    rig.ports.relays.finish(submission.request, Reply::Complete);
    assert!(rig.entry.wait_idle(LONG));
    caller.event();
    assert_eq!(caller.event(), "data: [DONE]");
}

/// `tiny_http` lets connections of a burst wait for a thread that an open
/// connection holds; none of these is answered, and yet all must be read.
#[test]
fn a_burst_of_connections_is_read_though_none_of_them_ends() {
    let rig = Rig::start(EntrySettings {
        read_timeout: LONG * 2,
        ..EntrySettings::default()
    });
    let burst: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(rig.entry.addr()).unwrap())
        .collect();
    for mut stream in &burst {
        let text = post(COMPLETION, "", STREAMED);
        stream.write_all(text.as_bytes()).unwrap();
    }
    let mut requests: Vec<RequestId> = burst.iter().map(|_| rig.submission().request).collect();
    requests.sort_unstable();
    requests.dedup();
    assert_eq!(requests.len(), burst.len());
}
