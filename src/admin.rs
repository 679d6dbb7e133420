//! The operators' listener: metrics, health, and questions to the core.
//!
//! It is apart from the callers' one, so that each can have its own network
//! rules. `/metrics`, `/healthz` and `/readyz` are open; everything under
//! `/v1/admin` needs the operators' token.

mod answers;
#[cfg(test)]
mod tests;

pub use answers::Answers;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tiny_http::Method;
use tiny_http::Request;

use crate::config::Secret;
use crate::control::AdminAnswer;
use crate::control::AdminQuery;
use crate::entry::http::Answer;
use crate::entry::http::BodyLimits;
use crate::entry::http::bearer;
use crate::entry::http::read_body;
use crate::listener::Handler;
use crate::listener::Listener;
use crate::listener::ListenerSettings;
use crate::metrics::Level;
use crate::metrics::Metrics;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Content type of `/metrics`.
pub const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Bounds of the operators' listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminSettings {
    /// Address, `ip:port`; port 0: any.
    pub listen: String,
    /// The operators' token.
    pub token: Secret,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest wait for the core's answer.
    pub answer_timeout: Duration,
    /// Longest wait for a connection's next bytes.
    pub read_timeout: Duration,
    /// Requests open at one time.
    pub max_open: usize,
}

impl Default for AdminSettings {
    fn default() -> AdminSettings {
        AdminSettings {
            listen: "127.0.0.1:0".to_owned(),
            token: Secret::default(),
            max_body_bytes: 2 * 1024 * 1024,
            answer_timeout: Duration::from_secs(5),
            read_timeout: Duration::from_secs(30),
            max_open: 64,
        }
    }
}

/// Starts the operators' listener. With an empty token nobody is an operator.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(cfg: AdminSettings, answers: Answers, metrics: Arc<Metrics>) -> io::Result<Listener> {
    let listener = ListenerSettings {
        name: "admin",
        listen: cfg.listen.clone(),
        read_timeout: cfg.read_timeout,
        write_timeout: cfg.read_timeout,
        max_open: cfg.max_open,
    };
    let admin = Admin {
        cfg,
        answers,
        metrics,
    };
    Listener::start(listener, Arc::new(admin))
}

struct Admin {
    cfg: AdminSettings,
    answers: Answers,
    metrics: Arc<Metrics>,
}

impl Handler for Admin {
    fn handle(&self, mut req: Request) {
        let answer = self
            .route(&mut req)
            .unwrap_or_else(|refusal| Answer::refusal(&refusal, None));
        answer.send(req);
    }

    fn refuse(&self, req: Request) {
        let refusal = Refusal::not_run(Reason::Unavailable, "too many operators' requests open");
        Answer::refusal(&refusal.retry_after(RETRY_AFTER), None).send(req);
    }
}

/// When an operator may come back after a refusal for too many requests.
const RETRY_AFTER: crate::clock::Millis = crate::clock::Millis::from_secs(1);

impl Admin {
    fn route(&self, req: &mut Request) -> Result<Answer, Refusal> {
        let path = req.url().split('?').next().unwrap_or_default().to_owned();
        match (req.method(), path.as_str()) {
            (Method::Get, "/metrics") => self.metrics(),
            (Method::Get, "/healthz") => Ok(Answer::text(200, "ok\n")),
            (Method::Get, "/readyz") => Ok(self.ready()),
            (Method::Post, "/v1/admin") => self.ask(req),
            _ => Err(Refusal::not_run(Reason::NotFound, "no such path")),
        }
    }

    fn metrics(&self) -> Result<Answer, Refusal> {
        let text = self
            .metrics
            .encode()
            .map_err(|error| Refusal::not_run(Reason::Unavailable, error.to_string()))?;
        Ok(Answer::new(200, OPENMETRICS, text.into_bytes()))
    }

    fn ready(&self) -> Answer {
        match self.metrics.level(Level::Ready) {
            1 => Answer::text(200, "ready\n"),
            _ => Answer::text(503, "not ready\n"),
        }
    }

    fn ask(&self, req: &mut Request) -> Result<Answer, Refusal> {
        self.authorize(req)?;
        let limits = BodyLimits {
            max_bytes: self.cfg.max_body_bytes,
            time_limit: self.cfg.read_timeout,
        };
        let body = read_body(req, limits)?;
        let query: AdminQuery = serde_json::from_slice(&body).map_err(|error| {
            Refusal::not_run(Reason::BadRequest, format!("not an admin query: {error}"))
        })?;
        let answer = self
            .answers
            .ask(query, self.cfg.answer_timeout)
            .ok_or_else(|| {
                let text = "the control thread gave no answer in time";
                Refusal::may_have_run(Reason::Unavailable, text)
            })?;
        let status = match &answer {
            AdminAnswer::Refused(refusal) => refusal.reason.status(),
            AdminAnswer::Json(_) | AdminAnswer::Events(_) => 200,
        };
        Answer::json(status, &answer)
    }

    /// Compares the token in constant time, over hashes of equal length.
    fn authorize(&self, req: &Request) -> Result<(), Refusal> {
        let given = bearer(req).unwrap_or_default();
        let given = Sha256::digest(given.as_bytes());
        let expected = Sha256::digest(self.cfg.token.expose().as_bytes());
        let matches = bool::from(given.as_slice().ct_eq(expected.as_slice()));
        if matches && !self.cfg.token.is_empty() {
            return Ok(());
        }
        Err(Refusal::not_run(
            Reason::Unauthorized,
            "the operators' token is missing or wrong",
        ))
    }
}
