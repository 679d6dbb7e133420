//! The implementation of [`PeerSender`] over HTTP/2.
//!
//! One thread runs a single-threaded runtime with all connections of this process
//! to and from other instances. It receives frames over a bounded channel. If that
//! channel or the queue of a peer is full, the frame is dropped and counted, so
//! that a slow peer never blocks the control thread.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::runtime;
use tokio::task::JoinSet;
use tokio::time;

use super::FrameKey;
use super::PeerFrame;
use super::PeerSender;
use super::link;
use super::link::QueuedFrame;
use super::listener;
use crate::control::Input;
use crate::metrics::Count;
use crate::metrics::Metrics;

/// Capacity of the queue from the control thread to the transport's thread, in
/// frames.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Capacity of the queue of one peer, in frames.
const MAX_QUEUED_FRAMES_PER_PEER: usize = 64;
/// Longest time that `stop` spends sending queued frames.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// State that all tasks of the transport share.
#[derive(Debug, Clone)]
pub(super) struct Shared {
    pub(super) key: FrameKey,
    pub(super) metrics: Arc<Metrics>,
    pub(super) tx: Sender<Input>,
}

enum Command {
    Send { addr: String, frame: PeerFrame },
    Stop,
}

/// All connections of this process to and from other instances.
#[derive(Debug)]
pub struct PeerTransport {
    local_addr: SocketAddr,
    commands: Sender<Command>,
    metrics: Arc<Metrics>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PeerTransport {
    /// Listens on `listen` and forwards authenticated frames to `tx`.
    ///
    /// # Errors
    ///
    /// Returns an error if the secret is empty, the address cannot be bound or
    /// the thread cannot be started.
    pub fn start(
        listen: SocketAddr,
        secret: &[u8],
        tx: Sender<Input>,
        metrics: Arc<Metrics>,
    ) -> io::Result<PeerTransport> {
        let shared = Shared {
            key: FrameKey::new(secret)?,
            metrics: Arc::clone(&metrics),
            tx,
        };
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let local_addr = listener.local_addr()?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (commands, rx) = flume::bounded(MAX_QUEUED_FRAMES);
        let thread = thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || runtime.block_on(run(listener, rx, shared)))?;
        Ok(PeerTransport {
            local_addr,
            commands,
            metrics,
            thread: Some(thread),
        })
    }

    /// Returns the address on which the transport listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Sends queued frames, for at most `STOP_TIMEOUT`, and closes all
    /// connections.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        let _ = self.commands.send(Command::Stop);
        let _ = thread.join();
    }
}

impl PeerSender for PeerTransport {
    fn send(&self, addr: &str, frame: PeerFrame) {
        let addr = addr.to_owned();
        let command = Command::Send { addr, frame };
        if self.commands.try_send(command).is_err() {
            self.metrics.add(Count::PeerFramesLost, 1);
        }
    }
}

/// Stops as [`PeerTransport::stop`] does.
impl Drop for PeerTransport {
    fn drop(&mut self) {
        self.shut_down();
    }
}

async fn run(listener: TcpListener, commands: Receiver<Command>, shared: Shared) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => drop(tokio::spawn(listener::run(listener, shared.clone()))),
        Err(error) => log::error!("cannot listen for other instances: {error}"),
    }
    let mut links = Links {
        shared,
        queues: HashMap::new(),
        tasks: JoinSet::new(),
    };
    while let Ok(Command::Send { addr, frame }) = commands.recv_async().await {
        links.send(addr, &frame);
    }
    links.send_remaining().await;
}

/// The outgoing links: a queue of frames for each address, and the task that
/// sends them.
struct Links {
    shared: Shared,
    queues: HashMap<String, Sender<QueuedFrame>>,
    tasks: JoinSet<()>,
}

impl Links {
    fn send(&mut self, addr: String, frame: &PeerFrame) {
        let Ok(body) = frame.encode() else {
            return self.count_lost();
        };
        let queue = self.queue_to(addr);
        if queue.try_send(QueuedFrame::new(body)).is_err() {
            self.count_lost();
        }
    }

    /// Returns the queue to `addr`; starts a link if there is none or it has ended.
    fn queue_to(&mut self, addr: String) -> &Sender<QueuedFrame> {
        while self.tasks.try_join_next().is_some() {}
        self.queues.retain(|_, queue| !queue.is_disconnected());
        let shared = &self.shared;
        let tasks = &mut self.tasks;
        self.queues.entry(addr).or_insert_with_key(|addr| {
            let (tx, rx) = flume::bounded(MAX_QUEUED_FRAMES_PER_PEER);
            tasks.spawn(link::run(addr.clone(), rx, shared.clone()));
            tx
        })
    }

    fn count_lost(&self) {
        self.shared.metrics.add(Count::PeerFramesLost, 1);
    }

    async fn send_remaining(mut self) {
        self.queues.clear();
        let drained = async { while self.tasks.join_next().await.is_some() {} };
        let _ = time::timeout(STOP_TIMEOUT, drained).await;
    }
}
