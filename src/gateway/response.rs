//! Responses to callers: forwarded ones and those that the gateway makes
//! itself.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body::Body;
use http_body::Frame;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender as BodySender;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::adapter::headers;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// A response body: complete, or a stream of chunks.
pub type ResponseBody = Either<Full<Bytes>, StreamBody>;

/// Maximum size of the chunks that wait in a stream's queue, in bytes; a single one
/// may be larger.
const MAX_QUEUED_BYTES: usize = 16 * 1024;

/// The chunks of a stream that wait for its caller.
#[derive(Debug, Default)]
struct Queue {
    bytes: Cell<usize>,
    taken: Notify,
}

/// A body of chunks that an error aborts.
#[derive(Debug)]
pub struct StreamBody {
    chunks: Channel<Bytes, Aborted>,
    queue: Rc<Queue>,
    /// Its drop tells the sender that the body is no longer read.
    _open: oneshot::Receiver<Infallible>,
}

/// The sending half of a [`StreamBody`]; dropping it ends the body.
#[derive(Debug)]
pub struct StreamSender {
    chunks: BodySender<Bytes, Aborted>,
    queue: Rc<Queue>,
    open: oneshot::Sender<Infallible>,
}

impl StreamBody {
    /// Returns a body in which the given number of chunks can wait, and its
    /// sender.
    #[must_use]
    pub fn new(queue_chunks: usize) -> (StreamSender, StreamBody) {
        let (chunks_tx, chunks) = Channel::new(queue_chunks);
        let (open_tx, open) = oneshot::channel();
        let queue = Rc::<Queue>::default();
        let sender = StreamSender {
            chunks: chunks_tx,
            queue: Rc::clone(&queue),
            open: open_tx,
        };
        let body = StreamBody {
            chunks,
            queue,
            _open: open,
        };
        (sender, body)
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.chunks).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(chunk) = frame.data_ref()
        {
            let left = this.queue.bytes.get().saturating_sub(chunk.len());
            this.queue.bytes.set(left);
            this.queue.taken.notify_one();
        }
        polled
    }
}

impl StreamSender {
    /// Sends a chunk; returns whether the body is still read.
    pub async fn send(&mut self, chunk: Bytes) -> bool {
        while self.queue.bytes.get() > 0 && self.queue.bytes.get() + chunk.len() > MAX_QUEUED_BYTES
        {
            tokio::select! {
                () = self.queue.taken.notified() => {}
                () = self.open.closed() => return false,
            }
        }
        self.queue.bytes.set(self.queue.bytes.get() + chunk.len());
        self.chunks.send_data(chunk).await.is_ok()
    }

    /// Aborts the body.
    pub fn abort(self) {
        self.chunks.abort(Aborted);
    }

    /// Waits until the body is no longer read.
    pub async fn closed(&mut self) {
        self.open.closed().await;
    }
}

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

/// Returns whether callers take a status for the promise that their request has
/// not run and never will.
#[must_use]
pub const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
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
