//! Incoming connections: each request's body is one frame.

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

/// Path of the one request there is.
pub(super) const PATH: &str = "/v1/peer";
/// Header with a frame's code.
pub(super) const MAC_HEADER: &str = "x-mac";
/// Open incoming connections.
const MAX_CONNECTIONS: usize = 512;
/// Requests in flight on one connection.
const MAX_STREAMS: u32 = 32;
/// Bytes of a request's headers.
const MAX_HEADER_BYTES: u32 = 4_096;
/// Longest time for the handshake, and for a frame's body to arrive.
const ARRIVAL_BOUND: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
struct Intake {
    shared: Shared,
    guard: Arc<Mutex<ReplayGuard>>,
}

/// Accepts connections until the runtime ends.
pub(super) async fn run(listener: TcpListener, shared: Shared) {
    let intake = Intake {
        shared,
        guard: Arc::default(),
    };
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&room).try_acquire_owned() else {
            continue;
        };
        let intake = intake.clone();
        tokio::spawn(async move {
            let _ = serve(tcp, intake).await;
            drop(permit);
        });
    }
}

async fn serve(tcp: TcpStream, intake: Intake) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let handshake = server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .initial_window_size(link::WINDOW_BYTES)
        .initial_connection_window_size(link::WINDOW_BYTES)
        .handshake::<_, Bytes>(tcp);
    let Ok(connection) = time::timeout(ARRIVAL_BOUND, handshake).await else {
        return Ok(());
    };
    let mut connection = connection.map_err(io::Error::other)?;
    let lost = link::lost_progress(connection.ping_pong());
    tokio::pin!(lost);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut lost => return Ok(()),
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, answer) = accepted.map_err(io::Error::other)?;
        tokio::spawn(take(request, answer, intake.clone()));
    }
}

async fn take(request: Request<RecvStream>, mut answer: SendResponse<Bytes>, intake: Intake) {
    let (parts, body) = request.into_parts();
    let status = match intake.frame(&parts, body).await {
        Ok(frame) => intake.pass_on(frame).await,
        Err(status) => {
            intake.shared.metrics.add(Count::PeerFramesDropped, 1);
            status
        }
    };
    let mut response = Response::new(());
    *response.status_mut() = status;
    let _ = answer.send_response(response, true);
}

impl Intake {
    async fn frame(&self, parts: &Parts, body: RecvStream) -> Result<PeerFrame, StatusCode> {
        if parts.uri.path() != PATH {
            return Err(StatusCode::NOT_FOUND);
        }
        if parts.method != Method::POST {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = time::timeout(ARRIVAL_BOUND, read(body)).await;
        let body = body.map_err(|_| StatusCode::REQUEST_TIMEOUT)??;
        let code = parts.headers.get(MAC_HEADER);
        let code = code.map_or(&b""[..], |code| code.as_bytes());
        if !self.shared.key.verify(&body, code) {
            return Err(StatusCode::UNAUTHORIZED);
        }
        let frame = PeerFrame::decode(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
        if !self.is_new(&frame) {
            return Err(StatusCode::CONFLICT);
        }
        let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
        self.shared.metrics.add(Count::PeerBytesReceived, length);
        Ok(frame)
    }

    fn is_new(&self, frame: &PeerFrame) -> bool {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        guard.admit(&frame.from, frame.boot, frame.stamp)
    }

    async fn pass_on(&self, frame: PeerFrame) -> StatusCode {
        self.shared.metrics.add(Count::PeerFramesReceived, 1);
        match self.shared.tx.send_async(Input::Peer(frame)).await {
            Ok(()) => StatusCode::OK,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

async fn read(mut body: RecvStream) -> Result<Vec<u8>, StatusCode> {
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
