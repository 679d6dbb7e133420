//! Starts the threads and tasks of one gateway process.
//!
//! The control thread owns the core. The traffic thread runs a single-threaded
//! runtime that owns every socket. They communicate over channels: two for the
//! core's inputs, of which one does not wake the control thread, and one for
//! its outputs.

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
use socket2::SockRef;
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
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::adapter::headers;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::config::Settings;
use crate::gateway::body::BodyContext;
use crate::gateway::body_reads::BodyReads;
use crate::gateway::connection::ConnectionCount;
use crate::gateway::connection_table::ConnectionTable;
use crate::gateway::core::Core;
use crate::gateway::core::LocalInstance;
use crate::gateway::datagram::Formats;
use crate::gateway::feed::RevisionTracker;
use crate::gateway::feed::StoreWatcher;
use crate::gateway::forward::RequestSender;
use crate::gateway::forward::Traffic;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::Recipient;
use crate::gateway::memory_budget::MemoryBudget;
use crate::gateway::memory_budget::MemoryPlan;
use crate::gateway::memory_budget::RECEIVE_BUFFER_BYTES;
use crate::gateway::memory_budget::SEND_BUFFER_BYTES;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::ProbeEnd;
use crate::gateway::message::Shutdown;
use crate::gateway::message::Watching;
use crate::gateway::peers::PeerSocket;
use crate::gateway::reload::Reloader;
use crate::gateway::reload::SettingsSource;
use crate::gateway::route::CallerLimits;
use crate::gateway::server;
use crate::gateway::server::ServerContext;
use crate::gateway::server::ShutdownPhase;
use crate::gateway::server::StatusContext;
use crate::gateway::settings::Bounds;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::Upstream;
use crate::logging::LeftOut;
use crate::metrics::Metrics;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Ports that are tried for the sockets that other instances use.
const MAX_BIND_ATTEMPTS: usize = 16;
/// Interval of the core's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which the settings file is read again: a change is applied once two
/// readings in a row show it.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which expired idle connections to backend servers are closed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after SIGTERM in which new connections may still arrive: the platform
/// checks readiness once a second and stops sending new connections after two
/// negative responses. The rest is for connections on their way.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(2_500);
/// Time before the platform's SIGKILL at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Interval at which a draining process checks whether requests are still open.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last responses to reach their callers.
const FINAL_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Runs a gateway until it receives a shutdown signal; returns whether every
/// request was completed.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a thread cannot be
/// started.
pub fn run(cfg: &Settings, source: SettingsSource, left_out: LeftOut) -> io::Result<bool> {
    let clock = Clock::start_suspend_aware();
    let metrics = Arc::new(Metrics::new());
    let (inputs, input_rx) = flume::unbounded();
    // These inputs do not wake the control thread; it handles them with the
    // next input.
    let (deferred_inputs, deferred_rx) = flume::unbounded();
    let (outputs, output_rx) = unbounded_channel();
    let peer_sockets = bind_peer_sockets(&cfg.gateway_peer_listen)?;
    let local = LocalInstance {
        name: cfg.name.clone(),
        domain: cfg.domain.clone(),
        addr: peer_sockets.datagrams.local_addr()?.to_string(),
    };
    let core = Core::new(local, bounds(cfg), Arc::clone(&metrics));
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run_control(core, clock, &input_rx, &deferred_rx, &outputs, &left_out))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let traffic = run_traffic(
        Reloader::new(source, cfg.clone()),
        clock,
        metrics,
        inputs,
        deferred_inputs,
        output_rx,
        peer_sockets,
    );
    LocalSet::new().block_on(&runtime, traffic)
}

/// Returns the limits defined by the settings.
#[must_use]
pub fn bounds(cfg: &Settings) -> Bounds {
    Bounds {
        key_revoke_limit: cfg.gateway_revoke_limit,
        config_apply_limit: cfg.gateway_config_limit,
        retry_ratio: cfg.gateway_retry_ratio as f64 / 1000.0,
        retry_extra: cfg.gateway_retry_extra as f64,
        reservation_leak_limit: cfg.gateway_memory_free_limit,
        server_write_interval: cfg.gateway_server_write_interval,
        call_placement: cfg.gateway_call_placement,
        output_lengths: cfg.gateway_output_lengths,
        ..Bounds::default()
    }
}

