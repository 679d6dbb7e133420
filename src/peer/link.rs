//! One outgoing connection, kept open and replaced when it fails.
//!
//! Loss of progress is noticed by PING: one each [`PING_PERIOD`], answered
//! within [`PING_BOUND`] or the connection is given up, three seconds after the
//! last sign at most. Frames that were on their way then are lost.

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

/// Time between two PINGs on a connection.
pub(super) const PING_PERIOD: Duration = Duration::from_secs(1);
/// Longest time for the answer to a PING.
pub(super) const PING_BOUND: Duration = Duration::from_millis(1_500);
/// Longest time for connecting, and for the answer to a frame.
const CALL_BOUND: Duration = Duration::from_secs(3);
/// Pause after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// Time without frames after which a connection is closed.
const IDLE_BOUND: Duration = Duration::from_secs(60);
/// Age at which a queued frame is no longer worth sending.
const FRAME_LIFE: Duration = Duration::from_secs(3);
/// Frames sent and not yet answered on one connection.
const FRAMES_IN_FLIGHT: usize = 16;
/// Receive windows of HTTP/2, in bytes.
pub(super) const WINDOW_BYTES: u32 = 1024 * 1024;

/// An encoded frame and when it was queued.
#[derive(Debug)]
pub(super) struct Body {
    bytes: Bytes,
    queued: Instant,
}

impl Body {
    pub(super) fn new(bytes: Vec<u8>) -> Body {
        Body {
            bytes: Bytes::from(bytes),
            queued: Instant::now(),
        }
    }
}

enum Next {
    Frame(Body),
    Answered,
    /// The connection failed.
    Failed,
    /// No frames for a while, or the transport stops.
    Closed,
}

/// Sends the frames of `queue` to `addr` until it idles, the queue closes or no
/// connection can be made; the next frame starts another link.
pub(super) async fn run(addr: String, queue: Receiver<Body>, shared: Shared) {
    loop {
        let connected = time::timeout(CALL_BOUND, Connection::open(&addr)).await;
        let Ok(Ok(connection)) = connected else {
            time::sleep(RECONNECT_PAUSE).await;
            return drop_queued(&queue, &shared);
        };
        shared.metrics.add(Count::PeerConnections, 1);
        if connection.serve(&addr, &queue, &shared).await.is_none() {
            return;
        }
    }
}

/// Drops the frames that wait for a peer that cannot be reached.
fn drop_queued(queue: &Receiver<Body>, shared: &Shared) {
    let waiting: Vec<Body> = queue.drain().collect();
    let lost = u64::try_from(waiting.len()).unwrap_or(u64::MAX);
    shared.metrics.add(Count::PeerFramesLost, lost);
}

struct Connection {
    requests: SendRequest<Bytes>,
    driver: JoinHandle<()>,
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
                () = lost_progress(ping) => {}
            }
        });
        Ok(Connection {
            requests,
            driver,
            answers: JoinSet::new(),
        })
    }

    /// Sends frames; returns `None` when the link is no longer needed.
    async fn serve(mut self, addr: &str, queue: &Receiver<Body>, shared: &Shared) -> Option<()> {
        loop {
            match self.next(queue).await {
                Next::Frame(body) if body.queued.elapsed() > FRAME_LIFE => {
                    shared.metrics.add(Count::PeerFramesLost, 1);
                }
                Next::Frame(body) => {
                    if self.send(addr, body.bytes, shared).await.is_err() {
                        shared.metrics.add(Count::PeerFramesLost, 1);
                        self.driver.abort();
                        return Some(());
                    }
                }
                Next::Answered => {}
                Next::Failed => return Some(()),
                Next::Closed => {
                    while self.answers.join_next().await.is_some() {}
                    self.driver.abort();
                    return None;
                }
            }
        }
    }

    async fn next(&mut self, queue: &Receiver<Body>) -> Next {
        let room = self.answers.len() < FRAMES_IN_FLIGHT;
        tokio::select! {
            _ = &mut self.driver => Next::Failed,
            Some(_) = self.answers.join_next() => Next::Answered,
            frame = time::timeout(IDLE_BOUND, queue.recv_async()), if room => match frame {
                Ok(Ok(body)) => Next::Frame(body),
                Ok(Err(_)) | Err(_) => Next::Closed,
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
        let ready = time::timeout(CALL_BOUND, self.requests.clone().ready()).await;
        let mut requests = ready.map_err(|_| h2::Error::from(h2::Reason::CANCEL))??;
        let (answer, mut stream) = requests.send_request(request, false)?;
        shared.metrics.add(Count::PeerFramesSent, 1);
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        shared.metrics.add(Count::PeerBytesSent, length);
        stream.send_data(bytes, true)?;
        let metrics = shared.metrics.clone();
        self.answers.spawn(async move {
            let answer = time::timeout(CALL_BOUND, answer).await;
            let taken = matches!(answer, Ok(Ok(answer)) if answer.status() == StatusCode::OK);
            if !taken {
                metrics.add(Count::PeerFramesLost, 1);
            }
        });
        Ok(())
    }
}

/// Ends once the other side has stopped answering PINGs.
pub(super) async fn lost_progress(ping: Option<PingPong>) {
    let Some(mut ping) = ping else {
        return future::pending().await;
    };
    loop {
        time::sleep(PING_PERIOD).await;
        let answer = time::timeout(PING_BOUND, ping.ping(Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}
