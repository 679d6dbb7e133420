//! A store that returns from an older copy: it has lost what was written since, and
//! gives revisions out again.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use tempfile::TempDir;

use crate::backend::Backend;
use crate::backend::Runs;
use crate::platform::Store;
use crate::platform::configuration_with;
use crate::process::Answer;
use crate::process::Gateway;
use crate::process::call;

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(700);
/// Longest wait for a change to take effect; far more than it takes.
const LIMIT: Duration = Duration::from_secs(15);
/// Writes to the store between the copy and its return.
const LOST_WRITES: u64 = 20;
/// Time in which an instance sends some heartbeats.
const HEARTBEATS: Duration = Duration::from_millis(1_500);
/// Time after which a key that was taken away must not be used.
const REVOKE_LIMIT: Duration = Duration::from_secs(5);
/// Time in which an instance that registers twice has done so.
const SECOND_LEASE_TIME: Duration = Duration::from_millis(200);
/// Calls that show that something is not used.
const CALLS: usize = 20;

struct Stage {
    dir: TempDir,
    store: Store,
    addr: SocketAddr,
    backends: Vec<Backend>,
}

/// Starts a store with version 3 of the configuration, which has the keys `k1` and
/// `k2`, and with two backend servers.
fn stage() -> Stage {
    let (store, addr) = Store::start().unwrap();
    let runs = Runs::default();
    let backends: Vec<Backend> = ["i-1", "i-2"]
        .iter()
        .map(|id| Backend::start(id, runs.clone()).unwrap())
        .collect();
    let stage = Stage {
        dir: tempfile::tempdir().unwrap(),
        store,
        addr,
        backends,
    };
    stage.configure(3, &["k1", "k2"], &["once", "again", "dropped"]);
    for index in 0..stage.backends.len() {
        stage.write_entry(index, "ready", 1);
    }
    stage
}

impl Stage {
    fn start(&self, name: &str) -> Gateway {
        Gateway::start(self.dir.path(), name, self.addr)
    }

    fn configure(&self, version: u64, keys: &[&str], routes: &[&str]) {
        let configuration = configuration_with(version, keys, routes);
        self.store.put("op/config", configuration.as_bytes());
    }

    fn write_entry(&self, backend: usize, state: &str, sequence: u64) {
        let backend = &self.backends[backend];
        let entry = backend.entry_written(state, sequence);
        self.store
            .put(&format!("servers/{}", backend.id), entry.as_bytes());
    }

    /// Takes the key `k2` and the route `dropped` away and lets the first server
    /// drain, among further writes.
    fn change(&self) {
        for n in 0..LOST_WRITES {
            self.store.put("op/note", n.to_string().as_bytes());
        }
        self.configure(4, &["k1"], &["once", "again"]);
        self.write_entry(0, "draining", 2);
    }

    fn received(&self, backend: usize) -> u64 {
        self.backends[backend]
            .faults
            .received
            .load(Ordering::SeqCst)
    }
}

fn send(gateway: &Gateway, path: &str, key: &str) -> Answer {
    static LAST_ID: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let id = LAST_ID.fetch_add(1, Ordering::SeqCst).to_string();
    let authorization = format!("Token {key}");
    let headers = [
        ("X-Skylarkhook-Request-Id", id.as_str()),
        ("X-Skylarkhook-Deadline-Ms", "3000"),
        ("Authorization", authorization.as_str()),
    ];
    call(gateway.callers, "POST", path, &headers, "x").unwrap()
}

