//! HTTP client with connection pools for backend servers and the platform's
//! store.
//!
//! A connection carries one request at a time and stays in the pool until
//! shortly before its server's keep-alive timeout. Dropping a
//! [`PooledConnection`] before the response is complete resets the connection,
//! so that the server stops working on the request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::gateway::memory_budget::SERVER_RECEIVE_BUFFER_BYTES;
use crate::gateway::server_stream::Exchange;
use crate::gateway::server_stream::ServerStream;

/// Time limit for connecting: many times the delay between failure domains, and
/// short enough to try another server in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for the response to a probe, connecting included: long enough for a
/// plain server that gives it a slot after the requests that wait.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a probed connection has to stay open if nothing is sent: many
/// times the delay between failure domains.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time without acknowledgement after which a connection to a server is considered
/// broken; longer than the retransmission of a lost packet takes.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Idle time before the first TCP keepalive probe, and interval between probes;
/// the operating system supports whole seconds only.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is considered broken.
/// Memory reserved for its request has to be free again within four seconds of a
/// server's end.
const KEEPALIVE_PROBES: u32 = 2;
/// Keep-alive timeout assumed for a server that states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the server's keep-alive timeout at which an idle connection is
/// closed: one round trip, plus the rounding of a timeout stated in whole
/// seconds.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Longest time for which a connection is kept idle. If its link was lost meanwhile,
/// the limit on acknowledgement ends it before its keepalive probes do, and discards
/// the request that was written to it.
pub const MAX_IDLE_TIME: Duration = KEEPALIVE_PERIOD
    .saturating_mul(1 + KEEPALIVE_PROBES)
    .saturating_sub(ACK_TIMEOUT)
    .saturating_sub(Duration::from_millis(100));
/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum size of a response that is buffered completely, in bytes: many times the
/// report of an engine.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Connection pools by address.
#[derive(Debug, Clone, Default)]
pub struct Upstream {
    pools: Rc<RefCell<HashMap<String, Pool>>>,
}

#[derive(Debug, Default)]
struct Pool {
    /// Open connections, idle and in use.
    open: usize,
    idle: Vec<Idle>,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    exchange: Exchange,
    /// When it is closed, shortly before the server's keep-alive timeout.
    until: Instant,
}

impl fmt::Debug for Idle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Idle")
            .field("until", &self.until)
            .finish_non_exhaustive()
    }
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was written.
    NotSent(String),
    /// No connection could be opened, and nothing was written.
    Unreachable(String),
    /// The connection broke, or the response was invalid.
    Broken(String),
    /// No response within the time limit.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(cause) => write!(f, "not sent: {cause}"),
            CallError::Unreachable(cause) => write!(f, "unreachable: {cause}"),
            CallError::Broken(cause) => write!(f, "broken: {cause}"),
            CallError::TimedOut => f.write_str("timed out"),
        }
    }
}

/// A connection checked out of its pool for one request.
pub struct PooledConnection {
    upstream: Upstream,
    addr: String,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    exchange: Exchange,
    idle_timeout: Duration,
    is_reused: bool,
}

impl PooledConnection {
    /// Returns whether it has carried requests before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the connection to the pool after its response was read
    /// completely.
    pub fn return_to_pool(mut self, idle_timeout: Option<Millis>) {
        self.idle_timeout = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, Millis::as_duration);
        let Some(sender) = self.sender.take() else {
            return;
        };
        self.exchange.end();
        let remaining = self.idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        let remaining = remaining.min(MAX_IDLE_TIME);
        if remaining.is_zero() || sender.is_closed() {
            self.close();
            return;
        }
        let idle = Idle {
            sender,
            task: self.task.clone(),
            exchange: self.exchange.clone(),
            until: Instant::now() + remaining,
        };
        let mut pools = self.upstream.pools.borrow_mut();
        pools.entry(self.addr.clone()).or_default().idle.push(idle);
    }

    fn close(&self) {
        self.task.abort();
        self.upstream.connection_closed(&self.addr);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.close();
        }
    }
}

