//! Stand-ins for backend servers on loopback, which count what they run and can
//! fail in the ways that the platform documents.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
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

use socket2::SockRef;

use crate::links::Cut;
use crate::links::Links;
use crate::platform::Store;

/// What backend servers ran, by request id, and what happened on their connections.
#[derive(Clone, Default)]
pub struct Runs {
    runs: Arc<Mutex<HashMap<String, Vec<Run>>>>,
    events: Arc<Mutex<VecDeque<Event>>>,
}

/// Something that happened on a connection to a backend server.
struct Event {
    at: Instant,
    server: String,
    /// Address of the connection's other end.
    caller: SocketAddr,
    text: String,
}

/// Maximum number of events that are kept.
const MAX_EVENTS: usize = 20_000;

/// One run of a request.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub began_at: Instant,
    /// When and how it ended, if it has.
    pub end: Option<(Instant, RunEnd)>,
}

/// How a run ended, as the server saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer was written.
    Whole,
    /// The server broke its answer off.
    BrokenOff,
    /// The gateway closed the connection before.
    GatewayLeft,
}

impl Runs {
    fn log(&self, server: &str, caller: SocketAddr, event: fmt::Arguments<'_>) {
        let mut events = self.events.lock().unwrap();
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(Event {
            at: Instant::now(),
            server: server.to_owned(),
            caller,
            text: event.to_string(),
        });
    }

    /// Prints what has happened on connections since a time.
    pub fn print_events_since(&self, since: Instant) {
        for event in self.events.lock().unwrap().iter() {
            if let Some(after) = event.at.checked_duration_since(since) {
                let (server, caller, text) = (&event.server, event.caller, &event.text);
                println!(
                    "  after {} us: {server}, {caller}: {text}",
                    after.as_micros()
                );
            }
        }
    }

    pub fn of(&self, id: &str) -> u32 {
        u32::try_from(self.all_of(id).len()).unwrap()
    }

    /// Returns all runs of a request.
    pub fn all_of(&self, id: &str) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap()
            .get(id)
            .cloned()
            .unwrap_or_default()
    }

    fn begin(&self, id: &str) -> OpenRun {
        let run = Run {
            began_at: Instant::now(),
            end: None,
        };
        let mut runs = self.runs.lock().unwrap();
        let runs = runs.entry(id.to_owned()).or_default();
        runs.push(run);
        OpenRun {
            runs: self.clone(),
            id: id.to_owned(),
            at: runs.len() - 1,
            end: RunEnd::GatewayLeft,
        }
    }
}

/// A run whose end is recorded when this is dropped.
struct OpenRun {
    runs: Runs,
    id: String,
    at: usize,
    end: RunEnd,
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let mut runs = self.runs.runs.lock().unwrap();
        if let Some(run) = runs
            .get_mut(&self.id)
            .and_then(|runs| runs.get_mut(self.at))
        {
            run.end = Some((Instant::now(), self.end));
        }
    }
}

/// A backend server: plain paths answer at once, `/stream/` in events. A path that
/// ends in `/pause-MS` also pauses for that time, and one that ends in `/bytes-N` is
/// answered with N bytes.
pub struct Backend {
    pub addr: SocketAddr,
    pub faults: Arc<Faults>,
    /// Its id before its first crash.
    pub id: String,
}

/// Path of the health check in the stand-ins' configuration.
const HEALTH_PATH: &str = "/health";

/// Beginning of the last part of a path that asks for a pause, in ms.
const PAUSE_PART: &str = "pause-";
/// Beginning of the last part of a path that asks for a long answer.
const BYTES_PART: &str = "bytes-";
/// Interval at which a server looks during a pause for its caller's leaving.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Events of a stream.
pub const EVENTS: usize = 6;

/// What a backend server does wrong.
#[derive(Default)]
pub struct Faults {
    /// Answers left that it breaks off in the middle.
    pub broken: AtomicU64,
    /// Time in ms for which it pauses in the middle of a stream, and before any
    /// other answer.
    pub pauses: AtomicU64,
    /// Whether its answers have neither length nor chunks and end with their
    /// connections.
    pub unframed: AtomicBool,
    /// Part of prompts that crashes it when it begins to answer. It starts again
    /// at once, under a new id that it writes to the store.
    pub crashing_part: Mutex<Option<(String, Store)>>,
    /// Number of crashes.
    pub crashes: AtomicU64,
    /// Rate limit that its answers name, in requests per second.
    pub rate_limit: Mutex<Option<f64>>,
    /// Seconds for which it asks callers to send nothing; it refuses all requests
    /// meanwhile.
    pub pause_s: Mutex<Option<f64>>,
    /// Whether its answers say that it is leaving.
    pub leaving: AtomicBool,
    /// Requests that it received.
    pub received: AtomicU64,
    /// Part of its answers that does not end.
    pub endless: Mutex<Option<Endless>>,
    /// Bytes written of endless answers.
    pub endless_bytes: AtomicU64,
    /// Links to gateways, some of which may be cut.
    pub links: Links,
    /// Open connections by their callers' addresses; a crash ends them.
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

/// An open connection and the process at its other end, if that was asked for.
struct Connection {
    stream: TcpStream,
    caller: Option<u32>,
}

/// Part of an answer that goes on until the gateway closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// Header lines.
    Head,
    /// One header line.
    HeaderLine,
    /// A body without an event's end.
    Body,
}

