//! Connections of a listener to itself.

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

/// Time without a request after which a nudge comes by itself.
const PERIOD: Duration = Duration::from_millis(250);
/// Nudges that may wait.
const QUEUE: usize = 1024;
/// Time for a connection to the listener itself.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a live accept loop ends a connection that says nothing.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A thread that connects to a listener, to wake its threads and to see whether
/// its accept loop is alive.
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
        let (tx, rx) = flume::bounded(QUEUE);
        let stuck = Arc::new(AtomicBool::new(false));
        let nudger = Nudger {
            tx,
            stuck: Arc::clone(&stuck),
        };
        let addr = reachable(listener);
        thread::Builder::new()
            .name(format!("{name}-nudge"))
            .spawn(move || run(addr, &rx, &stop, &stuck))?;
        Ok(nudger)
    }

    /// Asks for a nudge; with many of them waiting, one more is not needed.
    pub(super) fn nudge(&self) {
        let _ = self.tx.try_send(());
    }

    /// Returns whether the accept loop was found stuck, once for each finding.
    pub(super) fn is_stuck(&self) -> bool {
        self.stuck.swap(false, Ordering::AcqRel)
    }
}

fn run(addr: SocketAddr, rx: &flume::Receiver<()>, stop: &AtomicBool, stuck: &AtomicBool) {
    while !stop.load(Ordering::Acquire) {
        let nudged = match rx.recv_timeout(PERIOD) {
            Ok(()) => connect(addr).map(drop),
            Err(RecvTimeoutError::Timeout) => probe(addr, stuck),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if let Err(error) = nudged {
            debug!("cannot connect to {addr}: {error}");
        }
    }
}

/// Connects, and waits for the accept loop to end the connection.
fn probe(addr: SocketAddr, stuck: &AtomicBool) -> io::Result<()> {
    let mut stream = connect(addr)?;
    stream.shutdown(Shutdown::Write)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    match stream.read(&mut [0]) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            stuck.store(true, Ordering::Release);
            Ok(())
        }
        answered => answered.map(drop),
    }
}

fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)
}

/// Returns an address at which this machine reaches its own listener.
fn reachable(listener: SocketAddr) -> SocketAddr {
    let ip = match listener.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, listener.port())
}
