//! Stand-ins for the users' platform on loopback: its store, and backend
//! servers that count what they run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
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

/// What backend servers ran, by request id.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, u32>>>);

impl Runs {
    pub fn of(&self, id: &str) -> u32 {
        self.0.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    fn count(&self, id: &str) {
        *self.0.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }
}

/// A backend server: plain paths answer at once, `/stream/` in events.
pub struct Backend {
    pub id: String,
    pub addr: SocketAddr,
    /// Answers left that it breaks off in the middle.
    pub broken: Arc<AtomicU64>,
    /// Time in ms for which it pauses in the middle of a stream, and before any
    /// other answer.
    pub pauses: Arc<AtomicU64>,
}

/// Events of a stream.
pub const EVENTS: usize = 6;

impl Backend {
    pub fn start(id: &str, runs: Runs) -> io::Result<Backend> {
        let broken = Arc::new(AtomicU64::new(0));
        let pauses = Arc::new(AtomicU64::new(0));
        let (name, breaks, pause) = (id.to_owned(), Arc::clone(&broken), Arc::clone(&pauses));
        let addr = serve(move |request| answer(&name, &runs, &breaks, &pause, request))?;
        Ok(Backend {
            id: id.to_owned(),
            addr,
            broken,
            pauses,
        })
    }

    pub fn entry(&self, state: &str) -> String {
        entry(self.addr, state)
    }
}

fn entry(addr: SocketAddr, state: &str) -> String {
    serde_json::json!({
        "service": "s", "address": addr.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 1,
    })
    .to_string()
}

/// A backend server that answers one request with the first event of a stream
/// and then only waits until its connection is closed.
pub struct HeldStream {
    pub entry: String,
    closed: Receiver<()>,
}

impl HeldStream {
    pub fn start(id: &str) -> io::Result<HeldStream> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let (closed_tx, closed) = channel();
        let name = id.to_owned();
        thread::spawn(move || {
            if hold_stream(&listener, &name).is_ok() {
                // The test may have ended.
                let _ = closed_tx.send(());
            }
        });
        Ok(HeldStream {
            entry: entry(addr, "ready"),
            closed,
        })
    }

    /// Returns whether the connection is closed within the limit.
    pub fn is_closed_within(&self, limit: Duration) -> bool {
        self.closed.recv_timeout(limit).is_ok()
    }
}

fn hold_stream(listener: &TcpListener, name: &str) -> io::Result<()> {
    let (stream, _) = listener.accept()?;
    let mut reader = BufReader::new(stream);
    let (mut line, mut id) = (String::new(), String::new());
    while line != "\r\n" {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some((header, value)) = line.split_once(':') {
            if header.eq_ignore_ascii_case("X-Skylarkhook-Request-Id") {
                id = value.trim().to_owned();
            }
        }
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Skylarkhook-Request-Id: {id}\r\n\
         X-Skylarkhook-Server-Stamp: {name}.1\r\nContent-Type: text/event-stream\r\n\
         Content-Length: 1000\r\n\r\nid: 1\ndata: token 1\n\n"
    );
    reader.get_mut().write_all(head.as_bytes())?;
    // What is left of the request is read too.
    match reader.read_to_end(&mut Vec::new()) {
        Ok(_) => Ok(()),
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(()),
        Err(error) => Err(error),
    }
}

fn answer(name: &str, runs: &Runs, broken: &AtomicU64, pauses: &AtomicU64, request: Request) {
    let header = |wanted: &str| {
        let found = request
            .headers()
            .iter()
            .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(wanted));
        found.map(|h| h.value.as_str().to_owned())
    };
    let id = header("X-Skylarkhook-Request-Id").unwrap_or_default();
    if header("X-Skylarkhook-Expect-Instance").as_deref() != Some(name) {
        return respond(request, 421, String::new());
    }
    let after: usize = header("Last-Event-Id")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let streams = request.url().starts_with("/stream/");
    runs.count(&id);
    let breaks = broken
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok();
    let mut text = format!("{name} {}", request.url());
    if streams {
        let events = (after + 1..=EVENTS).map(|n| format!("id: {n}\ndata: token {n}\n\n"));
        text = events.collect();
    }
    let mut head = format!(
        "HTTP/1.1 200 OK\r\nX-Skylarkhook-Request-Id: {id}\r\nX-Skylarkhook-Server-Stamp: {name}.1\r\n"
    );
    if streams {
        head += "Content-Type: text/event-stream\r\n";
    }
    head += &format!("Content-Length: {}\r\n\r\n", text.len());
    let mut writer = request.into_writer();
    let pause = Duration::from_millis(pauses.load(Ordering::SeqCst));
    let (first_half, second_half) = text.as_bytes().split_at(text.len() / 2);
    if !streams {
        thread::sleep(pause);
    }
    // A caller that has left needs no answer.
    let _ = writer.write_all(head.as_bytes());
    let _ = writer.write_all(first_half);
    let _ = writer.flush();
    if breaks {
        // Half an answer, as a server that dies gives it: in the middle of an
        // event.
        return;
    }
    if streams {
        thread::sleep(pause);
    }
    let _ = writer.write_all(second_half);
    let _ = writer.flush();
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
