//! The callers' HTTP API: OpenAI-compatible endpoints and plain services.
//!
//! Each request is parsed on its own thread and submitted to the control core.
//! The same thread receives the answer through a relay ([`crate::relay`]) and
//! writes it to the caller. Invalid requests are refused before they reach the
//! core.

mod error;
mod head;
pub(crate) mod http;
mod openai;
pub mod prompt;
mod reply;
mod sse;
#[cfg(test)]
mod tests;

pub use error::error_body;
pub use head::MAX_KEY_BYTES;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tiny_http::Request;

use self::head::Head;
use self::head::Route;
use self::http::Answer;
use self::http::BodyLimits;
use self::openai::ResponseFormat;
use self::prompt::Dialect;
use self::prompt::ParsedPrompt;
use self::sse::Events;
use crate::admin::Answers;
use crate::backend::Pool;
use crate::backend::ServiceCall;
use crate::backend::Work;
use crate::clock::Millis;
use crate::control::AdminAnswer;
use crate::control::AdminQuery;
use crate::control::Input;
use crate::control::Submission;
use crate::id::Fingerprint;
use crate::id::RequestId;
use crate::listener::Handler;
use crate::listener::Listener;
use crate::listener::ListenerSettings;
use crate::metrics::Count;
use crate::metrics::Metrics;
use crate::relay::Relays;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Retry delay that a refusal for too many open requests names.
const BUSY_RETRY_AFTER: Millis = Millis(1000);
/// Interval at which [`Entry::wait_idle`] checks for open requests.
const IDLE_POLL: Duration = Duration::from_millis(5);
/// Maximum time for the refusals of requests that arrived as the entry closed.
const LAST_REFUSALS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of threads that drain the bodies of refused requests.
const REFUSED_BODY_THREADS: usize = 64;
/// Time limit on the core's answer to a query for the list of models.
const MODELS_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of the callers' listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Listen address, `ip:port`; port 0 selects a free port.
    pub listen: String,
    /// Maximum body size, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of path and headers together, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of concurrently open requests.
    pub max_open_requests: usize,
    /// Time limit on receiving a body.
    pub body_time_limit: Duration,
    /// Socket read timeout.
    pub read_timeout: Duration,
    /// Socket write timeout.
    pub write_timeout: Duration,
    /// How long a stream's response head is held back for the first token, and
    /// the interval between keep-alive comments while no token arrives.
    pub comment_interval: Duration,
}

impl Default for EntrySettings {
    fn default() -> EntrySettings {
        EntrySettings {
            listen: "127.0.0.1:0".to_owned(),
            max_body_bytes: 16 * 1024 * 1024,
            max_head_bytes: 16 * 1024,
            max_open_requests: 2000,
            body_time_limit: Duration::from_secs(10),
            read_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
            comment_interval: Duration::from_secs(2),
        }
    }
}

/// Channels and shared state that the entry needs from the process.
#[derive(Debug, Clone)]
pub struct Ports {
    /// Input channel of the control core.
    pub control: flume::Sender<Input>,
    /// Relays that deliver answers to the callers' threads.
    pub relays: Relays,
    /// Client for queries to the core.
    pub answers: Answers,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// The callers' listener; it stops when dropped.
#[derive(Debug)]
pub struct Entry {
    listener: Listener,
}

impl Entry {
    /// Starts the callers' listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(cfg: EntrySettings, ports: Ports) -> io::Result<Entry> {
        let listener = ListenerSettings {
            name: "entry",
            listen: cfg.listen.clone(),
            read_timeout: cfg.read_timeout,
            write_timeout: cfg.write_timeout,
            max_open: cfg.max_open_requests,
        };
        let handler = RequestHandler {
            cfg,
            ports,
            refusal_pool: Pool::new("refused", REFUSED_BODY_THREADS),
        };
        let listener = Listener::start(listener, Arc::new(handler))?;
        Ok(Entry { listener })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open(&self) -> usize {
        self.listener.open()
    }

    /// Waits up to `limit` until no request is open; returns whether that was
    /// reached. RequestHandler may still be receiving answers after the core has
    /// completed every request.
    #[must_use]
    pub fn wait_idle(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while self.open() > 0 {
            if started.elapsed() >= limit {
                return false;
            }
            thread::sleep(IDLE_POLL);
        }
        true
    }

    /// Waits up to `limit` until no request is open, then takes no further ones
    /// and waits shortly for those that arrived meanwhile; returns whether all
    /// are answered. The core has to refuse requests until then.
    #[must_use]
    pub fn close(&self, limit: Duration) -> bool {
        let _ = self.wait_idle(limit);
        self.listener.close();
        while !self.listener.is_closed() {
            thread::sleep(IDLE_POLL);
        }
        self.wait_idle(LAST_REFUSALS_TIMEOUT)
    }

    /// Stops listening; requests in flight are answered.
    pub fn stop(&mut self) {
        self.listener.stop();
    }
}

struct RequestHandler {
    cfg: EntrySettings,
    ports: Ports,
    refusal_pool: Pool,
}

impl Handler for RequestHandler {
    fn handle(&self, mut req: Request) {
        let request = RequestId(rand::random());
        match self.parse(&mut req) {
            Ok(ParsedRequest::Models(head)) => self.models(req, &head),
            Ok(ParsedRequest::Prompt(head, parsed, dialect)) => {
                self.prompt(req, request, head, parsed, dialect);
            }
            Ok(ParsedRequest::Service(head, call)) => self.service(req, request, head, call),
            Err(refusal) => self.refuse_without_body(req, request, &refusal),
        }
    }

