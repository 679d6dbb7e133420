//! The edge towards callers: the OpenAI-compatible API and plain services.
//!
//! A request is parsed on a thread of its own and submitted to the control
//! core; its answer comes through a relay ([`crate::relay`]) and is written by
//! the same thread. Whatever is wrong with a request is refused before the core
//! hears of it.

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
use self::openai::Shape;
use self::prompt::Asked;
use self::prompt::Dialect;
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

/// When a caller may come back after a refusal for too many open requests.
const BUSY_RETRY_AFTER: Millis = Millis(1000);
/// How often an entry that ends looks whether requests are open.
const IDLE_POLL: Duration = Duration::from_millis(5);
/// Threads that wait for what is left of refused bodies.
const REFUSED_BODY_THREADS: usize = 64;
/// Longest wait for the core's list of models.
const MODELS_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds of the callers' listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Address, `ip:port`; port 0: any.
    pub listen: String,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest path and headers together, in bytes.
    pub max_head_bytes: usize,
    /// Requests open at one time.
    pub max_open_requests: usize,
    /// Longest time for a body to arrive.
    pub body_time_limit: Duration,
    /// Longest wait for a connection's next bytes.
    pub read_timeout: Duration,
    /// Longest wait until a caller takes the next bytes.
    pub write_timeout: Duration,
    /// How long a stream's head waits for the first token, and the time between
    /// two comments while nothing comes.
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

/// What the entry hands requests to.
#[derive(Debug, Clone)]
pub struct Ports {
    /// The control core.
    pub control: flume::Sender<Input>,
    /// The relays that answers come through.
    pub relays: Relays,
    /// Questions to the core.
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
        let callers = Callers {
            cfg,
            ports,
            refused: Pool::new("refused", REFUSED_BODY_THREADS),
        };
        let listener = Listener::start(listener, Arc::new(callers))?;
        Ok(Entry { listener })
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Returns how many requests are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.listener.open()
    }

    /// Waits until no request is open, for `limit` at most; returns whether none
    /// is. After the core's last final word, callers may still be reading.
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

    /// Stops listening; requests in flight are answered.
    pub fn stop(&mut self) {
        self.listener.stop();
    }
}

struct Callers {
    cfg: EntrySettings,
    ports: Ports,
    refused: Pool,
}

impl Handler for Callers {
    fn handle(&self, mut req: Request) {
        let request = RequestId(rand::random());
        match self.parse(&mut req) {
            Ok(Parsed::Models(head)) => self.models(req, &head),
            Ok(Parsed::Prompt(head, asked, dialect)) => {
                self.prompt(req, request, head, asked, dialect);
            }
            Ok(Parsed::Service(head, call)) => self.service(req, request, head, call),
            Err(refusal) => self.refuse_unread(req, request, &refusal),
        }
    }

    fn refuse(&self, req: Request) {
        let text = "too many requests are open on this instance";
        let refusal = Refusal::not_run(Reason::QueueFull, text).retry_after(BUSY_RETRY_AFTER);
        self.refuse_unread(req, RequestId(rand::random()), &refusal);
    }
}

/// A request that is well formed.
enum Parsed {
    Models(Head),
    Prompt(Head, Asked, Dialect),
    Service(Head, ServiceCall),
}

impl Callers {
    fn parse(&self, req: &mut Request) -> Result<Parsed, Refusal> {
        let route = head::route(req.method(), req.url())?;
        let head = head::head(req, self.cfg.max_head_bytes)?;
        match route {
            Route::Models => Ok(Parsed::Models(head)),
            Route::Prompt(dialect) => {
                let body = self.body(req)?;
                let asked = prompt::parse(dialect, &body, &head.token_sha256)?;
                if asked.stream && !Events::supported(req.http_version()) {
                    let text = "streams need HTTP/1.1";
                    return Err(Refusal::not_run(Reason::BadRequest, text));
                }
                Ok(Parsed::Prompt(head, asked, dialect))
            }
            Route::Service { service, operation } => {
                let body = self.body(req)?;
                let call = ServiceCall {
                    service,
                    operation,
                    body,
                    idempotency_key: head.idempotency_key.clone(),
                };
                Ok(Parsed::Service(head, call))
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

    /// Refuses a request whose body may be still on its way. `tiny_http` waits
    /// for the rest of it, so that takes a thread from a small pool of its own.
    fn refuse_unread(&self, req: Request, request: RequestId, refusal: &Refusal) {
        self.ports.metrics.add(Count::BadRequests, 1);
        let answer = Answer::refusal(refusal, Some(request));
        self.refused.run(move || {
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

    fn prompt(&self, req: Request, request: RequestId, head: Head, asked: Asked, dialect: Dialect) {
        let shape = Shape {
            dialect,
            request,
            model: asked.prompt.model.clone(),
            prompt_tokens: asked.prompt.tokens,
            created: unix_seconds(),
        };
        let fingerprint = Fingerprint(prompt::hash(&[
            head.token_sha256.as_bytes(),
            head.kind.as_deref().unwrap_or_default().as_bytes(),
            asked.prompt.model.as_bytes(),
            &asked.prompt.max_tokens.to_le_bytes(),
            asked.prompt.text.as_bytes(),
        ]));
        let (stream, usage) = (asked.stream, asked.usage);
        let work = Work::Prompt(asked.prompt);
        let Some(caller) = self.submit(request, head, fingerprint, work) else {
            return refuse_ending(req, request);
        };
        match stream {
            true => reply::stream(req, caller, &shape, usage, self.cfg.comment_interval),
            false => reply::whole(req, caller, &shape),
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
            None => refuse_ending(req, request),
        }
    }

    /// Hands a request to the core; none if the core has ended.
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

fn refuse_ending(req: Request, request: RequestId) {
    let refusal = Refusal::not_run(Reason::Unavailable, "this instance is ending");
    Answer::refusal(&refusal.retry_after(Millis(0)), Some(request)).send(req);
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
