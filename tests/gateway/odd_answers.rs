//! Answers of backend servers that are none of the protocol, or that are not complete.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use tempfile::TempDir;

use crate::backend::Request;
use crate::backend::Scripted;
use crate::backend::entry;
use crate::platform::Store;
use crate::platform::configuration;
use crate::process::Answer;
use crate::process::Gateway;
use crate::process::call;

/// Paths of calls that may be repeated, of calls that may not, and of streams.
const PATHS: [&str; 3] = ["/again/1", "/once/1", "/stream/1"];
/// Size of a body that does not fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;

struct Stage {
    _dir: TempDir,
    _store: Store,
    gateway: Gateway,
}

/// Starts a gateway before one server.
fn stage(server_entry: &str) -> Stage {
    let dir = tempfile::tempdir().unwrap();
    let (store, addr) = Store::start().unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&configuration(3, &["k1"])).unwrap();
    config["limits"]["maxBodyBytes"] = (2 * UPLOAD_BYTES).into();
    store.put("op/config", config.to_string().as_bytes());
    store.put("servers/i-1", server_entry.as_bytes());
    let gateway = Gateway::start(dir.path(), "g1", addr);
    gateway.wait_ready();
    Stage {
        _dir: dir,
        _store: store,
        gateway,
    }
}

impl Stage {
    fn ask(&self, path: &str, body: &str) -> Answer {
        let headers = [
            ("X-Skylarkhook-Request-Id", "a"),
            ("X-Skylarkhook-Deadline-Ms", "2500"),
            ("Authorization", "Token k1"),
        ];
        call(self.gateway.callers, "POST", path, &headers, body).unwrap()
    }
}

fn head(status: &str, request: &Request) -> String {
    let id = request.header("x-skylarkhook-request-id");
    format!(
        "HTTP/1.1 {status}\r\nX-Skylarkhook-Request-Id: {id}\r\n\
         X-Skylarkhook-Server-Stamp: i-1.1\r\n"
    )
}

/// Guards against callers that get what a server in trouble has sent as if it were an
/// answer.
#[test]
fn statuses_that_the_protocol_does_not_have_are_not_passed_on() {
    for status in ["600 S", "999 S", "000 S", "101 Switching Protocols"] {
        for path in PATHS {
            let server = Scripted::start(move |request, _, stream| {
                let answer = head(status, request) + "Content-Length: 2\r\n\r\nok";
                stream.write_all(answer.as_bytes())
            });
            let answer = stage(&server.unwrap().entry).ask(path, "x");
            assert_eq!(answer.status, 502, "{status} {path} {answer:?}");
            assert!(!answer.head.contains("i-1.1"), "{status} {path} {answer:?}");
        }
    }
}

/// Interim answers are skipped, also without end; the answer behind them is passed on.
#[test]
fn interim_answers_are_skipped() {
    for (interim, expected) in [(1_000, 200), (usize::MAX, 504)] {
        let server = Scripted::start(move |request, _, stream| {
            for _ in 0..interim {
                stream.write_all(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")?;
            }
            let answer = head("200 OK", request) + "Content-Length: 2\r\n\r\nok";
            stream.write_all(answer.as_bytes())
        });
        let stage = stage(&server.unwrap().entry);
        let answer = stage.ask("/once/1", "x");
        assert_eq!(answer.status, expected, "{answer:?}");
        let peak = stage.gateway.peak_memory_bytes();
        assert!(peak < 64 * 1024 * 1024, "{peak}");
    }
}

/// Starts a server that answers a request with 200 and no length before it has read the
/// body, sends part of its own body, and resets the connection.
fn early_server() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || answer_early(stream));
        }
    });
    Ok(addr)
}

fn answer_early(stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    let mut id = String::new();
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("x-skylarkhook-request-id")
        {
            id = value.trim().to_owned();
        }
        line.clear();
    }
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Skylarkhook-Request-Id: {id}\r\n\
         X-Skylarkhook-Server-Stamp: i-1.1\r\n\r\nid: 1\ndata: part\n\n"
    );
    let mut stream = reader.into_inner();
    stream.write_all(text.as_bytes())?;
    thread::sleep(Duration::from_millis(100));
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}

/// Guards against a part of an answer that looks complete: an answer without a length
/// ends with its connection, and one that is reset is not complete.
#[test]
fn an_early_answer_that_is_reset_during_the_upload_does_not_look_complete() {
    let upload = "x".repeat(UPLOAD_BYTES);
    for path in PATHS {
        for body in ["x", upload.as_str()] {
            let stage = stage(&entry(early_server().unwrap(), "ready", 1));
            let answer = stage.ask(path, body);
            // What a stream gave before is passed on as it arrives.
            let is_cut = path == "/stream/1" && answer.status == 200 && !answer.whole;
            let len = body.len();
            assert!(is_cut || answer.status == 502, "{path} {len} {answer:?}");
        }
    }
}
