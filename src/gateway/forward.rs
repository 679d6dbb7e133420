//! Forwards one caller's request, from its head to the last byte of the
//! response.
//!
//! The core decides which server receives a request. A task for each request
//! sends it there, forwards the response as it arrives and reports the outcome
//! of each attempt. Nothing is sent to the caller before a backend server's
//! first output, so that until then another server can be tried without the
//! caller noticing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::adapter::headers;
use crate::adapter::headers::AddedHeaders;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::gateway::events::EventSplitter;
use crate::gateway::memory::MemoryReservations;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::AttemptNumber;
use crate::gateway::message::AttemptPlan;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::RequestHead;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::response::Aborted;
use crate::gateway::response::ResponseBody;
use crate::gateway::response::StreamBody;
use crate::gateway::response::StreamSender;
use crate::gateway::response::ambiguous_length_response;
use crate::gateway::response::refusal_response;
use crate::gateway::response::stream_response;
use crate::gateway::response::with_connection_close;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::PooledConnection;
use crate::gateway::upstream::Reuse;
use crate::gateway::upstream::Upstream;
use crate::metrics::Metrics;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Maximum number of response chunks that are queued for a slow caller.
const BODY_QUEUE_CHUNKS: usize = 16;
/// Time limit for reading the rest of a refusal's body.
const REFUSAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a buffered failure response of a backend server, in bytes.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;

/// State shared by all requests of the process.
#[derive(Debug)]
pub struct Traffic {
    /// Connections to backend servers.
    pub upstream: Upstream,
    /// Inputs for the control thread, which wake it.
    pub inputs: Sender<Input>,
    /// Inputs that the control thread handles together with its next input;
    /// they do not wake it.
    pub deferred_inputs: Sender<Input>,
    /// The clock shared with the control thread.
    pub clock: Clock,
    /// Metrics of the process.
    pub metrics: std::sync::Arc<Metrics>,
    /// Channels for the core's outputs, by request.
    pub outputs: RefCell<HashMap<Ticket, mpsc::UnboundedSender<Output>>>,
    /// Next ticket to assign.
    pub next_ticket: std::cell::Cell<u64>,
}

/// A caller's request, completely received.
#[derive(Debug)]
struct CallerRequest {
    parts: Parts,
    head: RequestHead,
    body: Bytes,
}

/// State of the response to the caller.
#[derive(Debug)]
enum ResponseState {
    /// No response has been sent.
    Pending(oneshot::Sender<Response<ResponseBody>>),
    /// The head has been sent; chunks follow.
    Streaming(StreamSender),
    /// The response is complete or the caller has disconnected.
    Closed,
}

/// A failure response of a backend server, buffered until the core decides
/// whether to retry or to forward it.
type Failure = Response<Bytes>;

/// Forwards a request and returns the head of the response.
///
/// # Errors
///
/// Returns an error if the response was abandoned; the connection is then
/// closed.
pub async fn forward(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    body_limit: usize,
    body_timeout: Duration,
) -> Result<Response<ResponseBody>, Aborted> {
    let arrived = traffic.clock.now();
    let (parts, body) = request.into_parts();
    let head = headers::decode_request_head(&parts.headers);
    if has_ambiguous_length(&parts.headers) {
        return Ok(ambiguous_length_response());
    }
    let body = match timeout(body_timeout, read_body(body, body_limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge)) => {
            let refusal = Refusal::not_run(Reason::TooLarge, "the body is too large");
            return Ok(with_connection_close(refusal_response(
                &head.request_id,
                &refusal,
            )));
        }
        Ok(Err(BodyError::Broken)) => return Err(Aborted),
        Err(_) => {
            let refusal = Refusal::not_run(Reason::SlowRequest, "the body did not arrive in time");
            return Ok(with_connection_close(refusal_response(
                &head.request_id,
                &refusal,
            )));
        }
    };
    let submission = Submission {
        host: host(&parts),
        path: parts.uri.path().to_owned(),
        arrived,
        fingerprint: fingerprint(&parts, &head, &body),
        head: head.clone(),
    };
    let (response_tx, response_rx) = oneshot::channel();
    let caller_request = CallerRequest { parts, head, body };
    tokio::task::spawn_local(run_request(
        traffic,
        caller_request,
        submission,
        response_tx,
    ));
    response_rx.await.map_err(|_| Aborted)
}

