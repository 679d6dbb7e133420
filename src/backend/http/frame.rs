//! Frames and refusals of backend servers, parsed.

use serde::Deserialize;

use crate::backend::Rejection;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::relay::Finish;

/// Longest line of a stream, in bytes.
pub(super) const MAX_LINE_BYTES: u64 = 64 * 1024;

/// One line of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Frame {
    /// The prompt is being processed.
    KeepAlive,
    /// One token.
    Token {
        attempt: AttemptId,
        offset: u32,
        text: String,
    },
    /// The answer is whole: `offset` tokens.
    Finish {
        attempt: AttemptId,
        offset: u32,
        finish: Finish,
    },
    /// Not a frame.
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
struct RefusalBody {
    rejection: Rejection,
}

/// Parses a refusal; none unless status and body agree that nothing ran.
pub(super) fn parse_rejection(status: u16, body: &[u8]) -> Option<Rejection> {
    let refusal: RefusalBody = serde_json::from_slice(body).ok()?;
    let expected = match refusal.rejection {
        Rejection::StaleEpoch => 409,
        Rejection::Full => 429,
        Rejection::Cold => 503,
        Rejection::UnknownStream => 404,
        Rejection::Invalid => 422,
    };
    (status == expected).then_some(refusal.rejection)
}
