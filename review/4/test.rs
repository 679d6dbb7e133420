//! The two processes that watch the backend servers' entries are killed at the
//! same moment and restarted. A server that starts to drain then goes on getting
//! requests through the other gateways for longer than `drainMs`.

#[path = "../tests/standins.rs"]
mod standins;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use standins::Gateway;
use standins::Server;
use standins::Store;
use standins::record;
use standins::sleep_ms;

/// `drainMs` of the deployment.
const DRAIN_MS: u64 = 2_000;
/// Time after the start in which the gateways settle, over `stableWindowMs`.
const SETTLE_MS: u64 = 5_000;
/// Time for which the killed processes are down.
const DOWN_MS: u64 = 750;
/// Times that this is played.
const ROUNDS: u64 = 5;
const MACHINES: [(&str, &str); 6] = [
    ("front-ikeja-1", "ikeja"),
    ("front-ikeja-2", "ikeja"),
    ("front-lekki-1", "lekki"),
    ("front-lekki-2", "lekki"),
    ("front-yaba-1", "yaba"),
    ("front-yaba-2", "yaba"),
];
/// Callers, each of which sends a request about each 60 ms.
const CALLERS: usize = 6;

/// Sends requests through all gateways that run, until told to stop. Returns ids
/// of requests with the gateway that took them.
fn send_requests(
    caller: usize,
    gateways: &[Gateway],
    is_over: &AtomicBool,
    sent: &Mutex<Vec<(String, String)>>,
) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        sleep_ms(60);
        let gateway = &gateways[(number + caller) % gateways.len()];
        if !gateway.is_up.load(Ordering::SeqCst) {
            continue;
        }
        let id = format!("{caller:02}-{number:05}");
        let head = format!(
            "GET /status/queue HTTP/1.1\r\nHost: calls.example\r\nX-Skylarkhook-Request-Id: {id}\r\n\
             X-Skylarkhook-Deadline-Ms: 1500\r\nAuthorization: Token key-one\r\n\r\n"
        );
        sent.lock()
            .unwrap()
            .push((id.clone(), gateway.name.clone()));
        let answer = standins::call(gateway.callers, &head, &[], Duration::from_secs(2));
        let outcome = match answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        record(&format!("request {id} through {}: {outcome}", gateway.name));
    }
}

/// Returns the gateways that watch the servers' entries for all, as they log it.
fn watchers(gateways: &[Gateway]) -> Vec<&Gateway> {
    let watches = |gateway: &&Gateway| {
        let changes = gateway.lines_with("watch of the store changed");
        changes.last().is_some_and(|line| line.contains("Closely"))
    };
    gateways.iter().filter(watches).collect()
}

/// A server that drained, and what was killed just before.
struct Round {
    server: Arc<Server>,
    drained_at: u64,
    killed: Vec<String>,
}

/// Adds a server, kills the watching processes, lets the server drain and starts the
/// processes again.
fn play_round(number: u64, store: &Store, gateways: &[Gateway]) -> Round {
    let server = Server::start(&format!("i-ikeja-{number}"), "callback-app", "ikeja", 30);
    server.register(store, "ready");
    // Another time of the gateways' periods in each round.
    sleep_ms(SETTLE_MS + 170 * number);
    let victims = match standins::with_trouble() {
        true => watchers(gateways),
        false => Vec::new(),
    };
    for victim in &victims {
        victim.kill();
        record(&format!("{} is killed", victim.name));
    }
    if standins::with_trouble() && victims.len() != 2 {
        standins::cannot_run("there were not two watching gateways");
    }
    sleep_ms(10);
    server.register(store, "draining");
    let drained_at = standins::now_ms();
    sleep_ms(DOWN_MS - 10);
    for victim in &victims {
        victim.restart();
        record(&format!("{} is started again", victim.name));
    }
    sleep_ms(4_000);
    store.remove(&format!("servers/{}", server.id));
    record(&format!("server {} has left", server.id));
    Round {
        server,
        drained_at,
        killed: victims.iter().map(|victim| victim.name.clone()).collect(),
    }
}

/// Counts the requests that reached the server too late through gateways that were
/// not disrupted.
fn count_late(round: &Round, sent: &[(String, String)]) -> usize {
    let mut late = 0;
    for arrival in round.server.arrivals.lock().unwrap().iter() {
        let after = arrival.at_ms.saturating_sub(round.drained_at);
        let through = sent.iter().find(|(id, _)| *id == arrival.request_id);
        let Some((_, gateway)) = through.filter(|(_, gateway)| !round.killed.contains(gateway))
        else {
            continue;
        };
        if after > DRAIN_MS {
            late += 1;
            record(&format!(
                "DRAIN: request {} reached server {} through {gateway}, which was not disrupted, \
                 {after} ms after the store acknowledged that it drains (bound {DRAIN_MS} ms)",
                arrival.request_id, arrival.server_id
            ));
        }
    }
    late
}

fn main() {
    standins::open_record();
    let folder = standins::temporary_folder();
    let store = Store::start();
    for zone in ["lekki", "yaba"] {
        Server::start(&format!("i-{zone}"), "callback-app", zone, 30).register(&store, "ready");
    }
    let route = standins::route(
        "queue-status",
        "/status/",
        "callback-app",
        "idempotent",
        false,
    );
    let tenants = "[{\"name\":\"tenant-one\",\"apiKeys\":[\"key-one\"]}]";
    store.put(
        "op/config",
        &standins::configuration(7, &route, &["callback-app"], tenants),
    );
    let gateways: Vec<Gateway> = MACHINES
        .into_iter()
        .map(|(name, zone)| Gateway::start(name, zone, store.addr, &folder))
        .collect();
    standins::wait_ready(&gateways);
    let is_over = AtomicBool::new(false);
    let sent = Mutex::new(Vec::new());
    let mut rounds = Vec::new();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (gateways, is_over, sent) = (&gateways, &is_over, &sent);
            scope.spawn(move || send_requests(caller, gateways, is_over, sent));
        }
        for number in 1..=ROUNDS {
            rounds.push(play_round(number, &store, &gateways));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let sent = sent.into_inner().unwrap();
    let late: usize = rounds.iter().map(|round| count_late(round, &sent)).sum();
    drop(gateways);
    let _ = std::fs::remove_dir_all(folder);
    record(&format!(
        "{late} requests reached the draining server too late"
    ));
    standins::exit(i32::from(late > 0));
}
