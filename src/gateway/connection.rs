//! State of a caller's connection, and the stream and the response body that
//! change it.
//!
//! A connection is idle from the time at which the last byte of a response has
//! been written until the first byte of the next request head arrives.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::gateway::framing::HeadScanner;
use crate::gateway::memory_budget::Lease;
use crate::gateway::response::ResponseBody;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// Waiting for a request.
    Idle,
    /// Receiving a request head.
    Head,
    /// Receiving a request body.
    Body,
    /// Serving a request whose response has not begun.
    Request,
    /// Sending a response.
    Response,
    /// Writing the rest of a response whose body has ended.
    Flushing,
    /// Ending after an aborted response.
    Aborted,
}

impl Activity {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Activity::Idle => "idle",
            Activity::Head => "head",
            Activity::Body => "body",
            Activity::Request => "request",
            Activity::Response => "response",
            Activity::Flushing => "flushing",
            Activity::Aborted => "aborted",
        }
    }
}

/// The state of one connection, shared by all that change it.
#[derive(Debug, Clone)]
pub struct ConnectionState(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    activity: Cell<(Activity, Instant)>,
    has_answered: Cell<bool>,
    /// Since when the caller has taken nothing of what is being written.
    blocked_since: Cell<Option<Instant>>,
}

impl ConnectionState {
    /// Returns the state of a new connection.
    #[must_use]
    pub fn new() -> ConnectionState {
        ConnectionState(Rc::new(Shared {
            activity: Cell::new((Activity::Idle, Instant::now())),
            has_answered: Cell::new(false),
            blocked_since: Cell::new(None),
        }))
    }

    /// Returns the current activity.
    #[must_use]
    pub fn activity(&self) -> Activity {
        self.0.activity.get().0
    }

    /// Returns the duration of the current activity; that of the response if it
    /// was aborted.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.0.activity.get().1.elapsed()
    }

    /// Returns whether a response has been written.
    #[must_use]
    pub fn has_answered(&self) -> bool {
        self.0.has_answered.get()
    }

    /// Returns for how long the caller has taken nothing of what is being written.
    #[must_use]
    pub fn blocked(&self) -> Option<Duration> {
        self.0.blocked_since.get().map(|since| since.elapsed())
    }

    /// Begins an activity.
    pub fn begin(&self, activity: Activity) {
        self.0.activity.set((activity, Instant::now()));
    }

    /// Records that a response has been written.
    fn end_response(&self, next: Activity) {
        self.0.has_answered.set(true);
        self.begin(next);
    }

    fn abort_response(&self) {
        let since = self.0.activity.get().1;
        self.0.activity.set((Activity::Aborted, since));
    }

    fn record_write<T>(&self, written: &Poll<T>) {
        let since = &self.0.blocked_since;
        match written {
            Poll::Ready(_) => since.set(None),
            Poll::Pending if since.get().is_none() => since.set(Some(Instant::now())),
            Poll::Pending => {}
        }
    }
}

impl Default for ConnectionState {
    fn default() -> ConnectionState {
        ConnectionState::new()
    }
}

/// Number of open connections.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    /// Returns the number.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts a connection until the result is dropped.
    #[must_use]
    pub fn count_connection(&self) -> CountedConnection {
        self.0.set(self.0.get() + 1);
        CountedConnection(self.clone())
    }
}

/// A connection that is open until this is dropped.
#[derive(Debug)]
pub struct CountedConnection(ConnectionCount);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get().saturating_sub(1));
    }
}

/// A response body that records its end in the state of its connection.
#[derive(Debug)]
pub struct TrackedBody {
    body: ResponseBody,
    state: ConnectionState,
}

impl TrackedBody {
    /// Begins a response.
    #[must_use]
    pub fn new(body: ResponseBody, state: ConnectionState) -> TrackedBody {
        state.begin(Activity::Response);
        TrackedBody { body, state }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            this.state.abort_response();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // The body is dropped as soon as its last chunk is in the write buffer.
        if self.state.activity() == Activity::Response {
            self.state.begin(Activity::Flushing);
        }
    }
}

/// A caller's connection, shared by hyper and by who looks whether the caller has left.
pub type SharedStream = Rc<RefCell<TcpStream>>;

/// Returns whether a caller has closed its connection, also if what it sent before has
/// not been read.
#[must_use]
pub fn has_left(stream: &SharedStream) -> bool {
    let stream = stream.borrow();
    let ready = pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(Ok(ready)) => ready.is_read_closed(),
        Poll::Ready(Err(_)) => true,
        Poll::Pending => false,
    }
}

/// A connection that records when a request head begins to arrive, when a
/// response has been written and whether its caller reads, and scans the heads. A
/// long head takes from the memory budget until its response has been written.
#[derive(Debug)]
pub struct MonitoredStream {
    stream: SharedStream,
    state: ConnectionState,
    heads: Rc<RefCell<HeadScanner>>,
    head_bytes: usize,
    head_lease: Lease,
}

impl MonitoredStream {
    /// Returns a stream that records what it sees.
    #[must_use]
    pub fn new(
        stream: SharedStream,
        state: ConnectionState,
        heads: Rc<RefCell<HeadScanner>>,
        head_lease: Lease,
    ) -> MonitoredStream {
        MonitoredStream {
            stream,
            state,
            heads,
            head_bytes: 0,
            head_lease,
        }
    }

    fn scan(&mut self, read: &[u8]) -> io::Result<()> {
        if self.state.activity() == Activity::Idle {
            self.state.begin(Activity::Head);
        }
        let mut heads = self.heads.borrow_mut();
        heads.scan(read);
        if !heads.is_inside_head() {
            return Ok(());
        }
        self.head_bytes += read.len();
        self.head_lease
            .grow_to(self.head_bytes)
            .map_err(|_| io::Error::other("no memory for the request head"))
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut *this.stream.borrow_mut()).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        if !read.is_empty()
            && let Err(error) = this.scan(read)
        {
            return Poll::Ready(Err(error));
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
        let written = Pin::new(&mut *this.stream.borrow_mut()).poll_write(cx, buf);
        this.state.record_write(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // hyper flushes the stream only when its own write buffer is empty.
        if this.state.activity() == Activity::Flushing {
            // The next head may have begun to arrive during the response.
            let next = match this.heads.borrow().is_inside_head() {
                true => Activity::Head,
                false => Activity::Idle,
            };
            this.state.end_response(next);
            this.head_bytes = 0;
            this.head_lease.shrink_to(0);
        }
        Pin::new(&mut *this.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