    fn refuse(&self, req: Request) {
        let text = "too many requests are open on this instance";
        let refusal = Refusal::not_run(Reason::QueueFull, text).retry_after(BUSY_RETRY_AFTER);
        self.refuse_without_body(req, RequestId(rand::random()), &refusal);
    }
}

/// A request that passed validation.
enum ParsedRequest {
    Models(Head),
    Prompt(Head, ParsedPrompt, Dialect),
    Service(Head, ServiceCall),
}

impl RequestHandler {
    fn parse(&self, req: &mut Request) -> Result<ParsedRequest, Refusal> {
        let route = head::route(req.method(), req.url())?;
        let head = head::head(req, self.cfg.max_head_bytes)?;
        match route {
            Route::Models => Ok(ParsedRequest::Models(head)),
            Route::Prompt(dialect) => {
                let body = self.body(req)?;
                let parsed = prompt::parse(dialect, &body, &head.token_sha256)?;
                if parsed.stream && !Events::supported(req.http_version()) {
                    let text = "streams need HTTP/1.1";
                    return Err(Refusal::not_run(Reason::BadRequest, text));
                }
                Ok(ParsedRequest::Prompt(head, parsed, dialect))
            }
            Route::Service { service, operation } => {
                let body = self.body(req)?;
                let call = ServiceCall {
                    service,
                    operation,
                    body,
                    idempotency_key: head.idempotency_key.clone(),
                };
                Ok(ParsedRequest::Service(head, call))
            }
        }
    }

    fn body(&self, req: &mut Request) -> Result<Vec<u8>, Refusal> {
        let limits = BodyLimits {
            max_bytes: self.cfg.max_body_bytes,
            time_limit: self.cfg.body_time_limit,
        };
        http::read_body(req, limits)
    }

    /// Refuses a request whose body may not have arrived yet. `tiny_http`
    /// blocks until it has read the rest of the body, so this runs on a
    /// separate small pool.
    fn refuse_without_body(&self, req: Request, request: RequestId, refusal: &Refusal) {
        self.ports.metrics.add(Count::BadRequests, 1);
        let answer = Answer::refusal(refusal, Some(request));
        self.refusal_pool.run(move || {
            answer.send(req);
        });
    }

    fn models(&self, req: Request, head: &Head) {
        let query = AdminQuery::Models {
            token_sha256: head.token_sha256.clone(),
        };
        let answer = match self.ports.answers.ask(query, MODELS_TIMEOUT) {
            Some(AdminAnswer::Json(models)) => Answer::json(200, &models),
            Some(AdminAnswer::Refused(refusal)) => Err(refusal),
            Some(AdminAnswer::Events(_)) | None => Err(Refusal::not_run(
                Reason::Unavailable,
                "the control thread gave no answer in time",
            )),
        };
        answer
            .unwrap_or_else(|refusal| Answer::refusal(&refusal, None))
            .send(req);
    }

    fn prompt(
        &self,
        req: Request,
        request: RequestId,
        head: Head,
        parsed: ParsedPrompt,
        dialect: Dialect,
    ) {
        let format = ResponseFormat {
            dialect,
            request,
            model: parsed.prompt.model.clone(),
            prompt_tokens: parsed.prompt.tokens,
            created: unix_seconds(),
        };
        let fingerprint = Fingerprint(prompt::hash(&[
            head.token_sha256.as_bytes(),
            head.kind.as_deref().unwrap_or_default().as_bytes(),
            parsed.prompt.model.as_bytes(),
            &parsed.prompt.max_tokens.to_le_bytes(),
            parsed.prompt.text.as_bytes(),
        ]));
        let (stream, usage) = (parsed.stream, parsed.usage);
        let work = Work::Prompt(parsed.prompt);
        let Some(caller) = self.submit(request, head, fingerprint, work) else {
            return refuse_stopping(req, request);
        };
        match stream {
            true => reply::stream(req, caller, &format, usage, self.cfg.comment_interval),
            false => reply::whole(req, caller, &format),
        }
    }

    fn service(&self, req: Request, request: RequestId, head: Head, call: ServiceCall) {
        let fingerprint = Fingerprint(prompt::hash(&[
            head.token_sha256.as_bytes(),
            call.service.as_bytes(),
            call.operation.as_bytes(),
            &call.body,
        ]));
        let work = Work::Service(call);
        match self.submit(request, head, fingerprint, work) {
            Some(caller) => reply::service(req, caller),
            None => refuse_stopping(req, request),
        }
    }

    /// Submits a request to the core. Returns `None` if the core has ended.
    fn submit(
        &self,
        request: RequestId,
        head: Head,
        fingerprint: Fingerprint,
        work: Work,
    ) -> Option<reply::Caller> {
        let side = self.ports.relays.open(request);
        let submission = Submission {
            request,
            token_sha256: head.token_sha256,
            kind: head.kind,
            time_limit: head.deadline,
            importance: head.importance,
            fingerprint,
            work: Arc::new(work),
        };
        let control = self.ports.control.clone();
        control.send(Input::Submit(submission)).ok()?;
        Some(reply::Caller::new(side, control))
    }
}

fn refuse_stopping(req: Request, request: RequestId) {
    let refusal = Refusal::not_run(Reason::Unavailable, "this instance is ending");
    Answer::refusal(&refusal.retry_after(Millis(0)), Some(request)).send(req);
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