/// Sends requests until one is answered with `status`.
fn wait_status(gateway: &Gateway, path: &str, key: &str, status: u16) {
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        if send(gateway, path, key).status == status {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let answer = send(gateway, path, key);
    let log = gateway.log();
    panic!("{path} with {key} is answered {answer:?}, not {status}: {log:#?}");
}

#[test]
fn changes_are_applied_after_the_store_returned_from_an_older_copy() {
    let stage = stage();
    let gateway = stage.start("g1");
    gateway.wait_ready();
    for round in 0..2 {
        let copy = stage.store.copy();
        for n in 0..LOST_WRITES {
            stage.store.put("op/note", n.to_string().as_bytes());
        }
        let version = 10 * (round + 1);
        let name = format!("added{round}");
        stage.configure(version, &["k1", "k2"], &["once", "again", "dropped"]);
        stage.write_entry(0, "ready", version);
        wait_status(&gateway, "/again/1", "k1", 200);
        stage.store.return_from(&copy, AWAY);
        stage.configure(version, &["k1", "k2"], &["once", "again", "dropped"]);
        stage.write_entry(0, "ready", version);
        stage.configure(version + 1, &["k1"], &["once", "again", &name]);
        wait_status(&gateway, &format!("/{name}/1"), "k1", 200);
        wait_status(&gateway, "/dropped/1", "k1", 404);
        wait_status(&gateway, "/again/1", "k2", 401);
    }
    stage.write_entry(0, "draining", 30);
    stage.store.remove("servers/i-2");
    wait_status(&gateway, "/again/1", "k1", 503);
    let received = stage.received(0);
    for _ in 0..CALLS {
        assert_eq!(send(&gateway, "/again/1", "k1").status, 503);
    }
    assert_eq!(stage.received(0), received);
}

#[test]
fn what_is_in_force_does_not_go_back_with_the_store() {
    let stage = stage();
    let gateway = stage.start("g1");
    gateway.wait_ready();
    let copy = stage.store.copy();
    stage.change();
    wait_status(&gateway, "/dropped/1", "k1", 404);
    gateway.wait_line_with("backend server listed", "draining", true);
    stage.store.return_from(&copy, AWAY);
    gateway.wait_line("store returned from an older copy");
    let received = stage.received(0);
    // The operators and the server have not written again yet.
    for _ in 0..CALLS {
        for (path, key) in [("/dropped/1", "k1"), ("/again/1", "k2")] {
            let answer = send(&gateway, path, key);
            assert!(matches!(answer.status, 401 | 404 | 503), "{answer:?}");
        }
        let answer = send(&gateway, "/again/1", "k1");
        assert!(matches!(answer.status, 200 | 503), "{answer:?}");
        thread::sleep(Duration::from_millis(50));
    }
    stage.configure(4, &["k1"], &["once", "again"]);
    stage.write_entry(0, "draining", 3);
    wait_status(&gateway, "/again/1", "k1", 200);
    wait_status(&gateway, "/again/1", "k2", 401);
    assert_eq!(stage.received(0), received);
}

#[test]
fn an_instance_that_starts_before_the_operators_write_again_lets_no_revoked_key_in() {
    let stage = stage();
    let peer = stage.start("g1");
    peer.wait_ready();
    let copy = stage.store.copy();
    stage.change();
    wait_status(&peer, "/dropped/1", "k1", 404);
    stage.store.return_from(&copy, AWAY);
    peer.wait_line("store returned from an older copy");
    let started = stage.start("g2");
    for _ in 0..CALLS {
        assert_ne!(send(&started, "/again/1", "k2").status, 200);
        thread::sleep(Duration::from_millis(50));
    }
    stage.configure(4, &["k1"], &["once", "again"]);
    wait_status(&started, "/again/1", "k1", 200);
    wait_status(&started, "/again/1", "k2", 401);
}

#[test]
fn an_instance_that_was_suspended_takes_no_waiting_heartbeat_for_a_fresh_proof() {
    let stage = stage();
    let [suspended, other] = ["g1", "g2"].map(|name| stage.start(name));
    suspended.wait_ready();
    other.wait_ready();
    suspended.wait_metric("skylarkhook_members_live", 1);
    other.wait_metric("skylarkhook_members_live", 1);
    suspended.signal(Signal::SIGSTOP);
    // Heartbeats of the other instance wait in the socket.
    thread::sleep(HEARTBEATS);
    other.signal(Signal::SIGSTOP);
    stage.store.down.store(true, Ordering::SeqCst);
    thread::sleep(REVOKE_LIMIT);
    suspended.signal(Signal::SIGCONT);
    for _ in 0..CALLS {
        assert_ne!(send(&suspended, "/again/1", "k2").status, 200);
        thread::sleep(Duration::from_millis(50));
    }
    other.signal(Signal::SIGCONT);
    stage.store.down.store(false, Ordering::SeqCst);
    wait_status(&suspended, "/again/1", "k2", 200);
}

#[test]
fn an_instance_registers_again_after_the_store_lost_its_entry() {
    let stage = stage();
    let copy = stage.store.copy();
    let gateway = stage.start("g1");
    gateway.wait_ready();
    let wait_registered = || {
        let until = Instant::now() + LIMIT;
        while !stage.store.holds("instances/g1") {
            assert!(Instant::now() < until, "not registered");
            thread::sleep(Duration::from_millis(5));
        }
    };
    wait_registered();
    gateway.wait_ready();
    thread::sleep(SECOND_LEASE_TIME);
    assert_eq!(stage.store.leases(), 1);
    stage.store.return_from(&copy, AWAY);
    // Another instance is given the lease that this one had.
    let lease = call(stage.addr, "POST", "/skylarkhook/kv-lease", &[], "{}").unwrap();
    assert!(lease.body.contains(r#""lease":1,"#), "{lease:?}");
    wait_registered();
}
