//! Connections of a listener to itself, see [`super`] for the reason.

use std::io;
use std::io::Read;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use flume::RecvTimeoutError;
use log::debug;

/// Time without a request after which the listener is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of queued nudges.
const QUEUE_NUDGES: usize = 1024;
/// Timeout for connecting to the listener.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a running accept loop closes a probe connection.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// A thread that connects to a listener to wake its threads and to check
/// whether its accept loop still runs.
#[derive(Debug, Clone)]
pub(super) struct Nudger {
    tx: flume::Sender<()>,
    stuck: Arc<AtomicBool>,
}

impl Nudger {
    pub(super) fn start(
        name: &str,
        listener: SocketAddr,
        stop: Arc<AtomicBool>,
    ) -> io::Result<Nudger> {
        let (tx, rx) = flume::bounded(QUEUE_NUDGES);
        let stuck = Arc::new(AtomicBool::new(false));
        let nudger = Nudger {
            tx,
            stuck: Arc::clone(&stuck),
        };
        let addr = local_addr(listener);
        thread::Builder::new()
            .name(format!("{name}-nudge"))
            .spawn(move || run(addr, &rx, &stop, &stuck))?;
        Ok(nudger)
    }

    /// Requests a nudge. Dropped if the queue is full, as the queued ones suffice.
    pub(super) fn nudge(&self) {
        let _ = self.tx.try_send(());
    }

    /// Returns whether a probe found the accept loop stuck, and clears the flag.
    pub(super) fn is_stuck(&self) -> bool {
        self.stuck.swap(false, Ordering::AcqRel)
    }
}

fn run(addr: SocketAddr, rx: &flume::Receiver<()>, stop: &AtomicBool, stuck: &AtomicBool) {
    while !stop.load(Ordering::Acquire) {
        let nudged = match rx.recv_timeout(PROBE_INTERVAL) {
            Ok(()) => connect(addr).map(drop),
            Err(RecvTimeoutError::Timeout) => probe(addr, stuck),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if let Err(error) = nudged {
            debug!("cannot connect to {addr}: {error}");
        }
    }
}

/// Connects and checks that the accept loop closes the connection in time.
fn probe(addr: SocketAddr, stuck: &AtomicBool) -> io::Result<()> {
    let mut stream = connect(addr)?;
    stream.shutdown(Shutdown::Write)?;
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
    match stream.read(&mut [0]) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            stuck.store(true, Ordering::Release);
            Ok(())
        }
        closed => closed.map(drop),
    }
}

fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)
}

/// Returns an address that reaches the listener from this machine: loopback if
/// it is bound to all interfaces.
fn local_addr(listener: SocketAddr) -> SocketAddr {
    let ip = match listener.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, listener.port())
}
