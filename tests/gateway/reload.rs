//! Settings files that change while a gateway serves, with a signal or without.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;

use crate::backend::Backend;
use crate::backend::Runs;
use crate::platform::Store;
use crate::platform::configuration;
use crate::process::Gateway;
use crate::process::call;

/// Longest wait for a change to take effect; far more than it takes.
const LIMIT: Duration = Duration::from_secs(15);

fn send(gateway: &Gateway, id: &str, key: &str) -> u16 {
    let authorization = format!("Token {key}");
    let headers = [
        ("X-Skylarkhook-Request-Id", id),
        ("X-Skylarkhook-Deadline-Ms", "3000"),
        ("Authorization", authorization.as_str()),
    ];
    let answer = call(gateway.callers, "POST", "/again/1", &headers, "x").unwrap();
    answer.status
}

/// Writes another address of the store into the settings file.
fn move_store(dir: &Path, name: &str, from: SocketAddr, to: SocketAddr) {
    let file = dir.join(format!("{name}.ini"));
    let text = fs::read_to_string(&file).unwrap();
    let moved = text.replace(&from.to_string(), &to.to_string());
    assert_ne!(moved, text);
    fs::write(&file, moved).unwrap();
}

/// Starts a gateway, moves the store, and changes the configuration at its new
/// address only.
fn follows_a_store_that_moves(signal: Option<Signal>) {
    let (before, before_addr) = Store::start().unwrap();
    let (after, after_addr) = Store::start().unwrap();
    let backend = Backend::start("i-1", Runs::default()).unwrap();
    before.put("op/config", configuration(1, &["k1"]).as_bytes());
    for store in [&before, &after] {
        store.put("servers/i-1", backend.entry("ready").as_bytes());
    }
    // The new address shows the same items under later revisions.
    after.put("op/config", configuration(1, &["k1"]).as_bytes());
    let dir = tempfile::tempdir().unwrap();
    let mut gateway = Gateway::start(dir.path(), "g0", before_addr);
    gateway.wait_ready();
    assert_eq!(send(&gateway, "r0", "k1"), 200);
    move_store(dir.path(), "g0", before_addr, after_addr);
    if let Some(signal) = signal {
        gateway.signal(signal);
    }
    gateway.wait_line_with("settings changed", "now", "[gateway] store");
    after.put("op/config", configuration(2, &["k2"]).as_bytes());
    gateway.wait_line_with("configuration in force", "version", 2);
    let until = Instant::now() + LIMIT;
    while send(&gateway, "r1", "k2") != 200 {
        assert!(Instant::now() < until, "{:#?}", gateway.log());
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(send(&gateway, "r2", "k1"), 401);
    assert!(gateway.is_running());
}

#[test]
fn a_settings_file_that_changes_without_a_signal_takes_effect() {
    follows_a_store_that_moves(None);
}

#[test]
fn a_settings_file_that_changes_with_a_signal_takes_effect() {
    follows_a_store_that_moves(Some(Signal::SIGHUP));
}

#[test]
fn wrong_settings_and_signals_without_a_change_end_nothing() {
    let (store, addr) = Store::start().unwrap();
    let backend = Backend::start("i-1", Runs::default()).unwrap();
    store.put("op/config", configuration(1, &["k1"]).as_bytes());
    store.put("servers/i-1", backend.entry("ready").as_bytes());
    let dir = tempfile::tempdir().unwrap();
    let mut gateway = Gateway::start(dir.path(), "g0", addr);
    gateway.wait_ready();
    for _ in 0..20 {
        gateway.signal(Signal::SIGHUP);
    }
    fs::write(dir.path().join("g0.ini"), "[gateway]\nlisten = nowhere\n").unwrap();
    gateway.wait_line("changed settings refused; the former ones stay");
    gateway.signal(Signal::SIGHUP);
    fs::remove_file(dir.path().join("g0.ini")).unwrap();
    assert_eq!(send(&gateway, "r0", "k1"), 200);
    assert!(gateway.is_running());
    gateway.signal(Signal::SIGTERM);
    assert_eq!(gateway.wait(), Some(0));
}
