//! The HTTP adapters for the platform's services, based on `minreq`.
//!
//! `minreq` takes its timeout in whole seconds and applies it to the whole call,
//! so time limits are rounded up. If the server closes the connection without a
//! status line, `minreq` reports a made-up 503. It is distinguished from a real
//! one by its reason phrase, as a missing answer is not a refusal.

use std::io::ErrorKind;
use std::io::Read;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use minreq::Method;
use minreq::Request;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::InstanceListClient;
use super::ListFailure;
use super::StoreClient;
use crate::clock::Millis;
use crate::fleet::Listing;
use crate::store::KeyVersion;
use crate::store::LeaseId;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::store::StoreResult;

/// All characters except the unreserved ones of RFC 3986, section 2.3.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Maximum length of an answer: a value of 1 MB in base64 with headroom.
const MAX_STORE_ANSWER_BYTES: u64 = 2 * 1024 * 1024;
/// Maximum length of the instance list.
const MAX_LIST_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum length of the response headers.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Reason phrase of the 503 that `minreq` reports without a status line.
const MISSING_STATUS_PHRASE: &str = "Server did not provide a status line";
/// Characters of a key that are percent-encoded in a path: as [`RESERVED`], but
/// without the slash.
const KEY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// HTTP client of the key-value service.
#[derive(Debug, Clone)]
pub struct HttpStore {
    addrs: Vec<String>,
    time_limit: Millis,
}

/// HTTP client of the instance list.
#[derive(Debug, Clone)]
pub struct HttpList {
    addr: String,
    time_limit: Millis,
}

impl HttpStore {
    /// Returns a client for a service at these addresses (`ip:port`), which are
    /// tried in order.
    #[must_use]
    pub fn new(addrs: Vec<String>, time_limit: Millis) -> HttpStore {
        HttpStore { addrs, time_limit }
    }

    /// Returns the time limit of a call; for a watch its waiting time is added.
    fn call_time_limit(&self, op: &StoreOp) -> Millis {
        match op {
            StoreOp::Watch { wait, .. } => self.time_limit + *wait,
            _ => self.time_limit,
        }
    }
}

impl StoreClient for HttpStore {
    fn call(&self, op: &StoreOp) -> StoreResult {
        let limit = self.call_time_limit(op);
        let mut outcome = Err(StoreFailure::NotRun { retry_after: None });
        for addr in &self.addrs {
            outcome = match exchange(request(addr, op), limit, MAX_STORE_ANSWER_BYTES) {
                Ok(answer) => return parse_answer(op, &answer),
                Err(ExchangeError::Refused) => Err(StoreFailure::NotRun { retry_after: None }),
                Err(ExchangeError::NoAnswer(_)) => return Err(no_answer(op)),
            };
        }
        outcome
    }
}

impl HttpList {
    /// Returns a client for the list at `addr` (`ip:port`).
    #[must_use]
    pub fn new(addr: String, time_limit: Millis) -> HttpList {
        HttpList { addr, time_limit }
    }
}

impl InstanceListClient for HttpList {
    fn fetch(&self) -> Result<Vec<Listing>, ListFailure> {
        let request = Request::new(Method::Get, url(&self.addr, "/v1/instances"));
        let answer = match exchange(request, self.time_limit, MAX_LIST_BYTES) {
            Ok(answer) => answer,
            Err(ExchangeError::Refused) => {
                return Err(ListFailure::Unavailable("connection refused".to_owned()));
            }
            Err(ExchangeError::NoAnswer(cause)) => return Err(ListFailure::Unavailable(cause)),
        };
        if answer.status != 200 {
            return Err(ListFailure::Unavailable(format!(
                "status {}",
                answer.status
            )));
        }
        let list: InstanceList = serde_json::from_slice(&answer.body)
            .map_err(|error| ListFailure::Malformed(error.to_string()))?;
        Ok(list.instances)
    }
}

#[derive(Deserialize)]
struct InstanceList {
    instances: Vec<Listing>,
}

#[derive(Serialize)]
struct ValueBody {
    value: String,
}

#[derive(Serialize)]
struct GrantBody {
    ttl_ms: Millis,
}

#[derive(Deserialize)]
struct EntryBody {
    value: String,
    version: KeyVersion,
}

#[derive(Deserialize)]
struct ConflictBody {
    value: Option<String>,
    version: Option<KeyVersion>,
}

#[derive(Deserialize)]
struct VersionBody {
    version: KeyVersion,
}

#[derive(Deserialize)]
struct LeaseBody {
    lease: LeaseId,
}

fn request(addr: &str, op: &StoreOp) -> Request {
    match op {
        StoreOp::Get { key } => Request::new(Method::Get, key_url(addr, key)),
        StoreOp::Watch { key, version, wait } => {
            let query = format!("?wait_ms={}&version={}", wait.0, version.0);
            Request::new(Method::Get, key_url(addr, key) + &query)
        }
        StoreOp::Create { key, value, lease } => {
            put(addr, key, KeyVersion(0), value, lease.as_ref())
        }
        StoreOp::Swap {
            key,
            value,
            version,
            lease,
        } => put(addr, key, *version, value, lease.as_ref()),
        StoreOp::Delete { key, version } => {
            let query = format!("?version={}", version.0);
            Request::new(Method::Delete, key_url(addr, key) + &query)
        }
        StoreOp::Grant { ttl } => {
            let request = Request::new(Method::Post, url(addr, "/v1/lease"));
            with_json(request, &GrantBody { ttl_ms: *ttl })
        }
        StoreOp::Renew { lease } => Request::new(Method::Post, lease_url(addr, lease)),
        StoreOp::Revoke { lease } => Request::new(Method::Delete, lease_url(addr, lease)),
    }
}

