//! Responses to callers: forwarded ones and those that the gateway makes
//! itself.

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

/// A response body: complete, or a channel of chunks that an error aborts.
pub type ResponseBody = Either<Full<Bytes>, Channel<Bytes, Aborted>>;

/// The response was aborted before it was complete.
#[derive(Debug, Clone, Copy)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response was aborted")
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

/// Returns the response that forwards a stream. Removes the content length
/// because another backend server may resume the stream.
#[must_use]
pub fn stream_response(parts: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::response_headers(&parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Returns the gateway's own response to a request that did not succeed.
#[must_use]
pub fn refusal_response(request_id: &str, refusal: &Refusal) -> Response<ResponseBody> {
    let body = ErrorBody {
        error: refusal.reason.code(),
        ran: refusal.verdict.as_str(),
        message: &refusal.message,
    };
    // Serializing a struct of strings cannot fail.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(ResponseBody::Left(Full::new(Bytes::from(body))));
    *response.status_mut() =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = headers::gateway_response_headers(request_id, refusal.retry_after);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns the response to a request whose head has conflicting body lengths.
#[must_use]
pub fn ambiguous_length_response() -> Response<ResponseBody> {
    let refusal = Refusal::not_run(Reason::BadRequest, "the length of the body is ambiguous");
    with_connection_close(refusal_response("", &refusal))
}

/// Closes the connection after this response.
#[must_use]
pub fn with_connection_close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