impl fmt::Debug for PooledConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PooledConnection")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A pooled connection, or a new one.
    Pooled,
    /// A new connection only: the server may close a pooled one at the moment
    /// it is used, and then it is unknown whether the request ran.
    NewOnly,
}

impl Upstream {
    /// Sends a request and returns the head of its response. At most `limit`
    /// connections are open to one address.
    ///
    /// # Errors
    ///
    /// Returns why there is no response, and whether anything was written.
    pub async fn send(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: usize,
    ) -> Result<(Response<Incoming>, PooledConnection), CallError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(addr, reuse) {
            let Some(sender) = &mut connection.sender else {
                break;
            };
            connection.exchange.begin();
            match sender.try_send_request(request).await {
                Ok(response) => {
                    return final_response(response).map(|response| (response, connection));
                }
                // The pooled connection was closed before anything was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect(addr, limit).await?;
        let Some(sender) = &mut connection.sender else {
            return Err(CallError::NotSent("no connection".to_owned()));
        };
        connection.exchange.begin();
        match sender.try_send_request(request).await {
            Ok(response) => final_response(response).map(|response| (response, connection)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                Err(if unsent {
                    CallError::NotSent(cause)
                } else {
                    CallError::Broken(cause)
                })
            }
        }
    }

    /// Sends a request and reads its response completely.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    pub async fn call(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        match timeout(time_limit, self.call_without_timeout(addr, request)).await {
            Ok(response) => response,
            Err(_) => Err(CallError::TimedOut),
        }
    }

    async fn call_without_timeout(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallError> {
        let (response, connection) = self.send(addr, request, Reuse::Pooled, usize::MAX).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| CallError::Broken(error.to_string()))?;
        connection.return_to_pool(None);
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Probes a server on a new connection, which is kept for later requests: sends
    /// a request for `path` and waits for its response, whatever its status; returns
    /// its headers. If there is no path, the connection has to stay open for a short
    /// time.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened, if it is closed at once,
    /// as by a proxy in front of a server that cannot be reached, or if there is no
    /// response within the time limit.
    pub async fn probe(&self, addr: &str, path: Option<&str>) -> Result<HeaderMap, CallError> {
        let Some(path) = path else {
            return self.probe_connection(addr).await.map(|()| HeaderMap::new());
        };
        let request = Request::get(path)
            .header(header::HOST, addr)
            .body(Full::default())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let call = async {
            let sent = self.send(addr, request, Reuse::NewOnly, usize::MAX).await;
            let (response, connection) = sent?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES);
            // The head has shown that the server is reached.
            if body.collect().await.is_ok() {
                connection.return_to_pool(None);
            }
            Ok(head.headers)
        };
        timeout(PROBE_TIMEOUT, call)
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    async fn probe_connection(&self, addr: &str) -> Result<(), CallError> {
        self.reserve_slot(addr, usize::MAX)?;
        let guard = OpenCountGuard::new(self, addr);
        let mut stream = open_stream(addr).await?;
        if let Ok(read) = timeout(PROBE_SETTLE_TIME, stream.read(&mut [0])).await {
            let cause = match read {
                Ok(_) => "closed at once".to_owned(),
                Err(error) => error.to_string(),
            };
            return Err(CallError::Unreachable(cause));
        }
        let connection = self.start_connection(addr, stream).await?;
        guard.disarm();
        connection.return_to_pool(None);
        Ok(())
    }

    /// Closes idle connections whose keep-alive time is over.
    pub fn close_expired(&self) {
        let now = Instant::now();
        for pool in self.pools.borrow_mut().values_mut() {
            let Pool { open, idle } = pool;
            idle.retain(|conn| {
                let keep = now < conn.until && !conn.sender.is_closed();
                if !keep {
                    conn.task.abort();
                    *open = open.saturating_sub(1);
                }
                keep
            });
        }
    }

    fn take_idle(&self, addr: &str, reuse: Reuse) -> Option<PooledConnection> {
        if reuse == Reuse::NewOnly {
            return None;
        }
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(addr)?;
        let now = Instant::now();
        while let Some(conn) = pool.idle.pop() {
            if now < conn.until && conn.sender.is_ready() {
                return Some(PooledConnection {
                    upstream: self.clone(),
                    addr: addr.to_owned(),
                    sender: Some(conn.sender),
                    task: conn.task,
                    exchange: conn.exchange,
                    idle_timeout: DEFAULT_IDLE_TIMEOUT,
                    is_reused: true,
                });
            }
            conn.task.abort();
            pool.open = pool.open.saturating_sub(1);
        }
        None
    }

    async fn connect(&self, addr: &str, limit: usize) -> Result<PooledConnection, CallError> {
        self.reserve_slot(addr, limit)?;
        let guard = OpenCountGuard::new(self, addr);
        let stream = open_stream(addr).await?;
        let connection = self.start_connection(addr, stream).await?;
        guard.disarm();
        Ok(connection)
    }

    async fn start_connection(
        &self,
        addr: &str,
        stream: TcpStream,
    ) -> Result<PooledConnection, CallError> {
        let exchange = Exchange::default();
        let stream = ServerStream::new(stream, exchange.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let task = spawn_local(async move {
            // The request on this connection receives the error.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            upstream: self.clone(),
            addr: addr.to_owned(),
            sender: Some(sender),
            task: task.abort_handle(),
            exchange,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            is_reused: false,
        })
    }

    /// Counts a connection that is about to be opened; at the limit, closes an
    /// idle one first.
    fn reserve_slot(&self, addr: &str, limit: usize) -> Result<(), CallError> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(addr.to_owned()).or_default();
        if pool.open >= limit {
            let Some(idle) = pool.idle.pop() else {
                return Err(CallError::NotSent("too many connections".to_owned()));
            };
            idle.task.abort();
            pool.open = pool.open.saturating_sub(1);
        }
        pool.open += 1;
        Ok(())
    }

    fn connection_closed(&self, addr: &str) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(addr) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

/// Decrements the count of open connections if connecting fails or is
/// cancelled.
struct OpenCountGuard<'a> {
    upstream: &'a Upstream,
    addr: &'a str,
    armed: bool,
}