enum BodyError {
    TooLarge,
    Broken,
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match http_body_util::Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Broken),
    }
}

/// Returns whether the length of the body is ambiguous: several
/// `Content-Length` headers, or one together with `Transfer-Encoding`.
fn has_ambiguous_length(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    lengths > 1 || (lengths > 0 && headers.contains_key(header::TRANSFER_ENCODING))
}

fn host(parts: &Parts) -> String {
    let named = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.authority().map(|authority| authority.as_str()))
        .unwrap_or_default();
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    host.to_ascii_lowercase()
}

fn fingerprint(parts: &Parts, head: &RequestHead, body: &Bytes) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(parts.method.as_str().as_bytes());
    hash.update(parts.uri.to_string().as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest()
}

/// Logs that a time limit ended an attempt, and which one.
fn log_time_limit(request_id: &str, plan: &AttemptPlan, limit: &str) {
    log::info!(
        request = request_id,
        server = plan.server_id.as_str(),
        limit = limit,
        attempt = plan.attempt.0;
        "time limit reached"
    );
}

/// Runs a request through all its attempts.
async fn run_request(
    traffic: Rc<Traffic>,
    caller_request: CallerRequest,
    submission: Submission,
    response_tx: oneshot::Sender<Response<ResponseBody>>,
) {
    let ticket = Ticket(traffic.next_ticket.get());
    traffic.next_ticket.set(ticket.0 + 1);
    let (tx, mut outputs) = mpsc::unbounded_channel();
    traffic.outputs.borrow_mut().insert(ticket, tx);
    traffic.send_input(Input::Submit(ticket, submission));
    let mut task = RequestTask {
        traffic: Rc::clone(&traffic),
        ticket,
        caller_request,
        response: ResponseState::Pending(response_tx),
        events: EventSplitter::default(),
        failure: None,
    };
    let mut attempt = AttemptNumber::default();
    let mut replacement = None;
    loop {
        let output = match replacement.take() {
            Some(output) => Some(output),
            None => tokio::select! {
                output = outputs.recv() => output,
                () = task.response.caller_disconnected() => {
                    traffic.send_input(Input::AttemptEnded(ticket, attempt, AttemptEnd::CallerGone));
                    break;
                }
            },
        };
        match output {
            Some(Output::Send(_, plan)) => {
                attempt = plan.attempt;
                match task.run_attempt(&plan, &mut outputs).await {
                    AttemptResult::Replaced(output) => replacement = Some(output),
                    AttemptResult::Ended(end) => {
                        traffic.send_input(Input::AttemptEnded(ticket, attempt, end));
                        if matches!(end, AttemptEnd::Whole | AttemptEnd::CallerGone) {
                            break;
                        }
                    }
                }
            }
            Some(Output::Refuse(_, refusal)) => {
                task.refuse(&refusal);
                break;
            }
            Some(Output::ForwardFailure(_)) => {
                task.forward_failure();
                break;
            }
            _ => break,
        }
    }
    traffic.outputs.borrow_mut().remove(&ticket);
}

impl Traffic {
    /// Sends an input to the control thread.
    pub fn send_input(&self, input: Input) {
        // Sending fails only during process exit.
        let _ = self.inputs.send(input);
    }

    /// Sends an input that the control thread handles with its next input.
    pub fn send_deferred_input(&self, input: Input) {
        // Sending fails only during process exit.
        let _ = self.deferred_inputs.send(input);
    }

    /// Routes an output of the core to its request.
    pub fn dispatch(&self, ticket: Ticket, output: Output) {
        if let Some(tx) = self.outputs.borrow().get(&ticket) {
            // The request may have ended already.
            let _ = tx.send(output);
        }
    }

    /// Returns the number of requests without a complete response.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.outputs.borrow().len()
    }

    fn to_instant(&self, at: Millis) -> Instant {
        Instant::now() + at.since(self.clock.now()).as_duration()
    }
}

impl ResponseState {
    /// Waits until the caller has disconnected.
    async fn caller_disconnected(&mut self) {
        match self {
            ResponseState::Pending(tx) => tx.closed().await,
            ResponseState::Streaming(tx) => tx.closed().await,
            ResponseState::Closed => {}
        }
    }
}

/// How the run of an attempt came to an end.
enum AttemptResult {
    /// The attempt ended.
    Ended(AttemptEnd),
    /// The core replaced the attempt by this output.
    Replaced(Output),
}

