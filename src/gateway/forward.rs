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
use std::future::Future;
use std::future::ready;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use http_body::Body;
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
use crate::clock::Clock;
use crate::clock::Millis;
use crate::gateway::attempt::AttemptContext;
use crate::gateway::attempt::CallerRequest;
use crate::gateway::attempt::Failure;
use crate::gateway::attempt::OpenAttempt;
use crate::gateway::attempt::OpenStream;
use crate::gateway::attempt::Opened;
use crate::gateway::attempt::OpeningAttempts;
use crate::gateway::attempt::keep_buffered;
use crate::gateway::attempt::log_time_limit;
use crate::gateway::body::BodyContext;
use crate::gateway::body::BodyError;
use crate::gateway::connection::Activity;
use crate::gateway::connection::ConnectionState;
use crate::gateway::events::EventSplitter;
use crate::gateway::events::EventTooLarge;
use crate::gateway::events::Events;
use crate::gateway::memory_budget::Holder;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::AttemptNumber;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::RequestHead;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::relay::RelayTerms;
use crate::gateway::response::Aborted;
use crate::gateway::response::ResponseBody;
use crate::gateway::response::StreamBody;
use crate::gateway::response::StreamSender;
use crate::gateway::response::ambiguous_length_response;
use crate::gateway::response::refusal_response;
use crate::gateway::response::stream_response;
use crate::gateway::response::with_connection_close;
use crate::gateway::upstream::Upstream;
use crate::metrics::Count;
use crate::metrics::Metrics;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Maximum number of response chunks that are queued for a slow caller.
const BODY_QUEUE_CHUNKS: usize = 16;
/// Retry-After of a request for whose body there is no memory: other instances may
/// have it at once.
const RETRY_AFTER_NO_MEMORY: Millis = Millis(500);

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
    /// Reading of bodies.
    pub bodies: BodyContext,
    /// Channels for the core's outputs, by request.
    pub outputs: RefCell<HashMap<Ticket, mpsc::UnboundedSender<Output>>>,
    /// Next ticket to assign.
    pub next_ticket: std::cell::Cell<u64>,
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

/// Who sent a request to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestSender {
    /// A caller.
    Caller,
    /// Another instance, which relays a caller's request.
    Instance,
}

/// Forwards a request and returns the head of the response.
///
/// # Errors
///
/// Returns an error if the response was abandoned; the connection is then
/// closed.
pub async fn forward(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    state: &ConnectionState,
    sender: RequestSender,
    body_limit: usize,
    body_timeout: Duration,
) -> Result<Response<ResponseBody>, Aborted> {
    let arrived = traffic.clock.now();
    let (mut parts, mut body) = request.into_parts();
    let head = headers::decode_request_head(&parts.headers);
    let relay = match sender {
        RequestSender::Caller => None,
        RequestSender::Instance => match RelayTerms::remove(&mut parts.headers) {
            Some(terms) => Some(terms),
            None => {
                let refusal = Refusal::not_run(Reason::BadRequest, "no terms of the relay");
                return Ok(refusal_response(&head.request_id, &refusal));
            }
        },
    };
    if has_ambiguous_length(&parts.headers) {
        return Ok(ambiguous_length_response());
    }
    let submission = Submission {
        host: host(&parts),
        path: parts.uri.path().to_owned(),
        arrived: arrived - relay.map_or(Millis::ZERO, |terms| terms.waited),
        relay,
        body_bytes: 0,
        fingerprint: 0,
        head: head.clone(),
    };
    if !body.is_end_stream() {
        state.begin(Activity::Body);
    }
    let read = {
        let check = traffic.check_head(&submission);
        let read = traffic.bodies.read_request(&mut body, body_limit, check);
        timeout(body_timeout, read).await
    };
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::Broken)) => return Err(Aborted),
        Ok(Err(error)) => return Ok(traffic.refuse_body(&head, Some(error), body)),
        Err(_) => return Ok(traffic.refuse_body(&head, None, body)),
    };
    state.begin(Activity::Request);
    let submission = Submission {
        body_bytes: body.len(),
        fingerprint: fingerprint(&parts, &head, &body),
        ..submission
    };
    let (response_tx, response_rx) = oneshot::channel();
    let caller_request = Rc::new(CallerRequest { parts, head, body });
    tokio::task::spawn_local(run_request(
        traffic,
        caller_request,
        submission,
        response_tx,
    ));
    response_rx.await.map_err(|_| Aborted)
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
    for part in &head.shared_parts {
        hash.update(&part.0.to_le_bytes());
    }
    hash.update(body);
    hash.digest()
}

