//! Measures what the proxy path adds to a stream: to its first token, and to
//! each token after it.
//!
//! The engine is a loop that writes tokens at a fixed pace, each with the time
//! of its writing as its text, so that whoever reads a token knows its age to
//! the microsecond. The same client load goes straight to the engine and
//! through a whole daemon, in turns, on loopback in one process.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use eyre::Result;
use eyre::bail;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use skylarkhook::clock::Millis;
use skylarkhook::config::Secret;
use skylarkhook::config::Settings;
use skylarkhook::daemon::Daemon;
use skylarkhook::declaration::Declaration;
use skylarkhook::id::Revision;

/// Tokens of one stream.
const TOKENS: u32 = 100;
/// Time between two tokens of one stream.
const PACE: Duration = Duration::from_millis(2);
/// Streams at one time, and streams in all, of each round.
const ROUNDS: [(usize, usize); 3] = [(1, 100), (16, 640), (64, 1280)];
const TOKEN: &str = "latency-token";

const DECLARATION: &str = r#"
[[domain]]
name = "ikeja"

[[limit]]
warm = { streams = 256 }
cold = { streams = 256 }

[[kind]]
name = "summary"
deadline_ms = 60000
importance = 50

[[route]]
name = "all"
prefer = [""]

[[workspace]]
name = "bank"
token_sha256 = "@TOKEN@"
"#;

fn main() -> Result<()> {
    let engine = start_engine()?;
    let daemon = start_daemon(start_list(engine)?)?;
    let daemon_addr = daemon.callers_addr();
    wait_for_model(daemon_addr)?;
    println!("{TOKENS} tokens a stream, one each {PACE:?}; microseconds");
    println!(
        "| streams at once | path | first token p50 | p95 | p99 | token age p50 | p95 | p99 |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (at_once, streams) in ROUNDS {
        let straight = round(at_once, streams, move || ask_engine(engine))?;
        println!("| {at_once} | straight | {} |", straight.cells());
        let through = round(at_once, streams, move || ask_daemon(daemon_addr))?;
        println!("| {at_once} | through | {} |", through.cells());
        println!("| {at_once} | added | {} |", through.added(&straight));
    }
    daemon.stop();
    Ok(())
}

/// Microseconds since the first call in this process.
fn micros() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Times of one round, in microseconds.
struct Times {
    first: Histogram<u64>,
    age: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Times> {
        Ok(Times {
            first: Histogram::new(3)?,
            age: Histogram::new(3)?,
        })
    }

    fn add(&mut self, other: &Times) -> Result<()> {
        self.first.add(&other.first)?;
        self.age.add(&other.age)?;
        Ok(())
    }

    fn values(&self) -> Vec<u64> {
        [&self.first, &self.age]
            .into_iter()
            .flat_map(|times| [0.5, 0.95, 0.99].map(|q| times.value_at_quantile(q)))
            .collect()
    }

    fn cells(&self) -> String {
        let cells: Vec<String> = self.values().iter().map(u64::to_string).collect();
        cells.join(" | ")
    }

    fn added(&self, base: &Times) -> String {
        let pairs = self.values().into_iter().zip(base.values());
        let cells: Vec<String> = pairs
            .map(|(all, base)| (i128::from(all) - i128::from(base)).to_string())
            .collect();
        cells.join(" | ")
    }
}

/// Runs `streams` streams, `at_once` at a time.
fn round<F>(at_once: usize, streams: usize, ask: F) -> Result<Times>
where
    F: Fn() -> Result<Times> + Clone + Send + 'static,
{
    let threads: Vec<_> = (0..at_once)
        .map(|_| {
            let ask = ask.clone();
            thread::spawn(move || -> Result<Times> {
                let mut times = Times::new()?;
                for _ in 0..streams / at_once {
                    times.add(&ask()?)?;
                }
                Ok(times)
            })
        })
        .collect();
    let mut times = Times::new()?;
    for thread in threads {
        let Ok(of_thread) = thread.join() else {
            bail!("a client thread panicked");
        };
        times.add(&of_thread?)?;
    }
    Ok(times)
}

fn ask_engine(addr: SocketAddr) -> Result<Times> {
    let body = json!({"request": "0000000000000001", "attempt": 1, "offset": 0});
    let asked = micros();
    let response = attohttpc::post(format!("http://{addr}/v1/generate"))
        .text(body.to_string())
        .send()?;
    read_tokens(asked, response, |line| {
        let frame: Value = serde_json::from_str(line).ok()?;
        frame["text"].as_str().map(str::to_owned)
    })
}

