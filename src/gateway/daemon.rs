//! All threads of one gateway process.
//!
//! The control thread owns the core. The traffic thread is a single-threaded
//! runtime that owns every socket. They talk over channels: inputs on one,
//! outputs on another.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::clock::Millis;
use crate::config::Settings;
use crate::gateway::core::Core;
use crate::gateway::core::Me;
use crate::gateway::feed;
use crate::gateway::feed::Feed;
use crate::gateway::feed::Ledger;
use crate::gateway::forward::Traffic;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::Watching;
use crate::gateway::peers::Peers;
use crate::gateway::route::CallerLimits;
use crate::gateway::server;
use crate::gateway::server::Front;
use crate::gateway::server::Phase;
use crate::gateway::settings::Bounds;
use crate::gateway::upstream::Upstream;
use crate::logging::LeftOut;
use crate::metrics::Metrics;

/// Connections that wait to be accepted, at most.
const BACKLOG: u32 = 1_024;
/// Period at which the core looks at its timers.
const TICK: Duration = Duration::from_millis(25);
/// Period at which idle connections to backend servers are looked at.
const EXPIRE_PERIOD: Duration = Duration::from_millis(500);
/// Time after SIGTERM in which new connections may still arrive: the platform
/// asks for readiness once a second and goes by two answers.
const STILL_ARRIVING: Duration = Duration::from_millis(3_000);
/// Time before the platform's SIGKILL at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Period at which a leaving process looks whether all is answered.
const LEAVE_PERIOD: Duration = Duration::from_millis(20);
/// Time that the last answers take to reach their callers.
const LAST_ANSWERS: Duration = Duration::from_millis(100);

/// Runs a gateway until it is told to stop; returns whether every request was
/// answered.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a thread not started.
pub fn run(cfg: &Settings, left_out: LeftOut) -> io::Result<bool> {
    let clock = Clock::start_boot();
    let metrics = Arc::new(Metrics::new());
    let (inputs, input_rx) = flume::unbounded();
    // Nothing waits on these: they are handled with the next input.
    let (later_inputs, later_rx) = flume::unbounded();
    let (outputs, output_rx) = unbounded_channel();
    let peer_socket = UdpSocket::bind(socket_addr(&cfg.gateway_peer_listen)?)?;
    let me = Me {
        name: cfg.name.clone(),
        domain: cfg.domain.clone(),
        addr: peer_socket.local_addr()?.to_string(),
    };
    let core = Core::new(me, bounds(cfg), Arc::clone(&metrics));
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control(core, clock, &input_rx, &later_rx, &outputs, &left_out))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let traffic = traffic(
        cfg,
        clock,
        metrics,
        inputs,
        later_inputs,
        output_rx,
        peer_socket,
    );
    LocalSet::new().block_on(&runtime, traffic)
}

/// Returns the bounds that settings give.
#[must_use]
pub fn bounds(cfg: &Settings) -> Bounds {
    Bounds {
        revoke: cfg.gateway_revoke_limit,
        config_apply: cfg.gateway_config_limit,
        retry_ratio: cfg.gateway_retry_ratio as f64 / 1000.0,
        retry_extra: cfg.gateway_retry_extra as f64,
        memory_free: cfg.gateway_memory_free_limit,
        ..Bounds::default()
    }
}

/// The control thread: one input after the other, and a tick in between.
fn control(
    mut core: Core,
    clock: Clock,
    inputs: &Receiver<Input>,
    later_inputs: &Receiver<Input>,
    outputs: &UnboundedSender<Output>,
    left_out: &LeftOut,
) {
    let mut next_tick = clock.now();
    loop {
        let now = clock.now();
        let input = if now >= next_tick {
            next_tick = now + Millis::from(TICK);
            Input::Tick
        } else {
            let wait = next_tick.since(now).as_duration();
            match inputs.recv_timeout(wait) {
                Ok(input) => input,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            }
        };
        if matches!(input, Input::Tick) {
            let lines = left_out.take();
            if lines > 0 {
                log::warn!(lines = lines; "log lines left out: over the budget of lines a second");
            }
        }
        for input in later_inputs.try_iter().chain([input]) {
            for output in core.handle(clock.now(), input) {
                if outputs.send(output).is_err() {
                    return;
                }
            }
        }
    }
}

