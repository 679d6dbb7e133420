//! Tests over real sockets: each request gets its own complete answer or one
//! precise error, whatever the caller sends, and the listener keeps serving.

mod bad_input;
mod callers;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::*;
use crate::id::AttemptId;
use crate::relay::AttemptSide;

/// Timeout that is only reached if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const TOKEN: &str = "a-token-nobody-may-see";

/// An entry with the test in place of the control core.
struct Rig {
    entry: Entry,
    control: flume::Receiver<Input>,
    ports: Ports,
}

impl Rig {
    fn start(cfg: EntrySettings) -> Rig {
        let metrics = Arc::new(Metrics::new());
        let (tx, control) = flume::unbounded();
        let ports = Ports {
            relays: Relays::new(Arc::clone(&metrics)),
            answers: Answers::new(tx.clone()),
            control: tx,
            metrics,
        };
        let entry = Entry::start(cfg, ports.clone()).unwrap();
        Rig {
            entry,
            control,
            ports,
        }
    }

    fn send(&self, text: &str) -> Connection {
        let stream = TcpStream::connect(self.entry.addr()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut connection = Connection(BufReader::new(stream));
        connection.send(text);
        connection
    }

    /// Posts a body and returns the connection and the submission to the core.
    fn submit(&self, path: &str, body: &str) -> (Connection, Submission) {
        let connection = self.send(&post(path, "", body));
        (connection, self.submission())
    }

    fn submission(&self) -> Submission {
        match self.control.recv_timeout(TEST_TIMEOUT).unwrap() {
            Input::Submit(submission) => submission,
            other => panic!("unexpected input: {other:?}"),
        }
    }

    fn begin_attempt(&self, submission: &Submission) -> AttemptSide {
        let side = self.ports.relays.announce(AttemptId {
            request: submission.request,
            number: 1,
        });
        side.begin().unwrap();
        side
    }
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {TOKEN}\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

struct Connection(BufReader<TcpStream>);

impl Connection {
    fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line
    }

    /// Reads the response head; returns the status code and the raw head.
    fn head(&mut self) -> (u16, String) {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let line = self.line();
            assert!(!line.is_empty(), "cut off: {head}");
            head.push_str(&line);
        }
        (head[9..12].parse().unwrap(), head)
    }

    /// Reads a response with `Content-Length`; returns status code, head and JSON
    /// body.
    fn answer(&mut self) -> (u16, String, Value) {
        let (status, head) = self.head();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok())
            .unwrap();
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        (status, head, serde_json::from_slice(&body).unwrap())
    }

    /// Reads the next event, without chunk framing and comments.
    fn event(&mut self) -> String {
        let mut event = String::new();
        loop {
            let line = self.line();
            assert!(!line.is_empty(), "cut off: {event}");
            let text = line.trim_end();
            if line.starts_with("data: ") || line.starts_with("event: ") {
                event.push_str(text);
            }
            if text.is_empty() && !event.is_empty() {
                return event;
            }
        }
    }
}

const CHAT: &str = "/v1/chat/completions";
const COMPLETION: &str = "/v1/completions";
const STREAMED: &str = r#"{"model":"m","prompt":"p","stream":true}"#;
const NOT_STREAMED: &str = r#"{"model":"m","prompt":"p"}"#;