/// Runs a request through all its attempts.
async fn run_request(
    traffic: Rc<Traffic>,
    caller_request: Rc<CallerRequest>,
    submission: Submission,
    response_tx: oneshot::Sender<Response<ResponseBody>>,
) {
    let (ticket, mut outputs) = traffic.open_ticket();
    traffic.send_input(Input::Submit(ticket, submission));
    let context = AttemptContext {
        traffic: Rc::clone(&traffic),
        ticket,
        caller_request: Rc::clone(&caller_request),
    };
    let mut task = RequestTask {
        traffic: Rc::clone(&traffic),
        ticket,
        caller_request,
        response: ResponseState::Pending(response_tx),
        events: EventSplitter::default(),
        failure: None,
    };
    let mut attempts = OpeningAttempts::new(context);
    loop {
        let is_over = tokio::select! {
            biased;
            output = outputs.recv() => match output {
                Some(Output::Send(_, plan)) => {
                    attempts.start(plan, task.events.last_id());
                    false
                }
                Some(Output::Refuse(_, refusal)) => {
                    task.refuse(&refusal);
                    true
                }
                Some(Output::ForwardFailure(_)) => {
                    task.forward_failure();
                    true
                }
                _ => true,
            },
            (number, opened) = attempts.next() => {
                task.on_opened(number, opened, &mut attempts, &mut outputs).await
            }
            () = task.response.caller_disconnected() => {
                task.report_end(AttemptNumber::default(), AttemptEnd::CallerGone);
                true
            }
        };
        if is_over {
            break;
        }
    }
    traffic.outputs.borrow_mut().remove(&ticket);
}

/// A ticket whose outputs are received until this is dropped.
struct OpenTicket<'a>(&'a Traffic, Ticket);

impl Drop for OpenTicket<'_> {
    fn drop(&mut self) {
        self.0.outputs.borrow_mut().remove(&self.1);
    }
}

impl Traffic {
    /// Assigns a ticket and returns what the core puts out for it.
    fn open_ticket(&self) -> (Ticket, mpsc::UnboundedReceiver<Output>) {
        let ticket = Ticket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (tx, outputs) = mpsc::unbounded_channel();
        self.outputs.borrow_mut().insert(ticket, tx);
        (ticket, outputs)
    }

    /// Asks the core whether the body of a request may be read.
    async fn check_head(&self, submission: &Submission) -> Result<(), Refusal> {
        let (ticket, mut outputs) = self.open_ticket();
        let _open = OpenTicket(self, ticket);
        self.send_input(Input::CheckHead(ticket, submission.clone()));
        match outputs.recv().await {
            Some(Output::Refuse(_, refusal)) => Err(refusal),
            _ => Ok(()),
        }
    }

    /// Refuses a request whose body was not read; `None` if it took too long. The
    /// rest of the body is read without being kept, so that the caller sees the
    /// refusal.
    fn refuse_body(
        &self,
        head: &RequestHead,
        error: Option<BodyError>,
        rest: Incoming,
    ) -> Response<ResponseBody> {
        let (count, refusal) = match error {
            Some(BodyError::Refused(refusal)) => (Count::BodiesUnadmitted, refusal),
            Some(BodyError::TooLarge) => {
                let refusal = Refusal::not_run(Reason::TooLarge, "the body is too large");
                (Count::BodiesTooLarge, refusal)
            }
            Some(BodyError::NoMemory | BodyError::Broken) => {
                let message = "this instance has no memory for the body";
                let refusal = Refusal::not_run(Reason::Unavailable, message);
                let refusal = refusal.retry_after(RETRY_AFTER_NO_MEMORY);
                (Count::BodiesNoMemory, refusal)
            }
            None => {
                let message = "the body did not arrive in time";
                let refusal = Refusal::not_run(Reason::SlowRequest, message);
                (Count::BodiesSlow, refusal)
            }
        };
        self.metrics.add(count, 1);
        log::info!(
            request = head.request_id.as_str(),
            reason = refusal.reason.code(),
            cause = refusal.message.as_str(),
            bodies_bytes = self.bodies.budget.used(Holder::Bodies);
            "body not read"
        );
        self.bodies.discard(rest);
        with_connection_close(refusal_response(&head.request_id, &refusal))
    }

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

