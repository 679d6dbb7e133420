//! Callers' connections, and the status server for readiness checks and
//! metrics.
//!
//! Each connection has its own task. A connection that is idle for too long, or
//! whose request head takes too long to arrive, is closed; one with a request
//! in progress is not. While the instance drains, connections are closed after
//! their next response.

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
use crate::gateway::forward;
use crate::gateway::forward::Traffic;
use crate::gateway::response;
use crate::gateway::route::CallerLimits;
use crate::gateway::upstream::set_socket_options;
use crate::metrics::Metrics;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Minimum read buffer size that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Maximum bytes of a head that are scanned for conflicting lengths; longer
/// heads are not checked.
const MAX_SCANNED_HEAD_BYTES: usize = 64 * 1024;
/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a connection's idle and head timeouts are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Progress of the instance's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// Accepts connections and requests.
    Serving,
    /// Draining: closes each connection after its next response.
    Draining,
    /// Closes idle connections and accepts no new ones.
    Closing,
}

/// State shared by all connections.
#[derive(Debug, Clone)]
pub struct ServerContext {
    /// State shared by all requests.
    pub traffic: Rc<Traffic>,
    /// Limits on callers' requests.
    pub limits: watch::Receiver<CallerLimits>,
    /// Progress of the instance's shutdown.
    pub phase: watch::Receiver<ShutdownPhase>,
}

/// Accepts callers' connections until the shutdown reaches its closing phase.
pub async fn accept(listener: TcpListener, context: ServerContext) {
    let mut phase = context.phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == ShutdownPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                set_socket_options(&stream);
                spawn_local(serve_connection(stream, context.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// State of a caller's connection.
#[derive(Debug, Clone, Copy)]
enum ConnectionState {
    /// Waiting for a request since this time.
    Idle(Instant),
    /// Receiving a request head since this time.
    Head(Instant),
    /// Serving a request.
    Request,
}

async fn serve_connection(stream: TcpStream, context: ServerContext) {
    let state = Rc::new(Cell::new(ConnectionState::Idle(Instant::now())));
    let ambiguous_length = Rc::new(Cell::new(false));
    let io = MonitoredStream {
        stream,
        state: Rc::clone(&state),
        head: Vec::new(),
        ambiguous_length: Rc::clone(&ambiguous_length),
    };
    let limits = *context.limits.borrow();
    let service = {
        let (context, state) = (context.clone(), Rc::clone(&state));
        service_fn(move |request: Request<Incoming>| {
            state.set(ConnectionState::Request);
            let ambiguous_length = ambiguous_length.replace(false);
            let idle_on_drop = IdleOnDrop(Rc::clone(&state));
            let limits = *context.limits.borrow();
            let traffic = Rc::clone(&context.traffic);
            async move {
                if ambiguous_length {
                    return Ok(response::ambiguous_length_response());
                }
                let body_timeout = limits.head_timeout.as_duration();
                let response =
                    forward::forward(traffic, request, limits.max_body_bytes, body_timeout).await;
                drop(idle_on_drop);
                response
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(io), service);
    let mut connection = pin!(connection);
    let mut phase = context.phase.clone();
    let mut closing = false;
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
            () = sleep(TIMEOUT_CHECK_INTERVAL) => {}
        }
        if should_close(&context, state.get()) && !closing {
            closing = true;
            log::info!(
                state:? = state.get(),
                phase:? = *context.phase.borrow(),
                idle_timeout_ms = context.limits.borrow().idle_timeout.0;
                "caller's connection is closed after its response"
            );
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Returns whether a connection has to be closed after its current request, if
/// any.
fn should_close(context: &ServerContext, state: ConnectionState) -> bool {
    let limits = *context.limits.borrow();
    match (*context.phase.borrow(), state) {
        (ShutdownPhase::Closing, _) | (ShutdownPhase::Draining, ConnectionState::Request) => true,
        (_, ConnectionState::Idle(since)) => since.elapsed() >= limits.idle_timeout.as_duration(),
        (_, ConnectionState::Head(since)) => since.elapsed() >= limits.head_timeout.as_duration(),
        (_, ConnectionState::Request) => false,
    }
}

/// Marks a connection as idle when its request ends.
struct IdleOnDrop(Rc<Cell<ConnectionState>>);

impl Drop for IdleOnDrop {
    fn drop(&mut self) {
        self.0.set(ConnectionState::Idle(Instant::now()));
    }
}

/// A connection that records when a request head begins to arrive, and whether
/// that head has conflicting body lengths. The check needs the raw bytes
/// because hyper drops one of two lengths before it passes the head on.
struct MonitoredStream {
    stream: TcpStream,
    state: Rc<Cell<ConnectionState>>,
    /// Received part of the current head.
    head: Vec<u8>,
    /// Whether the latest complete head has both `Content-Length` and
    /// `Transfer-Encoding`.
    ambiguous_length: Rc<Cell<bool>>,
}

impl MonitoredStream {
    fn scan_head(&mut self, bytes: &[u8]) {
        if self.head.len() > MAX_SCANNED_HEAD_BYTES {
            return;
        }
        self.head.extend_from_slice(bytes);
        let head = self.head.to_ascii_lowercase();
        let head_ends = [b"\n\r\n".as_slice(), b"\n\n"];
        let Some(end) = head_ends.iter().filter_map(|end| find(&head, end)).min() else {
            return;
        };
        let head = &head[..end];
        let has_both = find(head, b"\ncontent-length").is_some()
            && find(head, b"\ntransfer-encoding").is_some();
        self.ambiguous_length.set(has_both);
        self.head.clear();
    }
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes
        .windows(needle.len())
        .position(|window| window == needle)
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if buf.filled().len() > before && !matches!(this.state.get(), ConnectionState::Request) {
            if matches!(this.state.get(), ConnectionState::Idle(_)) {
                this.state.set(ConnectionState::Head(Instant::now()));
            }
            this.scan_head(&buf.filled()[before..]);
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        // Time spent writing a response does not count as idle.
        if matches!(this.state.get(), ConnectionState::Idle(_)) {
            this.state.set(ConnectionState::Idle(Instant::now()));
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

/// Serves readiness checks and metrics until the process ends.
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
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (ready, metrics) = (ready.clone(), Arc::clone(&metrics));
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = status_response(&request, *ready.borrow(), &metrics);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "status connection ended");
            }
        });
    }
}

fn status_response(
    request: &Request<Incoming>,
    ready: bool,
    metrics: &Metrics,
) -> Response<Full<Bytes>> {
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
