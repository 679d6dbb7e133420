//! The daemon: the threads of one process around its control core.
//!
//! One thread owns the control core, others own sockets. They communicate over
//! `flume` channels: the control thread receives all inputs on one channel and
//! passes the outputs to the components that execute them. The bench runs
//! several daemons in one process, so there is no global state.

mod carrier;
mod control_thread;
mod platform_threads;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use flume::Receiver;
use flume::Sender;

use self::carrier::Carrier;
use self::control_thread::Command;
use self::control_thread::ControlThread;
use crate::admin;
use crate::admin::AdminSettings;
use crate::admin::Answers;
use crate::backend::http::HttpBackendClient;
use crate::backend::http::HttpSettings;
use crate::backend::traffic::Traffic;
use crate::backend::traffic::TrafficSettings;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::config::Settings;
use crate::control::Control;
use crate::control::Identity;
use crate::control::Input;
use crate::declaration::Declaration;
use crate::entry::Entry;
use crate::entry::EntrySettings;
use crate::entry::Ports;
use crate::id::Boot;
use crate::id::Revision;
use crate::listener::Listener;
use crate::metrics::Metrics;
use crate::peer::PeerTransport;
use crate::platform::HttpList;
use crate::platform::HttpStore;
use crate::relay::Relays;
use crate::spread::Periods;

/// Maximum time at shutdown for callers to receive their last answers.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time for the same, also if the time limit of the shutdown is over.
const MIN_LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(1);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    name: String,
    metrics: Arc<Metrics>,
    commands: Sender<Command>,
    stopped: Receiver<usize>,
    entry: Entry,
    admin: Listener,
    peer_addr: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts all threads and listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is invalid or cannot be bound, or a thread
    /// cannot be started.
    pub fn start(cfg: &Settings) -> io::Result<Daemon> {
        let metrics = Arc::new(Metrics::new());
        let (inputs, input_rx) = flume::unbounded();
        let (commands, command_rx) = flume::unbounded();
        let (stopped_tx, stopped) = flume::bounded(1);
        let relays = Relays::new(Arc::clone(&metrics));
        let peers = PeerTransport::start(
            socket_addr(&cfg.peer_listen)?,
            cfg.peer_secret.expose().as_bytes(),
            inputs.clone(),
            Arc::clone(&metrics),
        )?;
        let peer_addr = peers.local_addr();
        let boot = Boot(rand::random());
        let seed = if cfg.seed == 0 { boot.0 } else { cfg.seed };
        let me = Identity {
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            boot,
            peer_addr: advertised_addr(cfg, peer_addr),
            unix_time_at_start: unix_now(),
        };
        let clock = Clock::start();
        let answers = Answers::new(inputs.clone());
        let traffic = Traffic::new(
            TrafficSettings::default(),
            Arc::new(HttpBackendClient::new(http_settings(cfg))),
            relays.clone(),
            inputs.clone(),
        );
        let store = HttpStore::new(cfg.store_addresses.clone(), cfg.store_time_limit);
        let carrier = Carrier::new(
            me.clone(),
            traffic,
            relays.clone(),
            peers,
            answers.clone(),
            Arc::new(store),
            inputs.clone(),
        );
        let periods = Periods {
            poll: cfg.store_poll,
            watch: cfg.store_watch_wait,
        };
        let control = ControlThread {
            control: Control::new(me, seed, Arc::clone(&metrics)).with_spread_periods(periods),
            clock,
            tick: cfg.tick,
            inputs: input_rx,
            commands: command_rx,
            carrier,
            stopped: stopped_tx,
        };
        let list = HttpList::new(cfg.list_address.clone(), cfg.list_time_limit);
        let threads = vec![
            spawn("control", move || control.run())?,
            platform_threads::poll_list(list, cfg.list_poll, inputs.clone(), commands.clone())?,
        ];
        let entry = Entry::start(
            entry_settings(cfg),
            Ports {
                control: inputs,
                relays,
                answers: answers.clone(),
                metrics: Arc::clone(&metrics),
            },
        )?;
        let admin = admin::start(
            AdminSettings {
                listen: cfg.admin_listen.clone(),
                token: cfg.operators_token.clone(),
                ..AdminSettings::default()
            },
            answers,
            Arc::clone(&metrics),
        )?;
        Ok(Daemon {
            name: cfg.name.clone(),
            metrics,
            commands,
            stopped,
            entry,
            admin,
            peer_addr,
            threads,
        })
    }

    /// Returns the instance's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers_addr(&self) -> SocketAddr {
        self.entry.addr()
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Returns the address for peers.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns the metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Begins a graceful shutdown: refuses new requests and finishes admitted
    /// ones. Those that are open when `time_limit` is nearly over get a final
    /// answer that says so.
    pub fn begin_shutdown(&self, time_limit: Millis) {
        let command = Command::Input(Input::Shutdown { time_limit });
        let _ = self.commands.send(command);
    }

    /// Waits up to `limit` until all admitted requests are answered; returns
    /// whether that was reached and none was cut.
    #[must_use]
    pub fn wait_stopped(&self, limit: Millis) -> bool {
        let started = Instant::now();
        let limit = limit.as_duration();
        let cut = self.stopped.recv_timeout(limit);
        // The relays may still hold answers that callers have not received.
        let left = limit.saturating_sub(started.elapsed());
        let left = left.clamp(MIN_LAST_ANSWERS_TIMEOUT, LAST_ANSWERS_TIMEOUT);
        let answered = self.entry.close(left);
        answered && cut == Ok(0)
    }

    /// Applies a declaration on this instance only; for tests.
    pub fn declare(&self, declaration: Declaration, revision: Revision) {
        let command = Command::Declare(Box::new(declaration), revision);
        let _ = self.commands.send(command);
    }

    /// Blocks the control thread for a duration, like a paused process; for
    /// experiments.
    pub fn pause(&self, duration: Millis) {
        let _ = self.commands.send(Command::Pause(duration));
    }

    /// Ends all threads; aborts requests in flight.
    pub fn stop(mut self) {
        self.entry.stop();
        self.admin.stop();
        let _ = self.commands.send(Command::Stop);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(work)
}

fn socket_addr(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(|_| {
        let message = format!("{text} is no address; ip:port is allowed");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })
}

/// Returns the peer address that is announced to other instances.
fn advertised_addr(cfg: &Settings, bound: SocketAddr) -> String {
    match cfg.peer_advertise.as_str() {
        "" => bound.to_string(),
        addr => addr.to_owned(),
    }
}

fn unix_now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from(since.unwrap_or(Duration::ZERO))
}

fn http_settings(cfg: &Settings) -> HttpSettings {
    HttpSettings {
        owner: cfg.name.clone(),
        connect_timeout: cfg.connect_time_limit.as_duration(),
        order_timeout_secs: cfg.order_time_limit.0.div_ceil(1000),
        ..HttpSettings::default()
    }
}

fn entry_settings(cfg: &Settings) -> EntrySettings {
    let number = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    EntrySettings {
        listen: cfg.callers_listen.clone(),
        max_body_bytes: number(cfg.max_body_bytes),
        max_open_requests: number(cfg.max_open_requests),
        body_time_limit: cfg.body_time_limit.as_duration(),
        ..EntrySettings::default()
    }
}
