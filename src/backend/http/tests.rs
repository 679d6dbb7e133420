//! Expected: each way a connection can fail gets its own verdict, and `NotRun`
//! is said only where no backend server can have run the call.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use proptest::prelude::*;

use super::frame::Frame;
use super::frame::parse_frame;
use super::*;
use crate::backend::CallStart;
use crate::backend::Prompt;
use crate::backend::ServiceCall;
use crate::backend::traffic::Traffic;
use crate::backend::traffic::TrafficSettings;
use crate::clock::Millis;
use crate::control::Input;
use crate::id::AttemptId;
use crate::id::Epoch;
use crate::id::RequestId;
use crate::metrics::Count;
use crate::metrics::Metrics;
use crate::relay::CallerEvent;
use crate::relay::CallerSide;
use crate::relay::Relays;

const REQUEST: RequestId = RequestId(0xab);
const LONG: Duration = Duration::from_secs(60);
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n";

/// The traffic of one instance, and a caller that waits.
struct Rig {
    traffic: Traffic,
    control: flume::Receiver<Input>,
    caller: CallerSide,
    metrics: Arc<Metrics>,
}

impl Rig {
    fn new() -> Rig {
        let metrics = Arc::new(Metrics::new());
        let relays = Relays::new(Arc::clone(&metrics));
        let caller = relays.open(REQUEST);
        let (tx, control) = flume::unbounded();
        let cfg = HttpSettings {
            owner: "entry-1".to_owned(),
            ..HttpSettings::default()
        };
        let edge = Arc::new(HttpEdge::new(cfg));
        let traffic = Traffic::new(TrafficSettings::default(), edge, relays, tx);
        Rig {
            traffic,
            control,
            caller,
            metrics,
        }
    }

    fn event(&self) -> AttemptEvent {
        match self.control.recv_timeout(LONG).unwrap() {
            Input::Attempt { event, .. } => event,
            other => panic!("unexpected input: {other:?}"),
        }
    }

    fn end(&self) -> AttemptEnd {
        loop {
            if let AttemptEvent::Ended(end) = self.event() {
                return end;
            }
        }
    }

    fn run(&self, call: Call) -> AttemptEnd {
        self.traffic.send(call);
        self.end()
    }

    fn text(&self) -> String {
        let mut all = String::new();
        while let Some(CallerEvent::Text { text, .. }) = self.caller.next(Duration::ZERO) {
            all.push_str(&text);
        }
        all
    }
}

/// A backend server that plays one scripted exchange a connection.
fn backend<F>(play: F) -> (SocketAddr, flume::Receiver<String>)
where
    F: Fn(usize, &mut TcpStream) + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, requests) = flume::unbounded();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            if tx.send(read_request(&stream)).is_err() {
                return;
            }
            play(number, &mut stream);
        }
    });
    (addr, requests)
}

/// Returns request line, headers and body.
fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).unwrap() > 0 {}
    let length = head
        .lines()
        .find_map(|line| {
            line.to_ascii_lowercase()
                .strip_prefix("content-length: ")?
                .parse()
                .ok()
        })
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    head + &String::from_utf8(body).unwrap()
}

fn token(attempt: u32, offset: u32, text: &str) -> String {
    format!(
        "{{\"request\":\"{REQUEST}\",\"attempt\":{attempt},\"offset\":{offset},\"text\":\"{text}\"}}\n"
    )
}

fn finish(attempt: u32, offset: u32) -> String {
    format!(
        "{{\"request\":\"{REQUEST}\",\"attempt\":{attempt},\"offset\":{offset},\"finish\":\"stop\"}}\n"
    )
}

fn call(addr: SocketAddr, number: u32, start: CallStart) -> Call {
    let prompt = Prompt {
        model: "m".to_owned(),
        text: "p".to_owned(),
        tokens: 1,
        prefix: 0,
        max_tokens: 8,
    };
    Call {
        attempt: AttemptId {
            request: REQUEST,
            number,
        },
        addr: addr.to_string(),
        workspace: "w".to_owned(),
        epoch: Epoch(3),
        priority: 50,
        deadline: Millis::NEVER,
        silence: Millis(10_000),
        start,
        work: Arc::new(Work::Prompt(prompt)),
    }
}

