//! Slopes: what control costs an instance, against what it grows with.
//!
//! Each line runs the real control core and the real codecs at two sizes and
//! gives the cost at both and the growth by one. Processor time is that of the
//! measuring thread.

mod core;

use std::fs;
use std::hint::black_box;

use eyre::Result;

use self::core::Core;
use self::core::Sizes;
use skylarkhook::id::Boot;
use skylarkhook::peer::PeerFrame;
use skylarkhook::peer::PeerMessage;

/// Repetitions of one measured step.
const ROUNDS: u32 = 20_000;
/// Repetitions of a measured change.
const CHANGES: u32 = 300;
/// Cores whose memory is measured together.
const CORES: u32 = 32;

/// The sizes of today.
const TODAY: Sizes = Sizes {
    peers: 2,
    instances: 6,
    local_backends: 8,
    backends: 24,
    workspaces: 10,
};

/// The sizes of the plan: 320 nodes, 1,300 workers, 23 failure domains, 2,600
/// workspaces.
const PLANNED: Sizes = Sizes {
    peers: 14,
    instances: 320,
    local_backends: 57,
    backends: 1_300,
    workspaces: 2_600,
};

/// Measures and prints all slopes.
///
/// # Errors
///
/// Returns an error if the kernel does not tell processor time or memory.
pub fn run() -> Result<bool> {
    println!(
        "{:<44} {:>12} {:>12} {:>14}",
        "cost", "today", "planned", "unit"
    );
    per_step("tick, no requests", |core, _| core.tick())?;
    per_step("heartbeat received", |core, round| {
        let frame = core.heartbeat(round);
        core.receive(&frame);
    })?;
    per_step("load report of 20 streams", |core, _| core.report(20))?;
    per_step("load report of 200 streams", |core, _| core.report(200))?;
    per_step("ask of 4 items answered as a home", |core, round| {
        let frame = core.ask_frame(round);
        core.receive(&frame);
    })?;
    per_step("request from submit to whole answer", |core, round| {
        core.request(u64::from(round) + 1);
    })?;
    served();
    line(
        "instance list taken over",
        [once(TODAY, Core::list)?, once(PLANNED, Core::list)?],
        "us",
    );
    line(
        "declaration taken over",
        [once(TODAY, Core::declare)?, once(PLANNED, Core::declare)?],
        "us",
    );
    messages();
    memory()?;
    Ok(true)
}

fn per_step(name: &str, step: impl Fn(&mut Core, u32)) -> Result<()> {
    let mut costs = [0.0; 2];
    for (cost, sizes) in costs.iter_mut().zip([TODAY, PLANNED]) {
        let mut core = Core::start(sizes);
        core.settle();
        for round in 0..ROUNDS / 10 {
            step(&mut core, round);
        }
        let before = thread_time_us()?;
        for round in ROUNDS..2 * ROUNDS {
            step(&mut core, round);
        }
        *cost = (thread_time_us()? - before) / f64::from(ROUNDS);
    }
    line(name, costs, "us");
    Ok(())
}

fn once(sizes: Sizes, step: impl Fn(&mut Core)) -> Result<f64> {
    let mut core = Core::start(sizes);
    core.settle();
    let before = thread_time_us()?;
    for _ in 0..CHANGES {
        step(&mut core);
    }
    Ok((thread_time_us()? - before) / f64::from(CHANGES))
}

/// Prints how many of the measured requests went to a backend server.
fn served() {
    let shares = [TODAY, PLANNED].map(|sizes| {
        let mut core = Core::start(sizes);
        core.settle();
        let requests = 1_000;
        let whole = (1..=requests)
            .filter(|&number| core.request(number))
            .count();
        100.0 * whole as f64 / requests as f64
    });
    line("of them served at once", shares, "%");
}

/// Prints the bytes of each kind of frame.
fn messages() {
    let core = Core::start(PLANNED);
    let bytes = |messages: Vec<PeerMessage>| {
        let frame = PeerFrame {
            from: "d01-entry-01".to_owned(),
            boot: Boot(u64::MAX / 3),
            stamp: 1_000_000,
            messages,
        };
        black_box(frame.encode().map_or(0, |body| body.len())) as f64
    };
    let beat = core.beat(1);
    line("frame: heartbeat", [bytes(vec![beat.clone()]); 2], "bytes");
    line(
        "heartbeat in a shared frame",
        [bytes(vec![beat.clone(), beat]) - bytes(vec![core.beat(1)]); 2],
        "bytes",
    );
    let lease_request = |items| bytes(vec![core.lease_request(items)]);
    line(
        "ask: item",
        [
            lease_request(2) - lease_request(1),
            (lease_request(4) - lease_request(1)) / 3.0,
        ],
        "bytes",
    );
    let grants = |items| bytes(vec![core.grants(items)]);
    line(
        "grant: item",
        [grants(2) - grants(1), (grants(4) - grants(1)) / 3.0],
        "bytes",
    );
    line(
        "ask and answer without items",
        [lease_request(0) + grants(0) - 2.0 * bytes(Vec::new()); 2],
        "bytes",
    );
    let report = |streams| Core::load_report(streams) as f64;
    line(
        "load report (JSON): stream",
        [report(20) - report(19), (report(200) - report(20)) / 180.0],
        "bytes",
    );
    let homes = |sizes: Sizes| Core::start(sizes).homes_bytes() as f64;
    line("document of homes", [homes(TODAY), homes(PLANNED)], "bytes");
}

fn memory() -> Result<()> {
    let mut grown = [0.0; 2];
    for (grown, sizes) in grown.iter_mut().zip([TODAY, PLANNED]) {
        let before = resident_kib()?;
        let mut cores = Vec::new();
        for _ in 0..CORES {
            let mut core = Core::start(sizes);
            core.settle();
            cores.push(core);
        }
        *grown = (resident_kib()? - before) / f64::from(CORES);
        black_box(&cores);
    }
    line("memory of the core", grown, "KiB");
    Ok(())
}

fn line(name: &str, [today, planned]: [f64; 2], unit: &str) {
    println!("{name:<44} {today:>12.1} {planned:>12.1} {unit:>14}");
}

/// Returns the processor time of this thread.
fn thread_time_us() -> Result<f64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    Ok(first.parse::<f64>()? / 1_000.0)
}

/// Returns the memory of this process that is resident.
fn resident_kib() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value.unwrap_or("0").parse()?)
}
