//! Callers' connections: when they are idle, and when they are closed.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tempfile::TempDir;

use crate::backend::Backend;
use crate::backend::EVENTS;
use crate::backend::HeldStream;
use crate::backend::Runs;
use crate::platform::Store;
use crate::platform::configuration;
use crate::process::Connection;
use crate::process::Gateway;

/// Idle time-out of the stage's configuration.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Head time-out of the stage's configuration.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest time from a time-out to the end of its connection; far more than it
/// takes.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);
/// Maximum size of a request head in the stage's configuration.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Pause of a stream, in milliseconds: longer than the idle time-out and the
/// interval at which it is checked.
const PAUSE_MS: u64 = 1_300;

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(15);
/// Time within which a backend server notices that a caller has left; shorter
/// than the deadline, which ends the attempt too.
const LEAVE_LIMIT: Duration = Duration::from_secs(5);

struct Stage {
    _dir: TempDir,
    store: Store,
    runs: Runs,
    backend: Backend,
    gateway: Gateway,
}

fn stage() -> Stage {
    let dir = tempfile::tempdir().unwrap();
    let (store, addr) = Store::start().unwrap();
    let runs = Runs::default();
    let backend = Backend::start("i-1", runs.clone()).unwrap();
    store.put("op/config", short_timeouts(3).as_bytes());
    store.put("servers/i-1", backend.entry("ready").as_bytes());
    let gateway = Gateway::start(dir.path(), "g1", addr);
    gateway.wait_ready();
    Stage {
        _dir: dir,
        store,
        runs,
        backend,
        gateway,
    }
}

/// Returns a configuration in which connections soon time out, unlike requests.
fn short_timeouts(version: u64) -> String {
    let mut config: serde_json::Value =
        serde_json::from_str(&configuration(version, &["k1"])).unwrap();
    config["limits"]["idleTimeoutMs"] = as_ms(IDLE_TIMEOUT).into();
    config["limits"]["headerTimeoutMs"] = as_ms(HEAD_TIMEOUT).into();
    config["limits"]["maxHeaderBytes"] = MAX_HEAD_BYTES.into();
    for route in config["routes"].as_array_mut().unwrap() {
        // No pause ends an attempt.
        route["streamResume"] = false.into();
        route["timeoutMs"] = as_ms(DEADLINE).into();
    }
    config.to_string()
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

fn request(path: &str, id: &str) -> String {
    request_within(DEADLINE, path, id)
}

fn request_within(deadline: Duration, path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Skylarkhook-Request-Id: {id}\r\n\
         X-Skylarkhook-Deadline-Ms: {}\r\nAuthorization: Token k1\r\n\
         Content-Length: 1\r\n\r\nx",
        as_ms(deadline)
    )
}

fn whole_stream() -> String {
    (1..=EVENTS)
        .map(|n| format!("id: {n}\ndata: token {n}\n\n"))
        .collect()
}

fn connected(addr: SocketAddr) -> Connection {
    Connection::open(addr).unwrap()
}

#[test]
fn a_connection_is_usable_after_a_stream_with_a_pause() {
    let stage = stage();
    stage
        .backend
        .faults
        .pauses
        .store(PAUSE_MS, Ordering::SeqCst);
    let mut connection = connected(stage.gateway.callers);
    connection.send(&request("/stream/1", "a")).unwrap();
    let answer = connection.read_answer().unwrap();
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, whole_stream());
    assert!(!answer.head.to_lowercase().contains("connection: close"));
    connection.send(&request("/once/1", "b")).unwrap();
    let answer = connection.read_answer().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn idle_time_counts_from_the_end_of_the_response() {
    let stage = stage();
    stage
        .backend
        .faults
        .pauses
        .store(PAUSE_MS, Ordering::SeqCst);
    let mut connection = connected(stage.gateway.callers);
    let sent_at = Instant::now();
    connection.send(&request("/stream/1", "a")).unwrap();
    connection.read_answer().unwrap();
    connection.wait_closed().unwrap();
    // Delays of this thread only add to the time that is measured.
    let after = sent_at.elapsed();
    let pause = Duration::from_millis(PAUSE_MS);
    assert!(after >= pause + IDLE_TIMEOUT, "closed after {after:?}");
    assert!(after < pause + CLOSE_LIMIT, "closed after {after:?}");
}