fn service_call(addr: SocketAddr) -> Call {
    let service = ServiceCall {
        service: "berths".to_owned(),
        operation: "start".to_owned(),
        body: b"{\"berth\":4}".to_vec(),
        idempotency_key: Some("k-1".to_owned()),
    };
    Call {
        work: Arc::new(Work::Service(service)),
        ..call(addr, 1, CallStart::Fresh)
    }
}

fn may_have_run(offset: u32) -> AttemptEnd {
    AttemptEnd::Broken {
        verdict: Verdict::MayHaveRun,
        offset,
    }
}

#[test]
fn a_whole_stream_reaches_the_caller() {
    let script = [
        HEAD,
        "\n",
        &token(1, 0, "a"),
        &token(1, 1, "b"),
        &finish(1, 2),
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
fn refusals_of_the_protocol_did_not_run() {
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
fn a_refusal_that_is_not_of_the_protocol_may_have_run() {
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
fn a_broken_stream_tells_how_far_it_came() {
    let cut = token(1, 1, "b");
    let endings = [
        String::new(),
        cut[..cut.len() / 2].to_owned(),
        token(1, 2, "gap"),
        finish(1, 5),
        "{\"offset\":1}\n".to_owned(),
        "\u{fffd}\u{0}\n".to_owned(),
    ];
    for ending in endings {
        let script = [HEAD, &token(1, 0, "a"), &ending].concat();
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
fn an_engine_that_exceeds_the_allowed_length_is_cut_off() {
    let tokens: String = (0..20).map(|offset| token(1, offset, "x")).collect();
    let script = [HEAD, &tokens].concat();
    let (addr, _requests) = backend(move |_, stream| {
        let _ = stream.write_all(script.as_bytes());
    });
    let rig = Rig::new();
    assert_eq!(rig.run(call(addr, 1, CallStart::Fresh)), may_have_run(8));
    assert_eq!(rig.text(), "xxxxxxxx");
}

#[test]
fn a_line_without_end_is_bounded() {
    let (addr, _requests) = backend(move |_, stream| {
        let _ = stream.write_all(HEAD.as_bytes());
        while stream.write_all(&[b'x'; 4096]).is_ok() {}
    });
    assert_eq!(
        Rig::new().run(call(addr, 1, CallStart::Fresh)),
        may_have_run(0)
    );
}

/// Holds connections open without a word, so that silence is the only sign.
fn hold(stream: &TcpStream, held: &flume::Sender<TcpStream>) {
    held.send(stream.try_clone().unwrap()).unwrap();
}

#[test]
fn silence_is_noticed_before_and_after_the_head() {
    let (held, _connections) = flume::unbounded();
    let (addr, _requests) = backend(move |number, stream| {
        if number == 1 {
            let script = [HEAD, &token(2, 0, "a")].concat();
            stream.write_all(script.as_bytes()).unwrap();
        }
        hold(stream, &held);
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
fn frames_of_other_attempts_are_dropped_and_are_no_progress() {
    let (addr, _requests) = backend(move |_, stream| {
        stream.write_all(HEAD.as_bytes()).unwrap();
        stream.write_all(token(1, 0, "a").as_bytes()).unwrap();
        // Crossed frames come for ever; only they end this script.
        while stream.write_all(token(9, 1, "crossed").as_bytes()).is_ok() {
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
        [HEAD, &token(1, 0, "a"), &token(1, 1, "b")].concat(),
        [HEAD, &token(2, 1, "b"), &token(2, 2, "c"), &finish(2, 3)].concat(),
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
fn another_engine_continues_what_the_caller_has() {
    let scripts = [
        [HEAD, &token(1, 0, "a")].concat(),
        [HEAD, &token(2, 1, "b"), &finish(2, 2)].concat(),
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
fn a_dropped_attempt_ends_with_the_next_line() {
    let (go, gate) = flume::bounded::<()>(0);
    let (addr, _requests) = backend(move |_, stream| {
        stream.write_all(HEAD.as_bytes()).unwrap();
        gate.recv().unwrap();
        let _ = stream.write_all(token(1, 0, "a").as_bytes());
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

#[test]
fn a_service_gets_its_key_and_its_answer_goes_to_caller_and_core() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"ok\":1}";
    let (addr, requests) = backend(move |_, stream| stream.write_all(answer.as_bytes()).unwrap());
    let rig = Rig::new();
    rig.traffic.send(service_call(addr));
    let (status, body) = (200, b"{\"ok\":1}".to_vec());
    assert_eq!(rig.event(), AttemptEvent::Accepted);
    assert_eq!(rig.event(), AttemptEvent::FirstToken);
    assert_eq!(
        rig.event(),
        AttemptEvent::Answer {
            status,
            body: body.clone()
        }
    );
    assert_eq!(rig.end(), AttemptEnd::Whole { tokens: 0 });
    let event = rig.caller.next(Duration::ZERO);
    assert_eq!(event, Some(CallerEvent::Body { status, body }));
    let request = requests.recv().unwrap().to_ascii_lowercase();
    assert!(
        request.starts_with("post /v1/call/berths/start "),
        "{request}"
    );
    assert!(request.contains("idempotency-key: k-1\r\n"), "{request}");
    assert!(
        request.contains(&format!("x-request-id: {REQUEST}\r\n")),
        "{request}"
    );
    assert!(request.ends_with("{\"berth\":4}"), "{request}");
}

#[test]
fn a_services_answer_is_recorded_when_the_caller_has_left() {
    let (go, gate) = flume::bounded::<()>(0);
    let (addr, _requests) = backend(move |_, stream| {
        gate.recv().unwrap();
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let Rig {
        traffic,
        control,
        caller,
        ..
    } = Rig::new();
    traffic.send(service_call(addr));
    // Once the gate is taken, the call is on its way.
    go.send(()).unwrap();
    drop(caller);
    let recorded = control.iter().find_map(|input| match input {
        Input::Attempt {
            event: AttemptEvent::Answer { body, .. },
            ..
        } => Some(body),
        _ => None,
    });
    assert_eq!(recorded, Some(b"ok".to_vec()));
}

#[test]
fn a_service_that_loses_its_answer_may_have_run() {
    let answers = [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "",
    ];
    for answer in answers {
        let (addr, _requests) =
            backend(move |_, stream| stream.write_all(answer.as_bytes()).unwrap());
        let rig = Rig::new();
        assert_eq!(rig.run(service_call(addr)), may_have_run(0), "{answer}");
        assert_eq!(rig.caller.next(Duration::ZERO), None);
    }
}

#[test]
fn orders_are_answered_or_fail() {
    let answers = [
        (
            "{\"cancelled\":false}",
            BackendOrder::Cancel {
                request: REQUEST,
                epoch: Epoch(1),
            },
            BackendAnswer::Cancelled { request: REQUEST },
        ),
        (
            "{\"events\":[]}",
            BackendOrder::CacheEvents { after: 4 },
            BackendAnswer::CacheEvents(Vec::new()),
        ),
        (
            "not json",
            BackendOrder::Load,
            BackendAnswer::Failed { refused: false },
        ),
    ];
    for (body, order, expected) in answers {
        let (addr, _requests) = backend(move |_, stream| {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(answer.as_bytes()).unwrap();
        });
        let edge = HttpEdge::new(HttpSettings::default());
        assert_eq!(edge.order(&addr.to_string(), &order), expected);
    }
}

#[test]
fn a_load_report_is_read_as_documented() {
    let body = r#"{"boot":1,"epoch":2,"age_ms":3,"memory_used":4,"memory_total":5,"prefill_waiting":6,
        "streams":[{"request":"00000000000000ab","owner":"entry-1","memory_tokens":7}],"models":["m"]}"#;
    let (addr, _requests) = backend(move |_, stream| {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let edge = HttpEdge::new(HttpSettings::default());
    let BackendAnswer::Load(report) = edge.order(&addr.to_string(), &BackendOrder::Load) else {
        panic!("no report");
    };
    assert_eq!(report.streams[0].request, REQUEST);
}

proptest! {
    #[test]
    fn any_line_is_a_frame_or_malformed(line in prop::collection::vec(any::<u8>(), 0..200)) {
        let blank = line.iter().all(u8::is_ascii_whitespace);
        prop_assert_eq!(parse_frame(&line) == Frame::KeepAlive, blank);
    }

    #[test]
    fn a_frame_survives_its_encoding(offset: u32, number: u32, request: u64, text in ".{0,40}") {
        let attempt = AttemptId { request: RequestId(request), number };
        let line = serde_json::json!({
            "request": attempt.request.to_string(), "attempt": number, "offset": offset, "text": text,
        });
        let frame = Frame::Token { attempt, offset, text };
        prop_assert_eq!(parse_frame(line.to_string().as_bytes()), frame);
    }
}
