//! Callers' connections: when they are idle, and when they are closed.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tempfile::TempDir;

use crate::platform::Backend;
use crate::platform::EVENTS;
use crate::platform::Runs;
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
/// Pause of a stream, in milliseconds: longer than the idle time-out and the
/// interval at which it is checked, shorter than a gap that ends an attempt.
const PAUSE_MS: u64 = 1_300;

struct Stage {
    _dir: TempDir,
    _store: Store,
    backend: Backend,
    gateway: Gateway,
}

fn stage() -> Stage {
    let dir = tempfile::tempdir().unwrap();
    let (store, addr) = Store::start().unwrap();
    let backend = Backend::start("i-1", Runs::default()).unwrap();
    store.put("op/config", short_timeouts(3).as_bytes());
    store.put("servers/i-1", backend.entry("ready").as_bytes());
    let gateway = Gateway::start(dir.path(), "g1", addr);
    gateway.wait_ready();
    Stage {
        _dir: dir,
        _store: store,
        backend,
        gateway,
    }
}

fn short_timeouts(version: u64) -> String {
    let mut config: serde_json::Value =
        serde_json::from_str(&configuration(version, &["k1"])).unwrap();
    config["limits"]["idleTimeoutMs"] = as_ms(IDLE_TIMEOUT).into();
    config["limits"]["headerTimeoutMs"] = as_ms(HEAD_TIMEOUT).into();
    config.to_string()
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Skylarkhook-Request-Id: {id}\r\n\
         X-Skylarkhook-Deadline-Ms: 3500\r\nAuthorization: Token k1\r\n\
         Content-Length: 1\r\n\r\nx"
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
    stage.backend.pauses.store(PAUSE_MS, Ordering::SeqCst);
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
    stage.backend.pauses.store(PAUSE_MS, Ordering::SeqCst);
    let mut connection = connected(stage.gateway.callers);
    connection.send(&request("/stream/1", "a")).unwrap();
    connection.read_answer().unwrap();
    let ended_at = Instant::now();
    connection.wait_closed().unwrap();
    let idle = ended_at.elapsed();
    // The end is seen a little later here than by the gateway.
    assert!(idle >= IDLE_TIMEOUT * 3 / 4, "closed after {idle:?}");
    assert!(idle < CLOSE_LIMIT, "closed after {idle:?}");
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
        assert!(after >= HEAD_TIMEOUT * 3 / 4, "closed after {after:?}");
        assert!(after < CLOSE_LIMIT, "closed after {after:?}");
    }
}

#[test]
fn an_aborted_response_is_logged() {
    let stage = stage();
    stage.backend.broken.store(10, Ordering::SeqCst);
    let mut connection = connected(stage.gateway.callers);
    connection.send(&request("/stream/1", "a")).unwrap();
    let answer = connection.read_answer();
    assert!(answer.is_err(), "{answer:?}");
    let closed = stage.gateway.wait_line("caller's connection closed");
    assert_eq!(closed["cause"], "response_aborted");
}
