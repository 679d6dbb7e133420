//! Streams of engines: a caller gets every token once and in order, and each way
//! a stream can fail has its own [`AttemptEnd`].

use proptest::prelude::*;

use super::*;
use crate::backend::http::frame::Frame;
use crate::backend::http::frame::parse_frame;
use crate::metrics::Count;

#[test]
fn a_complete_stream_reaches_the_caller() {
    let script = [
        STREAM_HEAD,
        "\n",
        &token_frame(1, 0, "a"),
        &token_frame(1, 1, "b"),
        &finish_frame(1, 2),
    ]
    .concat();
    let (addr, requests) = backend(move |_, stream| stream.write_all(script.as_bytes()).unwrap());
    let rig = Rig::new();
    rig.traffic.send(call(addr, 1, CallStart::Fresh));
    assert_eq!(rig.event(), AttemptEvent::Accepted);
    assert_eq!(rig.event(), AttemptEvent::FirstToken);
    assert_eq!(rig.end(), AttemptEnd::Whole { tokens: 2 });
    assert_eq!(rig.text(), "ab");
    let request = requests.recv().unwrap();
    assert!(request.starts_with("POST /v1/generate "), "{request}");
    let body: serde_json::Value =
        serde_json::from_str(request.split("\r\n\r\n").nth(1).unwrap()).unwrap();
    assert_eq!(body["request"], REQUEST.to_string());
    assert_eq!(body["owner"], "entry-1");
    assert_eq!(body["epoch"], 3);
}

#[test]
fn a_request_that_moves_as_its_answer_completes_is_not_continued() {
    let script = [STREAM_HEAD, &token_frame(1, 0, "a"), &finish_frame(1, 1)].concat();
    let (addr, requests) = backend(move |_, stream| stream.write_all(script.as_bytes()).unwrap());
    let rig = Rig::new();
    let whole = AttemptEnd::Whole { tokens: 1 };
    assert_eq!(rig.run(call(addr, 1, CallStart::Fresh)), whole);
    let moved = call(addr, 2, CallStart::Continue { offset: 1 });
    assert_eq!(rig.run(moved), whole);
    assert_eq!(requests.len(), 1);
    assert_eq!(rig.text(), "a");
}

#[test]
fn a_refused_connection_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let rig = Rig::new();
    assert_eq!(
        rig.run(call(addr, 1, CallStart::Fresh)),
        AttemptEnd::Refused
    );
    assert_eq!(
        rig.run(Call {
            attempt: AttemptId {
                request: REQUEST,
                number: 2
            },
            ..service_call(addr)
        }),
        AttemptEnd::Refused
    );
}

#[test]
fn protocol_rejections_did_not_run() {
    let refusals = [
        ("409 Conflict", "stale_epoch", Rejection::StaleEpoch),
        ("429 Too Many Requests", "full", Rejection::Full),
        ("503 Service Unavailable", "cold", Rejection::Cold),
        ("422 Unprocessable Entity", "invalid", Rejection::Invalid),
        ("404 Not Found", "unknown_stream", Rejection::UnknownStream),
    ];
    for (status, code, rejection) in refusals {
        let body = format!("{{\"rejection\":\"{code}\"}}");
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (addr, _requests) =
            backend(move |_, stream| stream.write_all(answer.as_bytes()).unwrap());
        let end = Rig::new().run(call(addr, 1, CallStart::Fresh));
        assert_eq!(end, AttemptEnd::Rejected(rejection));
    }
}

