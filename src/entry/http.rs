//! HTTP helpers shared by the callers' and the operators' listeners.

use std::io;
use std::time::Duration;
use std::time::Instant;

use log::warn;
use serde::Serialize;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;

use super::error::error_body;
use crate::id::RequestId;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Buffer size for reading a body.
const READ_BYTES: usize = 64 * 1024;
/// Bodies with a declared length from this size on are not drained.
const MAX_DRAINED_BODY_BYTES: usize = 1 << 30;

/// A complete, non-streamed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
    headers: Vec<(&'static str, String)>,
}

impl Answer {
    pub(crate) fn new(status: u16, content_type: &'static str, body: Vec<u8>) -> Answer {
        Answer {
            status,
            content_type,
            body,
            headers: Vec::new(),
        }
    }

    pub(crate) fn text(status: u16, text: &str) -> Answer {
        Answer::new(
            status,
            "text/plain; charset=utf-8",
            text.as_bytes().to_vec(),
        )
    }

    /// Returns a response with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the value cannot be serialized as JSON.
    pub(crate) fn json(status: u16, value: &impl Serialize) -> Result<Answer, Refusal> {
        let body = serde_json::to_vec(value)
            .map_err(|error| Refusal::may_have_run(Reason::Unavailable, error.to_string()))?;
        Ok(Answer::new(status, "application/json", body))
    }

    /// Returns the error response for a refused or failed request.
    pub(crate) fn refusal(refusal: &Refusal, request: Option<RequestId>) -> Answer {
        let body = error_body(refusal, request).to_string().into_bytes();
        let mut answer = Answer::new(refusal.reason.status(), "application/json", body);
        if let Some(delay) = refusal.retry_after {
            let seconds = delay.0.div_ceil(1000);
            answer = answer.with_header("Retry-After", seconds.to_string());
        }
        match request {
            Some(request) => answer.with_header("X-Request-Id", request.to_string()),
            None => answer,
        }
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: String) -> Answer {
        self.headers.push((name, value));
        self
    }

    /// Sends the response; returns whether writing it succeeded.
    pub(crate) fn send(self, req: Request) -> bool {
        let length = self.body.len();
        let declared = req.body_length().unwrap_or_default();
        let mut response = Response::from_data(self.body)
            .with_status_code(self.status)
            // A threshold above the length sends `Content-Length` instead of chunks.
            .with_chunked_threshold(length + 1);
        let types = [("Content-Type", self.content_type.to_owned())];
        for (name, value) in types.into_iter().chain(self.headers) {
            if let Ok(header) = Header::from_bytes(name, value) {
                response.add_header(header);
            }
        }
        if declared >= MAX_DRAINED_BODY_BYTES {
            return respond_and_leak(req, response);
        }
        req.respond(response).is_ok()
    }
}

/// Responds to a request with a huge declared body and leaks its connection.
/// Dropping the request would allocate memory for the whole declared length,
/// which aborts the process if that much memory is not available.
fn respond_and_leak(req: Request, response: Response<io::Cursor<Vec<u8>>>) -> bool {
    warn!("abandoned a connection that declared a body of 1 GiB or more");
    std::mem::forget(req.upgrade("none", response));
    true
}

/// Returns the value of the first header with this name.
pub(crate) fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str())
}

/// Returns the bearer token of the `Authorization` header.
pub(crate) fn bearer(req: &Request) -> Option<&str> {
    let (scheme, token) = header(req, "Authorization")?.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Limits on receiving a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BodyLimits {
    pub(crate) max_bytes: usize,
    /// Time from the request head to the last byte of the body.
    pub(crate) time_limit: Duration,
}

/// Reads a request's body.
///
/// # Errors
///
/// Returns a refusal if the body is too long, too slow or incomplete.
pub(crate) fn read_body(req: &mut Request, limits: BodyLimits) -> Result<Vec<u8>, Refusal> {
    let declared = req.body_length().unwrap_or_default();
    if declared > limits.max_bytes {
        return Err(too_large(limits.max_bytes));
    }
    let started = Instant::now();
    let mut body = Vec::with_capacity(declared.min(READ_BYTES));
    let mut buf = vec![0; READ_BYTES];
    let reader = req.as_reader();
    loop {
        let count = reader
            .read(&mut buf)
            .map_err(|error| body_read_error(&error))?;
        if count == 0 {
            break;
        }
        body.extend_from_slice(&buf[..count]);
        if body.len() > limits.max_bytes {
            return Err(too_large(limits.max_bytes));
        }
        if started.elapsed() > limits.time_limit {
            return Err(slow_body());
        }
    }
    if body.len() < declared {
        let text = format!("the body ended after {} of {declared} bytes", body.len());
        return Err(Refusal::not_run(Reason::BadRequest, text));
    }
    Ok(body)
}

fn too_large(max_bytes: usize) -> Refusal {
    let text = format!("the body is longer than {max_bytes} bytes");
    Refusal::not_run(Reason::TooLarge, text)
}

fn slow_body() -> Refusal {
    Refusal::not_run(Reason::SlowRequest, "the body did not arrive in time")
}

fn body_read_error(error: &io::Error) -> Refusal {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => slow_body(),
        _ => Refusal::not_run(Reason::BadRequest, format!("the body broke off: {error}")),
    }
}
