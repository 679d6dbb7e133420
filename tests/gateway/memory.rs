//! Callers that do not behave: their requests are legal in size, or nearly so, but
//! many at once, unfinished or unread. The gateway stays within the memory of its
//! machine and serves others meanwhile.
//!
//! `the_table` plays every shape at every path for every machine and prints the
//! table of docs/MEASUREMENTS.md; CI plays a part of it.

use std::fmt;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tempfile::TempDir;

use crate::backend::Backend;
use crate::backend::Runs;
use crate::hostile::Place;
use crate::hostile::Shape;
use crate::hostile::press;
use crate::platform::Store;
use crate::platform::configuration;
use crate::process::Gateway;
use crate::process::call;
use crate::process::this_program;

const MIB: u64 = 1024 * 1024;
/// Largest body of the stage's configuration.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time for which hostile callers press.
const PRESS_TIME: Duration = Duration::from_secs(2);
/// Time for which ordinary callers are measured without others.
const CALM_TIME: Duration = Duration::from_millis(1_000);
/// Ordinary callers at a time.
const ORDINARY_CALLERS: usize = 10;
/// Pause of an ordinary caller between two requests.
const ORDINARY_PAUSE: Duration = Duration::from_millis(40);
/// Time within which a gateway has to be ready again.
const READY_LIMIT: Duration = Duration::from_secs(2);

pub struct Stage {
    _dir: TempDir,
    _store: Store,
    _backend: Backend,
    pub runs: Runs,
    pub gateway: Gateway,
    memory_mib: u64,
}

/// Returns the program under test: another build, if one is named.
fn program() -> PathBuf {
    std::env::var_os("MEMORY_PROGRAM").map_or_else(this_program, PathBuf::from)
}

pub fn stage(memory_mib: u64) -> Stage {
    let dir = tempfile::tempdir().unwrap();
    let (store, addr) = Store::start().unwrap();
    let runs = Runs::default();
    let backend = Backend::start("i-1", runs.clone()).unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&configuration(3, &["k1"])).unwrap();
    config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
    store.put("op/config", config.to_string().as_bytes());
    store.put("servers/i-1", backend.entry("ready").as_bytes());
    let further = format!("memory_limit = {memory_mib} MiB\nmax_descriptors = 4096\n");
    let gateway = Gateway::start_with(&program(), dir.path(), "g1", addr, &further);
    gateway.wait_ready();
    Stage {
        _dir: dir,
        _store: store,
        _backend: backend,
        runs,
        gateway,
        memory_mib,
    }
}

/// What ordinary callers got.
#[derive(Debug, Default)]
struct Service {
    calls: usize,
    served: usize,
    p99_ms: u128,
}

/// Sends small requests until a time; returns how they were served.
fn ordinary_callers(gateway: &Gateway, until: Instant, prefix: &str) -> Service {
    let times = Mutex::new(Vec::new());
    let served = AtomicU64::new(0);
    thread::scope(|scope| {
        for caller in 0..ORDINARY_CALLERS {
            let (times, served) = (&times, &served);
            scope.spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let id = format!("{prefix}-{caller}-{number}");
                    let headers = [
                        ("X-Skylarkhook-Request-Id", id.as_str()),
                        ("X-Skylarkhook-Deadline-Ms", "4000"),
                        ("Authorization", "Token k1"),
                    ];
                    let sent_at = Instant::now();
                    let body = "y".repeat(800);
                    let answer = call(gateway.callers, "POST", "/again/1", &headers, &body);
                    times.lock().unwrap().push(sent_at.elapsed());
                    if answer.is_ok_and(|answer| answer.status == 200 && answer.whole) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(ORDINARY_PAUSE);
                }
            });
        }
    });
    let mut times = times.into_inner().unwrap();
    times.sort();
    let p99 = times.len() * 99 / 100;
    Service {
        calls: times.len(),
        served: usize::try_from(served.into_inner()).unwrap(),
        p99_ms: times.get(p99).map_or(0, Duration::as_millis),
    }
}

/// A line of the table.
struct Row {
    memory_mib: u64,
    shapes: Vec<Shape>,
    place: Place,
    calm: Service,
    pressed: Service,
    calm_bytes: u64,
    peak_bytes: u64,
    later_bytes: u64,
    refused_that_ran: Vec<String>,
    refused: usize,
    was_ready: bool,
    ready_after: Duration,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shape = match self.shapes.as_slice() {
            [shape] => format!("{shape:?}"),
            _ => "all mixed".to_owned(),
        };
        let mib = |bytes: u64| bytes as f64 / MIB as f64;
        write!(
            f,
            "| {} | {shape} | {:?} | {:.0} | {:.0} | {:.0} | {} of {} | {} | {} | {} | {} |",
            self.memory_mib,
            self.place,
            mib(self.calm_bytes),
            mib(self.peak_bytes),
            mib(self.later_bytes),
            self.pressed.served,
            self.pressed.calls,
            self.calm.p99_ms,
            self.pressed.p99_ms,
            self.refused,
            self.ready_after.as_millis(),
        )
    }
}

