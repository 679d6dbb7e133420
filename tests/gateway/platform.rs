//! Stand-in for the users' platform on loopback: its store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Time for which a silent connection stays so; longer than any test.
const SILENCE: Duration = Duration::from_secs(60);

/// The store: items with revisions, and watches that poll them.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<Items>>,
    /// Whether it answers 503.
    pub down: Arc<AtomicBool>,
    /// Watches that wait are never answered once this has changed.
    silenced: Arc<AtomicU64>,
}

#[derive(Default)]
struct Items {
    revision: u64,
    /// Value and revision of each key; no value: removed.
    items: BTreeMap<String, (Option<Vec<u8>>, u64)>,
}

impl Store {
    pub fn start() -> io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        store.put("start", b"{}");
        let served = store.clone();
        let addr = serve(move |request| served.answer(request))?;
        Ok((store, addr))
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        self.change(key, Some(value.to_vec()));
    }

    /// Lets all connections on which a watch waits go silent.
    pub fn silence_watches(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value, revision));
    }

    fn answer(&self, mut request: Request) {
        if self.down.load(Ordering::SeqCst) {
            return respond(request, 503, "{}".to_owned());
        }
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let text = match path.trim_start_matches("/skylarkhook/") {
            "kv-range" => self.page("items", 0, query.get("prefix").copied().unwrap_or("")),
            "kv-watch" => {
                let number = |name| query.get(name).and_then(|n| n.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("waitMs"));
                let after = number("after");
                let prefix = query.get("prefix").copied().unwrap_or("");
                let began = self.silenced.load(Ordering::SeqCst);
                while !self.changed(prefix, after) && Instant::now() < until {
                    thread::sleep(Duration::from_millis(5));
                    if self.silenced.load(Ordering::SeqCst) != began {
                        thread::sleep(SILENCE);
                    }
                }
                self.page("events", after, prefix)
            }
            "kv-lease" => r#"{"lease":1,"ttlMs":30000}"#.to_owned(),
            "kv-txn" => {
                let mut text = String::new();
                let _ = request.as_reader().read_to_string(&mut text);
                let txn: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
                for put in txn["puts"].as_array().into_iter().flatten() {
                    let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
                    self.put(
                        put["key"].as_str().unwrap_or_default(),
                        &value.unwrap_or_default(),
                    );
                }
                r#"{"revision":1}"#.to_owned()
            }
            _ => r#"{"ttlMs":30000}"#.to_owned(),
        };
        respond(request, 200, text);
    }

    fn changed(&self, prefix: &str, after: u64) -> bool {
        let state = self.state.lock().unwrap();
        let mut items = state.items.iter();
        items.any(|(key, (_, revision))| key.starts_with(prefix) && *revision > after)
    }

    fn page(&self, name: &str, after: u64, prefix: &str) -> String {
        let state = self.state.lock().unwrap();
        let mut items: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter(|(_, (value, revision))| *revision > after && (after > 0 || value.is_some()))
            .collect();
        items.sort_by_key(|(_, (_, revision))| *revision);
        let items: Vec<serde_json::Value> = items
            .into_iter()
            .map(|(key, (value, revision))| match value {
                Some(value) => serde_json::json!({
                    "key": key, "value": STANDARD.encode(value), "revision": revision,
                    "created": 1, "lease": 0 }),
                None => serde_json::json!({ "key": key, "revision": revision, "deleted": true }),
            })
            .collect();
        serde_json::json!({ name: items, "hasMore": false, "currentRev": state.revision })
            .to_string()
    }
}

fn serve(answer: impl Fn(Request) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let server = Server::http("127.0.0.1:0").map_err(io::Error::other)?;
    let addr = server
        .server_addr()
        .to_ip()
        .ok_or(io::ErrorKind::AddrNotAvailable)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || answer(request));
        }
    });
    Ok(addr)
}

fn respond(request: Request, status: u16, text: String) {
    let json = Header::from_bytes("Content-Type", "application/json").unwrap();
    // A caller that has left needs no answer.
    let _ = request.respond(
        Response::from_string(text)
            .with_status_code(status)
            .with_header(json),
    );
}

/// Returns a configuration of one service with a plain and a streaming route.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, kind: &str, resume: bool| {
        serde_json::json!({
            "name": name, "host": "h.example", "prefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": 4000, "targetLatencyMs": 400, "priority": 1, "maxAttempts": 2,
            "streamResume": resume, "service": "s",
        })
    };
    serde_json::json!({
        "version": version,
        "routes": [
            route("once", "non_idempotent", false), route("again", "idempotent", false),
            route("stream", "streaming", true),
        ],
        "services": [{ "name": "s", "healthCheck": "/health", "maxConnections": 64, "coldPerS": 0 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "w", "apiKeys": keys }],
    })
    .to_string()
}