/// The state of a request during its attempts.
struct RequestTask {
    traffic: Rc<Traffic>,
    ticket: Ticket,
    caller_request: CallerRequest,
    response: ResponseState,
    events: EventSplitter,
    failure: Option<Failure>,
}

impl RequestTask {
    /// Performs one attempt, including its memory reservations.
    async fn run_attempt(
        &mut self,
        plan: &AttemptPlan,
        outputs: &mut mpsc::UnboundedReceiver<Output>,
    ) -> AttemptResult {
        let due = self.traffic.to_instant(plan.response_deadline);
        let memory = MemoryReservations::new(&self.traffic, self.request_id());
        let reservations = match memory.reserve(&plan.reservations).await {
            Ok(reservations) => reservations,
            Err(end) => return AttemptResult::Ended(end),
        };
        let renewal = memory.renew(reservations.clone());
        let request_id = self.caller_request.head.request_id.clone();
        let result = tokio::select! {
            biased;
            Some(output) = outputs.recv() => AttemptResult::Replaced(output),
            end = self.send_and_forward(plan) => AttemptResult::Ended(end),
            () = sleep_until(due) => {
                log_time_limit(&request_id, plan, "response");
                AttemptResult::Ended(AttemptEnd::Silent)
            }
            () = renewal => AttemptResult::Ended(AttemptEnd::Silent),
        };
        for reservation in reservations {
            memory.release(reservation);
        }
        result
    }

    /// Sends the request and forwards its response.
    async fn send_and_forward(&mut self, plan: &AttemptPlan) -> AttemptEnd {
        let first_output_deadline = self.traffic.to_instant(plan.first_output_deadline);
        let request = match self.build_request(plan) {
            Ok(request) => request,
            Err(error) => {
                log::error!(request = self.request_id(), error:% = error; "cannot build request");
                return AttemptEnd::NotSent;
            }
        };
        let reuse = if plan.resumable || plan.retry_failures {
            Reuse::Pooled
        } else {
            Reuse::NewOnly
        };
        let upstream = self.traffic.upstream.clone();
        let sent = {
            let attempt = upstream.send(&plan.addr, request, reuse, plan.max_connections);
            tokio::select! {
                sent = timeout_at(first_output_deadline, attempt) => sent,
                () = self.response.caller_disconnected() => return AttemptEnd::CallerGone,
            }
        };
        match sent {
            Err(_) => {
                log_time_limit(self.request_id(), plan, "first_output");
                AttemptEnd::Silent
            }
            Ok(Err(CallError::NotSent(cause))) => {
                log::info!(request = self.request_id(), server = plan.server_id.as_str(), cause = cause.as_str(); "not sent");
                AttemptEnd::NotSent
            }
            Ok(Err(error)) => {
                log::info!(request = self.request_id(), server = plan.server_id.as_str(), cause:% = error; "no answer");
                AttemptEnd::Broken
            }
            Ok(Ok((response, connection))) => {
                self.handle_response(plan, response, connection, first_output_deadline)
                    .await
            }
        }
    }