/// Bytes of an endless answer after which the stand-in gives up.
const MAX_ENDLESS_BYTES: u64 = 256 * 1024 * 1024;

impl Faults {
    /// Writes an answer that does not end.
    fn write_endless(&self, kind: Endless, head: &str, writer: &mut TcpStream) -> io::Result<()> {
        let (start, line) = match kind {
            Endless::Head => (head, "X-Padding: 0123456789\r\n"),
            Endless::HeaderLine => (head, "x-padding-0123456789"),
            Endless::Body => (&*format!("{head}Connection: close\r\n\r\n"), "0123456789\n"),
        };
        writer.write_all(start.as_bytes())?;
        let chunk = line.repeat(1_000);
        while self.endless_bytes.load(Ordering::SeqCst) < MAX_ENDLESS_BYTES {
            writer.write_all(chunk.as_bytes())?;
            let written = chunk.len() as u64;
            self.endless_bytes.fetch_add(written, Ordering::SeqCst);
        }
        Ok(())
    }

    /// Returns the id of a server after its latest crash.
    fn current_id(&self, id: &str) -> String {
        match self.crashes.load(Ordering::SeqCst) {
            0 => id.to_owned(),
            crashes => format!("{id}.{crashes}"),
        }
    }

    /// Ends what a cut leaves of the open connections to a gateway.
    fn cut_connections(&self, caller: u32, cut: Cut) {
        if cut != Cut::Reset {
            return;
        }
        let connections = self.connections.lock().unwrap();
        let is_cut = |connection: &&Connection| connection.caller == Some(caller);
        for Connection { stream, .. } in connections.values().filter(is_cut) {
            // The thread that reads requests from it resets it.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    fn crash(&self, id: &str, addr: SocketAddr, store: &Store) {
        let ended = self.current_id(id);
        self.crashes.fetch_add(1, Ordering::SeqCst);
        for (_, connection) in self.connections.lock().unwrap().drain() {
            // Ends the thread that reads requests from it.
            let _ = connection.stream.shutdown(Shutdown::Read);
        }
        let started = self.current_id(id);
        store.remove(&format!("servers/{ended}"));
        store.put(
            &format!("servers/{started}"),
            entry(addr, "ready", 1).as_bytes(),
        );
    }
}

impl Backend {
    pub fn start(id: &str, runs: Runs) -> io::Result<Backend> {
        Backend::start_with_links(id, runs, &Links::default())
    }

    /// Starts a server whose links to gateways can be cut.
    pub fn start_with_links(id: &str, runs: Runs, links: &Links) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let faults = Arc::new(Faults {
            links: links.clone(),
            ..Faults::default()
        });
        let (name, served) = (id.to_owned(), Arc::clone(&faults));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (name, runs, faults) = (name.clone(), runs.clone(), Arc::clone(&served));
                thread::spawn(move || {
                    // The gateway may close a connection at any time.
                    let _ = serve(stream, &name, &runs, &faults);
                });
            }
        });
        let cut = Arc::clone(&faults);
        links.on_cut(move |caller, kind| cut.cut_connections(caller, kind));
        Ok(Backend {
            addr,
            faults,
            id: id.to_owned(),
        })
    }

    pub fn entry(&self, state: &str) -> String {
        entry(self.addr, state, 1)
    }

    /// Returns the entry that the server writes as its `sequence`th.
    pub fn entry_written(&self, state: &str, sequence: u64) -> String {
        entry(self.addr, state, sequence)
    }
}

pub fn entry(addr: SocketAddr, state: &str, sequence: u64) -> String {
    serde_json::json!({
        "service": "s", "address": addr.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": state, "coldRemainingMs": 0, "sequence": sequence, "born": 1,
    })
    .to_string()
}

