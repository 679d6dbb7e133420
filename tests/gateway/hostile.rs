//! Callers that do not behave. Their load is bounded in connections and time.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::memory::MAX_BODY_BYTES;
use crate::process::Gateway;

/// Connections that send much.
const SENDERS: usize = 60;
/// Threads whose connections send little, and connections of each: more than a
/// small machine has places for.
const IDLERS: usize = 40;
const CONNECTIONS_OF_IDLER: usize = 30;
/// Pause of a hostile caller between two connections.
const HOSTILE_PAUSE: Duration = Duration::from_millis(100);
/// Longest write of a hostile caller.
const WRITE_LIMIT: Duration = Duration::from_millis(300);

/// What a hostile caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// A body of legal size that stops short of its end.
    HeldBody,
    /// The same in chunks of one byte.
    HeldChunks,
    /// Chunks whose extension does not end.
    EndlessExtension,
    /// A body far over the limit.
    Oversized,
    /// A whole body of legal size.
    WholeBody,
    /// A head of many short fields.
    ManyFields,
    /// A head that does not end.
    EndlessHead,
    /// Requests sent ahead, whose answers are not read.
    Pipelined,
    /// Nothing.
    Silent,
}

impl Shape {
    pub const ALL: [Shape; 9] = [
        Shape::HeldBody,
        Shape::HeldChunks,
        Shape::EndlessExtension,
        Shape::Oversized,
        Shape::WholeBody,
        Shape::ManyFields,
        Shape::EndlessHead,
        Shape::Pipelined,
        Shape::Silent,
    ];

    fn is_idle(self) -> bool {
        matches!(self, Shape::EndlessHead | Shape::Silent)
    }

    pub fn threads(self) -> usize {
        match self.is_idle() {
            true => IDLERS,
            false => SENDERS,
        }
    }

    /// Returns the bytes that one connection sends.
    fn bytes(self, path: &str, id: &str) -> Vec<u8> {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Skylarkhook-Request-Id: {id}\r\n\
             X-Skylarkhook-Deadline-Ms: 3000\r\nAuthorization: Token k1\r\n"
        );
        let sized = |length: usize, sent: usize| {
            let head = format!("{head}Content-Length: {length}\r\n\r\n");
            [head.into_bytes(), vec![b'x'; sent]].concat()
        };
        let chunked =
            |rest: String| format!("{head}Transfer-Encoding: chunked\r\n\r\n{rest}").into_bytes();
        match self {
            Shape::HeldBody => sized(MAX_BODY_BYTES, MAX_BODY_BYTES - 100),
            Shape::HeldChunks => chunked("1\r\nx\r\n".repeat(300_000)),
            Shape::EndlessExtension => chunked(format!("5;{}", "x".repeat(1_000_000))),
            Shape::Oversized => sized(16 * MAX_BODY_BYTES, 2 * MAX_BODY_BYTES),
            Shape::WholeBody => sized(MAX_BODY_BYTES, MAX_BODY_BYTES),
            Shape::ManyFields => format!("{head}{}\r\n", "a:\r\n".repeat(3_500)).into_bytes(),
            Shape::EndlessHead => format!("{head}X-Filler: {}", "x".repeat(15_000)).into_bytes(),
            Shape::Pipelined => {
                let one = format!("GET {path}bytes10000 HTTP/1.1\r\nHost: h.example\r\n\r\n");
                one.repeat(2_000).into_bytes()
            }
            Shape::Silent => Vec::new(),
        }
    }
}

/// Where a hostile caller sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Route,
    NoRoute,
    /// The path of the readiness check, at the callers' address.
    ReadyPath,
    Status,
    Metrics,
    Peers,
}

impl Place {
    pub const ALL: [Place; 6] = [
        Place::Route,
        Place::NoRoute,
        Place::ReadyPath,
        Place::Status,
        Place::Metrics,
        Place::Peers,
    ];

    fn path(self) -> &'static str {
        match self {
            Place::Route | Place::Peers => "/once/",
            Place::NoRoute => "/none/",
            Place::ReadyPath | Place::Status => "/skylarkhook/ready",
            Place::Metrics => "/metrics",
        }
    }

    fn addr(self, gateway: &Gateway) -> SocketAddr {
        match self {
            Place::Route | Place::NoRoute | Place::ReadyPath => gateway.callers,
            Place::Status | Place::Metrics => gateway.status,
            Place::Peers => gateway.peers,
        }
    }
}

/// Sends one shape again and again until a time; returns the ids of requests that
/// were refused as not run.
pub fn press(
    shape: Shape,
    place: Place,
    gateway: &Gateway,
    until: Instant,
    name: &str,
) -> Vec<String> {
    let addr = place.addr(gateway);
    let mut refused = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("{name}-{number}");
        let bytes = shape.bytes(place.path(), &id);
        if shape.is_idle() {
            stay_open(addr, &bytes, until);
            continue;
        }
        // The gateway may close or refuse any of these connections.
        if let Ok(Some(400..=499 | 503)) = send_once(shape, addr, &bytes, until) {
            refused.push(id);
        }
        thread::sleep(HOSTILE_PAUSE);
    }
    refused
}

/// Opens connections that send little, and keeps them open.
fn stay_open(addr: SocketAddr, bytes: &[u8], until: Instant) {
    let open: Vec<_> = (0..CONNECTIONS_OF_IDLER)
        .filter_map(|_| {
            let mut stream = TcpStream::connect_timeout(&addr, WRITE_LIMIT).ok()?;
            stream.set_write_timeout(Some(WRITE_LIMIT)).ok()?;
            stream.write_all(bytes).ok()?;
            Some(stream)
        })
        .collect();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    drop(open);
}

/// Sends bytes on a new connection and keeps it open; returns the status of the
/// answer, if there is one.
fn send_once(
    shape: Shape,
    addr: SocketAddr,
    bytes: &[u8],
    until: Instant,
) -> io::Result<Option<u16>> {
    let mut stream = TcpStream::connect_timeout(&addr, WRITE_LIMIT)?;
    stream.set_write_timeout(Some(WRITE_LIMIT))?;
    let written = stream.write_all(bytes);
    if shape == Shape::Pipelined {
        thread::sleep(until.saturating_duration_since(Instant::now()));
        return Ok(None);
    }
    let mut head = [0; 64];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(None);
        }
        stream.set_read_timeout(Some(left))?;
        let read = stream.read(&mut head)?;
        if read == 0 {
            written?;
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&head[..read]);
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        if status.is_some() {
            return Ok(status);
        }
    }
}