const TABLE_HEAD: &str = "| memory MiB | shape | path | calm MiB | peak MiB | 2 s later MiB | ordinary served | calm p99 ms | p99 ms | refused | ready after ms |\n|---|---|---|---|---|---|---|---|---|---|---|";

/// Plays shapes at a path, with ordinary callers beside them.
fn play(stage: &mut Stage, shapes: &[Shape], place: Place) -> Row {
    let gateway = &stage.gateway;
    let name = format!("{shapes:?}-{place:?}").replace(['[', ']', ' ', ','], "");
    let calm = ordinary_callers(gateway, Instant::now() + CALM_TIME, &format!("c-{name}"));
    let calm_bytes = gateway.resident_bytes();
    let until = Instant::now() + PRESS_TIME;
    let peak = AtomicU64::new(calm_bytes);
    let is_over = AtomicBool::new(false);
    let was_ready = AtomicBool::new(true);
    let refused = Mutex::new(Vec::new());
    let mut pressed = Service::default();
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::SeqCst) {
                peak.fetch_max(gateway.resident_bytes(), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(5));
            }
        });
        let hostile: Vec<_> = shapes
            .iter()
            .flat_map(|shape| {
                let connections = shape.threads() / shapes.len();
                (0..connections).map(move |number| (*shape, number))
            })
            .map(|(shape, number)| {
                let (refused, name) = (&refused, format!("x-{name}-{shape:?}-{number}"));
                scope.spawn(move || {
                    let ids = press(shape, place, gateway, until, &name);
                    refused.lock().unwrap().extend(ids);
                })
            })
            .collect();
        pressed = ordinary_callers(gateway, until, &format!("p-{name}"));
        let ready = call(gateway.status, "GET", "/skylarkhook/ready", &[], "");
        was_ready.store(
            ready.is_ok_and(|answer| answer.status == 200),
            Ordering::SeqCst,
        );
        for thread in hostile {
            thread.join().unwrap();
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let stopped_at = Instant::now();
    let ready_after = loop {
        let ready = call(gateway.status, "GET", "/skylarkhook/ready", &[], "");
        let after = stopped_at.elapsed();
        if ready.is_ok_and(|answer| answer.status == 200) || after > READY_LIMIT {
            break after;
        }
    };
    thread::sleep(READY_LIMIT);
    let later_bytes = gateway.resident_bytes();
    let refused = refused.into_inner().unwrap();
    let ran = |id: &&String| stage.runs.of(id) > 0;
    let refused_that_ran = refused.iter().filter(ran).cloned().collect();
    Row {
        memory_mib: stage.memory_mib,
        shapes: shapes.to_vec(),
        place,
        calm,
        pressed,
        calm_bytes,
        peak_bytes: peak.into_inner(),
        later_bytes,
        refused_that_ran,
        refused: refused.len(),
        was_ready: was_ready.into_inner(),
        ready_after,
    }
}

/// Returns what is wrong with a row.
fn faults_of(row: &Row, stage: &mut Stage) -> Vec<String> {
    let mut faults = Vec::new();
    let mut check = |holds: bool, fault: &str| {
        if !holds {
            faults.push(format!("{fault}: {row}"));
        }
    };
    check(stage.gateway.is_running(), "the process ended");
    check(
        row.peak_bytes * 100 < row.memory_mib * MIB * 80,
        "over 80 in 100 of the memory",
    );
    check(
        row.pressed.served * 100 >= row.pressed.calls * 99 && row.pressed.calls > 0,
        "ordinary callers not served",
    );
    check(row.refused_that_ran.is_empty(), "a refused request has run");
    check(row.was_ready, "not ready while callers pressed");
    check(row.ready_after <= READY_LIMIT, "not ready afterwards");
    faults
}

fn play_all(memory_mib: u64, places: &[Place]) {
    let mut stage = stage(memory_mib);
    println!("{TABLE_HEAD}");
    let mut faults = Vec::new();
    for place in places {
        let mut cases: Vec<Vec<Shape>> = Shape::ALL.iter().map(|shape| vec![*shape]).collect();
        cases.push(Shape::ALL.to_vec());
        for shapes in cases {
            let row = play(&mut stage, &shapes, *place);
            println!("{row}");
            faults.extend(faults_of(&row, &mut stage));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn callers_at_a_route_cannot_fill_the_memory() {
    play_all(112, &[Place::Route]);
}

#[test]
#[ignore = "takes ten minutes; prints the table of docs/MEASUREMENTS.md"]
fn the_table() {
    for memory_mib in [112, 160, 260, 512] {
        play_all(memory_mib, &Place::ALL);
    }
}

/// Plays one shape at the paths where nothing of a body should be kept.
#[test]
fn bodies_without_a_route_are_refused_unread() {
    let mut stage = stage(112);
    let mut faults = Vec::new();
    for place in [
        Place::NoRoute,
        Place::ReadyPath,
        Place::Status,
        Place::Peers,
    ] {
        let row = play(&mut stage, &[Shape::HeldBody], place);
        println!("{row}");
        faults.extend(faults_of(&row, &mut stage));
        if matches!(place, Place::NoRoute | Place::ReadyPath) {
            assert!(row.refused > 0, "{row}");
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
