//! Callers' connections, and the status server for readiness checks and
//! metrics.
//!
//! Each connection has its own task. A connection that is idle for too long, or
//! whose request head takes too long to arrive, is closed; one with a request
//! in progress is not. While the instance drains, connections are closed after
//! their next response. There are at most as many connections as the memory
//! budget and the descriptors allow; a further one takes the place of the one that
//! is of least use.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::adapter::headers::READY_PATH;
use crate::clock::Millis;
use crate::gateway::connection::Activity;
use crate::gateway::connection::ConnectionCount;
use crate::gateway::connection::ConnectionState;
use crate::gateway::connection::MonitoredStream;
use crate::gateway::connection::TrackedBody;
use crate::gateway::connection::has_left;
use crate::gateway::connection_table::ConnectionTable;
use crate::gateway::connection_table::Place;
use crate::gateway::forward;
use crate::gateway::forward::RequestSender;
use crate::gateway::forward::Traffic;
use crate::gateway::framing::BodyLength;
use crate::gateway::framing::HeadScanner;
use crate::gateway::memory_budget::Holder;
use crate::gateway::memory_budget::MemoryBudget;
use crate::gateway::relay::MAX_TERMS_BYTES;
use crate::gateway::response;
use crate::gateway::response::Aborted;
use crate::gateway::response::ResponseBody;
use crate::gateway::route::CallerLimits;
use crate::gateway::upstream::set_socket_options;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::metrics::Metrics;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Minimum read buffer size that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a connection's idle and head timeouts are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which it is checked whether a caller has left that has sent requests
/// ahead: its servers have to be released within half a second.
const READ_AHEAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller that takes nothing of its response is given up.
const READ_STALL_LIMIT: Duration = Duration::from_secs(15);
/// Maximum number of connections of a status listener.
const MAX_STATUS_CONNECTIONS: usize = 64;
/// Interval at which the timeouts of a status connection are checked.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a status connection without progress is closed.
const STATUS_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for a request head, or for reading the answer, on a status
/// connection.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

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
    /// Who sends the requests.
    pub sender: RequestSender,
    /// Progress of the instance's shutdown.
    pub phase: watch::Receiver<ShutdownPhase>,
    /// Number of callers' open connections.
    pub connections: ConnectionCount,
    /// Open connections of this listener.
    pub table: ConnectionTable,
}

