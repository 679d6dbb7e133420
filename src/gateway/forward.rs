//! One caller's request, from its head to the last byte of its answer.
//!
//! The core decides where a request goes; this task carries it there, passes
//! the answer on as it comes and reports how each send ended. Nothing reaches
//! the caller before the first output of a backend server, so that until then
//! another one can be tried unseen.

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
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender as BodySender;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::adapter::headers;
use crate::adapter::headers::Forwarded;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::gateway::answer::Aborted;
use crate::gateway::answer::AnswerBody;
use crate::gateway::answer::closing;
use crate::gateway::answer::refuse;
use crate::gateway::answer::refuse_ambiguous;
use crate::gateway::answer::stream_head;
use crate::gateway::events::Events;
use crate::gateway::memory::Memory;
use crate::gateway::message::CallerHead;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::Plan;
use crate::gateway::message::SendEnd;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::Lease;
use crate::gateway::upstream::Reuse;
use crate::gateway::upstream::Upstream;
use crate::metrics::Metrics;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Pieces of an answer that wait for a slow caller, at most.
const BODY_QUEUE: usize = 16;
/// Time in which the rest of a refusal has to arrive.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);
/// Greatest failure of a backend server that is kept to be passed on, in bytes.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;

/// What all requests of the process share.
#[derive(Debug)]
pub struct Traffic {
    /// Connections to backend servers.
    pub upstream: Upstream,
    /// The control thread.
    pub inputs: Sender<Input>,
    /// The control thread too, which is not woken for these.
    pub later_inputs: Sender<Input>,
    /// The clock that the control thread uses too.
    pub clock: Clock,
    /// Metrics of the process.
    pub metrics: std::sync::Arc<Metrics>,
    /// Where the core's outputs for each request go.
    pub directives: RefCell<HashMap<Ticket, mpsc::UnboundedSender<Output>>>,
    /// The next ticket.
    pub next_ticket: std::cell::Cell<u64>,
}

/// A caller's request, read whole.
#[derive(Debug)]
struct Caller {
    parts: Parts,
    head: CallerHead,
    body: Bytes,
}

/// Where the answer goes.
#[derive(Debug)]
enum Answer {
    /// Nothing has been answered.
    Open(oneshot::Sender<Response<AnswerBody>>),
    /// The head has been sent, and pieces follow.
    Begun(BodySender<Bytes, Aborted>),
    /// The caller has left.
    Gone,
}

/// A backend server's own failure, kept until the core decides.
type Failure = Response<Bytes>;

/// Forwards a request and returns the head of its answer.
///
/// # Errors
///
/// Returns an error if the answer was given up; the connection is closed.
pub async fn forward(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    body_limit: usize,
    body_time: Duration,
) -> Result<Response<AnswerBody>, Aborted> {
    let arrived = traffic.clock.now();
    let (parts, body) = request.into_parts();
    let head = headers::caller_head(&parts.headers);
    if is_ambiguous(&parts.headers) {
        return Ok(refuse_ambiguous());
    }
    let body = match timeout(body_time, read_body(body, body_limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge)) => {
            let refusal = Refusal::not_run(Reason::TooLarge, "the body is too large");
            return Ok(closing(refuse(&head.request_id, &refusal)));
        }
        Ok(Err(BodyError::Broken)) => return Err(Aborted),
        Err(_) => {
            let refusal = Refusal::not_run(Reason::SlowRequest, "the body did not arrive in time");
            return Ok(closing(refuse(&head.request_id, &refusal)));
        }
    };
    let submission = Submission {
        host: host(&parts),
        path: parts.uri.path().to_owned(),
        arrived,
        fingerprint: fingerprint(&parts, &head, &body),
        head: head.clone(),
    };
    let (answer_tx, answer_rx) = oneshot::channel();
    let caller = Caller { parts, head, body };
    tokio::task::spawn_local(drive(traffic, caller, submission, answer_tx));
    answer_rx.await.map_err(|_| Aborted)
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

