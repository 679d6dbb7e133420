//! Calls to plain services and commands: a service's answer goes to caller and
//! core, and a call without an answer counts as `MayHaveRun`.

use super::*;

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
fn a_services_answer_is_recorded_after_a_disconnect() {
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
    // The backend server passes the gate only after it has read the request.
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
fn a_service_call_without_a_valid_answer_may_have_run() {
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
fn commands_are_answered_or_fail() {
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
        let client = HttpBackendClient::new(HttpSettings::default());
        assert_eq!(client.order(&addr.to_string(), &order), expected);
    }
}

#[test]
fn a_load_report_is_parsed_as_documented() {
    let body = r#"{"boot":1,"epoch":2,"age_ms":3,"memory_used":4,"memory_total":5,"prefill_waiting":6,
        "streams":[{"request":"00000000000000ab","owner":"entry-1","memory_tokens":7}],"models":["m"]}"#;
    let (addr, _requests) = backend(move |_, stream| {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let client = HttpBackendClient::new(HttpSettings::default());
    let BackendAnswer::Load(report) = client.order(&addr.to_string(), &BackendOrder::Load) else {
        panic!("no report");
    };
    assert_eq!(report.streams[0].request, REQUEST);
}
