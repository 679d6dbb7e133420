//! Incoming connections. The body of each request is one frame.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server;
use h2::server::SendResponse;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time;

use super::MAX_FRAME_BYTES;
use super::PeerFrame;
use super::ReplayGuard;
use super::link;
use super::transport::Shared;
use crate::control::Input;
use crate::metrics::Count;

/// Path of the only request that is accepted.
pub(super) const PATH: &str = "/v1/peer";
/// Header with the message authentication code of a frame.
pub(super) const MAC_HEADER: &str = "x-mac";
/// Maximum number of open incoming connections.
const MAX_CONNECTIONS: usize = 512;
/// Maximum number of requests in flight on one connection.
const MAX_STREAMS: u32 = 32;
/// Maximum size of a request's headers, in bytes.
const MAX_HEADER_BYTES: u32 = 4_096;
/// Time limit for the handshake, and for receiving the body of a frame.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What the tasks of all incoming connections share.
#[derive(Debug, Clone)]
struct FrameReceiver {
    shared: Shared,
    replay_guard: Arc<Mutex<ReplayGuard>>,
}

/// Accepts connections until the runtime ends.
pub(super) async fn run(listener: TcpListener, shared: Shared) {
    let receiver = FrameReceiver {
        shared,
        replay_guard: Arc::default(),
    };
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            continue;
        };
        let receiver = receiver.clone();
        tokio::spawn(async move {
            let _ = serve(tcp, receiver).await;
            drop(permit);
        });
    }
}

async fn serve(tcp: TcpStream, receiver: FrameReceiver) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let handshake = server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .initial_window_size(link::WINDOW_BYTES)
        .initial_connection_window_size(link::WINDOW_BYTES)
        .handshake::<_, Bytes>(tcp);
    let Ok(connection) = time::timeout(RECEIVE_TIMEOUT, handshake).await else {
        return Ok(());
    };
    let mut connection = connection.map_err(io::Error::other)?;
    let unresponsive = link::ping_until_unanswered(connection.ping_pong());
    tokio::pin!(unresponsive);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut unresponsive => return Ok(()),
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, responder) = accepted.map_err(io::Error::other)?;
        tokio::spawn(handle_request(request, responder, receiver.clone()));
    }
}

async fn handle_request(
    request: Request<RecvStream>,
    mut responder: SendResponse<Bytes>,
    receiver: FrameReceiver,
) {
    let (parts, body) = request.into_parts();
    let status = match receiver.read_frame(&parts, body).await {
        Ok(frame) => receiver.forward(frame).await,
        Err(status) => {
            receiver.shared.metrics.add(Count::PeerFramesDropped, 1);
            status
        }
    };
    let mut response = Response::new(());
    *response.status_mut() = status;
    let _ = responder.send_response(response, true);
}

impl FrameReceiver {
    async fn read_frame(&self, parts: &Parts, body: RecvStream) -> Result<PeerFrame, StatusCode> {
        if parts.uri.path() != PATH {
            return Err(StatusCode::NOT_FOUND);
        }
        if parts.method != Method::POST {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = time::timeout(RECEIVE_TIMEOUT, read_body(body)).await;
        let body = body.map_err(|_| StatusCode::REQUEST_TIMEOUT)??;
        let mac = parts.headers.get(MAC_HEADER);
        let mac = mac.map_or(&b""[..], |mac| mac.as_bytes());
        if !self.shared.key.verify(&body, mac) {
            return Err(StatusCode::UNAUTHORIZED);
        }
        let frame = PeerFrame::decode(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
        if !self.record_if_new(&frame) {
            return Err(StatusCode::CONFLICT);
        }
        let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
        self.shared.metrics.add(Count::PeerBytesReceived, length);
        Ok(frame)
    }

    fn record_if_new(&self, frame: &PeerFrame) -> bool {
        let mut replay_guard = self
            .replay_guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        replay_guard.accept(&frame.from, frame.boot, frame.stamp)
    }

    async fn forward(&self, frame: PeerFrame) -> StatusCode {
        self.shared.metrics.add(Count::PeerFramesReceived, 1);
        match self.shared.tx.send_async(Input::Peer(frame)).await {
            Ok(()) => StatusCode::OK,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

async fn read_body(mut body: RecvStream) -> Result<Vec<u8>, StatusCode> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if bytes.len() + chunk.len() > MAX_FRAME_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        bytes.extend_from_slice(&chunk);
        let _ = body.flow_control().release_capacity(chunk.len());
    }
    Ok(bytes)
}
