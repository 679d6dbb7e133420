//! A waiting watch is cut, as the store may do at any time. Within two seconds of
//! that, the gateway reads that a server has left, takes the entry for one that lapsed
//! in an outage and keeps the server for a while. The store then goes down, and the
//! gateway keeps the server for as long as the store is down.

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
use standins::now_ms;
use standins::record;
use standins::sleep_ms;

/// `drainMs` of the deployment.
const DRAIN_MS: u64 = 2_000;
/// Time for which the store is down.
const DOWN_MS: u64 = 4_500;
/// Callers, each of which sends a request about each 60 ms.
const CALLERS: usize = 4;
const MACHINES: [(&str, &str); 3] = [
    ("front-ikeja-1", "ikeja"),
    ("front-lekki-1", "lekki"),
    ("front-yaba-1", "yaba"),
];

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

fn main() {
    standins::open_record();
    let folder = standins::temporary_folder();
    let store = Store::start();
    let servers: Vec<Arc<Server>> = ["ikeja", "lekki", "yaba"]
        .into_iter()
        .map(|zone| Server::start(&format!("i-{zone}"), "callback-app", zone, 30))
        .collect();
    for server in &servers {
        server.register(&store, "ready");
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
        .map(|(name, zone)| Gateway::start(name, zone, store.listen_for(name), &folder))
        .collect();
    standins::wait_ready(&gateways);
    sleep_ms(5_000);
    let is_over = AtomicBool::new(false);
    let sent = Mutex::new(Vec::new());
    let mut left_at = 0;
    let mut readers: Vec<String> = Vec::new();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (gateways, is_over, sent) = (&gateways, &is_over, &sent);
            scope.spawn(move || send_requests(caller, gateways, is_over, sent));
        }
        sleep_ms(2_000);
        store.cut_watches();
        record("the store cuts the watches that are waiting");
        sleep_ms(800);
        store.remove("servers/i-ikeja");
        left_at = now_ms();
        record("server i-ikeja leaves: its entry is removed; it goes on serving for a while");
        sleep_ms(500);
        for gateway in &gateways {
            if let Some(at) = store.shown_at("servers/i-ikeja", &gateway.name) {
                readers.push(gateway.name.clone());
                record(&format!(
                    "{} has read the removal, {} ms after it",
                    gateway.name,
                    at - left_at
                ));
            }
        }
        if standins::with_trouble() {
            store.set_mode(standins::BUSY);
            record("the store is down: it answers 503");
        }
        sleep_ms(DOWN_MS);
        store.set_mode(standins::UP);
        record("the store is up");
        sleep_ms(1_000);
        is_over.store(true, Ordering::SeqCst);
    });
    let sent = sent.into_inner().unwrap();
    let mut late = 0;
    for arrival in servers[0].arrivals.lock().unwrap().iter() {
        let after = arrival.at_ms.saturating_sub(left_at);
        let through = sent.iter().find(|(id, _)| *id == arrival.request_id);
        let gateway = through.map_or("", |(_, gateway)| gateway.as_str());
        // Only those that have acknowledged the removal themselves are bound.
        if after <= DRAIN_MS || !readers.iter().any(|reader| reader == gateway) {
            continue;
        }
        late += 1;
        record(&format!(
            "DRAIN: request {} reached server {} through {gateway} {after} ms after the store \
             acknowledged that it has left (bound {DRAIN_MS} ms)",
            arrival.request_id, arrival.server_id
        ));
    }
    drop(gateways);
    let _ = std::fs::remove_dir_all(folder);
    record(&format!("{late} requests reached the server too late"));
    standins::exit(i32::from(late > 0));
}
