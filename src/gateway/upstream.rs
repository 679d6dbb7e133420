//! Connections to backend servers and to the platform's store.
//!
//! One client for all calls that leave the instance. A connection carries one
//! request at a time and is kept while its server says that it may be. Whoever
//! drops a [`Lease`] before the answer is whole closes the connection, so that
//! the server stops working on the request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::Millis;

/// Time for a new connection: many times the delay between failure domains, and
/// short enough to try another server in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without acknowledgement after which a connection counts as broken; more
/// than a lost packet needs to be sent again.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time without traffic after which the other side is asked for a sign of life,
/// and between two such questions; the system counts it in whole seconds.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept where its server names none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Time by which a connection is given up before its server does: one delay
/// there and back, and what a stated whole second may round.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Greatest answer that is read whole, in bytes: a page of the store.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;

/// Connections by address.
#[derive(Debug, Clone, Default)]
pub struct Upstream {
    pools: Rc<RefCell<HashMap<String, Pool>>>,
}

#[derive(Debug, Default)]
struct Pool {
    open: usize,
    idle: Vec<Idle>,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Instant,
}

impl fmt::Debug for Idle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Idle")
            .field("until", &self.until)
            .finish_non_exhaustive()
    }
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was written.
    NotSent(String),
    /// The connection broke, or what came is no answer.
    Broken(String),
    /// No answer in time.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(cause) => write!(f, "not sent: {cause}"),
            CallError::Broken(cause) => write!(f, "broken: {cause}"),
            CallError::TimedOut => f.write_str("timed out"),
        }
    }
}

/// A connection that carries one request.
pub struct Lease {
    upstream: Upstream,
    addr: String,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    idle_limit: Duration,
}

impl Lease {
    /// Puts the connection back once its answer is whole.
    pub fn keep(mut self, idle_limit: Option<Millis>) {
        self.idle_limit = idle_limit.map_or(IDLE_DEFAULT, Millis::as_duration);
        let Some(sender) = self.sender.take() else {
            return;
        };
        let left = self.idle_limit.saturating_sub(IDLE_MARGIN);
        if left.is_zero() || sender.is_closed() {
            self.close();
            return;
        }
        let idle = Idle {
            sender,
            task: self.task.clone(),
            until: Instant::now() + left,
        };
        let mut pools = self.upstream.pools.borrow_mut();
        pools.entry(self.addr.clone()).or_default().idle.push(idle);
    }

    fn close(&self) {
        self.task.abort();
        self.upstream.closed(&self.addr);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.close();
        }
    }
}

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lease")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// Which connections a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// One that was kept, or a new one.
    Kept,
    /// A new one only: a kept one may turn out to be closed when it is too late
    /// to know whether the request ran.
    Never,
}

impl Upstream {
    /// Sends a request and returns the head of its answer. At most `limit`
    /// connections are open to one address.
    ///
    /// # Errors
    ///
    /// Returns whether anything was written.
    pub async fn send(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: usize,
    ) -> Result<(Response<Incoming>, Lease), CallError> {
        let mut request = request;
        while let Some(mut lease) = self.take_idle(addr, reuse) {
            let Some(sender) = &mut lease.sender else {
                break;
            };
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, lease)),
                // The connection was closed before anything was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut lease = self.connect(addr, limit).await?;
        let Some(sender) = &mut lease.sender else {
            return Err(CallError::NotSent("no connection".to_owned()));
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, lease)),
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

    /// Makes a call and reads its answer whole.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn call(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        match timeout(time_limit, self.call_unlimited(addr, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::TimedOut),
        }
    }

    async fn call_unlimited(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallError> {
        let (response, lease) = self.send(addr, request, Reuse::Kept, usize::MAX).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_WHOLE_BYTES)
            .collect()
            .await
            .map_err(|error| CallError::Broken(error.to_string()))?;
        lease.keep(None);
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Closes idle connections whose time is over.
    pub fn expire(&self) {
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

    fn take_idle(&self, addr: &str, reuse: Reuse) -> Option<Lease> {
        if reuse == Reuse::Never {
            return None;
        }
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(addr)?;
        let now = Instant::now();
        while let Some(conn) = pool.idle.pop() {
            if now < conn.until && conn.sender.is_ready() {
                return Some(Lease {
                    upstream: self.clone(),
                    addr: addr.to_owned(),
                    sender: Some(conn.sender),
                    task: conn.task,
                    idle_limit: IDLE_DEFAULT,
                });
            }
            conn.task.abort();
            pool.open = pool.open.saturating_sub(1);
        }
        None
    }

    async fn connect(&self, addr: &str, limit: usize) -> Result<Lease, CallError> {
        let target: SocketAddr = addr
            .parse()
            .map_err(|_| CallError::NotSent(format!("{addr} is no address")))?;
        self.make_room(addr, limit)?;
        let counted = Counted {
            upstream: self,
            addr,
            armed: true,
        };
        let not_sent = |error: &dyn fmt::Display| CallError::NotSent(error.to_string());
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(_) => return Err(not_sent(&"no connection in time")),
        };
        tune(&stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        let task = spawn_local(async move {
            // Its requests get the error; nobody else needs it.
            let _ = connection.await;
        });
        counted.disarm();
        Ok(Lease {
            upstream: self.clone(),
            addr: addr.to_owned(),
            sender: Some(sender),
            task: task.abort_handle(),
            idle_limit: IDLE_DEFAULT,
        })
    }

    /// Counts a connection that is about to be opened; closes an idle one if
    /// there are too many.
    fn make_room(&self, addr: &str, limit: usize) -> Result<(), CallError> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(addr.to_owned()).or_default();
        if pool.open >= limit {
            let Some(oldest) = pool.idle.pop() else {
                return Err(CallError::NotSent("too many connections".to_owned()));
            };
            oldest.task.abort();
            pool.open = pool.open.saturating_sub(1);
        }
        pool.open += 1;
        Ok(())
    }

    fn closed(&self, addr: &str) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(addr) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

/// Uncounts a connection that was not opened after all.
struct Counted<'a> {
    upstream: &'a Upstream,
    addr: &'a str,
    armed: bool,
}

impl Counted<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.upstream.closed(self.addr);
        }
    }
}

/// Sets what every connection of the gateway has: no delay for small writes,
/// and an end if the other side acknowledges nothing, also while it is only
/// waited for.
pub fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    if let Err(error) = socket.set_tcp_nodelay(true) {
        log::debug!(error:% = error; "cannot turn off the delay of small writes");
    }
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD);
    if let Err(error) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!(error:% = error; "cannot ask for signs of life");
    }
    if let Err(error) = socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)) {
        log::debug!(error:% = error; "cannot limit unacknowledged time");
    }
}
