//! A `tiny_http` listener that survives the end of its accept loop.
//!
//! The accept loop of `tiny_http` ends permanently on the first accept error. It
//! also ends when the read timeout of the listening socket expires. That timeout
//! cannot be omitted: accepted connections inherit it, and without it a caller
//! that sends nothing would block its thread forever. So the socket is kept
//! here, and a new server is started on it whenever a loop has ended. Requests
//! on connections of the previous server are answered until these are idle.
//!
//! The thread pool of `tiny_http` has a fault: in a burst it counts one idle
//! thread for several connections, and the excess connections wait until some
//! other connection ends. A thread whose connection ends picks up a waiting one.
//! So each request, and each period without a request, triggers a nudge: a
//! connection to the listener itself that is closed immediately.

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

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: i32 = 1024;
/// Interval at which the serving thread checks for a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after an accept error other than a timeout or an aborted connection.
const ACCEPT_PAUSE: Duration = Duration::from_secs(1);
/// Drain time of an ended accept loop, in read timeouts. Without a request for
/// that long, its connections are closed: one timeout for a body, one for the
/// next head, one spare.
const DRAIN_READ_TIMEOUTS: u32 = 3;

/// Settings of a listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenerSettings {
    /// Name in thread names and log lines.
    pub name: &'static str,
    /// Listen address, `ip:port`; port 0 selects a free port.
    pub listen: String,
    /// Socket read timeout.
    pub read_timeout: Duration,
    /// Socket write timeout.
    pub write_timeout: Duration,
    /// Maximum number of concurrently open requests; further ones are refused.
    pub max_open: usize,
}

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request; runs on its own thread.
    fn handle(&self, req: Request);

    /// Refuses a request because too many are open. Runs on the serving thread,
    /// so it must not block.
    fn refuse(&self, req: Request);
}

/// A listener; it stops when dropped.
#[derive(Debug)]
pub struct Listener {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    serving: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Binds the address and starts serving it.
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
            serving: Arc::default(),
            stop: Arc::clone(&stop),
            failing: Arc::default(),
            handler,
            cfg,
        };
        let open = Arc::clone(&serving.open);
        let serving_threads = Arc::clone(&serving.serving);
        let server = server(&socket)?;
        let counted = Counted::new(&serving.serving);
        let thread = thread::Builder::new()
            .name(serving.cfg.name.to_owned())
            .spawn(move || {
                serving.run(&socket, server);
                drop(counted);
            })?;
        Ok(Listener {
            addr,
            stop,
            open,
            serving: serving_threads,
            thread: Some(thread),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Begins to stop listening; requests that have arrived are still taken.
    pub fn close(&self) {
        self.stop.store(true, Ordering::Release);
    }

    /// Returns whether no further requests are taken.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.serving.load(Ordering::Acquire) == 0
    }

    /// Stops listening; requests in flight are answered.
    pub fn stop(&mut self) {
        self.close();
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

/// Binds the listening socket; accepted connections inherit its options.
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
    /// Number of threads that take requests.
    serving: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    /// Whether accepting has failed and no request has arrived since.
    failing: Arc<AtomicBool>,
    nudger: Nudger,
}

impl Serving {
    fn run(self, socket: &TcpListener, first: Server) {
        let mut current = first;
        while !self.stopped() {
            match self.serve_next(&current) {
                Ok(_) if !self.nudger.is_stuck() => continue,
                Ok(_) => warn!("{}: the accept loop is stuck", self.cfg.name),
                Err(error) => self.pause_after(&error),
            }
            let Some(next) = self.restart_server(socket) else {
                break;
            };
            let ended = std::mem::replace(&mut current, next);
            self.drain(ended);
        }
        self.take_arrived(&current);
    }

    /// Dispatches the requests that have arrived at a server.
    fn take_arrived(&self, server: &Server) {
        while let Ok(Some(req)) = server.try_recv() {
            self.dispatch(req);
        }
    }

    /// Dispatches the next request to a thread; returns whether there was one.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the accept loop.
    fn serve_next(&self, server: &Server) -> io::Result<bool> {
        let Some(req) = server.recv_timeout(STOP_POLL_INTERVAL)? else {
            return Ok(false);
        };
        self.nudger.nudge();
        if self.failing.swap(false, Ordering::AcqRel) {
            warn!("{}: accepting works again", self.cfg.name);
        }
        self.dispatch(req);
        Ok(true)
    }

    /// Passes a request to a thread, or refuses it if too many are open.
    fn dispatch(&self, req: Request) {
        let open = Counted::new(&self.open);
        if open.before >= self.cfg.max_open {
            return self.handler.refuse(req);
        }
        let handler = Arc::clone(&self.handler);
        self.pool.run(move || {
            handler.handle(req);
            drop(open);
        });
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

    fn restart_server(&self, socket: &TcpListener) -> Option<Server> {
        while !self.stopped() {
            match server(socket) {
                Ok(server) => return Some(server),
                Err(error) => self.pause_after(&error),
            }
        }
        None
    }

    /// Answers further requests on the connections of an ended accept loop.
    fn drain(&self, ended: Server) {
        let serving = self.clone();
        let counted = Counted::new(&self.serving);
        let spawned = thread::Builder::new()
            .name(format!("{}-drain", self.cfg.name))
            .spawn(move || {
                serving.drain_until_idle(&ended);
                drop(counted);
            });
        if let Err(error) = spawned {
            warn!("{}: cannot start the drain thread: {error}", self.cfg.name);
        }
    }

    fn drain_until_idle(&self, ended: &Server) {
        let grace = self.cfg.read_timeout * DRAIN_READ_TIMEOUTS;
        let mut last_request = Instant::now();
        while !self.stopped() && last_request.elapsed() < grace {
            if !matches!(self.serve_next(ended), Ok(false)) {
                last_request = Instant::now();
            }
        }
        self.take_arrived(ended);
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }
}

/// Counts an open request or a serving thread until it is dropped.
struct Counted {
    count: Arc<AtomicUsize>,
    before: usize,
}

impl Counted {
    fn new(count: &Arc<AtomicUsize>) -> Counted {
        Counted {
            before: count.fetch_add(1, Ordering::AcqRel),
            count: Arc::clone(count),
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