/// What the status shows, and what its connections may use.
#[derive(Debug, Clone)]
pub struct StatusContext {
    /// Whether the instance takes callers.
    pub ready: watch::Receiver<bool>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// The memory budget.
    pub budget: MemoryBudget,
    /// Number of callers' open connections.
    pub connections: ConnectionCount,
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
            Ok((stream, caller)) => {
                let state = ConnectionState::new();
                let Some(place) = admit(&context, &state, caller) else {
                    continue;
                };
                set_socket_options(&stream);
                let counted = context.connections.count_connection();
                let context = context.clone();
                spawn_local(async move {
                    serve_connection(stream, caller, state, place, context).await;
                    drop(counted);
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Gives a new connection its place; `None` if there is none.
fn admit(context: &ServerContext, state: &ConnectionState, caller: SocketAddr) -> Option<Place> {
    let metrics = &context.traffic.metrics;
    let Some((place, closed)) = context.table.admit(state) else {
        metrics.add(Count::ConnectionsRefused, 1);
        log::info!(caller:% = caller, open = context.table.len(); "connection refused: too many are open");
        return None;
    };
    if closed.is_some() {
        metrics.add(Count::ConnectionsCrowdedOut, 1);
    }
    Some(place)
}

/// Why the gateway closes a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseCause {
    IdleTimeout,
    HeadTimeout,
    ReadStalled,
    CrowdedOut,
    Draining,
    ResponseAborted,
}

impl CloseCause {
    fn as_str(self) -> &'static str {
        match self {
            CloseCause::IdleTimeout => "idle_timeout",
            CloseCause::HeadTimeout => "head_timeout",
            CloseCause::ReadStalled => "read_stalled",
            CloseCause::CrowdedOut => "crowded_out",
            CloseCause::Draining => "draining",
            CloseCause::ResponseAborted => "response_aborted",
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    caller: SocketAddr,
    state: ConnectionState,
    place: Place,
    context: ServerContext,
) {
    let heads = Rc::new(RefCell::new(HeadScanner::new()));
    let head_lease = context.traffic.bodies.budget.lease(Holder::Heads);
    let stream = Rc::new(RefCell::new(stream));
    let io = MonitoredStream::new(
        Rc::clone(&stream),
        state.clone(),
        Rc::clone(&heads),
        head_lease,
    );
    let limits = *context.limits.borrow();
    let service = {
        let (context, state) = (context.clone(), state.clone());
        let (heads, stream) = (Rc::clone(&heads), Rc::clone(&stream));
        service_fn(move |request: Request<Incoming>| {
            state.begin(Activity::Request);
            let body_length = heads.borrow_mut().take_head();
            let (context, state) = (context.clone(), state.clone());
            // Sent ahead of an earlier answer that the caller did not wait for.
            let has_left = has_left(&stream);
            async move {
                if has_left {
                    return Err(Aborted);
                }
                let response = match body_length {
                    BodyLength::Ambiguous => response::ambiguous_length_response(),
                    BodyLength::Clear => forward_request(&context, &state, request).await?,
                };
                let response = match *context.phase.borrow() {
                    ShutdownPhase::Serving => response,
                    ShutdownPhase::Draining | ShutdownPhase::Closing => {
                        response::with_connection_close(response)
                    }
                };
                Ok::<_, Aborted>(response.map(|body| TrackedBody::new(body, state)))
            }
        })
    };
    let max_head_bytes = match context.sender {
        RequestSender::Caller => limits.max_head_bytes,
        RequestSender::Instance => limits.max_head_bytes + MAX_TERMS_BYTES,
    };
    let connection = http1::Builder::new()
        .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(io), service);
    let mut connection = pin!(connection);
    let mut phase = context.phase.clone();
    let mut closing = false;
    loop {
        tokio::select! {
            // A head that has arrived is read before the idle time is checked.
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(caller:% = caller, error:% = error; "caller's connection ended");
                }
                if state.activity() == Activity::Aborted {
                    log_close(caller, CloseCause::ResponseAborted, &state, &context);
                }
                return;
            }
            changed = phase.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = place.closed() => {
                log_close(caller, CloseCause::CrowdedOut, &state, &context);
                return;
            }
            () = sleep(check_interval(&heads.borrow())) => {}
        }
        // hyper doesn't look while there are bytes that it has not read.
        if heads.borrow().has_read_ahead() && has_left(&stream) {
            log::debug!(caller:% = caller; "caller left with requests sent ahead");
            return;
        }
        match close_cause(&context, &state) {
            // hyper would wait for the rest of a connection's first head, and for
            // the caller to read.
            Some(cause @ (CloseCause::HeadTimeout | CloseCause::ReadStalled)) => {
                log_close(caller, cause, &state, &context);
                return;
            }
            Some(cause) if !closing => {
                log_close(caller, cause, &state, &context);
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            _ => {}
        }
    }
}

/// Returns the time until a connection is checked again.
fn check_interval(heads: &HeadScanner) -> Duration {
    match heads.has_read_ahead() {
        true => READ_AHEAD_CHECK_INTERVAL,
        false => TIMEOUT_CHECK_INTERVAL,
    }
}

async fn forward_request(
    context: &ServerContext,
    state: &ConnectionState,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Aborted> {
    let limits = *context.limits.borrow();
    let traffic = Rc::clone(&context.traffic);
    let body_timeout = limits.head_timeout.as_duration();
    let max_body_bytes = limits.max_body_bytes;
    forward::forward(
        traffic,
        request,
        state,
        context.sender,
        max_body_bytes,
        body_timeout,
    )
    .await
}

/// Returns why a connection has to be closed, if it has to; after its current
/// response, if any.
fn close_cause(context: &ServerContext, state: &ConnectionState) -> Option<CloseCause> {
    let limits = *context.limits.borrow();
    match (*context.phase.borrow(), state.activity()) {
        (_, Activity::Head) if state.elapsed() >= limits.head_timeout.as_duration() => {
            Some(CloseCause::HeadTimeout)
        }
        _ if state
            .blocked()
            .is_some_and(|blocked| blocked >= READ_STALL_LIMIT) =>
        {
            context.traffic.metrics.add(Count::CallersNotReading, 1);
            Some(CloseCause::ReadStalled)
        }
        (ShutdownPhase::Closing, _) => Some(CloseCause::Draining),
        (_, Activity::Idle) if state.elapsed() >= limits.idle_timeout.as_duration() => {
            Some(CloseCause::IdleTimeout)
        }
        _ => None,
    }
}

fn log_close(
    caller: SocketAddr,
    cause: CloseCause,
    state: &ConnectionState,
    context: &ServerContext,
) {
    let limits = *context.limits.borrow();
    let level = match state.activity() {
        Activity::Idle | Activity::Head | Activity::Body | Activity::Request => log::Level::Debug,
        Activity::Response | Activity::Flushing | Activity::Aborted => log::Level::Info,
    };
    log::log!(
        level,
        caller:% = caller,
        cause = cause.as_str(),
        state = state.activity().as_str(),
        elapsed_ms = Millis::from(state.elapsed()).0,
        idle_timeout_ms = limits.idle_timeout.0,
        head_timeout_ms = limits.head_timeout.0;
        "caller's connection closed"
    );
}

/// Serves readiness checks and metrics until the process ends. Nothing of a
/// request but its head is read.
pub async fn serve_status(listener: TcpListener, context: StatusContext) {
    let table = ConnectionTable::new(MAX_STATUS_CONNECTIONS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "status connection not accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let state = ConnectionState::new();
        let Some((place, _)) = table.admit(&state) else {
            log::info!("status connection refused: too many are open");
            continue;
        };
        spawn_local(serve_status_connection(
            stream,
            state,
            place,
            context.clone(),
        ));
    }
}

async fn serve_status_connection(
    stream: TcpStream,
    state: ConnectionState,
    place: Place,
    context: StatusContext,
) {
    let heads = Rc::new(RefCell::new(HeadScanner::new()));
    let head_lease = context.budget.lease(Holder::Heads);
    let stream = Rc::new(RefCell::new(stream));
    let io = MonitoredStream::new(stream, state.clone(), Rc::clone(&heads), head_lease);
    let service = {
        let state = state.clone();
        service_fn(move |request: Request<Incoming>| {
            state.begin(Activity::Request);
            heads.borrow_mut().take_head();
            let response = status_response(&request, &context)
                .map(|body| TrackedBody::new(ResponseBody::Left(body), state.clone()));
            async move { Ok::<_, Infallible>(response) }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(MIN_HEAD_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let mut connection = pin!(connection);
    loop {
        tokio::select! {
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(error:% = error; "status connection ended");
                }
                return;
            }
            () = place.closed() => return,
            () = sleep(STATUS_CHECK_INTERVAL) => {}
        }
        let limit = match state.activity() {
            Activity::Idle if state.has_answered() => STATUS_IDLE_TIMEOUT,
            _ => STATUS_TIMEOUT,
        };
        if state.elapsed() >= limit {
            return;
        }
    }
}

fn status_response(request: &Request<Incoming>, context: &StatusContext) -> Response<Full<Bytes>> {
    let ready = *context.ready.borrow();
    let (status, text) = match request.uri().path() {
        READY_PATH if ready => (StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        METRICS_PATH => {
            context.update_gauges();
            match context.metrics.encode() {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            }
        }
        _ => (StatusCode::NOT_FOUND, "no such page\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

impl StatusContext {
    fn update_gauges(&self) {
        let level = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        for holder in Holder::ALL {
            let gauge = match holder {
                Holder::Heads => Level::MemoryHeads,
                Holder::Bodies => Level::MemoryBodies,
                Holder::Answers => Level::MemoryAnswers,
            };
            self.metrics.set(gauge, level(self.budget.used(holder)));
        }
        self.metrics
            .set(Level::Connections, level(self.connections.get()));
    }
}