fn ask_daemon(addr: SocketAddr) -> Result<Times> {
    let body = json!({"model": "m1", "prompt": "p", "stream": true, "max_tokens": TOKENS});
    let asked = micros();
    let response = attohttpc::post(format!("http://{addr}/v1/completions"))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .text(body.to_string())
        .send()?;
    read_tokens(asked, response, |line| {
        let event: Value = serde_json::from_str(line.strip_prefix("data: ")?).ok()?;
        event["choices"][0]["text"].as_str().map(str::to_owned)
    })
}

/// Reads a stream; `text` gives a line's tokens, which are times of writing.
fn read_tokens(
    asked: u64,
    response: attohttpc::Response,
    text: impl Fn(&str) -> Option<String>,
) -> Result<Times> {
    let mut times = Times::new()?;
    let mut tokens = 0;
    for line in BufReader::new(response).lines() {
        let line = line?;
        let now = micros();
        // An event may carry several tokens if its reader was slow.
        for written in text(&line).unwrap_or_default().split_terminator(',') {
            if tokens == 0 {
                times.first.record(now - asked)?;
            }
            tokens += 1;
            times.age.record(now.saturating_sub(written.parse()?))?;
        }
    }
    if tokens != TOKENS {
        bail!("{tokens} of {TOKENS} tokens came");
    }
    Ok(times)
}

fn start_engine() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A client that has left needs no answer.
            thread::spawn(move || generate(stream).ok());
        }
    });
    Ok(addr)
}

/// Answers one request: generation at the fixed pace, or nothing of use.
fn generate(mut stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let (line, body) = read_request(&stream)?;
    if !line.starts_with("POST /v1/generate ") {
        return order(&mut stream, &line);
    }
    let asked: Value = serde_json::from_slice(&body)?;
    let (request, attempt) = (&asked["request"], &asked["attempt"]);
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n")?;
    for offset in 0..TOKENS {
        thread::sleep(PACE);
        let text = format!("{},", micros());
        let frame = json!({"request": request, "attempt": attempt, "offset": offset, "text": text});
        stream.write_all(format!("{frame}\n").as_bytes())?;
    }
    let end = json!({"request": request, "attempt": attempt, "offset": TOKENS, "finish": "length"});
    stream.write_all(format!("{end}\n").as_bytes())?;
    Ok(())
}

/// Answers an order: without load reports an engine would count as silent.
fn order(stream: &mut TcpStream, line: &str) -> Result<()> {
    let body = match line.split(['?', ' ']).nth(1) {
        Some("/v1/load") => json!({
            "boot": 1, "epoch": 0, "age_ms": 0, "memory_used": 0, "memory_total": 10_000_000,
            "prefill_waiting": 0, "streams": [], "models": ["m1"],
        }),
        Some("/v1/cache-events") => json!({"events": []}),
        _ => json!({"cancelled": false}),
    }
    .to_string();
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    Ok(stream.write_all(answer.as_bytes())?)
}

fn read_request(stream: &TcpStream) -> Result<(String, Vec<u8>)> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first, body))
}

/// An instance list with the one engine.
fn start_list(engine: SocketAddr) -> Result<SocketAddr> {
    let server = tiny_http::Server::http("127.0.0.1:0").map_err(|error| eyre::eyre!(error))?;
    let addr = server.server_addr().to_ip().ok_or_eyre("no IP address")?;
    let engine = json!({
        "name": "engine-1", "role": "engine", "domain": "ikeja", "addr": engine.to_string(),
        "peer_addr": "", "leaving": false, "labels": {"model": "m1"},
    });
    let list = json!({"instances": [engine]}).to_string();
    thread::spawn(move || {
        for req in server.incoming_requests() {
            // The daemon asks again if it got no answer.
            let _ = req.respond(tiny_http::Response::from_string(list.clone()));
        }
    });
    Ok(addr)
}

fn start_daemon(list: SocketAddr) -> Result<Daemon> {
    let any = || "127.0.0.1:0".to_owned();
    let daemon = Daemon::start(&Settings {
        name: "entry-1".to_owned(),
        domain: "ikeja".to_owned(),
        callers_listen: any(),
        admin_listen: any(),
        peer_listen: any(),
        operators_token: Secret::new("operators"),
        peer_secret: Secret::new("peers"),
        store_addresses: vec![list.to_string()],
        list_address: list.to_string(),
        list_poll: Millis(200),
        ..Settings::default()
    })?;
    let text = DECLARATION.replace("@TOKEN@", &format!("{:x}", Sha256::digest(TOKEN)));
    let declaration: Declaration = toml::from_str(&text)?;
    daemon.declare(declaration, Revision(1));
    Ok(daemon)
}

fn wait_for_model(addr: SocketAddr) -> Result<()> {
    for _ in 0..200 {
        let models = minreq::get(format!("http://{addr}/v1/models"))
            .with_header("Authorization", format!("Bearer {TOKEN}"))
            .send()?;
        if models.as_str()?.contains("m1") {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    bail!("no model came into service")
}