fn put(
    addr: &str,
    key: &str,
    version: KeyVersion,
    value: &[u8],
    lease: Option<&LeaseId>,
) -> Request {
    let mut url = key_url(addr, key) + &format!("?version={}", version.0);
    if let Some(lease) = lease {
        url.push_str("&lease=");
        url.extend(utf8_percent_encode(&lease.0, RESERVED));
    }
    let value = STANDARD.encode(value);
    with_json(Request::new(Method::Put, url), &ValueBody { value })
}

fn with_json(request: Request, body: &impl Serialize) -> Request {
    let body = serde_json::to_vec(body).unwrap_or_default();
    request
        .with_header("Content-Type", "application/json")
        .with_body(body)
}

fn url(addr: &str, path: &str) -> String {
    format!("http://{addr}{path}")
}

fn key_url(addr: &str, key: &str) -> String {
    url(addr, "/v1/kv/") + &utf8_percent_encode(key, KEY_ESCAPES).to_string()
}

fn lease_url(addr: &str, lease: &LeaseId) -> String {
    url(addr, "/v1/lease/") + &utf8_percent_encode(&lease.0, RESERVED).to_string()
}

/// A response with any status code.
struct Answer {
    status: u16,
    retry_after: Option<Millis>,
    body: Vec<u8>,
}

/// Why a request got no response.
enum ExchangeError {
    /// The connection was refused, so nothing was sent.
    Refused,
    /// No valid response, although the request may have been sent.
    NoAnswer(String),
}

fn exchange(request: Request, limit: Millis, max_bytes: u64) -> Result<Answer, ExchangeError> {
    let sent = request
        .with_follow_redirects(false)
        .with_max_headers_size(MAX_HEADER_BYTES)
        .with_timeout(limit.0.div_ceil(1000))
        .send_lazy();
    let response = match sent {
        Ok(response) => response,
        Err(minreq::Error::IoError(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(ExchangeError::Refused);
        }
        Err(error) => return Err(ExchangeError::NoAnswer(error.to_string())),
    };
    if response.reason_phrase == MISSING_STATUS_PHRASE {
        return Err(ExchangeError::NoAnswer("no status line came".to_owned()));
    }
    let status = response.status_code;
    let retry_after = response
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("retry-after-ms"))
        .and_then(|(_, text)| text.trim().parse().ok())
        .map(Millis);
    let mut body = Vec::new();
    match response.take(max_bytes + 1).read_to_end(&mut body) {
        Ok(read) if read as u64 > max_bytes => {
            Err(ExchangeError::NoAnswer("it is too long".to_owned()))
        }
        Ok(_) => Ok(Answer {
            status,
            retry_after,
            body,
        }),
        Err(error) => Err(ExchangeError::NoAnswer(error.to_string())),
    }
}

/// Returns the failure of a call that may have reached the service.
fn no_answer(op: &StoreOp) -> StoreFailure {
    match op {
        StoreOp::Get { .. } | StoreOp::Watch { .. } => StoreFailure::NotRun { retry_after: None },
        _ => StoreFailure::MayHaveRun,
    }
}

fn parse_answer(op: &StoreOp, answer: &Answer) -> StoreResult {
    let read = match answer.status {
        429 | 503 => {
            return Err(StoreFailure::NotRun {
                retry_after: answer.retry_after,
            });
        }
        200 => parse_success(op, &answer.body),
        404 => parse_missing(op),
        409 => parse_conflict(op, &answer.body),
        410 => parse_gone(op),
        _ => None,
    };
    read.ok_or_else(|| no_answer(op))
}

fn parse_success(op: &StoreOp, body: &[u8]) -> Option<StoreAnswer> {
    match op {
        StoreOp::Get { .. } | StoreOp::Watch { .. } => {
            let EntryBody { value, version } = parse(body)?;
            Some(StoreAnswer::Entry(Some(entry(&value, version)?)))
        }
        StoreOp::Create { .. } | StoreOp::Swap { .. } | StoreOp::Delete { .. } => {
            let VersionBody { version } = parse(body)?;
            Some(StoreAnswer::Written(version))
        }
        StoreOp::Grant { .. } | StoreOp::Renew { .. } => {
            let LeaseBody { lease } = parse(body)?;
            Some(StoreAnswer::Lease(lease))
        }
        StoreOp::Revoke { lease } => Some(StoreAnswer::Lease(lease.clone())),
    }
}

fn parse_missing(op: &StoreOp) -> Option<StoreAnswer> {
    match op {
        StoreOp::Get { .. } | StoreOp::Watch { .. } => Some(StoreAnswer::Entry(None)),
        _ => None,
    }
}

fn parse_conflict(op: &StoreOp, body: &[u8]) -> Option<StoreAnswer> {
    match op {
        StoreOp::Create { .. } | StoreOp::Swap { .. } | StoreOp::Delete { .. } => {}
        _ => return None,
    }
    let current: ConflictBody = parse(body)?;
    match (current.value, current.version) {
        (Some(value), Some(version)) => Some(StoreAnswer::Conflict(Some(entry(&value, version)?))),
        (None, None) => Some(StoreAnswer::Conflict(None)),
        _ => None,
    }
}

fn parse_gone(op: &StoreOp) -> Option<StoreAnswer> {
    match op {
        StoreOp::Renew { .. } | StoreOp::Revoke { .. } => Some(StoreAnswer::LeaseGone),
        StoreOp::Create { lease, .. } | StoreOp::Swap { lease, .. } if lease.is_some() => {
            Some(StoreAnswer::LeaseGone)
        }
        _ => None,
    }
}

fn entry(value: &str, version: KeyVersion) -> Option<StoreEntry> {
    let value = STANDARD.decode(value).ok()?;
    Some(StoreEntry { value, version })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}
