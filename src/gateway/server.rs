//! Callers' connections, and the platform's question whether this instance
//! takes callers.
//!
//! Each connection has its own task. A connection that is idle for too long, or
//! whose head takes too long to arrive, is closed; one that carries a request
//! never is. When the instance leaves, connections end after their next answer.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::adapter::headers::READY_PATH;
use crate::gateway::answer;
use crate::gateway::forward;
use crate::gateway::forward::Traffic;
use crate::gateway::route::CallerLimits;
use crate::gateway::upstream::tune;
use crate::metrics::Metrics;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Least buffer that the HTTP library allows for a head, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Bytes of a head that are looked at; longer ones are refused as too large.
const MAX_SCANNED_HEAD_BYTES: usize = 64 * 1024;
/// Pause after a connection could not be accepted, as descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Period at which a connection's idle and head times are looked at.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// How far the instance's leaving has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes callers.
    Serving,
    /// Each answer is the last of its connection.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

/// What all connections share.
#[derive(Debug, Clone)]
pub struct Front {
    /// What all requests share.
    pub traffic: Rc<Traffic>,
    /// What callers may send.
    pub limits: watch::Receiver<CallerLimits>,
    /// How far the instance's leaving has come.
    pub phase: watch::Receiver<Phase>,
}

/// Accepts callers until the instance closes.
pub async fn accept(listener: TcpListener, front: Front) {
    let mut phase = front.phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tune(&stream);
                spawn_local(serve(stream, front.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy)]
enum Doing {
    /// Waits for a request, since then.
    Idle(Instant),
    /// Reads a head, since then.
    Head(Instant),
    /// Serves a request.
    Request,
}

async fn serve(stream: TcpStream, front: Front) {
    let doing = Rc::new(Cell::new(Doing::Idle(Instant::now())));
    let ambiguous = Rc::new(Cell::new(false));
    let io = Watched {
        stream,
        doing: Rc::clone(&doing),
        head: Vec::new(),
        ambiguous: Rc::clone(&ambiguous),
    };
    let limits = *front.limits.borrow();
    let service = {
        let (front, doing) = (front.clone(), Rc::clone(&doing));
        service_fn(move |request: Request<Incoming>| {
            doing.set(Doing::Request);
            let ambiguous = ambiguous.replace(false);
            let busy = Busy(Rc::clone(&doing));
            let limits = *front.limits.borrow();
            let traffic = Rc::clone(&front.traffic);
            async move {
                if ambiguous {
                    return Ok(answer::refuse_ambiguous());
                }
                let body_time = limits.head_time.as_duration();
                let answer = forward::forward(traffic, request, limits.body_bytes, body_time).await;
                drop(busy);
                answer
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(io), service);
    let mut connection = pin!(connection);
    let mut phase = front.phase.clone();
    let mut last_answer = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(error:% = error; "caller's connection ended");
                }
                return;
            }
            changed = phase.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = sleep(CHECK_PERIOD) => {}
        }
        if must_close(&front, doing.get()) && !last_answer {
            last_answer = true;
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Returns whether a connection is to end, after the request that it serves.
fn must_close(front: &Front, doing: Doing) -> bool {
    let limits = *front.limits.borrow();
    match (*front.phase.borrow(), doing) {
        (Phase::Closing, _) | (Phase::Leaving, Doing::Request) => true,
        (_, Doing::Idle(since)) => since.elapsed() >= limits.idle_time.as_duration(),
        (_, Doing::Head(since)) => since.elapsed() >= limits.head_time.as_duration(),
        (_, Doing::Request) => false,
    }
}

/// Marks a connection as idle when its request is over.
struct Busy(Rc<Cell<Doing>>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.set(Doing::Idle(Instant::now()));
    }
}

/// A connection that notes when a head begins to arrive, and whether it leaves
/// open where its body ends. The HTTP library drops one of two lengths before
/// anybody else sees them.
struct Watched {
    stream: TcpStream,
    doing: Rc<Cell<Doing>>,
    /// What has arrived of a head.
    head: Vec<u8>,
    /// Whether the newest whole head names both a length and chunks.
    ambiguous: Rc<Cell<bool>>,
}

impl Watched {
    fn read_head(&mut self, bytes: &[u8]) {
        if self.head.len() > MAX_SCANNED_HEAD_BYTES {
            return;
        }
        self.head.extend_from_slice(bytes);
        let head = self.head.to_ascii_lowercase();
        let blank = [b"\n\r\n".as_slice(), b"\n\n"];
        let Some(end) = blank.iter().filter_map(|blank| find(&head, blank)).min() else {
            return;
        };
        let head = &head[..end];
        let both = find(head, b"\ncontent-length").is_some()
            && find(head, b"\ntransfer-encoding").is_some();
        self.ambiguous.set(both);
        self.head.clear();
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if buf.filled().len() > before && !matches!(this.doing.get(), Doing::Request) {
            if matches!(this.doing.get(), Doing::Idle(_)) {
                this.doing.set(Doing::Head(Instant::now()));
            }
            this.read_head(&buf.filled()[before..]);
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        // An answer that is being written is no idle time.
        if matches!(this.doing.get(), Doing::Idle(_)) {
            this.doing.set(Doing::Idle(Instant::now()));
        }
        Pin::new(&mut this.stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// Answers the platform's question and serves metrics, until the process ends.
pub async fn serve_status(
    listener: TcpListener,
    ready: watch::Receiver<bool>,
    metrics: Arc<Metrics>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "status connection not accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (ready, metrics) = (ready.clone(), Arc::clone(&metrics));
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = status(&request, *ready.borrow(), &metrics);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "status connection ended");
            }
        });
    }
}

fn status(request: &Request<Incoming>, ready: bool, metrics: &Metrics) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        READY_PATH if ready => (StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        METRICS_PATH => match metrics.encode() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ => (StatusCode::NOT_FOUND, "no such page\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