    fn build_request(&self, plan: &AttemptPlan) -> Result<Request<Full<Bytes>>, http::Error> {
        let remaining = plan.response_deadline.since(self.traffic.clock.now());
        let added = AddedHeaders {
            deadline: Some(remaining),
            server_id: &plan.server_id,
            workspace: Some(plan.workspace.as_str()).filter(|name| !name.is_empty()),
            engine_priority: plan.engine_priority,
            helpers: &plan.helpers,
            last_event: self.events.last_id(),
        };
        let mut headers = headers::request_headers(&self.caller_request.parts.headers, &added);
        headers.remove(header::CONTENT_LENGTH);
        let path = self.caller_request.parts.uri.path_and_query();
        let mut request = Request::builder()
            .method(self.caller_request.parts.method.clone())
            .uri(path.map_or("/", |path| path.as_str()))
            .body(Full::new(self.caller_request.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Checks a response head and forwards the response.
    async fn handle_response(
        &mut self,
        plan: &AttemptPlan,
        response: Response<Incoming>,
        connection: PooledConnection,
        first_output_deadline: Instant,
    ) -> AttemptEnd {
        let (parts, body) = response.into_parts();
        let head = headers::decode_response_head(parts.status.as_u16(), &parts.headers);
        if let Some(remaining) = head
            .cold_remaining
            .filter(|remaining| *remaining > Millis::ZERO)
        {
            self.traffic
                .send_input(Input::ColdReported(self.ticket, remaining));
        }
        let is_same_request =
            head.request_id.as_deref() == Some(self.caller_request.head.request_id.as_str());
        if head.request_id.is_some() && !is_same_request {
            log::warn!(request = self.request_id(), server = plan.server_id.as_str(); "response belongs to another request; connection closed");
            return AttemptEnd::Broken;
        }
        if head.refused {
            log::info!(request = self.request_id(), server = plan.server_id.as_str(), status = head.status, at_fault = head.at_fault.as_deref().unwrap_or_default(); "refused by backend server");
            self.read_refusal_body(body, connection, head.idle_timeout, head.closes)
                .await;
            return match head.status {
                421 => AttemptEnd::Misdirected,
                _ => AttemptEnd::Refused,
            };
        }
        if !head.stamped || head.encoded {
            log::warn!(request = self.request_id(), server = plan.server_id.as_str(), status = head.status; "response without server stamp, or with a content encoding");
            return AttemptEnd::Broken;
        }
        let idle_timeout = if head.closes {
            Some(Millis::ZERO)
        } else {
            head.idle_timeout
        };
        if !parts.status.is_success() {
            return self
                .buffer_failure(plan, parts, body, connection, idle_timeout)
                .await;
        }
        if plan.streaming {
            return self
                .forward_stream(
                    plan,
                    parts,
                    body,
                    connection,
                    idle_timeout,
                    first_output_deadline,
                )
                .await;
        }
        self.forward_complete(
            plan,
            parts,
            body,
            connection,
            idle_timeout,
            first_output_deadline,
        )
        .await
    }

    /// Reads the rest of a refusal, so that its connection can be reused.
    async fn read_refusal_body(
        &self,
        body: Incoming,
        connection: PooledConnection,
        idle_timeout: Option<Millis>,
        closes: bool,
    ) {
        if closes {
            return;
        }
        let body = http_body_util::Limited::new(body, MAX_FAILURE_BYTES).collect();
        if let Ok(Ok(_)) = timeout(REFUSAL_DRAIN_TIMEOUT, body).await {
            connection.return_to_pool(idle_timeout);
        }
    }

    /// Buffers a failure response of a backend server until the core decides.
    async fn buffer_failure(
        &mut self,
        plan: &AttemptPlan,
        parts: http::response::Parts,
        body: Incoming,
        connection: PooledConnection,
        idle_timeout: Option<Millis>,
    ) -> AttemptEnd {
        log::info!(request = self.request_id(), server = plan.server_id.as_str(), status = parts.status.as_u16(); "failure by backend server");
        let body = http_body_util::Limited::new(body, MAX_FAILURE_BYTES).collect();
        let Ok(body) = body.await else {
            return AttemptEnd::Broken;
        };
        connection.return_to_pool(idle_timeout);
        // To callers these statuses mean that the request has not run, which a
        // response without the not-run header does not guarantee.
        if matches!(parts.status.as_u16(), 408 | 421 | 429 | 503) {
            return AttemptEnd::Broken;
        }
        let mut failure = Response::from_parts(parts, body.to_bytes());
        *failure.headers_mut() = headers::response_headers(failure.headers());
        self.failure = Some(failure);
        AttemptEnd::Failed
    }

    /// Forwards a non-streaming response after it has been received completely.
    async fn forward_complete(
        &mut self,
        plan: &AttemptPlan,
        parts: http::response::Parts,
        body: Incoming,
        connection: PooledConnection,
        idle_timeout: Option<Millis>,
        first_output_deadline: Instant,
    ) -> AttemptEnd {
        let body = tokio::select! {
            body = timeout_at(first_output_deadline, body.collect()) => body,
            () = self.response.caller_disconnected() => return AttemptEnd::CallerGone,
        };
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                log::info!(request = self.request_id(), cause:% = error; "answer broke off");
                return AttemptEnd::Broken;
            }
            Err(_) => {
                log_time_limit(self.request_id(), plan, "first_output");
                return AttemptEnd::Silent;
            }
        };
        connection.return_to_pool(idle_timeout);
        self.traffic
            .send_input(Input::FirstOutput(self.ticket, plan.attempt));
        let mut response = Response::new(ResponseBody::Left(Full::new(body)));
        *response.status_mut() = parts.status;
        *response.headers_mut() = headers::response_headers(&parts.headers);
        match self.send_head(response) {
            true => AttemptEnd::Whole,
            false => AttemptEnd::CallerGone,
        }
    }

    /// Forwards a stream, complete events only.
    async fn forward_stream(
        &mut self,
        plan: &AttemptPlan,
        parts: http::response::Parts,
        mut body: Incoming,
        connection: PooledConnection,
        idle_timeout: Option<Millis>,
        first_output_deadline: Instant,
    ) -> AttemptEnd {
        self.events.drop_partial();
        let mut first_output_seen = false;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sleep_until(first_output_deadline), if !first_output_seen => {
                    log_time_limit(self.request_id(), plan, "first_output");
                    return AttemptEnd::Silent;
                }
                () = self.response.caller_disconnected() => return AttemptEnd::CallerGone,
            };
            let data = match frame {
                Some(Err(error)) => {
                    log::info!(request = self.request_id(), cause:% = error; "stream broke off");
                    return AttemptEnd::Broken;
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                None => {
                    if self.events.has_partial() {
                        log::info!(request = self.request_id(); "stream ended inside an event");
                        return AttemptEnd::Broken;
                    }
                    connection.return_to_pool(idle_timeout);
                    return self.end_stream(&parts);
                }
            };
            let Some(events) = self.events.push(&data) else {
                continue;
            };
            if first_output_seen {
                let at = self.traffic.clock.now();
                self.traffic
                    .send_deferred_input(Input::Progress(self.ticket, plan.attempt, at));
            } else {
                first_output_seen = true;
                self.traffic
                    .send_input(Input::FirstOutput(self.ticket, plan.attempt));
            }
            if !self.forward_events(&parts, events).await {
                return AttemptEnd::CallerGone;
            }
        }
    }

