//! Opens attempts: reserves memory, sends the request to a backend server and
//! waits for its response to begin.
//!
//! Nothing reaches the caller here, so that a second attempt of a request can be
//! opened while the first one gives no output. The forwarder takes the one that
//! answers first.

use std::cell::Cell;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http::request;
use http::response::Parts;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::adapter::headers;
use crate::adapter::headers::AddedHeaders;
use crate::clock::Millis;
use crate::gateway::body::AnswerError;
use crate::gateway::body::discard_whole;
use crate::gateway::body::read_answer;
use crate::gateway::events::EventSplitter;
use crate::gateway::events::Events;
use crate::gateway::forward::Traffic;
use crate::gateway::memory::HeldMemory;
use crate::gateway::memory::MemoryReservations;
use crate::gateway::memory_budget::Holder;
use crate::gateway::memory_budget::Lease;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::AttemptNumber;
use crate::gateway::message::AttemptPlan;
use crate::gateway::message::Input;
use crate::gateway::message::RequestHead;
use crate::gateway::message::ResponseHead;
use crate::gateway::message::Ticket;
use crate::gateway::message::TimeLimit;
use crate::gateway::relay;
use crate::gateway::response::promises_not_run;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::PooledConnection;
use crate::gateway::upstream::Reuse;

/// Time limit for reading the rest of a refusal's body.
const REFUSAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a response that is no event stream, in bytes. It is buffered
/// so that another server can be tried if it breaks off.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Status of a server that is not the one that the request expects.
const MISDIRECTED: u16 = 421;
/// Maximum size of a buffered failure response of a backend server, in bytes.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;

/// A caller's request, completely received.
#[derive(Debug)]
pub struct CallerRequest {
    /// Head as received.
    pub parts: request::Parts,
    /// Decoded head.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
}

/// What all attempts of a request share.
#[derive(Debug, Clone)]
pub struct AttemptContext {
    /// State shared by all requests.
    pub traffic: Rc<Traffic>,
    /// Ticket of the request.
    pub ticket: Ticket,
    /// The request.
    pub caller_request: Rc<CallerRequest>,
}

/// An attempt whose response has begun.
#[derive(Debug)]
pub enum OpenAttempt {
    /// A complete response.
    Complete(Response<Bytes>),
    /// An event stream.
    Stream(Box<OpenStream>),
}

/// An event stream that has begun.
#[derive(Debug)]
pub struct OpenStream {
    /// Head of the response.
    pub parts: Parts,
    /// First events; `None` if there are none.
    pub first_events: Option<Events>,
    /// Splits the rest of the body.
    pub splitter: EventSplitter,
    /// Budget of what the splitter buffers.
    pub splitter_lease: Lease,
    /// Rest of the body.
    pub body: Incoming,
    /// The connection that the body arrives on.
    pub connection: PooledConnection,
    /// Time for which the connection may be kept idle afterwards.
    pub idle_timeout: Option<Millis>,
    /// Deadline of the complete response.
    pub response_deadline: Instant,
    /// What sets that deadline.
    pub time_limit: TimeLimit,
    /// Memory reserved for the attempt.
    pub memory: HeldMemory,
}

/// A failure response of a backend server, buffered until the core decides
/// whether to retry or to forward it.
pub type Failure = Response<Bytes>;

/// The end of an attempt that gave no output.
#[derive(Debug)]
pub struct OpenError {
    /// How it ended.
    pub end: AttemptEnd,
    /// The response, if it ended with [`AttemptEnd::Failed`].
    pub failure: Option<Failure>,
}

impl From<AttemptEnd> for OpenError {
    fn from(end: AttemptEnd) -> OpenError {
        OpenError { end, failure: None }
    }
}

/// Outcome of opening an attempt.
pub type Opened = Result<OpenAttempt, OpenError>;

type Opening = Pin<Box<dyn Future<Output = Opened>>>;

