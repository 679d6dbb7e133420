//! Sends one request and reads its answer: through the system's instances as
//! the platform's balancer would, or straight to engines by a simple policy.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use attohttpc::Response;
use serde_json::Value;
use serde_json::json;

use crate::load::outcome::Ending;
use crate::site::lock;

/// Longest time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Engines that a baseline tries for one request.
const BASELINE_TRIES: usize = 3;

/// Which backend server a baseline takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The next one.
    RoundRobin,
    /// The one with the fewest requests in flight.
    LeastOutstanding,
}

/// Where requests go.
pub enum Target {
    /// Through the system, round robin over its instances' addresses.
    Entries {
        /// Addresses, `ip:port`.
        addrs: Mutex<Vec<String>>,
        /// The next one.
        next: AtomicUsize,
    },
    /// Straight to the backend servers.
    Direct {
        /// Engines.
        engines: Pool,
        /// Plain services.
        services: Pool,
        /// Number of the next request.
        requests: AtomicU64,
    },
}

impl Target {
    /// Returns the system behind these addresses.
    #[must_use]
    pub fn entries(addrs: Vec<String>) -> Target {
        Target::Entries {
            addrs: Mutex::new(addrs),
            next: AtomicUsize::new(0),
        }
    }

    /// Returns a baseline over backend servers.
    #[must_use]
    pub fn direct(policy: Policy, engines: Vec<String>, services: Vec<String>) -> Target {
        Target::Direct {
            engines: Pool::new(policy, engines),
            services: Pool::new(policy, services),
            requests: AtomicU64::new(1),
        }
    }
}

/// Backend servers of one sort under a baseline's policy.
pub struct Pool {
    policy: Policy,
    addrs: Vec<String>,
    outstanding: Vec<AtomicUsize>,
    next: AtomicUsize,
}

impl Pool {
    fn new(policy: Policy, addrs: Vec<String>) -> Pool {
        Pool {
            policy,
            outstanding: addrs.iter().map(|_| AtomicUsize::new(0)).collect(),
            addrs,
            next: AtomicUsize::new(0),
        }
    }

    fn pick(&self) -> usize {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.addrs.len();
        match self.policy {
            Policy::RoundRobin => next % count,
            Policy::LeastOutstanding => (0..count)
                .map(|step| (next + step) % count)
                .min_by_key(|at| self.outstanding[*at].load(Ordering::Relaxed))
                .unwrap_or(0),
        }
    }
}

/// One call of a caller.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The workspace's bearer token.
    pub token: String,
    /// The request kind; empty: none.
    pub kind: String,
    /// Longest wait for the next sign of the answer.
    pub patience: Duration,
    /// Which instance it starts with: so many after the next one.
    pub skip: usize,
    /// What it asks for.
    pub what: What,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub enum What {
    /// The answer to a prompt.
    Prompt {
        /// Model.
        model: String,
        /// Prompt.
        prompt: String,
        /// Output tokens allowed.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Service {
        /// Service.
        service: String,
        /// Operation.
        operation: String,
        /// Idempotency key; empty: none.
        key: String,
    },
}

/// What came back.
#[derive(Debug)]
pub struct Heard {
    /// The text received.
    pub text: String,
    /// Arrival of each token after the call began.
    pub arrivals: Vec<Duration>,
    /// How it ended; `Whole` if the answer claims to be complete.
    pub ending: Ending,
    /// Times that another address was tried.
    pub failovers: u32,
}

impl Heard {
    fn broken(why: impl ToString) -> Heard {
        Heard {
            text: String::new(),
            arrivals: Vec::new(),
            ending: Ending::Broken(why.to_string()),
            failovers: 0,
        }
    }
}

/// Sends a call and reads the answer to its end.
#[must_use]
pub fn ask(target: &Target, ask: &Ask) -> Heard {
    let start = Instant::now();
    match target {
        Target::Entries { addrs, next } => {
            let addrs = lock(addrs).clone();
            let first = next.fetch_add(1, Ordering::Relaxed) + ask.skip;
            over_entries(&addrs, first, ask, start)
        }
        Target::Direct {
            engines,
            services,
            requests,
        } => {
            let number = requests.fetch_add(1, Ordering::Relaxed);
            let pool = match ask.what {
                What::Prompt { .. } => engines,
                What::Service { .. } => services,
            };
            over_pool(pool, ask, number, start)
        }
    }
}

/// Goes on to the next instance while none took the call.
fn over_entries(addrs: &[String], first: usize, ask: &Ask, start: Instant) -> Heard {
    let mut failovers = 0;
    let mut heard = Heard::broken("no instance took the connection");
    for step in 0..addrs.len() {
        let addr = &addrs[(first + step) % addrs.len()];
        match send_entry(addr, ask) {
            Ok(response) => heard = read(response, start),
            Err(error) if connected(&error) => return Heard::broken(error),
            Err(_) => {
                failovers += 1;
                continue;
            }
        }
        // The balancer goes on where an instance says that it takes nobody.
        let code = "unavailable";
        let away = matches!(&heard.ending, Ending::Refused { code: c, ran, .. } if c == code && ran == "no");
        if !away {
            break;
        }
        failovers += 1;
    }
    heard.failovers = failovers;
    heard
}