#[test]
fn a_connection_stays_open_while_a_head_arrives() {
    let stage = stage();
    let mut connection = connected(stage.gateway.callers);
    for id in ["a", "b"] {
        let request = request("/once/1", id);
        let (first, second) = request.split_at(request.len() / 2);
        connection.send(first).unwrap();
        thread::sleep(IDLE_TIMEOUT + Duration::from_millis(700));
        connection.send(second).unwrap();
        let answer = connection.read_answer().unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[test]
fn a_connection_is_closed_when_a_head_takes_too_long() {
    let stage = stage();
    let mut fresh = connected(stage.gateway.callers);
    let mut used = connected(stage.gateway.callers);
    used.send(&request("/once/1", "a")).unwrap();
    used.read_answer().unwrap();
    let began_at = Instant::now();
    for connection in [&mut used, &mut fresh] {
        connection.send("POST /once/1 HTTP/1.1\r\n").unwrap();
    }
    for connection in [&mut used, &mut fresh] {
        connection.wait_closed().unwrap();
        let after = began_at.elapsed();
        assert!(after >= HEAD_TIMEOUT, "closed after {after:?}");
        assert!(after < CLOSE_LIMIT, "closed after {after:?}");
    }
}

#[test]
fn an_aborted_response_is_logged() {
    let stage = stage();
    stage.backend.faults.broken.store(10, Ordering::SeqCst);
    let mut connection = connected(stage.gateway.callers);
    // The stand-in leaves the connection open, so that the deadline ends it.
    let request = request_within(Duration::from_secs(1), "/stream/1", "a");
    connection.send(&request).unwrap();
    let answer = connection.read_answer();
    assert!(answer.is_err(), "{answer:?}");
    let closed = stage.gateway.wait_line("caller's connection closed");
    assert_eq!(closed["cause"], "response_aborted");
}

#[test]
fn a_backend_server_is_released_when_a_caller_leaves_during_a_pause() {
    let stage = stage();
    let held = HeldStream::start("i-2").unwrap();
    stage.store.put("servers/i-2", held.entry.as_bytes());
    stage.store.remove("servers/i-1");
    stage
        .gateway
        .wait_line_with("backend server listed", "server", "i-2");
    stage.gateway.wait_line("backend server gone");
    let mut connection = connected(stage.gateway.callers);
    connection.send(&request("/stream/1", "a")).unwrap();
    let mut received = String::new();
    while !received.contains("token 1") {
        connection.read_line(&mut received).unwrap();
    }
    drop(connection);
    assert!(held.is_closed_within(LEAVE_LIMIT));
}

/// Guards against requests that reach a server after their caller has left: hyper does
/// not look at a connection while bytes are left that it has not read.
#[test]
fn requests_that_were_sent_ahead_are_dropped_when_their_caller_leaves() {
    let stage = stage();
    let held = HeldStream::start("i-2").unwrap();
    stage.store.put("servers/i-2", held.entry.as_bytes());
    stage.store.remove("servers/i-1");
    stage
        .gateway
        .wait_line_with("backend server listed", "server", "i-2");
    stage.gateway.wait_line("backend server gone");
    let mut connection = connected(stage.gateway.callers);
    let text = request("/stream/1", "a") + &request("/stream/1", "b");
    connection.send(&text).unwrap();
    let mut received = String::new();
    while !received.contains("token 1") {
        connection.read_line(&mut received).unwrap();
    }
    drop(connection);
    assert!(held.is_closed_within(LEAVE_LIMIT));
    let log = stage.gateway.log();
    let is_known = |id| {
        log.iter()
            .any(|line| line.contains(&format!("\"request\":\"{id}\"")))
    };
    assert!(is_known("a") && !is_known("b"), "{log:?}");
}

/// Returns a request whose body has two lengths, with a head of at least the
/// given size.
fn ambiguous_request(id: &str, head_bytes: usize) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Skylarkhook-Request-Id: {id}\r\n\
         Authorization: Token k1\r\nContent-Length: 4\r\nX-Filler: {}\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "x".repeat(head_bytes)
    )
}

#[test]
fn a_long_head_with_two_lengths_is_refused() {
    let stage = stage();
    let mut connection = connected(stage.gateway.callers);
    let request = ambiguous_request("a", MAX_HEAD_BYTES / 2);
    connection.send(&request).unwrap();
    let answer = connection.read_answer().unwrap();
    assert_eq!(answer.status, 400, "{answer:?}");
    assert_eq!(stage.runs.of("a"), 0);
}

#[test]
fn a_pipelined_head_with_two_lengths_is_refused() {
    let stage = stage();
    let mut connection = connected(stage.gateway.callers);
    let sized = request("/once/1", "a");
    let chunked = request("/once/1", "b").replace(
        "Content-Length: 1\r\n\r\nx",
        "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    );
    let text = sized + &chunked + &ambiguous_request("c", 0);
    connection.send(&text).unwrap();
    for status in [200, 200, 400] {
        let answer = connection.read_answer().unwrap();
        assert_eq!(answer.status, status, "{answer:?}");
    }
    let runs = ["a", "b", "c"].map(|id| stage.runs.of(id));
    assert_eq!(runs, [1, 1, 0]);
}

/// The first half of the second head arrives before the first response, so that
/// no byte marks its beginning while the connection is idle.
#[test]
fn a_connection_stays_open_while_a_pipelined_head_arrives() {
    let stage = stage();
    let mut connection = connected(stage.gateway.callers);
    let second = request("/once/1", "b");
    let (begin, rest) = second.split_at(second.len() / 2);
    connection.send(&(request("/once/1", "a") + begin)).unwrap();
    assert_eq!(connection.read_answer().unwrap().status, 200);
    thread::sleep(IDLE_TIMEOUT + Duration::from_millis(700));
    connection.send(rest).unwrap();
    let answer = connection.read_answer().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}
