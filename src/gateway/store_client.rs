//! Calls to the platform's store, with time limits on progress.
//!
//! The operators' configuration may be a megabyte, the link of a small machine may
//! be full of other traffic, and all instances may read at the same moment. A call
//! therefore ends if its response does not begin in time, if nothing more of it
//! arrives for a while, or after a generous time for the whole. What a response
//! may hold is bounded: a larger one is not read, and its caller asks for less.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::adapter::store::Call;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::Reuse;
use crate::gateway::upstream::Upstream;

/// Time without any byte after which a response that has begun is given up; longer
/// than the retransmission of a lost packet takes.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit for the body of a response: enough for the largest one over a quarter
/// of a link of 14 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response that is read, in bytes: two of the largest items, encoded, and
/// as much again. Instances have about a hundred megabytes of memory.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why there is no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchError {
    /// No response began.
    NoResponse(CallError),
    /// The response began and did not arrive completely.
    Incomplete(String),
    /// The response is larger than what is read.
    TooLarge,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::NoResponse(error) => error.fmt(f),
            FetchError::Incomplete(cause) => write!(f, "response incomplete: {cause}"),
            FetchError::TooLarge => write!(f, "response larger than {MAX_RESPONSE_BYTES} bytes"),
        }
    }
}

/// Makes a call whose response has to begin within `head_limit`.
///
/// # Errors
///
/// Returns why there is no complete response.
pub async fn fetch(
    upstream: &Upstream,
    addr: &str,
    call: &Call,
    head_limit: Duration,
) -> Result<Response<Bytes>, FetchError> {
    let request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, addr)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(call.body.clone()))
        .map_err(|error| FetchError::NoResponse(CallError::NotSent(error.to_string())))?;
    let sent = upstream.send(addr, request, Reuse::Pooled, usize::MAX);
    let sent = timeout(head_limit, sent)
        .await
        .unwrap_or(Err(CallError::TimedOut));
    let (response, connection) = sent.map_err(FetchError::NoResponse)?;
    let (head, body) = response.into_parts();
    // On an error the connection is dropped, and with it closed.
    let body = timeout_at(Instant::now() + BODY_TIMEOUT, read(body))
        .await
        .unwrap_or_else(|_| Err(FetchError::Incomplete("takes too long".to_owned())))?;
    connection.return_to_pool(None);
    Ok(Response::from_parts(head, body))
}

async fn read(mut body: Incoming) -> Result<Bytes, FetchError> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > MAX_RESPONSE_BYTES {
        return Err(FetchError::TooLarge);
    }
    let mut bytes = BytesMut::with_capacity(stated);
    loop {
        let frame = timeout(STALL_TIMEOUT, body.frame()).await.map_err(|_| {
            let len = bytes.len();
            FetchError::Incomplete(format!("nothing more after {len} bytes"))
        })?;
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| FetchError::Incomplete(error.to_string()))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(FetchError::TooLarge);
        }
        bytes.extend_from_slice(data);
    }
}