#[test]
fn other_error_responses_may_have_run() {
    let answers = [
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 20\r\n\r\n{\"rejection\":\"cold\"}",
        "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
        "garbage\r\n\r\n",
        "",
    ];
    for answer in answers {
        let (addr, _requests) =
            backend(move |_, stream| stream.write_all(answer.as_bytes()).unwrap());
        let end = Rig::new().run(call(addr, 1, CallStart::Fresh));
        assert_eq!(end, may_have_run(0), "{answer}");
    }
}

#[test]
fn a_broken_stream_reports_its_offset() {
    let cut = token_frame(1, 1, "b");
    let endings = [
        String::new(),
        cut[..cut.len() / 2].to_owned(),
        token_frame(1, 2, "gap"),
        finish_frame(1, 5),
        "{\"offset\":1}\n".to_owned(),
        "\u{fffd}\u{0}\n".to_owned(),
    ];
    for ending in endings {
        let script = [STREAM_HEAD, &token_frame(1, 0, "a"), &ending].concat();
        let (addr, _requests) =
            backend(move |_, stream| stream.write_all(script.as_bytes()).unwrap());
        let rig = Rig::new();
        assert_eq!(
            rig.run(call(addr, 1, CallStart::Fresh)),
            may_have_run(1),
            "{ending}"
        );
        assert_eq!(rig.text(), "a");
    }
}

#[test]
fn a_stream_over_the_maximum_length_is_broken() {
    let tokens: String = (0..20).map(|offset| token_frame(1, offset, "x")).collect();
    let script = [STREAM_HEAD, &tokens].concat();
    let (addr, _requests) = backend(move |_, stream| {
        let _ = stream.write_all(script.as_bytes());
    });
    let rig = Rig::new();
    assert_eq!(rig.run(call(addr, 1, CallStart::Fresh)), may_have_run(8));
    assert_eq!(rig.text(), "xxxxxxxx");
}

#[test]
fn the_length_of_a_line_is_limited() {
    let (addr, _requests) = backend(move |_, stream| {
        let _ = stream.write_all(STREAM_HEAD.as_bytes());
        while stream.write_all(&[b'x'; 4096]).is_ok() {}
    });
    assert_eq!(
        Rig::new().run(call(addr, 1, CallStart::Fresh)),
        may_have_run(0)
    );
}

/// Keeps a connection open without sending, so that only the read timeout can
/// detect it.
fn keep_open(stream: &TcpStream, connections: &flume::Sender<TcpStream>) {
    connections.send(stream.try_clone().unwrap()).unwrap();
}

#[test]
fn a_read_timeout_is_detected_before_and_after_the_head() {
    let (open_streams, _connections) = flume::unbounded();
    let (addr, _requests) = backend(move |number, stream| {
        if number == 1 {
            let script = [STREAM_HEAD, &token_frame(2, 0, "a")].concat();
            stream.write_all(script.as_bytes()).unwrap();
        }
        keep_open(stream, &open_streams);
    });
    let rig = Rig::new();
    let silent = |offset| AttemptEnd::Silent {
        verdict: Verdict::MayHaveRun,
        offset,
    };
    let silence = Millis(200);
    let before = Call {
        silence,
        ..call(addr, 1, CallStart::Fresh)
    };
    assert_eq!(rig.run(before), silent(0));
    let after = Call {
        silence,
        ..call(addr, 2, CallStart::Fresh)
    };
    assert_eq!(rig.run(after), silent(1));
    assert_eq!(rig.text(), "a");
}

#[test]
fn frames_of_other_attempts_are_dropped_and_do_not_count_as_progress() {
    let (addr, _requests) = backend(move |_, stream| {
        stream.write_all(STREAM_HEAD.as_bytes()).unwrap();
        stream.write_all(token_frame(1, 0, "a").as_bytes()).unwrap();
        // Sends frames of another attempt until the connection is closed.
        while stream
            .write_all(token_frame(9, 1, "crossed").as_bytes())
            .is_ok()
        {
            thread::sleep(Duration::from_millis(5));
        }
    });
    let rig = Rig::new();
    let silence = Millis(200);
    let end = rig.run(Call {
        silence,
        ..call(addr, 1, CallStart::Fresh)
    });
    let verdict = Verdict::MayHaveRun;
    assert_eq!(end, AttemptEnd::Silent { verdict, offset: 1 });
    assert_eq!(rig.text(), "a");
    assert!(rig.metrics.count(Count::StaleFrames) > 0);
}

#[test]
fn a_resume_starts_at_the_relays_offset_and_drops_duplicates() {
    let scripts = [
        [
            STREAM_HEAD,
            &token_frame(1, 0, "a"),
            &token_frame(1, 1, "b"),
        ]
        .concat(),
        [
            STREAM_HEAD,
            &token_frame(2, 1, "b"),
            &token_frame(2, 2, "c"),
            &finish_frame(2, 3),
        ]
        .concat(),
    ];
    let (addr, requests) = backend(move |number, stream| {
        stream.write_all(scripts[number].as_bytes()).unwrap();
    });
    let rig = Rig::new();
    assert_eq!(rig.run(call(addr, 1, CallStart::Fresh)), may_have_run(2));
    let end = rig.run(call(addr, 2, CallStart::Resume { offset: 1 }));
    assert_eq!(end, AttemptEnd::Whole { tokens: 3 });
    assert_eq!(rig.text(), "abc");
    let resume = requests.iter().nth(1).unwrap();
    assert!(resume.starts_with("POST /v1/resume "), "{resume}");
    assert!(resume.contains("\"offset\":2"), "{resume}");
}

#[test]
fn another_engine_continues_after_the_received_tokens() {
    let scripts = [
        [STREAM_HEAD, &token_frame(1, 0, "a")].concat(),
        [STREAM_HEAD, &token_frame(2, 1, "b"), &finish_frame(2, 2)].concat(),
    ];
    let (addr, requests) = backend(move |number, stream| {
        stream.write_all(scripts[number].as_bytes()).unwrap();
    });
    let rig = Rig::new();
    assert_eq!(rig.run(call(addr, 1, CallStart::Fresh)), may_have_run(1));
    let end = rig.run(call(addr, 2, CallStart::Continue { offset: 1 }));
    assert_eq!(end, AttemptEnd::Whole { tokens: 2 });
    assert_eq!(rig.text(), "ab");
    let submit = requests.iter().nth(1).unwrap();
    assert!(
        submit.contains("\"offset\":1,\"generated\":\"a\""),
        "{submit}"
    );
}

#[test]
fn a_dropped_attempt_ends_at_the_next_line() {
    let (go, gate) = flume::bounded::<()>(0);
    let (addr, _requests) = backend(move |_, stream| {
        stream.write_all(STREAM_HEAD.as_bytes()).unwrap();
        gate.recv().unwrap();
        let _ = stream.write_all(token_frame(1, 0, "a").as_bytes());
    });
    let rig = Rig::new();
    let call = call(addr, 1, CallStart::Fresh);
    let attempt = call.attempt;
    rig.traffic.send(call);
    assert_eq!(rig.event(), AttemptEvent::Accepted);
    rig.traffic.drop_attempt(attempt);
    go.send(()).unwrap();
    assert_eq!(rig.end(), AttemptEnd::Cancelled { offset: 0 });
    assert_eq!(rig.text(), "");
}

proptest! {
    #[test]
    fn any_line_is_a_frame_or_malformed(line in prop::collection::vec(any::<u8>(), 0..200)) {
        let blank = line.iter().all(u8::is_ascii_whitespace);
        prop_assert_eq!(parse_frame(&line) == Frame::KeepAlive, blank);
    }

    #[test]
    fn an_encoded_frame_is_parsed_back(offset: u32, number: u32, request: u64, text in ".{0,40}") {
        let attempt = AttemptId { request: RequestId(request), number };
        let line = serde_json::json!({
            "request": attempt.request.to_string(), "attempt": number, "offset": offset, "text": text,
        });
        let frame = Frame::Token { attempt, offset, text };
        prop_assert_eq!(parse_frame(line.to_string().as_bytes()), frame);
    }
}
