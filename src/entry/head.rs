//! Parses the paths and headers of callers' requests.

use std::str::FromStr;

use sha2::Digest;
use sha2::Sha256;
use tiny_http::Method;
use tiny_http::Request;

use super::http::bearer;
use super::http::header;
use super::prompt::Dialect;
use crate::clock::Millis;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Maximum length of a name in a path or header.
const MAX_NAME_BYTES: usize = 64;
/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 255;
/// Greatest value of `X-Deadline-Ms`: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Greatest value of `X-Importance`.
const MAX_IMPORTANCE: u8 = 100;

/// The endpoint that a request addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Route {
    /// Text generation.
    Prompt(Dialect),
    /// The list of models.
    Models,
    /// A call to a plain service.
    Service { service: String, operation: String },
}

/// Returns the endpoint for a method and URL.
pub(super) fn route(method: &Method, url: &str) -> Result<Route, Refusal> {
    let path = url.split('?').next().unwrap_or_default();
    let route = match path {
        "/v1/chat/completions" => Route::Prompt(Dialect::Chat),
        "/v1/completions" => Route::Prompt(Dialect::Completion),
        "/v1/models" => Route::Models,
        _ => service_route(path)?,
    };
    let expected = match route {
        Route::Models => Method::Get,
        Route::Prompt(_) | Route::Service { .. } => Method::Post,
    };
    if *method == expected {
        return Ok(route);
    }
    let text = format!("{path} takes {expected}, not {method}");
    Err(Refusal::not_run(Reason::NotFound, text))
}

fn service_route(path: &str) -> Result<Route, Refusal> {
    let not_found = || Refusal::not_run(Reason::NotFound, "no such path");
    let rest = path.strip_prefix("/v1/services/").ok_or_else(not_found)?;
    let (service, operation) = rest.split_once('/').ok_or_else(not_found)?;
    Ok(Route::Service {
        service: checked_name("the service's name", service)?,
        operation: checked_name("the operation's name", operation)?,
    })
}

/// Validated headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Head {
    /// SHA-256 of the bearer token, in hexadecimal.
    pub(super) token_sha256: String,
    pub(super) kind: Option<String>,
    pub(super) deadline: Option<Millis>,
    pub(super) importance: Option<u8>,
    pub(super) idempotency_key: Option<String>,
}

/// Parses the headers; `max_bytes` limits path and headers together.
pub(super) fn head(req: &Request, max_bytes: usize) -> Result<Head, Refusal> {
    if head_bytes(req) > max_bytes {
        let text = format!("path and headers are longer than {max_bytes} bytes");
        return Err(Refusal::not_run(Reason::TooLarge, text));
    }
    let token = bearer(req).ok_or_else(|| {
        let text = "the header Authorization: Bearer is missing";
        Refusal::not_run(Reason::Unauthorized, text)
    })?;
    Ok(Head {
        token_sha256: format!("{:x}", Sha256::digest(token.as_bytes())),
        kind: header(req, "X-Request-Kind")
            .map(|text| checked_name("X-Request-Kind", text))
            .transpose()?,
        deadline: numeric_header(req, "X-Deadline-Ms", 1, MAX_DEADLINE_MS)?.map(Millis),
        importance: numeric_header(req, "X-Importance", 0, MAX_IMPORTANCE)?,
        idempotency_key: header(req, "Idempotency-Key")
            .map(checked_key)
            .transpose()?,
    })
}

fn head_bytes(req: &Request) -> usize {
    let headers: usize = req
        .headers()
        .iter()
        .map(|header| header.field.as_str().len() + header.value.len())
        .sum();
    req.url().len() + headers
}

fn numeric_header<T: FromStr + PartialOrd + std::fmt::Display>(
    req: &Request,
    name: &str,
    min: T,
    max: T,
) -> Result<Option<T>, Refusal> {
    let Some(text) = header(req, name) else {
        return Ok(None);
    };
    let value = text.trim().parse().ok();
    match value.filter(|value| (&min..=&max).contains(&value)) {
        Some(value) => Ok(Some(value)),
        None => Err(Refusal::not_run(
            Reason::BadRequest,
            format!("{name} has to be a whole number from {min} to {max}"),
        )),
    }
}

/// Validates a name that becomes part of a URL path to a backend server.
fn checked_name(what: &str, text: &str) -> Result<String, Refusal> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed);
    if fits && !text.starts_with('.') {
        return Ok(text.to_owned());
    }
    let text = format!(
        "{what} has to have 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`, and no `.` first"
    );
    Err(Refusal::not_run(Reason::BadRequest, text))
}

fn checked_key(text: &str) -> Result<String, Refusal> {
    let printable = text.bytes().all(|byte| (b' '..=b'~').contains(&byte));
    if printable && (1..=MAX_KEY_BYTES).contains(&text.len()) {
        return Ok(text.to_owned());
    }
    let text = format!("Idempotency-Key has to have 1 to {MAX_KEY_BYTES} printable characters");
    Err(Refusal::not_run(Reason::BadRequest, text))
}