/// Runs the control thread: handles one input after the other, and a timer tick
/// at every interval.
fn run_control(
    mut core: Core,
    clock: Clock,
    inputs: &Receiver<Input>,
    deferred_inputs: &Receiver<Input>,
    outputs: &UnboundedSender<Output>,
    left_out: &LeftOut,
) {
    let mut next_tick = clock.now();
    loop {
        let now = clock.now();
        let input = if now >= next_tick {
            next_tick = now + Millis::from(TICK_INTERVAL);
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
        for input in deferred_inputs.try_iter().chain([input]) {
            for output in core.handle(clock.now(), input) {
                if outputs.send(output).is_err() {
                    return;
                }
            }
        }
    }
}

/// Runs the traffic thread: starts all tasks, waits for a shutdown signal and
/// drains.
async fn run_traffic(
    mut settings: Reloader,
    clock: Clock,
    metrics: Arc<Metrics>,
    inputs: Sender<Input>,
    deferred_inputs: Sender<Input>,
    outputs: UnboundedReceiver<Output>,
    peer_sockets: PeerSockets,
) -> io::Result<bool> {
    let cfg = settings.in_force().clone();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let caller_listener = listen(&cfg.gateway_listen)?;
    let status_listener = listen(&cfg.gateway_status_listen)?;
    let metrics_listener = match cfg.gateway_metrics_listen.as_str() {
        "" => None,
        addr => Some(listen(addr)?),
    };
    let peer_addr = peer_sockets.datagrams.local_addr()?.to_string();
    let peers = PeerSocket::new(peer_sockets.datagrams, Arc::clone(&metrics))?;
    log::info!(
        callers:% = caller_listener.local_addr()?,
        status:% = status_listener.local_addr()?,
        peers = peer_addr.as_str();
        "gateway listens"
    );
    let upstream = Upstream::default();
    let plan = MemoryPlan::new(cfg.gateway_memory_limit, cfg.gateway_max_descriptors);
    log::info!(
        memory_limit = cfg.gateway_memory_limit,
        max_descriptors = cfg.gateway_max_descriptors,
        content_bytes = plan.content_bytes,
        caller_connections = plan.caller_connections,
        relay_connections = plan.relay_connections;
        "memory divided"
    );
    let budget = MemoryBudget::new(plan.content_bytes);
    let traffic = Rc::new(Traffic {
        upstream: upstream.clone(),
        inputs: inputs.clone(),
        deferred_inputs: deferred_inputs.clone(),
        clock,
        metrics: Arc::clone(&metrics),
        bodies: BodyContext {
            budget: budget.clone(),
            reads: BodyReads::default(),
            clock,
            discards: ConnectionCount::default(),
        },
        outputs: RefCell::new(HashMap::new()),
        next_ticket: Cell::new(0),
    });
    let (ready_tx, ready) = watch::channel(false);
    let (limits_tx, limits) = watch::channel(CallerLimits::default());
    let (phase_tx, phase) = watch::channel(ShutdownPhase::Serving);
    let connections = ConnectionCount::default();
    let context = ServerContext {
        traffic: Rc::clone(&traffic),
        limits,
        sender: RequestSender::Caller,
        phase,
        connections: connections.clone(),
        table: ConnectionTable::new(plan.caller_connections),
    };
    let relay_context = ServerContext {
        sender: RequestSender::Instance,
        table: ConnectionTable::new(plan.relay_connections),
        ..context.clone()
    };
    spawn_local(server::accept(caller_listener, context));
    let relay_listener = TcpListener::from_std(peer_sockets.relays)?;
    spawn_local(server::accept(relay_listener, relay_context));
    let status_context = StatusContext {
        ready,
        metrics,
        budget,
        connections: connections.clone(),
    };
    for listener in [Some(status_listener), metrics_listener]
        .into_iter()
        .flatten()
    {
        spawn_local(server::serve_status(listener, status_context.clone()));
    }
    let revisions = RevisionTracker::new(inputs.clone());
    spawn_local(
        peers
            .clone()
            .receive(clock, deferred_inputs, revisions.clone()),
    );
    let (watching_tx, watching) = watch::channel(Watching::Loosely);
    let (store_tx, store) = watch::channel(cfg.gateway_store.clone());
    let watcher = StoreWatcher::new(
        store,
        upstream.clone(),
        clock,
        inputs.clone(),
        revisions,
        watching,
    );
    spawn_local(watcher.clone().watch_operator_keys());
    spawn_local(watcher.clone().reread_after_startup());
    let member = Member {
        name: cfg.name.clone(),
        addr: peer_addr,
        formats: Formats::OWN,
    };
    spawn_local(watcher.clone().maintain_entry(member));
    spawn_local(watcher.watch_entries());
    spawn_local(close_expired_connections(upstream));
    let publishers = StatePublishers {
        ready: ready_tx,
        limits: limits_tx,
        watching: watching_tx,
    };
    spawn_local(execute_outputs(
        outputs,
        Rc::clone(&traffic),
        peers,
        publishers,
    ));
    let mut check = interval(SETTINGS_CHECK_INTERVAL);
    check.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log::info!("reload asked for"),
            _ = check.tick() => {}
        }
        if let Some(cfg) = settings.check() {
            // Sending fails only during process exit.
            let _ = inputs.send(Input::Bounds(bounds(cfg)));
            store_tx.send_if_modified(|addr| {
                let is_changed = *addr != cfg.gateway_store;
                addr.clone_from(&cfg.gateway_store);
                is_changed
            });
        }
    }
    Ok(shut_down(
        settings.in_force(),
        &traffic,
        &connections,
        &inputs,
        &phase_tx,
    )
    .await)
}

