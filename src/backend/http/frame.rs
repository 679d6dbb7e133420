//! Parses stream frames and rejections of backend servers.

use serde::Deserialize;

use crate::backend::Rejection;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::relay::Finish;

/// Maximum length of a line in a stream.
pub(super) const MAX_LINE_BYTES: u64 = 64 * 1024;

/// One line of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Frame {
    /// Empty line, sent during prefill.
    KeepAlive,
    /// One token.
    Token {
        attempt: AttemptId,
        offset: u32,
        text: String,
    },
    /// The answer is complete with `offset` tokens.
    Finish {
        attempt: AttemptId,
        offset: u32,
        finish: Finish,
    },
    /// The line is not a valid frame.
    Malformed,
}

#[derive(Deserialize)]
struct Line {
    request: String,
    attempt: u32,
    offset: u32,
    text: Option<String>,
    finish: Option<Finish>,
}

/// Parses one line.
pub(super) fn parse_frame(line: &[u8]) -> Frame {
    if line.trim_ascii().is_empty() {
        return Frame::KeepAlive;
    }
    let Ok(line) = serde_json::from_slice::<Line>(line) else {
        return Frame::Malformed;
    };
    let Ok(request) = u64::from_str_radix(&line.request, 16) else {
        return Frame::Malformed;
    };
    let attempt = AttemptId {
        request: RequestId(request),
        number: line.attempt,
    };
    let offset = line.offset;
    match (line.text, line.finish) {
        (Some(text), None) => Frame::Token {
            attempt,
            offset,
            text,
        },
        (None, Some(finish)) => Frame::Finish {
            attempt,
            offset,
            finish,
        },
        _ => Frame::Malformed,
    }
}

#[derive(Deserialize)]
struct RejectionBody {
    rejection: Rejection,
}

/// Parses a rejection. Returns `None` unless status code and body name the same
/// rejection, as only then it is certain that nothing ran.
pub(super) fn parse_rejection(status: u16, body: &[u8]) -> Option<Rejection> {
    let body: RejectionBody = serde_json::from_slice(body).ok()?;
    let expected = match body.rejection {
        Rejection::StaleEpoch => 409,
        Rejection::Full => 429,
        Rejection::Cold => 503,
        Rejection::UnknownStream => 404,
        Rejection::Invalid => 422,
    };
    (status == expected).then_some(body.rejection)
}