    /// Ends a stream that is complete.
    fn end_stream(&mut self, parts: &http::response::Parts) -> AttemptEnd {
        if matches!(self.response, ResponseState::Pending(_)) {
            let response = stream_response(parts, ResponseBody::Left(Full::new(Bytes::new())));
            return match self.send_head(response) {
                true => AttemptEnd::Whole,
                false => AttemptEnd::CallerGone,
            };
        }
        // Dropping the sender ends the body.
        self.response = ResponseState::Closed;
        AttemptEnd::Whole
    }

    /// Forwards complete events; returns whether the caller is still connected.
    async fn forward_events(&mut self, parts: &http::response::Parts, events: Bytes) -> bool {
        if matches!(self.response, ResponseState::Pending(_)) {
            let (tx, body) = StreamBody::new(BODY_QUEUE_CHUNKS);
            if !self.send_head(stream_response(parts, ResponseBody::Right(body))) {
                return false;
            }
            self.response = ResponseState::Streaming(tx);
        }
        let ResponseState::Streaming(tx) = &mut self.response else {
            return false;
        };
        tx.send(events).await
    }

    /// Sends the response head unless it was sent before; returns whether the
    /// caller is still connected.
    fn send_head(&mut self, response: Response<ResponseBody>) -> bool {
        match std::mem::replace(&mut self.response, ResponseState::Closed) {
            ResponseState::Pending(tx) => tx.send(response).is_ok(),
            other => {
                self.response = other;
                true
            }
        }
    }

    /// Sends the gateway's own response, or aborts a response that has begun.
    fn refuse(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.response, ResponseState::Closed) {
            ResponseState::Pending(tx) => {
                // The caller may have disconnected.
                let _ = tx.send(refusal_response(
                    &self.caller_request.head.request_id,
                    refusal,
                ));
            }
            ResponseState::Streaming(tx) => tx.abort(),
            ResponseState::Closed => {}
        }
    }

    /// Forwards the buffered failure response of the backend server.
    fn forward_failure(&mut self) {
        let Some(failure) = self.failure.take() else {
            return self.refuse(&Refusal::may_have_run(
                Reason::BackendFailed,
                "the backend server failed",
            ));
        };
        if matches!(self.response, ResponseState::Streaming(_)) {
            return self.refuse(&Refusal::may_have_run(
                Reason::BackendFailed,
                "the backend server failed",
            ));
        }
        self.send_head(failure.map(|body| ResponseBody::Left(Full::new(body))));
    }

    fn request_id(&self) -> &str {
        &self.caller_request.head.request_id
    }
}
