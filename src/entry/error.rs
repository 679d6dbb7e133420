//! Error bodies for callers: OpenAI-style JSON with two additional fields,
//! whether the request may have run and after which delay to retry.

use serde_json::Value;
use serde_json::json;

use crate::id::RequestId;
use crate::verdict::Refusal;

/// Returns the JSON body of an error response.
#[must_use]
pub fn error_body(refusal: &Refusal, request: Option<RequestId>) -> Value {
    json!({
        "error": {
            "message": refusal.message,
            "type": error_type(refusal.reason.status()),
            "param": null,
            "code": refusal.reason.code(),
            "ran": refusal.verdict.as_str(),
            "retry_after_ms": refusal.retry_after,
            "request_id": request.map(|request| request.to_string()),
        }
    })
}

const fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
