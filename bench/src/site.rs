//! A listener that can be closed and opened again on the same address.
//!
//! Handlers must not block: whatever takes time is kept by its stand-in and
//! answered from its ticker.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Threads that parse requests of one site.
const WORKERS: usize = 3;
/// Largest body that is read, in bytes.
const BODY_BYTES_MAX: u64 = 32 << 20;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Step in which a closed site is watched for late requests.
const DRAIN_POLL: Duration = Duration::from_millis(250);
/// Steps without a late request until its threads end.
const DRAIN_POLLS: u32 = 12;

type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// A listener with its handler.
pub struct Site {
    addr: SocketAddr,
    handler: Handler,
    listening: Mutex<Option<Listening>>,
}

/// One opening of a site.
struct Listening {
    socket: Socket,
    closed: Arc<AtomicBool>,
}

impl Site {
    /// Listens on `addr`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        addr: &str,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<Arc<Site>> {
        let wanted: SocketAddr = addr.parse().map_err(io::Error::other)?;
        let listener = bind(wanted)?;
        let site = Site {
            addr: listener.local_addr()?,
            handler: Arc::new(handler),
            listening: Mutex::new(None),
        };
        site.serve(listener)?;
        Ok(Arc::new(site))
    }

    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Refuses connections from now on; requests not yet handled are cut.
    pub fn close(&self) {
        let Some(listening) = lock(&self.listening).take() else {
            return;
        };
        listening.closed.store(true, Ordering::Release);
        // Ends the library's accepting thread, which a flag alone would not
        // reach before the next connection. An error means that it has ended.
        let _ = listening.socket.shutdown(Shutdown::Both);
    }

    /// Takes connections again.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not free yet.
    pub fn open(&self) -> io::Result<()> {
        if lock(&self.listening).is_some() {
            return Ok(());
        }
        self.serve(bind(self.addr)?)
    }

    fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let socket = Socket::from(listener.try_clone()?);
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let closed = Arc::new(AtomicBool::new(false));
        for _ in 0..WORKERS {
            let server = Arc::clone(&server);
            let handler = Arc::clone(&self.handler);
            let closed = Arc::clone(&closed);
            let addr = self.addr;
            thread::spawn(move || work(&server, addr, &handler, &closed));
        }
        *lock(&self.listening) = Some(Listening { socket, closed });
        Ok(())
    }
}

/// Handles requests until the site is closed, then cuts those that were still
/// on their way.
fn work(server: &Server, addr: SocketAddr, handler: &Handler, closed: &AtomicBool) {
    let mut drained = 0;
    while drained < DRAIN_POLLS {
        let request = server.recv_timeout(DRAIN_POLL).ok().flatten();
        let closed = closed.load(Ordering::Acquire);
        match request {
            Some(request) if closed => cut(request),
            Some(request) => {
                nudge(addr);
                handler(request);
            }
            None => drained += u32::from(closed),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.close();
    }
}

/// Connects to a site for a moment. `tiny_http` lets some connections of a burst
/// wait until another one ends; the thread that ends this one takes over one of
/// them.
fn nudge(addr: SocketAddr) {
    // A site that was closed meanwhile has no connection that waits.
    let _ = TcpStream::connect(addr);
}

/// Accepted sockets inherit `TCP_NODELAY`, so that single tokens leave at once.
fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Locks, whatever a thread that panicked left behind.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes and returns the items that `wanted` picks, in order.
pub fn take_where<T>(items: &mut Vec<T>, wanted: impl Fn(&T) -> bool) -> Vec<T> {
    let (taken, kept) = std::mem::take(items).into_iter().partition(wanted);
    *items = kept;
    taken
}

/// Ends a request's connection without an answer.
///
/// The library keeps a connection open unless the caller asked to close it; an
/// invalid status line makes such a caller give it up.
pub fn cut(request: Request) {
    let closes = header(&request, "Connection").is_some_and(|value| value.contains("close"));
    let mut writer = request.into_writer();
    if !closes {
        // A caller that left needs no sign.
        let _ = writer.write_all(b"broken\r\n\r\n");
        let _ = writer.flush();
    }
}

/// Answers with a JSON document.
pub fn respond(request: Request, status: u16, body: &impl Serialize) {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::from_string(text).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response = response.with_header(header);
    }
    // A caller that left needs no answer.
    let _ = request.respond(response);
}

/// Answers with a refusal before anything ran.
pub fn reject(request: Request, status: u16, rejection: &str) {
    respond(request, status, &json!({ "rejection": rejection }));
}

/// Reads a request's whole body.
///
/// # Errors
///
/// Returns an error if the body breaks off.
pub fn body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut buf = Vec::new();
    request
        .as_reader()
        .take(BODY_BYTES_MAX)
        .read_to_end(&mut buf)?;
    Ok(buf)
}

/// Reads a JSON body; answers 422 and returns nothing if it is malformed.
pub fn json_body<T: DeserializeOwned>(mut request: Request) -> Option<(Request, T)> {
    let parsed = body(&mut request)
        .ok()
        .and_then(|buf| serde_json::from_slice(&buf).ok());
    match parsed {
        Some(parsed) => Some((request, parsed)),
        None => {
            reject(request, 422, "invalid");
            None
        }
    }
}

/// Splits a URL into its path and its query.
#[must_use]
pub fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// Returns a number of a query.
#[must_use]
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

/// Returns a value of a query, decoded.
#[must_use]
pub fn query_text(query: &str, name: &str) -> Option<String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| decode(value))
}

/// Decodes a part of a URL.
#[must_use]
pub fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Returns a header's value.
#[must_use]
pub fn header(request: &Request, name: &'static str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str().to_owned())
}

/// The open, chunked answer to one request.
pub struct ChunkWriter {
    writer: Box<dyn Write + Send>,
    /// Whether what is written gets lost on the way, unnoticed.
    pub muted: bool,
}

impl ChunkWriter {
    /// Sends status and headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller left.
    pub fn start(request: Request, content_type: &str) -> io::Result<ChunkWriter> {
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(ChunkWriter {
            writer,
            muted: false,
        })
    }

    /// Sends `text` as one chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller left.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        if self.muted || text.is_empty() {
            return Ok(());
        }
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }

    /// Ends the answer properly.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller left.
    pub fn finish(mut self) -> io::Result<()> {
        if self.muted {
            return Ok(());
        }
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    /// Breaks the answer off, visibly to a caller that keeps its connection.
    pub fn abort(mut self) {
        if !self.muted {
            // The invalid chunk size is what a reader notices.
            let _ = self.writer.write_all(b"broken\r\n");
            let _ = self.writer.flush();
        }
    }
}
