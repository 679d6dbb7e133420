//! One outgoing connection, which stays open and is replaced when it fails.
//!
//! Half-open connections are detected by PING: one is sent [`PING_PERIOD`] after the
//! answer to the last, and the connection is closed if no answer arrives within
//! [`PING_TIMEOUT`], at most three seconds after the peer's last answer. Frames in
//! flight at that time are lost.

use std::future;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use flume::Receiver;
use h2::Ping;
use h2::PingPong;
use h2::client;
use h2::client::SendRequest;
use http::Method;
use http::Request;
use http::StatusCode;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use super::transport::Shared;
use crate::metrics::Count;

/// Time between the answer to a PING and the next PING.
pub(super) const PING_PERIOD: Duration = Duration::from_secs(1);
/// Time limit for the answer to a PING.
pub(super) const PING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit for connecting, for the answer to a frame, and for a free stream
/// on the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after a failed connection attempt during which frames for the peer are
/// dropped.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// Time without frames after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Age at which a queued frame is outdated and dropped instead of sent.
const FRAME_MAX_AGE: Duration = Duration::from_secs(3);
/// Maximum number of unanswered frames on one connection.
const MAX_FRAMES_IN_FLIGHT: usize = 16;
/// HTTP/2 receive window.
pub(super) const WINDOW_BYTES: u32 = 1024 * 1024;

/// An encoded frame and when it was queued.
#[derive(Debug)]
pub(super) struct QueuedFrame {
    bytes: Bytes,
    queued: Instant,
}

impl QueuedFrame {
    pub(super) fn new(bytes: Vec<u8>) -> QueuedFrame {
        QueuedFrame {
            bytes: Bytes::from(bytes),
            queued: Instant::now(),
        }
    }
}

/// What a connection waits for next.
enum LinkEvent {
    /// A frame to send.
    Frame(QueuedFrame),
    /// The answer to a frame arrived, or its time limit passed.
    Answered,
    /// The connection failed.
    Failed,
    /// The connection was idle for [`IDLE_TIMEOUT`], or the transport stops.
    Closed,
}

/// Sends the frames of `queue` to `addr` until no frame has come for
/// [`IDLE_TIMEOUT`], the queue closes or connecting fails; replaces a
/// connection that failed. The transport starts a new link for the next frame.
pub(super) async fn run(addr: String, queue: Receiver<QueuedFrame>, shared: Shared) {
    loop {
        let connected = time::timeout(CALL_TIMEOUT, Connection::open(&addr)).await;
        let Ok(Ok(connection)) = connected else {
            time::sleep(RECONNECT_DELAY).await;
            return drop_queued(&queue, &shared);
        };
        shared.metrics.add(Count::PeerConnections, 1);
        if !connection.send_frames(&addr, &queue, &shared).await {
            return;
        }
    }
}

/// Drops and counts the queued frames of an unreachable peer.
fn drop_queued(queue: &Receiver<QueuedFrame>, shared: &Shared) {
    let queued: Vec<QueuedFrame> = queue.drain().collect();
    let lost = u64::try_from(queued.len()).unwrap_or(u64::MAX);
    shared.metrics.add(Count::PeerFramesLost, lost);
}

/// An open HTTP/2 connection to a peer.
struct Connection {
    requests: SendRequest<Bytes>,
    /// Drives the connection and its PINGs; ends when the connection has
    /// failed.
    driver: JoinHandle<()>,
    /// Tasks that wait for the answers to frames.
    answers: JoinSet<()>,
}

impl Connection {
    async fn open(addr: &str) -> io::Result<Connection> {
        let tcp = TcpStream::connect(addr).await?;
        tcp.set_nodelay(true)?;
        let (requests, mut connection) = client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .enable_push(false)
            .handshake(tcp)
            .await
            .map_err(io::Error::other)?;
        let ping = connection.ping_pong();
        let driver = tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = ping_until_unanswered(ping) => {}
            }
        });
        Ok(Connection {
            requests,
            driver,
            answers: JoinSet::new(),
        })
    }

    /// Sends frames; returns whether the connection failed and is to be
    /// replaced. If not, the link is to end.
    async fn send_frames(
        mut self,
        addr: &str,
        queue: &Receiver<QueuedFrame>,
        shared: &Shared,
    ) -> bool {
        loop {
            match self.next(queue).await {
                LinkEvent::Frame(frame) if frame.queued.elapsed() > FRAME_MAX_AGE => {
                    shared.metrics.add(Count::PeerFramesLost, 1);
                }
                LinkEvent::Frame(frame) => {
                    if self.send(addr, frame.bytes, shared).await.is_err() {
                        shared.metrics.add(Count::PeerFramesLost, 1);
                        self.driver.abort();
                        return true;
                    }
                }
                LinkEvent::Answered => {}
                LinkEvent::Failed => return true,
                LinkEvent::Closed => {
                    while self.answers.join_next().await.is_some() {}
                    self.driver.abort();
                    return false;
                }
            }
        }
    }

    async fn next(&mut self, queue: &Receiver<QueuedFrame>) -> LinkEvent {
        let may_send = self.answers.len() < MAX_FRAMES_IN_FLIGHT;
        tokio::select! {
            _ = &mut self.driver => LinkEvent::Failed,
            Some(_) = self.answers.join_next() => LinkEvent::Answered,
            frame = time::timeout(IDLE_TIMEOUT, queue.recv_async()), if may_send => match frame {
                Ok(Ok(frame)) => LinkEvent::Frame(frame),
                Ok(Err(_)) | Err(_) => LinkEvent::Closed,
            },
        }
    }

    async fn send(&mut self, addr: &str, bytes: Bytes, shared: &Shared) -> Result<(), h2::Error> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}{}", super::listener::PATH))
            .header(super::listener::MAC_HEADER, shared.key.sign(&bytes))
            .body(())
            .map_err(|_| h2::Error::from(h2::Reason::INTERNAL_ERROR))?;
        let ready = time::timeout(CALL_TIMEOUT, self.requests.clone().ready()).await;
        let mut requests = ready.map_err(|_| h2::Error::from(h2::Reason::CANCEL))??;
        let (answer, mut stream) = requests.send_request(request, false)?;
        shared.metrics.add(Count::PeerFramesSent, 1);
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        shared.metrics.add(Count::PeerBytesSent, length);
        stream.send_data(bytes, true)?;
        let metrics = shared.metrics.clone();
        self.answers.spawn(async move {
            let answer = time::timeout(CALL_TIMEOUT, answer).await;
            let accepted = matches!(answer, Ok(Ok(answer)) if answer.status() == StatusCode::OK);
            if !accepted {
                metrics.add(Count::PeerFramesLost, 1);
            }
        });
        Ok(())
    }
}

/// Sends PINGs periodically; returns once the peer has stopped answering them.
pub(super) async fn ping_until_unanswered(ping: Option<PingPong>) {
    let Some(mut ping) = ping else {
        return future::pending().await;
    };
    loop {
        time::sleep(PING_PERIOD).await;
        let answer = time::timeout(PING_TIMEOUT, ping.ping(Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}