    /// Waits until output has been passed on to a caller, and tells the core if the
    /// caller is behind.
    async fn watch_caller<T>(&self, ticket: Ticket, forwarding: impl Future<Output = T>) -> T {
        let mut forwarding = pin!(forwarding);
        tokio::select! {
            biased;
            forwarded = &mut forwarding => return forwarded,
            () = ready(()) => {}
        }
        self.send_deferred_input(Input::CallerBehind(ticket, true));
        let forwarded = forwarding.await;
        self.send_deferred_input(Input::CallerBehind(ticket, false));
        forwarded
    }

    /// Returns the number of requests without a complete response, with those whose
    /// heads are being checked.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.outputs.borrow().len()
    }

    /// Converts a time of the shared clock.
    pub(super) fn to_instant(&self, at: Millis) -> Instant {
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

/// The state of a request during its attempts.
struct RequestTask {
    traffic: Rc<Traffic>,
    ticket: Ticket,
    caller_request: Rc<CallerRequest>,
    response: ResponseState,
    events: EventSplitter,
    failure: Option<Failure>,
}

/// How the forwarding of a stream came to an end.
enum StreamEnd {
    /// The attempt ended.
    Ended(AttemptEnd),
    /// Another attempt began to answer while this one gave no output.
    Superseded(AttemptNumber, OpenAttempt),
}

impl RequestTask {
    /// Handles an attempt whose response has begun, or that has ended without
    /// one. Returns whether the request is over.
    async fn on_opened(
        &mut self,
        number: AttemptNumber,
        opened: Opened,
        attempts: &mut OpeningAttempts,
        outputs: &mut mpsc::UnboundedReceiver<Output>,
    ) -> bool {
        let (mut number, mut open) = match opened {
            Ok(open) => (number, open),
            Err(error) => {
                self.failure = error.failure.or(self.failure.take());
                self.report_end(number, error.end);
                return false;
            }
        };
        loop {
            let end = match open {
                OpenAttempt::Complete(response) => {
                    self.stop_openings(attempts);
                    self.traffic
                        .send_input(Input::FirstOutput(self.ticket, number));
                    match self.send_head(response.map(|body| ResponseBody::Left(Full::new(body)))) {
                        true => AttemptEnd::Whole,
                        false => AttemptEnd::CallerGone,
                    }
                }
                OpenAttempt::Stream(stream) => {
                    let forwarded = self.forward_stream(number, stream, attempts, outputs);
                    match forwarded.await {
                        StreamEnd::Ended(end) => end,
                        StreamEnd::Superseded(next_number, next) => {
                            self.report_end(number, AttemptEnd::Superseded);
                            (number, open) = (next_number, next);
                            continue;
                        }
                    }
                }
            };
            self.report_end(number, end);
            return matches!(
                end,
                AttemptEnd::Whole | AttemptEnd::CallerGone | AttemptEnd::ShutDown
            );
        }
    }

    /// Forwards a stream, complete events only. Another attempt that the core
    /// starts takes over only if it begins to answer before this one gives
    /// further output.
    async fn forward_stream(
        &mut self,
        number: AttemptNumber,
        stream: Box<OpenStream>,
        attempts: &mut OpeningAttempts,
        outputs: &mut mpsc::UnboundedReceiver<Output>,
    ) -> StreamEnd {
        let OpenStream {
            parts,
            mut first_events,
            splitter,
            mut splitter_lease,
            mut body,
            connection,
            idle_timeout,
            response_deadline,
            time_limit,
            memory: _memory,
        } = *stream;
        let previous = std::mem::replace(&mut self.events, splitter);
        self.events.continue_from(previous);
        let mut first_output_seen = false;
        loop {
            let received = match first_events.take() {
                Some(events) => Ok(Some(events)),
                None => tokio::select! {
                    biased;
                    frame = body.frame() => match frame {
                        Some(Ok(frame)) => match frame.into_data() {
                            Ok(data) => {
                                let events = self.events.push(&data);
                                if !keep_buffered(&mut splitter_lease, self.events.buffered()) {
                                    log::warn!(request = self.request_id(); "stream broken off: no memory for an event");
                                    return StreamEnd::Ended(AttemptEnd::Broken);
                                }
                                events
                            }
                            Err(_) => continue,
                        },
                        Some(Err(error)) => {
                            log::info!(request = self.request_id(), cause:% = error; "stream broke off");
                            return StreamEnd::Ended(AttemptEnd::Broken);
                        }
                        None if self.events.has_partial() => {
                            log::info!(request = self.request_id(); "stream ended inside an event");
                            return StreamEnd::Ended(AttemptEnd::Broken);
                        }
                        None => {
                            self.stop_openings(attempts);
                            connection.return_to_pool(idle_timeout);
                            return StreamEnd::Ended(self.end_stream(&parts));
                        }
                    },
                    Some(output) = outputs.recv() => match output {
                        Output::Refuse(_, refusal) => {
                            self.refuse(&refusal);
                            return StreamEnd::Ended(AttemptEnd::ShutDown);
                        }
                        Output::Send(_, plan) => {
                            attempts.start(plan, self.events.last_id());
                            continue;
                        }
                        _ => continue,
                    },
                    (next_number, opened) = attempts.next() => match opened {
                        Ok(open) => return StreamEnd::Superseded(next_number, open),
                        Err(error) => {
                            self.report_end(next_number, error.end);
                            continue;
                        }
                    },
                    () = sleep_until(response_deadline) => {
                        log_time_limit(self.request_id(), number, time_limit);
                        return StreamEnd::Ended(AttemptEnd::Silent);
                    }
                    () = self.response.caller_disconnected() => {
                        return StreamEnd::Ended(AttemptEnd::CallerGone);
                    }
                },
            };
            let Events { bytes, has_event } = match received {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(EventTooLarge) => {
                    log::warn!(request = self.request_id(); "stream broken off: an event is too large");
                    return StreamEnd::Ended(AttemptEnd::Broken);
                }
            };
            if has_event {
                self.stop_openings(attempts);
                if first_output_seen {
                    let at = self.traffic.clock.now();
                    self.traffic
                        .send_deferred_input(Input::Progress(self.ticket, number, at));
                } else {
                    first_output_seen = true;
                    self.traffic
                        .send_input(Input::FirstOutput(self.ticket, number));
                }
            }
            let traffic = Rc::clone(&self.traffic);
            let ticket = self.ticket;
            let forwarding = timeout_at(response_deadline, self.forward_events(&parts, bytes));
            match traffic.watch_caller(ticket, forwarding).await {
                Ok(true) => {}
                Ok(false) => return StreamEnd::Ended(AttemptEnd::CallerGone),
                Err(_) => {
                    log_time_limit(self.request_id(), number, time_limit);
                    return StreamEnd::Ended(AttemptEnd::Silent);
                }
            }
        }
    }

    /// Stops the attempts whose response has not begun.
    fn stop_openings(&self, attempts: &mut OpeningAttempts) {
        for number in attempts.stop() {
            self.report_end(number, AttemptEnd::Superseded);
        }
    }

    fn report_end(&self, number: AttemptNumber, end: AttemptEnd) {
        self.traffic
            .send_input(Input::AttemptEnded(self.ticket, number, end));
    }

    /// Ends a stream that is complete.
    fn end_stream(&mut self, parts: &http::response::Parts) -> AttemptEnd {
        if matches!(self.response, ResponseState::Pending(_)) {
            let comments = self.events.take_comments();
            let response = stream_response(parts, ResponseBody::Left(Full::new(comments)));
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
        let events = self.traffic.bodies.budget.lease_chunk(events).await;
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