/// Returns whether a head leaves open where its body ends.
fn is_ambiguous(headers: &HeaderMap) -> bool {
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

fn fingerprint(parts: &Parts, head: &CallerHead, body: &Bytes) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(parts.method.as_str().as_bytes());
    hash.update(parts.uri.to_string().as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest()
}

/// Carries a request through all its sends.
async fn drive(
    traffic: Rc<Traffic>,
    caller: Caller,
    submission: Submission,
    answer: oneshot::Sender<Response<AnswerBody>>,
) {
    let ticket = Ticket(traffic.next_ticket.get());
    traffic.next_ticket.set(ticket.0 + 1);
    let (tx, mut directives) = mpsc::unbounded_channel();
    traffic.directives.borrow_mut().insert(ticket, tx);
    traffic.tell(Input::Submit(ticket, submission));
    let mut flow = Flow {
        traffic: Rc::clone(&traffic),
        ticket,
        caller,
        answer: Answer::Open(answer),
        events: Events::default(),
        failure: None,
    };
    loop {
        let directive = tokio::select! {
            directive = directives.recv() => directive,
            () = flow.answer.caller_left() => {
                traffic.tell(Input::Ended(ticket, SendEnd::CallerGone));
                break;
            }
        };
        match directive {
            Some(Output::Send(_, plan)) => {
                let end = flow.send(&plan).await;
                traffic.tell(Input::Ended(ticket, end));
                if matches!(end, SendEnd::Whole | SendEnd::CallerGone) {
                    break;
                }
            }
            Some(Output::Refuse(_, refusal)) => {
                flow.refuse(&refusal);
                break;
            }
            Some(Output::PassFailure(_)) => {
                flow.pass_failure();
                break;
            }
            _ => break,
        }
    }
    traffic.directives.borrow_mut().remove(&ticket);
}

impl Traffic {
    /// Tells the control thread.
    pub fn tell(&self, input: Input) {
        // The control thread ends only with the process.
        let _ = self.inputs.send(input);
    }

    /// Tells the control thread what it may learn with its next input.
    pub fn tell_later(&self, input: Input) {
        // The control thread ends only with the process.
        let _ = self.later_inputs.send(input);
    }

    /// Hands an output to the request that it is for.
    pub fn direct(&self, ticket: Ticket, output: Output) {
        if let Some(tx) = self.directives.borrow().get(&ticket) {
            // A request that is over needs no directive.
            let _ = tx.send(output);
        }
    }

    /// Returns how many requests are not answered whole yet.
    #[must_use]
    pub fn open(&self) -> usize {
        self.directives.borrow().len()
    }

    fn instant(&self, at: Millis) -> Instant {
        Instant::now() + at.since(self.clock.now()).as_duration()
    }
}

impl Answer {
    /// Waits until the caller has left.
    async fn caller_left(&mut self) {
        match self {
            Answer::Open(tx) => tx.closed().await,
            // A piece that cannot be passed on tells of it.
            Answer::Begun(_) => std::future::pending().await,
            Answer::Gone => {}
        }
    }
}

/// A request on its way.
struct Flow {
    traffic: Rc<Traffic>,
    ticket: Ticket,
    caller: Caller,
    answer: Answer,
    events: Events,
    failure: Option<Failure>,
}

impl Flow {
    /// Carries out one send.
    async fn send(&mut self, plan: &Plan) -> SendEnd {
        let due = self.traffic.instant(plan.answer_due);
        let memory = Memory::new(&self.traffic, self.id());
        let reserved = match memory.reserve(&plan.reservations).await {
            Ok(reserved) => reserved,
            Err(end) => return end,
        };
        let renewing = memory.renew(reserved.clone());
        let end = tokio::select! {
            end = self.exchange(plan) => end,
            () = sleep_until(due) => SendEnd::Silent,
            () = renewing => SendEnd::Silent,
        };
        for reservation in reserved {
            memory.release(reservation);
        }
        end
    }

    /// Sends the request and passes its answer on.
    async fn exchange(&mut self, plan: &Plan) -> SendEnd {
        let output_due = self.traffic.instant(plan.output_due);
        let request = match self.request(plan) {
            Ok(request) => request,
            Err(error) => {
                log::error!(request = self.id(), error:% = error; "request cannot be built");
                return SendEnd::NotSent;
            }
        };
        let reuse = if plan.resumable || plan.retry_failures {
            Reuse::Kept
        } else {
            Reuse::Never
        };
        let upstream = self.traffic.upstream.clone();
        let sent = {
            let sending = upstream.send(&plan.addr, request, reuse, plan.max_connections);
            tokio::select! {
                sent = timeout_at(output_due, sending) => sent,
                () = self.answer.caller_left() => return SendEnd::CallerGone,
            }
        };
        match sent {
            Err(_) => SendEnd::Silent,
            Ok(Err(CallError::NotSent(cause))) => {
                log::info!(request = self.id(), server = plan.server_id.as_str(), cause = cause.as_str(); "not sent");
                SendEnd::NotSent
            }
            Ok(Err(error)) => {
                log::info!(request = self.id(), server = plan.server_id.as_str(), cause:% = error; "no answer");
                SendEnd::Broken
            }
            Ok(Ok((response, lease))) => self.answer_with(plan, response, lease, output_due).await,
        }
    }

    fn request(&self, plan: &Plan) -> Result<Request<Full<Bytes>>, http::Error> {
        let left = plan.answer_due.since(self.traffic.clock.now());
        let added = Forwarded {
            deadline: Some(left),
            server_id: &plan.server_id,
            workspace: Some(plan.workspace.as_str()).filter(|name| !name.is_empty()),
            urgency: plan.urgency,
            parts: &plan.parts,
            last_event: self.events.last_id(),
        };
        let mut headers = headers::forward(&self.caller.parts.headers, &added);
        headers.remove(header::CONTENT_LENGTH);
        let path = self.caller.parts.uri.path_and_query();
        let mut request = Request::builder()
            .method(self.caller.parts.method.clone())
            .uri(path.map_or("/", |path| path.as_str()))
            .body(Full::new(self.caller.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Judges an answer's head and passes the answer on.
    async fn answer_with(
        &mut self,
        plan: &Plan,
        response: Response<Incoming>,
        lease: Lease,
        output_due: Instant,
    ) -> SendEnd {
        let (parts, body) = response.into_parts();
        let head = headers::server_head(parts.status.as_u16(), &parts.headers);
        if let Some(left) = head.cold_left.filter(|left| *left > Millis::ZERO) {
            self.traffic.tell(Input::ColdSeen(self.ticket, left));
        }
        let ours = head.request_id.as_deref() == Some(self.caller.head.request_id.as_str());
        if head.request_id.is_some() && !ours {
            log::warn!(request = self.id(), server = plan.server_id.as_str(); "answer to another request; connection closed");
            return SendEnd::Broken;
        }
        if head.refused {
            log::info!(request = self.id(), server = plan.server_id.as_str(), status = head.status, at_fault = head.at_fault.as_deref().unwrap_or_default(); "refused by backend server");
            self.drain(body, lease, head.idle_limit, head.closes).await;
            return match head.status {
                421 => SendEnd::Misdirected,
                _ => SendEnd::Refused,
            };
        }
        if !head.signed || head.encoded {
            log::warn!(request = self.id(), server = plan.server_id.as_str(), status = head.status; "answer without signature");
            return SendEnd::Broken;
        }
        let idle_limit = if head.closes {
            Some(Millis::ZERO)
        } else {
            head.idle_limit
        };
        if !parts.status.is_success() {
            return self
                .keep_failure(plan, parts, body, lease, idle_limit)
                .await;
        }
        if plan.streaming {
            return self
                .stream(plan, parts, body, lease, idle_limit, output_due)
                .await;
        }
        self.pass_whole(parts, body, lease, idle_limit, output_due)
            .await
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    async fn drain(&self, body: Incoming, lease: Lease, idle: Option<Millis>, closes: bool) {
        if closes {
            return;
        }
        let body = http_body_util::Limited::new(body, MAX_FAILURE_BYTES).collect();
        if let Ok(Ok(_)) = timeout(DRAIN_LIMIT, body).await {
            lease.keep(idle);
        }
    }

    /// Keeps a backend server's own failure until the core decides.
    async fn keep_failure(
        &mut self,
        plan: &Plan,
        parts: http::response::Parts,
        body: Incoming,
        lease: Lease,
        idle_limit: Option<Millis>,
    ) -> SendEnd {
        log::info!(request = self.id(), server = plan.server_id.as_str(), status = parts.status.as_u16(); "failure by backend server");
        let body = http_body_util::Limited::new(body, MAX_FAILURE_BYTES).collect();
        let Ok(body) = body.await else {
            return SendEnd::Broken;
        };
        lease.keep(idle_limit);
        // These statuses would promise that the request has not run.
        if matches!(parts.status.as_u16(), 408 | 421 | 429 | 503) {
            return SendEnd::Broken;
        }
        let mut failure = Response::from_parts(parts, body.to_bytes());
        *failure.headers_mut() = headers::backward(failure.headers());
        self.failure = Some(failure);
        SendEnd::Failed
    }

    /// Passes a plain answer on once it is whole.
    async fn pass_whole(
        &mut self,
        parts: http::response::Parts,
        body: Incoming,
        lease: Lease,
        idle_limit: Option<Millis>,
        output_due: Instant,
    ) -> SendEnd {
        let body = tokio::select! {
            body = timeout_at(output_due, body.collect()) => body,
            () = self.answer.caller_left() => return SendEnd::CallerGone,
        };
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                log::info!(request = self.id(), cause:% = error; "answer broke off");
                return SendEnd::Broken;
            }
            Err(_) => return SendEnd::Silent,
        };
        lease.keep(idle_limit);
        self.traffic.tell(Input::Started(self.ticket));
        let mut response = Response::new(AnswerBody::Left(Full::new(body)));
        *response.status_mut() = parts.status;
        *response.headers_mut() = headers::backward(&parts.headers);
        match self.open(response) {
            true => SendEnd::Whole,
            false => SendEnd::CallerGone,
        }
    }

    /// Passes a stream on, whole events only.
    async fn stream(
        &mut self,
        plan: &Plan,
        parts: http::response::Parts,
        mut body: Incoming,
        lease: Lease,
        idle_limit: Option<Millis>,
        output_due: Instant,
    ) -> SendEnd {
        self.events.drop_partial();
        let answer_due = self.traffic.instant(plan.answer_due);
        let mut piece_due = output_due;
        let mut started = false;
        loop {
            let frame = tokio::select! {
                frame = timeout_at(piece_due, body.frame()) => frame,
                () = self.answer.caller_left() => return SendEnd::CallerGone,
            };
            let data = match frame {
                Err(_) => return SendEnd::Silent,
                Ok(Some(Err(error))) => {
                    log::info!(request = self.id(), cause:% = error; "stream broke off");
                    return SendEnd::Broken;
                }
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Ok(None) => {
                    if self.events.has_partial() {
                        log::info!(request = self.id(); "stream ended inside an event");
                        return SendEnd::Broken;
                    }
                    lease.keep(idle_limit);
                    return self.end_stream(&parts);
                }
            };
            let Some(whole) = self.events.push(&data) else {
                continue;
            };
            if started {
                let at = self.traffic.clock.now();
                self.traffic.tell_later(Input::Progress(self.ticket, at));
            } else {
                started = true;
                self.traffic.tell(Input::Started(self.ticket));
            }
            if !self.pass_events(&parts, whole).await {
                return SendEnd::CallerGone;
            }
            piece_due = match plan.resumable {
                true => answer_due.min(Instant::now() + plan.silence.as_duration()),
                false => answer_due,
            };
        }
    }

    /// Ends a stream as complete.
    fn end_stream(&mut self, parts: &http::response::Parts) -> SendEnd {
        if matches!(self.answer, Answer::Open(_)) {
            let response = stream_head(parts, AnswerBody::Left(Full::new(Bytes::new())));
            return match self.open(response) {
                true => SendEnd::Whole,
                false => SendEnd::CallerGone,
            };
        }
        // Dropping the sender ends the body.
        self.answer = Answer::Gone;
        SendEnd::Whole
    }

    /// Passes whole events on; returns whether the caller is still there.
    async fn pass_events(&mut self, parts: &http::response::Parts, events: Bytes) -> bool {
        if matches!(self.answer, Answer::Open(_)) {
            let (tx, body) = Channel::new(BODY_QUEUE);
            if !self.open(stream_head(parts, AnswerBody::Right(body))) {
                return false;
            }
            self.answer = Answer::Begun(tx);
        }
        let Answer::Begun(tx) = &mut self.answer else {
            return false;
        };
        tx.send(Frame::data(events)).await.is_ok()
    }

    /// Gives the answer's head; returns whether the caller is still there.
    fn open(&mut self, response: Response<AnswerBody>) -> bool {
        match std::mem::replace(&mut self.answer, Answer::Gone) {
            Answer::Open(tx) => tx.send(response).is_ok(),
            other => {
                self.answer = other;
                true
            }
        }
    }

    /// Gives the system's own final answer, or breaks off one that has begun.
    fn refuse(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.answer, Answer::Gone) {
            Answer::Open(tx) => {
                // A caller who has left needs no answer.
                let _ = tx.send(refuse(&self.caller.head.request_id, refusal));
            }
            Answer::Begun(tx) => tx.abort(Aborted),
            Answer::Gone => {}
        }
    }

    /// Passes the backend server's own failure on.
    fn pass_failure(&mut self) {
        let Some(failure) = self.failure.take() else {
            return self.refuse(&Refusal::may_have_run(
                Reason::BackendFailed,
                "the backend server failed",
            ));
        };
        if matches!(self.answer, Answer::Begun(_)) {
            return self.refuse(&Refusal::may_have_run(
                Reason::BackendFailed,
                "the backend server failed",
            ));
        }
        self.open(failure.map(|body| AnswerBody::Left(Full::new(body))));
    }

    fn id(&self) -> &str {
        &self.caller.head.request_id
    }
}