impl<'a> OpenCountGuard<'a> {
    fn new(upstream: &'a Upstream, addr: &'a str) -> OpenCountGuard<'a> {
        OpenCountGuard {
            upstream,
            addr,
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for OpenCountGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.upstream.connection_closed(self.addr);
        }
    }
}

/// Checks that a response has the status of a final one. hyper passes on any three
/// digits, and an upgrade that was not asked for.
fn final_response(response: Response<Incoming>) -> Result<Response<Incoming>, CallError> {
    let status = response.status().as_u16();
    match FINAL_STATUSES.contains(&status) {
        true => Ok(response),
        false => Err(CallError::Broken(format!(
            "status {status} is no final one"
        ))),
    }
}

async fn open_stream(addr: &str) -> Result<TcpStream, CallError> {
    let target: SocketAddr = addr
        .parse()
        .map_err(|_| CallError::NotSent(format!("{addr} is not a valid address")))?;
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(CallError::Unreachable(error.to_string())),
        Err(_) => return Err(CallError::Unreachable("connect timed out".to_owned())),
    };
    set_socket_options(&stream);
    let socket = SockRef::from(&stream);
    if let Err(error) = socket.set_recv_buffer_size(SERVER_RECEIVE_BUFFER_BYTES) {
        log::debug!(error:% = error; "cannot set the size of the receive buffer");
    }
    limit_acknowledgement_time(&stream);
    Ok(stream)
}

/// Ends a connection if the server acknowledges nothing. The limit holds also
/// while the receiver has no room, so that callers that read slowly must not
/// have it.
pub fn limit_acknowledgement_time(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(ACK_TIMEOUT)) {
        log::debug!(error:% = error; "cannot set TCP_USER_TIMEOUT");
    }
}

/// Sets the socket options of every gateway connection: no delay of small
/// writes, and termination if the peer ends silently while the connection only
/// waits for data.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    if let Err(error) = socket.set_tcp_nodelay(true) {
        log::debug!(error:% = error; "cannot set TCP_NODELAY");
    }
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_PROBES);
    if let Err(error) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!(error:% = error; "cannot enable TCP keepalive");
    }
}