/// Attempts of one request whose responses have not begun. Dropping them closes
/// their connections and releases their memory.
pub struct OpeningAttempts {
    context: AttemptContext,
    attempts: Vec<(AttemptNumber, Opening)>,
}

impl OpeningAttempts {
    /// Creates an empty set for one request.
    #[must_use]
    pub fn new(context: AttemptContext) -> OpeningAttempts {
        OpeningAttempts {
            context,
            attempts: Vec::new(),
        }
    }

    /// Starts an attempt. A stream is resumed after the event `last_event`.
    pub fn start(&mut self, plan: AttemptPlan, last_event: Option<&str>) {
        let number = plan.attempt;
        let opening = open(
            self.context.clone(),
            plan,
            last_event.map(ToOwned::to_owned),
        );
        self.attempts.push((number, Box::pin(opening)));
    }

    /// Waits for the next attempt to begin to answer or to end; forever if there
    /// is none.
    pub async fn next(&mut self) -> (AttemptNumber, Opened) {
        poll_fn(|cx| {
            for index in 0..self.attempts.len() {
                let (number, opening) = &mut self.attempts[index];
                if let Poll::Ready(opened) = opening.as_mut().poll(cx) {
                    let number = *number;
                    drop(self.attempts.swap_remove(index));
                    return Poll::Ready((number, opened));
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Stops all attempts and returns their numbers.
    pub fn stop(&mut self) -> Vec<AttemptNumber> {
        self.attempts.drain(..).map(|(number, _)| number).collect()
    }
}

/// Logs that the deadline of the complete response ended an attempt.
pub fn log_time_limit(request_id: &str, number: AttemptNumber, limit: TimeLimit) {
    log::info!(
        request = request_id,
        attempt = number.0,
        limit = limit.as_str(),
        config_version = limit.config_version();
        "time limit reached"
    );
}

/// What an attempt whose response has not begun waits for.
#[derive(Debug, Clone, Copy)]
enum OpeningStage {
    /// Memory of engines.
    Memory,
    /// A connection, or the head of the response.
    ResponseHead,
    /// The first output.
    FirstOutput,
}

impl OpeningStage {
    fn as_str(self) -> &'static str {
        match self {
            OpeningStage::Memory => "memory",
            OpeningStage::ResponseHead => "response_head",
            OpeningStage::FirstOutput => "first_output",
        }
    }
}

async fn open(context: AttemptContext, plan: AttemptPlan, last_event: Option<String>) -> Opened {
    let due = context.traffic.to_instant(plan.first_output_deadline);
    let request_id = context.request_id();
    let stage = Cell::new(OpeningStage::Memory);
    let opening = async {
        let memory = MemoryReservations::new(&context.traffic, request_id);
        let memory = memory.reserve(&plan.reservations).await?;
        stage.set(OpeningStage::ResponseHead);
        let last_event = last_event.as_deref();
        context.send(&plan, last_event, memory, &stage).await
    };
    tokio::select! {
        opened = opening => opened,
        () = sleep_until(due) => {
            match plan.first_output_deadline < plan.response_deadline {
                true => log::info!(
                    request = request_id,
                    attempt = plan.attempt.0,
                    limit = "unused_memory",
                    stage = stage.get().as_str();
                    "time limit reached"
                ),
                false => log::info!(
                    request = request_id,
                    attempt = plan.attempt.0,
                    limit = plan.time_limit.as_str(),
                    config_version = plan.time_limit.config_version(),
                    stage = stage.get().as_str();
                    "time limit reached"
                ),
            }
            Err(AttemptEnd::Silent.into())
        }
    }
}

impl AttemptContext {
    async fn read_body(&self, body: Incoming, limit: usize) -> Result<Bytes, AnswerError> {
        read_answer(&self.traffic.bodies.budget, body, limit).await
    }

    fn request_id(&self) -> &str {
        &self.caller_request.head.request_id
    }

    async fn send(
        &self,
        plan: &AttemptPlan,
        last_event: Option<&str>,
        memory: HeldMemory,
        stage: &Cell<OpeningStage>,
    ) -> Opened {
        let request = match self.build_request(plan, last_event) {
            Ok(request) => request,
            Err(error) => {
                log::error!(request = self.request_id(), error:% = error; "cannot build request");
                return Err(AttemptEnd::NotSent.into());
            }
        };
        let is_repeatable = plan.resumable || plan.retry_failures;
        // Only an id tells a late copy of an earlier response.
        let reuse = match is_repeatable && !self.request_id().is_empty() {
            true => Reuse::Pooled,
            false => Reuse::NewOnly,
        };
        let sent_at = self.traffic.clock.now();
        let upstream = &self.traffic.upstream;
        let sent = upstream.send(&plan.addr, request, reuse, plan.max_connections);
        let sent = sent.await;
        stage.set(OpeningStage::FirstOutput);
        match sent {
            Err(CallError::NotSent(cause)) => {
                log::info!(request = self.request_id(), server = plan.server_id.as_str(), cause = cause.as_str(); "not sent");
                Err(AttemptEnd::NotSent.into())
            }
            Err(CallError::Unreachable(cause)) => {
                log::info!(request = self.request_id(), server = plan.server_id.as_str(), cause = cause.as_str(); "not sent");
                Err(AttemptEnd::Unreachable.into())
            }
            Err(error) => {
                log::info!(request = self.request_id(), server = plan.server_id.as_str(), cause:% = error; "no answer");
                Err(AttemptEnd::Broken.into())
            }
            Ok((response, connection)) if plan.relay.is_some() => {
                self.read_relayed(plan, response, connection, memory).await
            }
            Ok((response, connection)) => {
                self.read_response(plan, sent_at, response, connection, memory)
                    .await
            }
        }
    }

    fn build_request(
        &self,
        plan: &AttemptPlan,
        last_event: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut headers = match &plan.relay {
            Some(terms) => {
                let caller_headers = &self.caller_request.parts.headers;
                let mut headers = headers::relayed_request_headers(caller_headers, last_event);
                terms.insert(&mut headers)?;
                headers
            }
            None => self.server_headers(plan, last_event),
        };
        headers.remove(header::CONTENT_LENGTH);
        let path = self.caller_request.parts.uri.path_and_query();
        let mut request = Request::builder()
            .method(self.caller_request.parts.method.clone())
            .uri(path.map_or("/", |path| path.as_str()))
            .body(Full::new(self.caller_request.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn server_headers(&self, plan: &AttemptPlan, last_event: Option<&str>) -> HeaderMap {
        let remaining = plan.response_deadline.since(self.traffic.clock.now());
        let added = AddedHeaders {
            deadline: Some(remaining),
            server_id: &plan.server_id,
            workspace: Some(plan.workspace.as_str()).filter(|name| !name.is_empty()),
            engine_priority: plan.engine_priority,
            helpers: &plan.helpers,
            last_event,
        };
        headers::request_headers(&self.caller_request.parts.headers, &added)
    }

    /// Checks the response head of an instance that the request was relayed to,
    /// and reads the body up to its first output.
    async fn read_relayed(
        &self,
        plan: &AttemptPlan,
        response: Response<Incoming>,
        connection: PooledConnection,
        memory: HeldMemory,
    ) -> Opened {
        let (parts, body) = response.into_parts();
        let head = headers::decode_response_head(parts.status.as_u16(), &parts.headers);
        self.check_request_id(plan, &head, &connection)?;
        let idle_timeout = connection_idle_timeout(&head);
        if head.stamped {
            return self
                .read_answer(plan, parts, body, connection, idle_timeout, memory)
                .await;
        }
        let retry_after = headers::decode_retry_after(&parts.headers);
        let Ok(body) = self.read_body(body, MAX_FAILURE_BYTES).await else {
            return Err(AttemptEnd::Broken.into());
        };
        connection.return_to_pool(idle_timeout);
        Err(relay::decode_error(&body, retry_after).into())
    }

    /// Checks that a response belongs to this request. One without a request id
    /// may be a late copy of an earlier response on its connection; a refusal is
    /// accepted nevertheless, as such requests may run again.
    fn check_request_id(
        &self,
        plan: &AttemptPlan,
        head: &ResponseHead,
        connection: &PooledConnection,
    ) -> Result<(), AttemptEnd> {
        let is_own = match &head.request_id {
            Some(id) => id == self.request_id(),
            None => head.refused || !connection.is_reused(),
        };
        if is_own {
            return Ok(());
        }
        log::warn!(
            request = self.request_id(),
            server = plan.server_id.as_str(),
            response_id = head.request_id.as_deref().unwrap_or_default();
            "response belongs to another request; connection closed"
        );
        Err(AttemptEnd::Broken)
    }

    /// Checks a response head, and reads the body up to its first output.
    async fn read_response(
        &self,
        plan: &AttemptPlan,
        sent_at: Millis,
        response: Response<Incoming>,
        connection: PooledConnection,
        memory: HeldMemory,
    ) -> Opened {
        let (parts, body) = response.into_parts();
        let head = headers::decode_response_head(parts.status.as_u16(), &parts.headers);
        self.check_request_id(plan, &head, &connection)?;
        // Another server answers with this status.
        if head.status != MISDIRECTED {
            self.traffic.send_deferred_input(Input::ServerNotice {
                server_id: plan.server_id.clone(),
                sent_at,
                notice: head.notice,
            });
        }
        let idle_timeout = connection_idle_timeout(&head);
        if head.refused {
            let retry_after = headers::decode_retry_after(&parts.headers);
            log::info!(request = self.request_id(), server = plan.server_id.as_str(), status = head.status, at_fault = head.at_fault.as_deref().unwrap_or_default(), retry_after_ms = retry_after.map_or(0, |wait| wait.0); "refused by backend server");
            if idle_timeout != Some(Millis::ZERO) {
                drain_refusal(body, connection, idle_timeout).await;
            }
            return match head.status {
                MISDIRECTED => Err(AttemptEnd::Misdirected.into()),
                _ => Err(AttemptEnd::Refused.into()),
            };
        }
        if !head.stamped || head.encoded {
            log::warn!(request = self.request_id(), server = plan.server_id.as_str(), status = head.status; "response without server stamp, or with a content encoding");
            return Err(AttemptEnd::Broken.into());
        }
        self.read_answer(plan, parts, body, connection, idle_timeout, memory)
            .await
    }

    /// Reads the body of a backend server's own answer up to its first output.
    async fn read_answer(
        &self,
        plan: &AttemptPlan,
        parts: Parts,
        body: Incoming,
        connection: PooledConnection,
        idle_timeout: Option<Millis>,
        memory: HeldMemory,
    ) -> Opened {
        if !parts.status.is_success() {
            return Err(self
                .read_failure(plan, parts, body, connection, idle_timeout)
                .await);
        }
        if plan.streaming {
            let response_deadline = self.traffic.to_instant(plan.response_deadline);
            return self
                .read_first_events(Box::new(OpenStream {
                    parts,
                    first_events: None,
                    splitter: EventSplitter::default(),
                    splitter_lease: self.traffic.bodies.budget.lease(Holder::Answers),
                    body,
                    connection,
                    idle_timeout,
                    response_deadline,
                    time_limit: plan.time_limit,
                    memory,
                }))
                .await;
        }
        match self.read_body(body, MAX_RESPONSE_BYTES).await {
            Ok(body) => {
                connection.return_to_pool(idle_timeout);
                let mut response = Response::new(body);
                *response.status_mut() = parts.status;
                *response.headers_mut() = headers::response_headers(&parts.headers);
                Ok(OpenAttempt::Complete(response))
            }
            Err(error) => {
                log::info!(request = self.request_id(), cause:? = error; "answer broke off");
                Err(AttemptEnd::Broken.into())
            }
        }
    }

    /// Waits for the first event of a stream. A server that sends less has given no
    /// output.
    async fn read_first_events(&self, mut stream: Box<OpenStream>) -> Opened {
        while stream.first_events.is_none()
            && let Some(frame) = stream.body.frame().await
        {
            let data = match frame.map(Frame::into_data) {
                Ok(Ok(data)) => data,
                Ok(Err(_trailers)) => continue,
                Err(error) => {
                    log::info!(request = self.request_id(), cause:% = error; "stream broke off");
                    return Err(AttemptEnd::Broken.into());
                }
            };
            let Ok(events) = stream.splitter.push(&data) else {
                log::warn!(request = self.request_id(); "stream broken off: an event is too large");
                return Err(AttemptEnd::Broken.into());
            };
            stream.first_events = events;
            if !keep_buffered(&mut stream.splitter_lease, stream.splitter.buffered()) {
                log::warn!(request = self.request_id(); "stream broken off: no memory for an event");
                return Err(AttemptEnd::Broken.into());
            }
        }
        if stream.first_events.is_none() && stream.splitter.has_partial() {
            log::info!(request = self.request_id(); "stream ended inside an event");
            return Err(AttemptEnd::Broken.into());
        }
        // A body that ends with its connection does not say that it is complete,
        // and a stream has at least one event.
        if stream.first_events.is_none() && !has_framing(&stream.parts.headers) {
            log::info!(request = self.request_id(); "stream ended before its first event");
            return Err(AttemptEnd::Broken.into());
        }
        Ok(OpenAttempt::Stream(stream))
    }

    /// Buffers a failure response of a backend server until the core decides.
    async fn read_failure(
        &self,
        plan: &AttemptPlan,
        parts: Parts,
        body: Incoming,
        connection: PooledConnection,
        idle_timeout: Option<Millis>,
    ) -> OpenError {
        log::info!(request = self.request_id(), server = plan.server_id.as_str(), status = parts.status.as_u16(); "failure by backend server");
        let Ok(body) = self.read_body(body, MAX_FAILURE_BYTES).await else {
            return AttemptEnd::Broken.into();
        };
        connection.return_to_pool(idle_timeout);
        // To callers these statuses mean that the request has not run, which a
        // response without the not-run header does not guarantee.
        if promises_not_run(parts.status.as_u16()) {
            return AttemptEnd::Broken.into();
        }
        let mut failure = Response::from_parts(parts, body);
        *failure.headers_mut() = headers::response_headers(failure.headers());
        OpenError {
            end: AttemptEnd::Failed,
            failure: Some(failure),
        }
    }
}

/// Returns for how long a connection may be kept idle after a response; zero if it
/// must not be used again. A copy of a response without a request id could not be
/// told from the next response.
fn connection_idle_timeout(head: &ResponseHead) -> Option<Millis> {
    match head.closes || head.request_id.is_none() {
        true => Some(Millis::ZERO),
        false => head.idle_timeout,
    }
}

/// Adapts the lease of a splitter to what it buffers; returns whether the budget
/// allows it.
pub fn keep_buffered(lease: &mut Lease, buffered: usize) -> bool {
    lease.shrink_to(buffered);
    lease.grow_to(buffered).is_ok()
}

/// Returns whether a response states where its body ends.
fn has_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads the rest of a refusal, so that its connection can be reused.
async fn drain_refusal(
    mut body: Incoming,
    connection: PooledConnection,
    idle_timeout: Option<Millis>,
) {
    let rest = timeout(
        REFUSAL_DRAIN_TIMEOUT,
        discard_whole(&mut body, MAX_FAILURE_BYTES),
    );
    if rest.await == Ok(true) {
        connection.return_to_pool(idle_timeout);
    }
}