/// A request as read by a backend server; its body is dropped.
pub struct Request {
    pub path: String,
    /// Headers by name in lower case.
    headers: HashMap<String, String>,
}

impl Request {
    fn read(reader: &mut impl BufRead) -> io::Result<Request> {
        let mut line = String::new();
        let mut read_line = |reader: &mut dyn BufRead| -> io::Result<String> {
            line.clear();
            match reader.read_line(&mut line)? {
                0 => Err(io::ErrorKind::UnexpectedEof.into()),
                _ => Ok(line.trim_end().to_owned()),
            }
        };
        let first = read_line(reader)?;
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let mut headers = HashMap::new();
        loop {
            let line = read_line(reader)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let request = Request { path, headers };
        let length = request.header("content-length").parse().unwrap_or(0);
        io::copy(&mut reader.take(length), &mut io::sink())?;
        Ok(request)
    }

    /// Returns a header's value; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn is_stream(&self) -> bool {
        self.path.starts_with("/stream/") || self.path.starts_with("/long-stream/")
    }

    /// Returns the pause that the path asks for.
    fn pause(&self) -> Option<Duration> {
        self.asks_for(PAUSE_PART).map(Duration::from_millis)
    }

    /// Returns the number that follows `name` in the path's last part.
    fn asks_for(&self, name: &str) -> Option<u64> {
        let (_, last) = self.path.rsplit_once('/')?;
        last.strip_prefix(name)?.parse().ok()
    }

    fn has_shared_part(&self, part: &str) -> bool {
        let parts = self.header("x-skylarkhook-prompt-prefix");
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        shared
            .split(',')
            .any(|shared| shared.split(':').next() == Some(part))
    }
}

/// How a connection goes on after an answer.
enum After {
    KeepAlive,
    /// It is closed, as after an answer that ends with it.
    Close,
    /// It is reset, as by a server that dies.
    Reset,
}

