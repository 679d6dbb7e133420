//! A `tiny_http` listener that outlives its accept loop.
//!
//! The accept loop of `tiny_http` ends for good on the first accept error, and
//! it ends with its time limit on reading, which accepted connections take over
//! from the listening socket: without that limit a caller that sends nothing
//! would hold its thread for ever. So the socket is kept here, and whenever a
//! loop has ended, a new server goes on with it; what the connections of the
//! earlier one still ask is answered until they have fallen silent.
//!
//! Its pool of threads, too, has a fault: in a burst it counts a thread as free
//! for several connections, and those left over wait until some other
//! connection ends. A thread that ends its connection takes over one that
//! waits; so each request that comes, and each period without one, is followed
//! by a nudge: a connection to the listener itself that ends at once.

mod nudge;

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use log::warn;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tiny_http::Request;
use tiny_http::Server;

use self::nudge::Nudger;
use crate::backend::Pool;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// How often the serving thread looks whether it has to stop.
const POLL: Duration = Duration::from_millis(200);
/// Pause after an accept error that is no time limit.
const ACCEPT_PAUSE: Duration = Duration::from_secs(1);
/// Time limits on reading after which an ended accept loop's connections that
/// asked nothing are gone: one for a body, one for the next head, one spare.
const DRAIN_READS: u32 = 3;

/// Bounds of a listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenerSettings {
    /// A name for threads and logs.
    pub name: &'static str,
    /// Address, `ip:port`; port 0: any.
    pub listen: String,
    /// Longest wait for a connection's next bytes.
    pub read_timeout: Duration,
    /// Longest wait until a caller takes the next bytes.
    pub write_timeout: Duration,
    /// Requests open at one time; more are refused.
    pub max_open: usize,
}

/// What a listener does with requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request, on a thread of its own.
    fn handle(&self, req: Request);

    /// Refuses a request as too many are open; has to return at once.
    fn refuse(&self, req: Request);
}

/// A listener; it stops when dropped.
#[derive(Debug)]
pub struct Listener {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Binds the address and serves it.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid or cannot be bound.
    pub fn start(cfg: ListenerSettings, handler: Arc<dyn Handler>) -> io::Result<Listener> {
        let socket = bind(&cfg)?;
        let addr = socket.local_addr()?;
        let stop = Arc::default();
        let serving = Serving {
            nudger: Nudger::start(cfg.name, addr, Arc::clone(&stop))?,
            pool: Pool::new(cfg.name, cfg.max_open),
            open: Arc::default(),
            stop: Arc::clone(&stop),
            failing: Arc::default(),
            handler,
            cfg,
        };
        let open = Arc::clone(&serving.open);
        let server = server(&socket)?;
        let thread = thread::Builder::new()
            .name(serving.cfg.name.to_owned())
            .spawn(move || serving.run(&socket, server))?;
        Ok(Listener {
            addr,
            stop,
            open,
            thread: Some(thread),
        })
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how many requests are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Stops listening; requests in flight are answered.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds the listening socket; accepted connections take over its options.
fn bind(cfg: &ListenerSettings) -> io::Result<TcpListener> {
    let addr: SocketAddr = cfg
        .listen
        .parse()
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(cfg.read_timeout))?;
    socket.set_write_timeout(Some(cfg.write_timeout))?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn server(socket: &TcpListener) -> io::Result<Server> {
    Server::from_listener(socket.try_clone()?, None).map_err(io::Error::other)
}

#[derive(Clone)]
struct Serving {
    cfg: ListenerSettings,
    handler: Arc<dyn Handler>,
    pool: Pool,
    open: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    /// Accepting has failed, and no request has come since.
    failing: Arc<AtomicBool>,
    nudger: Nudger,
}

impl Serving {
    fn run(self, socket: &TcpListener, first: Server) {
        let mut current = first;
        while !self.stopped() {
            match self.take(&current) {
                Ok(_) if !self.nudger.is_stuck() => continue,
                Ok(_) => warn!("{}: the accept loop is stuck", self.cfg.name),
                Err(error) => self.pause_after(&error),
            }
            let Some(next) = self.restart(socket) else {
                return;
            };
            let ended = std::mem::replace(&mut current, next);
            self.drain(ended);
        }
    }

    /// Takes the next request; returns whether there was one.
    ///
    /// # Errors
    ///
    /// Returns why the accept loop ended.
    fn take(&self, server: &Server) -> io::Result<bool> {
        let Some(req) = server.recv_timeout(POLL)? else {
            return Ok(false);
        };
        self.nudger.nudge();
        if self.failing.swap(false, Ordering::AcqRel) {
            warn!("{}: requests come again", self.cfg.name);
        }
        let open = Open::count(&self.open);
        if open.before >= self.cfg.max_open {
            self.handler.refuse(req);
            return Ok(true);
        }
        let handler = Arc::clone(&self.handler);
        self.pool.run(move || {
            handler.handle(req);
            drop(open);
        });
        Ok(true)
    }

    fn pause_after(&self, error: &io::Error) {
        let harmless = matches!(
            error.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::ConnectionAborted
        );
        if harmless {
            return;
        }
        if !self.failing.swap(true, Ordering::AcqRel) {
            warn!("{}: accepting fails: {error}", self.cfg.name);
        }
        thread::sleep(ACCEPT_PAUSE);
    }

    fn restart(&self, socket: &TcpListener) -> Option<Server> {
        while !self.stopped() {
            match server(socket) {
                Ok(server) => return Some(server),
                Err(error) => self.pause_after(&error),
            }
        }
        None
    }

    /// Answers what the connections of an ended accept loop still ask.
    fn drain(&self, ended: Server) {
        let serving = self.clone();
        let spawned = thread::Builder::new()
            .name(format!("{}-drain", self.cfg.name))
            .spawn(move || serving.drain_until_quiet(&ended));
        if let Err(error) = spawned {
            warn!("{}: no thread: {error}", self.cfg.name);
        }
    }

    fn drain_until_quiet(&self, ended: &Server) {
        let grace = self.cfg.read_timeout * DRAIN_READS;
        let mut quiet = Instant::now();
        while !self.stopped() && quiet.elapsed() < grace {
            if !matches!(self.take(ended), Ok(false)) {
                quiet = Instant::now();
            }
        }
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }
}

/// Counts an open request until it is dropped.
struct Open {
    open: Arc<AtomicUsize>,
    before: usize,
}

impl Open {
    fn count(open: &Arc<AtomicUsize>) -> Open {
        Open {
            before: open.fetch_add(1, Ordering::AcqRel),
            open: Arc::clone(open),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
