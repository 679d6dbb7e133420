//! Answers to callers: those passed on, and the system's own.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::channel::Channel;
use serde::Serialize;

use crate::adapter::headers;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// An answer's body: pieces as they come, an error breaks it off.
pub type AnswerBody = Either<Full<Bytes>, Channel<Bytes, Aborted>>;

/// The answer was broken off.
#[derive(Debug, Clone, Copy)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for Aborted {}

#[derive(Debug)]
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'static str,
    ran: &'static str,
    message: &'a str,
}

/// Returns the head of a stream; its length is not known, as it may go on from
/// another backend server.
#[must_use]
pub fn stream_head(parts: &Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::backward(&parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Returns the system's own answer to a request that did not succeed.
#[must_use]
pub fn refuse(request_id: &str, refusal: &Refusal) -> Response<AnswerBody> {
    let body = ErrorBody {
        error: refusal.reason.code(),
        ran: refusal.verdict.as_str(),
        message: &refusal.message,
    };
    // A plain struct of texts always encodes.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(AnswerBody::Left(Full::new(Bytes::from(body))));
    *response.status_mut() =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = headers::own_answer(request_id, refusal.retry_after);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns the answer to a request whose head leaves open where its body ends.
#[must_use]
pub fn refuse_ambiguous() -> Response<AnswerBody> {
    let refusal = Refusal::not_run(Reason::BadRequest, "the length of the body is ambiguous");
    closing(refuse("", &refusal))
}

/// Makes an answer the last one of its connection.
#[must_use]
pub fn closing(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
