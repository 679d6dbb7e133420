//! Each way a connection can fail has its own verdict; `NotRun` is reported only
//! if no backend server can have run the call.

mod order;
mod service;
mod stream;

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
use crate::metrics::Metrics;
use crate::relay::CallerEvent;
use crate::relay::CallerSide;
use crate::relay::Relays;

const REQUEST: RequestId = RequestId(0xab);
/// Timeout that is only reached if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n";

/// The traffic of one instance with one waiting caller.
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
        let client = Arc::new(HttpBackendClient::new(cfg));
        let traffic = Traffic::new(TrafficSettings::default(), client, relays, tx);
        Rig {
            traffic,
            control,
            caller,
            metrics,
        }
    }

    fn event(&self) -> AttemptEvent {
        match self.control.recv_timeout(TEST_TIMEOUT).unwrap() {
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

/// Starts a backend server that reads one request per connection and answers it
/// with `respond`; returns its address and the requests.
fn backend<F>(respond: F) -> (SocketAddr, flume::Receiver<String>)
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
            respond(number, &mut stream);
        }
    });
    (addr, requests)
}

/// Reads a request; returns request line, headers and body.
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

fn token_frame(attempt: u32, offset: u32, text: &str) -> String {
    format!(
        "{{\"request\":\"{REQUEST}\",\"attempt\":{attempt},\"offset\":{offset},\"text\":\"{text}\"}}\n"
    )
}

fn finish_frame(attempt: u32, offset: u32) -> String {
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
