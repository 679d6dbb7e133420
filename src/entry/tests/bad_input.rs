//! Malformed, oversized, excess and slow requests get a precise error and never
//! reach the core, and the listener keeps serving.

use proptest::prelude::*;

use super::*;
use crate::entry::prompt::parse;

fn send_refused(rig: &Rig, text: &str) -> (u16, String, String) {
    let (status, _, answer) = rig.send(text).answer();
    let error = &answer["error"];
    assert_eq!(error["ran"], "no", "{answer}");
    let field = |name: &str| error[name].as_str().unwrap().to_owned();
    (status, field("code"), field("message"))
}

/// Asserts that the core got no input and the listener accepts a valid request.
fn assert_still_serves(rig: &Rig) {
    assert!(rig.control.is_empty());
    let (_caller, _submission) = rig.submit(COMPLETION, NOT_STREAMED);
}

#[test]
fn bodies_are_refused_with_the_field_and_what_is_allowed() {
    let cases = [
        ("", "the body is not JSON"),
        ("[1]", "has to be a JSON object"),
        ("{\"model\":", "the body is not JSON: EOF while parsing"),
        ("{}", "`model` is missing"),
        (
            r#"{"model":7,"prompt":"p"}"#,
            "`model` has to be a string, not 7",
        ),
        (
            r#"{"model":"","prompt":"p"}"#,
            "`model` has to have 1 to 128 bytes",
        ),
        (r#"{"model":"m"}"#, "`prompt` is missing"),
        (r#"{"model":"m","prompt":""}"#, "the prompt is empty"),
        (
            r#"{"model":"m","prompt":[1,2]}"#,
            "`prompt` has to be a string or a list",
        ),
        (
            r#"{"model":"m","prompt":"p","max_tokens":-1}"#,
            "`max_tokens` has to be a whole number from 1 to 1000000, not -1",
        ),
        (
            r#"{"model":"m","prompt":"p","max_tokens":99999999999999999999}"#,
            "`max_tokens` has to be",
        ),
        (
            r#"{"model":"m","prompt":"p","max_tokens":1.5}"#,
            "`max_tokens` has to be",
        ),
        (
            r#"{"model":"m","prompt":"p","stream":"yes"}"#,
            "`stream` has to be true or false",
        ),
        (
            r#"{"model":"m","prompt":"p","n":2}"#,
            "`n` has to be 1, not 2",
        ),
    ];
    let rig = Rig::start(EntrySettings::default());
    for (body, expected) in cases {
        let (status, code, message) = send_refused(&rig, &post(COMPLETION, "", body));
        assert_eq!((status, code.as_str()), (400, "bad_request"), "{body}");
        assert!(message.contains(expected), "{body}: {message}");
    }
    let chats = [
        (r#"{"model":"m","messages":[]}"#, "`messages` is empty"),
        (
            r#"{"model":"m","messages":[{"content":"x"}]}"#,
            "`messages[0].role` is missing",
        ),
        (
            r#"{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}"#,
            "`messages[0].content[0]` has to be a text part",
        ),
    ];
    for (body, expected) in chats {
        let (_, _, message) = send_refused(&rig, &post(CHAT, "", body));
        assert!(message.contains(expected), "{body}: {message}");
    }
    assert_still_serves(&rig);
}

#[test]
fn headers_and_paths_are_refused_precisely() {
    let rig = Rig::start(EntrySettings::default());
    let long = format!("X-Filler: {}\r\n", "x".repeat(20_000));
    let key = format!("Idempotency-Key: {}\r\n", "k".repeat(256));
    let cases = [
        (
            COMPLETION,
            "X-Deadline-Ms: -5\r\n",
            400,
            "X-Deadline-Ms has to be a whole number from 1 to 86400000",
        ),
        (
            COMPLETION,
            "X-Importance: 101\r\n",
            400,
            "X-Importance has to be a whole number from 0 to 100",
        ),
        (
            COMPLETION,
            "X-Request-Kind: a/../b\r\n",
            400,
            "X-Request-Kind has to have",
        ),
        (
            COMPLETION,
            long.as_str(),
            413,
            "path and headers are longer than 16384 bytes",
        ),
        (
            COMPLETION,
            key.as_str(),
            400,
            "Idempotency-Key has to have 1 to 255",
        ),
        (
            "/v1/services/a/..",
            "",
            400,
            "the operation's name has to have",
        ),
        (
            "/v1/services/a%0d%0a/b",
            "",
            400,
            "the service's name has to have",
        ),
        (
            "/v1/services/a/b/c",
            "",
            400,
            "the operation's name has to have",
        ),
        ("/v1/models", "", 404, "/v1/models takes GET, not POST"),
        ("/v2/completions", "", 404, "no such path"),
    ];
    for (path, headers, expected, text) in cases {
        let (status, _, message) = send_refused(&rig, &post(path, headers, NOT_STREAMED));
        assert_eq!(status, expected, "{path} {message}");
        assert!(message.contains(text), "{path}: {message}");
    }
    let anonymous = post(COMPLETION, "", NOT_STREAMED).replace("Bearer", "Basic");
    assert_eq!(send_refused(&rig, &anonymous).0, 401);
    assert_still_serves(&rig);
}

#[test]
fn invalid_utf8_is_refused() {
    let rig = Rig::start(EntrySettings::default());
    let mut caller = rig.send(&post(COMPLETION, "", "????"));
    assert_eq!(caller.answer().0, 400);
    let head = post(COMPLETION, "", "????");
    let mut caller = rig.send(&head[..head.len() - 4]);
    caller
        .0
        .get_mut()
        .write_all(&[b'"', 0xff, 0xfe, b'"'])
        .unwrap();
    let (status, _, answer) = caller.answer();
    assert_eq!(status, 400);
    let message = answer["error"]["message"].as_str().unwrap();
    assert!(message.contains("not UTF-8"), "{message}");
    assert_still_serves(&rig);
}

#[test]
fn oversized_bodies_are_refused_by_declared_and_by_received_length() {
    let rig = Rig::start(EntrySettings {
        max_body_bytes: 2000,
        ..EntrySettings::default()
    });
    let large = "x".repeat(2001);
    assert_eq!(send_refused(&rig, &post(COMPLETION, "", &large)).0, 413);
    let chunked = format!(
        "POST {COMPLETION} HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n\
         Transfer-Encoding: chunked\r\n\r\n7d1\r\n{large}\r\n0\r\n\r\n"
    );
    assert_eq!(send_refused(&rig, &chunked).0, 413);
    assert_still_serves(&rig);
}

/// `tiny_http` allocates memory for the unread rest of a declared body, which
/// aborts the process if the allocation fails.
#[test]
fn a_declared_length_beyond_memory_does_not_abort() {
    let rig = Rig::start(EntrySettings::default());
    for length in ["9000000000000000", "18446744073709551615"] {
        let text = format!(
            "POST {COMPLETION} HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n\
             Content-Length: {length}\r\n\r\nx"
        );
        assert_eq!(rig.send(&text).head().0, 413);
    }
    assert_still_serves(&rig);
}

#[test]
fn slow_senders_time_out() {
    let rig = Rig::start(EntrySettings {
        read_timeout: Duration::from_millis(100),
        ..EntrySettings::default()
    });
    let text = post(COMPLETION, "", &"x".repeat(5000));
    let (status, code, _) = send_refused(&rig, &text[..text.len() - 1]);
    assert_eq!((status, code.as_str()), (408, "slow_request"));
    // A timeout within the head closes the connection without an answer.
    let mut rest = String::new();
    let _ = rig.send("POST /v1/comp").0.read_to_string(&mut rest);
    assert_eq!(rest, "");
    assert_still_serves(&rig);
}

#[test]
fn too_many_open_requests_are_refused_with_a_retry_delay() {
    let rig = Rig::start(EntrySettings {
        max_open_requests: 1,
        ..EntrySettings::default()
    });
    let (_open, _submission) = rig.submit(COMPLETION, NOT_STREAMED);
    let (status, head, answer) = rig.send(&post(COMPLETION, "", NOT_STREAMED)).answer();
    assert_eq!(status, 429);
    assert!(head.contains("Retry-After: 1\r\n"), "{head}");
    assert_eq!(answer["error"]["ran"], "no");
}

#[test]
fn a_prompt_of_a_million_tokens_is_accepted() {
    let rig = Rig::start(EntrySettings::default());
    let body = format!(r#"{{"model":"m","prompt":"{}"}}"#, "word".repeat(1_000_000));
    let (_caller, submission) = rig.submit(COMPLETION, &body);
    let Work::Prompt(prompt) = &*submission.work else {
        panic!("no prompt");
    };
    assert_eq!(prompt.tokens, 1_000_000);
}

/// Any JSON, mostly objects with the fields that the parser reads.
fn any_json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    let key = prop_oneof![
        Just("model"),
        Just("prompt"),
        Just("messages"),
        Just("role"),
        Just("content"),
        Just("type"),
        Just("text"),
        Just("stream"),
        Just("max_tokens"),
        Just("n"),
    ];
    leaf.prop_recursive(4, 48, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::vec((key.clone(), inner), 0..8).prop_map(|fields| {
                fields
                    .into_iter()
                    .map(|(key, value)| (key.to_owned(), value))
                    .collect()
            }),
        ]
    })
}

proptest! {
    #[test]
    fn any_bytes_are_parsed_or_refused_as_bad_request(body in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Err(refusal) = parse(Dialect::Chat, &body, "") {
            prop_assert_eq!(refusal.reason, Reason::BadRequest);
        }
    }

    #[test]
    fn any_json_is_parsed_or_refused_as_bad_request(value in any_json(), chat: bool) {
        let dialect = if chat { Dialect::Chat } else { Dialect::Completion };
        match parse(dialect, value.to_string().as_bytes(), "") {
            Ok(parsed) => {
                prop_assert!(!parsed.prompt.text.is_empty());
                prop_assert!(u64::from(parsed.prompt.max_tokens) <= prompt::MAX_OUTPUT_TOKENS);
            }
            Err(refusal) => prop_assert_eq!(refusal.reason, Reason::BadRequest),
        }
    }

    #[test]
    fn names_in_paths_cannot_alter_the_path(path in "/v1/services/[ -~]{0,30}") {
        if let Ok(Route::Service { service, operation }) = head::route(&tiny_http::Method::Post, &path) {
            for name in [service, operation] {
                prop_assert!(!name.contains(['/', '%', '?', '#', ' ']) && !name.starts_with('.'));
            }
        }
    }
}