fn over_pool(pool: &Pool, ask: &Ask, number: u64, start: Instant) -> Heard {
    let mut heard = Heard::broken("no backend server");
    for attempt in 1..=BASELINE_TRIES {
        let at = pool.pick();
        pool.outstanding[at].fetch_add(1, Ordering::Relaxed);
        heard = match send_direct(&pool.addrs[at], ask, number, attempt) {
            Ok(response) => read(response, start),
            Err(error) => Heard::broken(error),
        };
        pool.outstanding[at].fetch_sub(1, Ordering::Relaxed);
        heard.failovers = attempt as u32 - 1;
        if heard.ending == Ending::Whole || !heard.text.is_empty() {
            break;
        }
    }
    heard
}

fn send_entry(addr: &str, ask: &Ask) -> attohttpc::Result<Response> {
    let (path, body, key) = match &ask.what {
        What::Prompt {
            model,
            prompt,
            max_tokens,
        } => (
            "/v1/completions".to_owned(),
            json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true}),
            None,
        ),
        What::Service {
            service,
            operation,
            key,
        } => (
            format!("/v1/services/{service}/{operation}"),
            json!({"callback": key}),
            Some(key).filter(|key| !key.is_empty()),
        ),
    };
    let mut request = attohttpc::post(format!("http://{addr}{path}"))
        .bearer_auth(&ask.token)
        .header("Content-Type", "application/json");
    if !ask.kind.is_empty() {
        request = request.header("X-Request-Kind", &ask.kind);
    }
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    bounded(request, ask).text(body.to_string()).send()
}

fn send_direct(addr: &str, ask: &Ask, number: u64, attempt: usize) -> attohttpc::Result<Response> {
    match &ask.what {
        What::Prompt {
            model,
            prompt,
            max_tokens,
        } => {
            let body = json!({
                "request": format!("{number:016x}"), "attempt": attempt, "owner": "baseline",
                "epoch": 0, "priority": 0, "model": model, "prompt": prompt,
                "max_tokens": max_tokens, "offset": 0, "generated": "",
                "prefix": xxhash_rust::xxh3::xxh3_64(head(prompt)),
            });
            let request = attohttpc::post(format!("http://{addr}/v1/generate"));
            bounded(request, ask).text(body.to_string()).send()
        }
        What::Service {
            service,
            operation,
            key,
        } => {
            let url = format!("http://{addr}/v1/call/{service}/{operation}");
            let mut request = attohttpc::post(url);
            if !key.is_empty() {
                request = request.header("Idempotency-Key", key);
            }
            bounded(request, ask).text("{}").send()
        }
    }
}

fn head(prompt: &str) -> &[u8] {
    &prompt.as_bytes()[..prompt.len().min(1024)]
}

fn bounded<B>(request: attohttpc::RequestBuilder<B>, ask: &Ask) -> attohttpc::RequestBuilder<B> {
    request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(ask.patience)
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
}

/// Returns whether the call may have reached the instance.
fn connected(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::ConnectNotSupported => false,
        attohttpc::ErrorKind::Io(error) => {
            error.kind() != std::io::ErrorKind::ConnectionRefused
                && error.kind() != std::io::ErrorKind::TimedOut
        }
        _ => true,
    }
}

fn read(response: Response, start: Instant) -> Heard {
    let status = response.status().as_u16();
    let stream = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.contains("event-stream") || value.contains("ndjson"));
    if stream && status == 200 {
        return read_stream(response, start);
    }
    let mut buf = Vec::new();
    if let Err(error) = { response }.read_to_end(&mut buf) {
        return Heard::broken(error);
    }
    let text = String::from_utf8_lossy(&buf).into_owned();
    let ending = match status {
        200 => Ending::Whole,
        _ => refusal(&serde_json::from_str(&text).unwrap_or(Value::Null), status),
    };
    Heard {
        text,
        arrivals: vec![start.elapsed()],
        ending,
        failovers: 0,
    }
}

/// Reads server-sent events or an engine's lines.
fn read_stream(response: Response, start: Instant) -> Heard {
    let mut heard = Heard::broken("ended without a final word");
    for line in BufReader::new(response).lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => {
                heard.ending = Ending::Broken(error.to_string());
                return heard;
            }
        };
        let data = line.strip_prefix("data:").unwrap_or(&line).trim();
        if data == "[DONE]" {
            return heard;
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        if !event["error"].is_null() {
            heard.ending = refusal(&event, 0);
            return heard;
        }
        if let Some(text) = piece(&event) {
            heard.arrivals.push(start.elapsed());
            heard.text.push_str(text);
        }
        if finished(&event) {
            heard.ending = Ending::Whole;
        }
    }
    heard
}

/// Returns the text of one event.
fn piece(event: &Value) -> Option<&str> {
    let choice = &event["choices"][0];
    [&event["text"], &choice["text"], &choice["delta"]["content"]]
        .into_iter()
        .find_map(Value::as_str)
        .filter(|text| !text.is_empty())
}

fn finished(event: &Value) -> bool {
    event["finish"].is_string() || event["choices"][0]["finish_reason"].is_string()
}

/// Reads a refusal's code and what it says about running.
fn refusal(body: &Value, status: u16) -> Ending {
    let field = |name: &str| match &body["error"][name] {
        Value::Null => &body[name],
        value => value,
    };
    let word = |name: &str| field(name).as_str().map(str::to_owned);
    let code = word("code").or_else(|| word("rejection"));
    Ending::Refused {
        code: code.unwrap_or_else(|| format!("status {status}")),
        ran: word("ran").unwrap_or_else(|| "?".to_owned()),
        retry_after_ms: field("retry_after_ms").as_u64(),
    }
}