fn serve(stream: TcpStream, name: &str, runs: &Runs, faults: &Faults) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let caller = stream.peer_addr()?;
    let log = |event: fmt::Arguments<'_>| runs.log(name, caller, event);
    log(format_args!("connection accepted"));
    let process = faults.links.owner(caller, stream.local_addr()?);
    log(format_args!("connection of process {process:?}"));
    let cut = process.and_then(|process| faults.links.cut_of(process));
    if let Some(Cut::Reset | Cut::RefuseNew) = cut {
        return SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    let connection = Connection {
        stream: stream.try_clone()?,
        caller: process,
    };
    faults
        .connections
        .lock()
        .unwrap()
        .insert(caller, connection);
    let mut reader = BufReader::new(stream);
    let after = loop {
        let request = match Request::read(&mut reader) {
            Ok(request) => request,
            Err(error) => {
                log(format_args!("no further request: {error}"));
                break After::Close;
            }
        };
        let id = request.header("x-skylarkhook-request-id");
        log(format_args!("read {} {id}", request.path));
        if process.is_some_and(|process| faults.links.wait_while_silent(process)) {
            break After::Reset;
        }
        let answered = answer(name, runs, faults, &request, reader.get_mut());
        log(format_args!("answered {id}: {:?}", answered.as_ref().err()));
        match answered {
            Ok(After::KeepAlive) => {}
            Ok(after) => break after,
            Err(_) => break After::Close,
        }
    };
    faults.connections.lock().unwrap().remove(&caller);
    if let After::Reset = after {
        SockRef::from(reader.get_ref()).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

/// Answers a request.
fn answer(
    name: &str,
    runs: &Runs,
    faults: &Faults,
    request: &Request,
    writer: &mut TcpStream,
) -> io::Result<After> {
    let current_id = faults.current_id(name);
    if request.path == HEALTH_PATH {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Skylarkhook-Instance-Id: {current_id}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        return Ok(After::KeepAlive);
    }
    let id = request.header("x-skylarkhook-request-id");
    if request.header("x-skylarkhook-expect-instance") != current_id {
        writer.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
        return Ok(After::KeepAlive);
    }
    faults.received.fetch_add(1, Ordering::SeqCst);
    if let Some(seconds) = *faults.pause_s.lock().unwrap() {
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Skylarkhook-Request-Id: {id}\r\n\
             X-Skylarkhook-Not-Run: 1\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n"
        );
        writer.write_all(refusal.as_bytes())?;
        return Ok(After::KeepAlive);
    }
    let after: usize = request.header("last-event-id").parse().unwrap_or(0);
    let streams = request.is_stream();
    let mut run = runs.begin(id);
    let breaks = take_one(&faults.broken);
    let mut text = format!("{name} {}", request.path);
    if streams {
        let events = (after + 1..=EVENTS).map(|n| format!("id: {n}\ndata: token {n}\n\n"));
        text = events.collect();
    }
    if let Some(length) = request.asks_for(BYTES_PART) {
        text = "x".repeat(usize::try_from(length).unwrap_or(usize::MAX));
    }
    let mut head = format!(
        "HTTP/1.1 200 OK\r\nX-Skylarkhook-Request-Id: {id}\r\nX-Skylarkhook-Server-Stamp: {name}.1\r\n"
    );
    if streams {
        head += "Content-Type: text/event-stream\r\n";
    }
    if let Some(per_s) = *faults.rate_limit.lock().unwrap() {
        head += &format!("Server-Limit: {per_s}\r\n");
    }
    if faults.leaving.load(Ordering::SeqCst) {
        head += "Server-Leaving: 1\r\n";
    }
    let endless = *faults.endless.lock().unwrap();
    if let Some(kind) = endless {
        faults.write_endless(kind, &head, writer)?;
        return Ok(After::Close);
    }
    let unframed = faults.unframed.load(Ordering::SeqCst);
    head += &match unframed {
        true => "Connection: close\r\n\r\n".to_owned(),
        false => format!("Content-Length: {}\r\n\r\n", text.len()),
    };
    let pause = Duration::from_millis(faults.pauses.load(Ordering::SeqCst));
    // Inside an event if it is a stream.
    let (first_half, second_half) = text.as_bytes().split_at(text.len() / 2 + 1);
    let has_restarted = || faults.current_id(name) != current_id;
    let pause = |writer: &TcpStream, run: &mut OpenRun| {
        thread::sleep(pause);
        let stays = request.pause().is_none_or(|pause| wait(writer, pause));
        if !stays && has_restarted() {
            run.end = RunEnd::BrokenOff;
        }
        match stays {
            true => Ok(()),
            false => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
        }
    };
    if !streams {
        pause(writer, &mut run)?;
    }
    writer.write_all(head.as_bytes())?;
    let crashing_part = faults.crashing_part.lock().unwrap().clone();
    if let Some((part, store)) = crashing_part
        && request.has_shared_part(&part)
    {
        run.end = RunEnd::BrokenOff;
        faults.crash(name, writer.local_addr()?, &store);
        return Ok(After::Close);
    }
    writer.write_all(first_half)?;
    if streams {
        pause(writer, &mut run)?;
    }
    if breaks || has_restarted() {
        run.end = RunEnd::BrokenOff;
        return Ok(match unframed {
            true => After::Reset,
            false => After::Close,
        });
    }
    writer.write_all(second_half)?;
    run.end = RunEnd::Whole;
    Ok(match unframed {
        true => After::Close,
        false => After::KeepAlive,
    })
}

/// Waits unless the caller closes the connection meanwhile; returns whether it has
/// not.
fn wait(stream: &TcpStream, pause: Duration) -> bool {
    let until = Instant::now() + pause;
    while Instant::now() < until {
        thread::sleep(LEAVE_CHECK_INTERVAL);
        if is_closed(stream).unwrap_or(true) {
            return false;
        }
    }
    true
}

/// Returns whether the other end of a connection has closed it.
fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(_) | Ok(0) => Ok(true),
        Ok(_) => Ok(false),
    }
}

/// Takes one from a count of what is left; returns whether any was left.
fn take_one(left: &AtomicU64) -> bool {
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
        left.checked_sub(1)
    })
    .is_ok()
}

/// A backend server whose answers a test writes itself.
pub struct Scripted {
    pub entry: String,
}

impl Scripted {
    /// Starts a server that calls `answer` with each request and its number on
    /// its connection, which ends with an error.
    pub fn start<F>(answer: F) -> io::Result<Scripted>
    where
        F: Fn(&Request, usize, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let answer = Arc::clone(&answer);
                thread::spawn(move || -> io::Result<()> {
                    stream.set_nodelay(true)?;
                    let mut reader = BufReader::new(stream);
                    for number in 0.. {
                        let request = Request::read(&mut reader)?;
                        if request.path == HEALTH_PATH {
                            reader
                                .get_mut()
                                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
                        } else {
                            answer(&request, number, reader.get_mut())?;
                        }
                    }
                    Ok(())
                });
            }
        });
        Ok(Scripted {
            entry: entry(addr, "ready", 1),
        })
    }
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
            entry: entry(addr, "ready", 1),
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
    let request = Request::read(&mut reader)?;
    let id = request.header("x-skylarkhook-request-id");
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
