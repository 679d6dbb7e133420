//! Bodies at the limits of the configuration, sent by callers that behave.

use std::thread;
use std::time::Duration;

use crate::memory::MAX_BODY_BYTES;
use crate::memory::stage;
use crate::process::Connection;

/// The slowest pace at which a body still arrives within the time limit for it.
#[test]
fn a_single_large_and_slow_body_is_served_in_calm() {
    let stage = stage(112);
    let mut connection = Connection::open(stage.gateway.callers).unwrap();
    let body = vec![b'x'; MAX_BODY_BYTES];
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Skylarkhook-Request-Id: a\r\n\
         X-Skylarkhook-Deadline-Ms: 9000\r\nAuthorization: Token k1\r\n\
         Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    connection.send(&head).unwrap();
    // 2.4 s of the 3 s that the configuration allows.
    for piece in body.chunks(MAX_BODY_BYTES / 24) {
        thread::sleep(Duration::from_millis(100));
        connection.send_bytes(piece).unwrap();
    }
    let answer = connection.read_answer().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(stage.runs.of("a"), 1);
}

/// Well-behaved callers send the whole body before they read.
#[test]
fn a_caller_that_sends_its_whole_body_sees_the_refusal() {
    let stage = stage(112);
    for (path, length, status) in [
        ("/none/1", MAX_BODY_BYTES, 404),
        ("/once/1", MAX_BODY_BYTES + 1, 413),
    ] {
        let mut connection = Connection::open(stage.gateway.callers).unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Skylarkhook-Request-Id: b\r\n\
             Authorization: Token k1\r\nContent-Length: {length}\r\n\r\n"
        );
        connection.send(&head).unwrap();
        connection.send_bytes(&vec![b'x'; length]).unwrap();
        let answer = connection.read_answer().unwrap();
        assert_eq!((answer.status, answer.whole), (status, true), "{answer:?}");
        assert!(answer.head.to_lowercase().contains("connection: close"));
    }
    assert_eq!(stage.runs.of("b"), 0);
}