/// Shuts down: finishes open requests, then closes connections. Returns whether
/// no request was left open at the time limit.
async fn shut_down(
    cfg: &Settings,
    traffic: &Traffic,
    connections: &ConnectionCount,
    inputs: &Sender<Input>,
    phase: &watch::Sender<ShutdownPhase>,
) -> bool {
    let started_at = Instant::now();
    let limit = cfg
        .shutdown_time_limit
        .as_duration()
        .saturating_sub(EXIT_MARGIN);
    log::info!(open = traffic.open_requests(), limit_ms = limit.as_millis() as u64; "leaving: requests are finished first");
    // Sending fails only during process exit.
    let now = traffic.clock.now();
    let exit_after = limit.saturating_sub(FINAL_FLUSH_TIME);
    let accept_period = ACCEPT_GRACE_PERIOD.min(exit_after);
    let _ = inputs.send(Input::Drain(Shutdown {
        started_at: now,
        accept_until: now + Millis::from(accept_period),
        exit_at: now + Millis::from(exit_after),
    }));
    phase.send_replace(ShutdownPhase::Draining);
    while started_at.elapsed() < limit {
        sleep(DRAIN_CHECK_INTERVAL).await;
        if started_at.elapsed() >= accept_period {
            let is_closing = phase.send_if_modified(|phase| {
                let changed = *phase != ShutdownPhase::Closing;
                *phase = ShutdownPhase::Closing;
                changed
            });
            if is_closing {
                log::info!(
                    open = traffic.open_requests(),
                    after_ms = started_at.elapsed().as_millis() as u64;
                    "no more connections are accepted; idle ones are closed"
                );
            }
            // A connection is open until its last response has been written.
            if traffic.open_requests() == 0 && connections.get() == 0 {
                sleep(FINAL_FLUSH_TIME).await;
                break;
            }
        }
    }
    let open = traffic.open_requests();
    log::info!(
        open = open,
        connections = connections.get(),
        after_ms = started_at.elapsed().as_millis() as u64;
        "stopped"
    );
    open == 0
}

/// Publishes the core's decisions to the tasks of the traffic thread.
struct StatePublishers {
    ready: watch::Sender<bool>,
    limits: watch::Sender<CallerLimits>,
    watching: watch::Sender<Watching>,
}

