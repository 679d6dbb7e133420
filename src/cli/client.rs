//! Questions to an instance's operators' listener.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::exit::Exit;
use super::exit::Failure;
use crate::config::Secret;
use crate::control::AdminAnswer;
use crate::control::AdminQuery;
use crate::timeline::Event;

/// Time limit of one question, in seconds.
const TIME_LIMIT_SECONDS: u64 = 10;

/// One instance's operators' listener.
#[derive(Debug, Clone)]
pub(super) struct Admin {
    addr: SocketAddr,
    token: Secret,
}

impl Admin {
    pub(super) fn new(addr: &str, token_file: Option<&str>) -> Result<Admin, Failure> {
        Ok(Admin {
            addr: address(addr)?,
            token: token(token_file)?,
        })
    }

    /// Asks for a JSON document.
    pub(super) fn ask<T: DeserializeOwned>(&self, query: &AdminQuery) -> Result<T, Failure> {
        match self.answer(query)? {
            AdminAnswer::Json(value) => serde_json::from_value(value).map_err(|error| {
                let text = format!("{}: unexpected answer: {error}", self.addr);
                Failure::new(Exit::Unreachable, text)
            }),
            AdminAnswer::Refused(refusal) => Err(Failure::refused(&refusal)),
            AdminAnswer::Events(_) => {
                let text = format!("{}: unexpected answer", self.addr);
                Err(Failure::new(Exit::Unreachable, text))
            }
        }
    }

    /// Asks for events.
    pub(super) fn events(&self, query: &AdminQuery) -> Result<Vec<Event>, Failure> {
        match self.answer(query)? {
            AdminAnswer::Events(events) => Ok(events),
            AdminAnswer::Refused(refusal) => Err(Failure::refused(&refusal)),
            AdminAnswer::Json(_) => {
                let text = format!("{}: unexpected answer", self.addr);
                Err(Failure::new(Exit::Unreachable, text))
            }
        }
    }

    fn answer(&self, query: &AdminQuery) -> Result<AdminAnswer, Failure> {
        let body = serde_json::to_vec(query).unwrap_or_default();
        let sent = minreq::post(format!("http://{}/v1/admin", self.addr))
            .with_header("Authorization", format!("Bearer {}", self.token.expose()))
            .with_header("Content-Type", "application/json")
            .with_body(body)
            .with_timeout(TIME_LIMIT_SECONDS)
            .with_follow_redirects(false)
            .send();
        let response = sent.map_err(|error| self.unreachable(query, &error.to_string()))?;
        if let Ok(answer) = serde_json::from_slice(response.as_bytes()) {
            return Ok(answer);
        }
        Err(
            match serde_json::from_slice::<ErrorBody>(response.as_bytes()) {
                Ok(body) => body.error.failure(),
                Err(_) => {
                    let text = format!(
                        "this is no operators' listener (status {})",
                        response.status_code
                    );
                    self.unreachable(query, &text)
                }
            },
        )
    }

    /// Returns the failure of a question without an answer; only a change may
    /// have taken effect.
    fn unreachable(&self, query: &AdminQuery, cause: &str) -> Failure {
        let refused = cause.contains("refused") || cause.contains("no operators' listener");
        let changes = matches!(query, AdminQuery::ApplyDeclaration(_));
        let exit = match changes && !refused {
            true => Exit::MayHaveRun,
            false => Exit::Unreachable,
        };
        Failure::new(exit, format!("no answer from {}: {cause}", self.addr))
    }
}

/// An error in the shape of the OpenAI API.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ErrorBody {
    pub(super) error: ErrorText,
}

/// The parts of an error that are shown.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ErrorText {
    pub(super) message: String,
    pub(super) code: String,
    pub(super) ran: String,
    pub(super) retry_after_ms: Option<u64>,
}

impl ErrorText {
    pub(super) fn failure(&self) -> Failure {
        let exit = match (self.code.as_str(), self.ran.as_str()) {
            ("unauthorized", _) => Exit::Unauthorized,
            (_, "no") => Exit::Refused,
            _ => Exit::MayHaveRun,
        };
        let after = match self.retry_after_ms {
            Some(after) => format!("; try again after {after} ms"),
            None => String::new(),
        };
        let text = format!("{}: {} (ran: {}{after})", self.code, self.message, self.ran);
        Failure::new(exit, text)
    }
}

/// Reads an address, `ip:port`.
pub(super) fn address(text: &str) -> Result<SocketAddr, Failure> {
    text.parse().map_err(|_| {
        let text = format!("`{text}` is no address; allowed: ip:port, such as 127.0.0.1:8081");
        Failure::new(Exit::Unreachable, text)
    })
}

/// Reads the token, if a file is named.
pub(super) fn token(file: Option<&str>) -> Result<Secret, Failure> {
    let Some(file) = file else {
        return Ok(Secret::default());
    };
    Secret::read(Path::new(file))
        .map_err(|cause| Failure::usage(format!("--token-file {file}: {cause}")))
}