/// The traffic thread: starts all tasks and waits for the signal to leave.
async fn traffic(
    cfg: &Settings,
    clock: Clock,
    metrics: Arc<Metrics>,
    inputs: Sender<Input>,
    later_inputs: Sender<Input>,
    outputs: UnboundedReceiver<Output>,
    peer_socket: UdpSocket,
) -> io::Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let front_listener = listen(&cfg.gateway_listen)?;
    let status_listener = listen(&cfg.gateway_status_listen)?;
    let metrics_listener = match cfg.gateway_metrics_listen.as_str() {
        "" => None,
        addr => Some(listen(addr)?),
    };
    let peer_addr = peer_socket.local_addr()?.to_string();
    let peers = Peers::new(peer_socket, Arc::clone(&metrics))?;
    log::info!(
        callers:% = front_listener.local_addr()?,
        status:% = status_listener.local_addr()?,
        peers = peer_addr.as_str();
        "gateway listens"
    );
    let upstream = Upstream::default();
    let traffic = Rc::new(Traffic {
        upstream: upstream.clone(),
        inputs: inputs.clone(),
        later_inputs: later_inputs.clone(),
        clock,
        metrics: Arc::clone(&metrics),
        directives: RefCell::new(HashMap::new()),
        next_ticket: Cell::new(0),
    });
    let (ready_tx, ready) = watch::channel(false);
    let (limits_tx, limits) = watch::channel(CallerLimits::default());
    let (phase_tx, phase) = watch::channel(Phase::Serving);
    let front = Front {
        traffic: Rc::clone(&traffic),
        limits,
        phase,
    };
    spawn_local(server::accept(front_listener, front));
    for listener in [Some(status_listener), metrics_listener]
        .into_iter()
        .flatten()
    {
        let (ready, metrics) = (ready.clone(), Arc::clone(&metrics));
        spawn_local(server::serve_status(listener, ready, metrics));
    }
    let ledger = Ledger::new(inputs.clone());
    spawn_local(peers.clone().receive(later_inputs, ledger.clone()));
    let (watching_tx, watching) = watch::channel(Watching::Loosely);
    let store = cfg.gateway_store.clone();
    let feed = Feed::new(
        store.clone(),
        upstream.clone(),
        clock,
        inputs.clone(),
        ledger,
        watching,
    );
    spawn_local(feed.clone().watch_operators());
    spawn_local(feed.clone().read_settled_entries());
    spawn_local(feed.watch_entries());
    let member = Member {
        name: cfg.name.clone(),
        addr: peer_addr,
    };
    spawn_local(feed::keep_entry(Rc::new(store), upstream.clone(), member));
    spawn_local(expire(upstream));
    let states = States {
        ready: ready_tx,
        limits: limits_tx,
        watching: watching_tx,
    };
    spawn_local(carry(outputs, Rc::clone(&traffic), peers, states));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log::info!("reload asked for: settings take effect at the next start"),
        }
    }
    Ok(leave(cfg, &traffic, &inputs, &phase_tx).await)
}

/// Ends the process's service: answers what was read, then closes.
async fn leave(
    cfg: &Settings,
    traffic: &Traffic,
    inputs: &Sender<Input>,
    phase: &watch::Sender<Phase>,
) -> bool {
    let began = Instant::now();
    let limit = cfg
        .shutdown_time_limit
        .as_duration()
        .saturating_sub(EXIT_MARGIN);
    log::info!(open = traffic.open(), limit_ms = limit.as_millis() as u64; "leaving: requests are finished first");
    // The control thread ends only with the process.
    let _ = inputs.send(Input::Leave);
    phase.send_replace(Phase::Leaving);
    while began.elapsed() < limit {
        sleep(LEAVE_PERIOD).await;
        if began.elapsed() >= STILL_ARRIVING {
            phase.send_if_modified(|phase| {
                let closing = *phase != Phase::Closing;
                *phase = Phase::Closing;
                closing
            });
            if traffic.open() == 0 {
                sleep(LAST_ANSWERS).await;
                break;
            }
        }
    }
    let open = traffic.open();
    log::info!(open = open, after_ms = began.elapsed().as_millis() as u64; "stopped");
    open == 0
}

/// What the core has decided for the tasks of the traffic thread.
struct States {
    ready: watch::Sender<bool>,
    limits: watch::Sender<CallerLimits>,
    watching: watch::Sender<Watching>,
}

/// Carries out what the core wants done.
async fn carry(
    mut outputs: UnboundedReceiver<Output>,
    traffic: Rc<Traffic>,
    peers: Peers,
    states: States,
) {
    let mut untold: Vec<(Arc<Vec<String>>, PeerMessage)> = Vec::new();
    loop {
        let output = match outputs.try_recv() {
            Ok(output) => output,
            Err(_) => {
                if !untold.is_empty() {
                    // Requests go out before others are told of them.
                    yield_now().await;
                }
                for (addrs, message) in untold.drain(..) {
                    peers.tell(&addrs, &message);
                }
                match outputs.recv().await {
                    Some(output) => output,
                    None => return,
                }
            }
        };
        match output {
            Output::Tell(addrs, message) => untold.push((addrs, message)),
            Output::Ready(value) => {
                states.ready.send_replace(value);
            }
            Output::Limits(value) => {
                states.limits.send_replace(value);
            }
            Output::Watch(value) => {
                states.watching.send_replace(value);
            }
            Output::Send(ticket, _) | Output::Refuse(ticket, _) | Output::PassFailure(ticket) => {
                traffic.direct(ticket, output);
            }
        }
    }
}

async fn expire(upstream: Upstream) {
    loop {
        sleep(EXPIRE_PERIOD).await;
        upstream.expire();
    }
}

fn listen(addr: &str) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(socket_addr(addr)?)?;
    socket.listen(BACKLOG)
}

fn socket_addr(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(|_| {
        let message = format!("{text} is no address; ip:port is allowed");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })
}