/// Executes the core's outputs.
async fn execute_outputs(
    mut outputs: UnboundedReceiver<Output>,
    traffic: Rc<Traffic>,
    peers: PeerSocket,
    publishers: StatePublishers,
) {
    let mut pending_messages: Vec<(Arc<Vec<Recipient>>, PeerMessage)> = Vec::new();
    loop {
        let output = match outputs.try_recv() {
            Ok(output) => output,
            Err(_) => {
                if !pending_messages.is_empty() {
                    // Requests are sent before other instances are notified of
                    // them.
                    yield_now().await;
                }
                for (recipients, message) in pending_messages.drain(..) {
                    peers.send(&recipients, &message);
                }
                match outputs.recv().await {
                    Some(output) => output,
                    None => return,
                }
            }
        };
        match output {
            Output::Broadcast(recipients, message) => {
                pending_messages.push((recipients, message));
            }
            Output::Ready(value) => {
                publishers.ready.send_replace(value);
            }
            Output::Limits(value) => {
                publishers.limits.send_replace(value);
            }
            Output::Watch(value) => {
                publishers.watching.send_replace(value);
            }
            Output::Probe {
                server_id,
                addr,
                path,
            } => {
                spawn_local(probe(Rc::clone(&traffic), server_id, addr, path));
            }
            Output::Send(ticket, _)
            | Output::Refuse(ticket, _)
            | Output::ReadBody(ticket)
            | Output::ForwardFailure(ticket) => {
                traffic.dispatch(ticket, output);
            }
        }
    }
}

async fn probe(traffic: Rc<Traffic>, server_id: String, addr: String, path: Option<String>) {
    let probed = traffic.upstream.probe(&addr, path.as_deref()).await;
    if let Err(error) = &probed {
        log::debug!(server = server_id.as_str(), error:% = error; "backend server probed without success");
    }
    let end = match probed {
        Ok(head) => match headers::decode_server_id(&head) {
            Some(id) if id != server_id => ProbeEnd::Replaced,
            _ => ProbeEnd::Answered,
        },
        Err(CallError::TimedOut) => ProbeEnd::Unanswered,
        Err(CallError::NotSent(_) | CallError::Unreachable(_) | CallError::Broken(_)) => {
            ProbeEnd::Unreachable
        }
    };
    traffic.send_input(Input::ProbeEnded { server_id, end });
}

async fn close_expired_connections(upstream: Upstream) {
    loop {
        sleep(EXPIRE_INTERVAL).await;
        upstream.close_expired();
    }
}

/// The sockets for the other instances, both bound to one port.
struct PeerSockets {
    datagrams: UdpSocket,
    /// Listener for the requests that they relay.
    relays: std::net::TcpListener,
}

/// Binds the sockets for the other instances. If any port may be used, several are
/// tried until one is free for both.
fn bind_peer_sockets(addr: &str) -> io::Result<PeerSockets> {
    let addr = socket_addr(addr)?;
    let bind = || {
        let datagrams = UdpSocket::bind(addr)?;
        let relays = std::net::TcpListener::bind(datagrams.local_addr()?)?;
        limit_kernel_buffers(&SockRef::from(&relays));
        relays.set_nonblocking(true)?;
        Ok(PeerSockets { datagrams, relays })
    };
    let mut bound = bind();
    for _ in 1..MAX_BIND_ATTEMPTS {
        if bound.is_ok() || addr.port() != 0 {
            break;
        }
        bound = bind();
    }
    bound
}

fn listen(addr: &str) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    limit_kernel_buffers(&SockRef::from(&socket));
    socket.bind(socket_addr(addr)?)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Sets the kernel's buffers of all connections that a listener accepts; the bytes
/// in them count as the process's memory.
fn limit_kernel_buffers(listener: &SockRef<'_>) {
    let limited = listener
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| listener.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(error) = limited {
        log::warn!(error:% = error; "cannot set the size of socket buffers");
    }
}

fn socket_addr(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(|_| {
        let message = format!("{text} is not a valid address; expected ip:port");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })
}
