use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use serde_json::Value;
use serde_json::json;

use super::EngineConfig;
use super::EngineFault;
use super::EngineHandle;
use super::EngineState;
use super::OldEpochs;
use super::Submit;
use super::Submitted;
use super::handle;
use crate::answer::expected_answer;
use crate::site::Site;
use skylarkhook::backend::Rejection;
use skylarkhook::clock::Millis;
use skylarkhook::declaration::Limits;

const REQUEST: &str = "00000000000000aa";

fn submit(prompt: &str, max_tokens: u32) -> Submit {
    Submit {
        request: REQUEST.to_owned(),
        attempt: 1,
        model: "callback-7b".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        ..Submit::default()
    }
}

fn named(number: u64, prompt: &str) -> Submit {
    Submit {
        request: format!("{number:016x}"),
        ..submit(prompt, 8)
    }
}

/// An engine whose time is set by the test.
struct SteppedEngine {
    site: Arc<Site>,
    /// Time up to which it may run.
    until: Arc<AtomicU64>,
}

impl SteppedEngine {
    fn start(cfg: EngineConfig) -> SteppedEngine {
        let state = Arc::new(Mutex::new(EngineState::new(cfg)));
        let now = Arc::new(AtomicU64::new(0));
        let until = Arc::new(AtomicU64::new(0));
        let (handled, time) = (Arc::clone(&state), Arc::clone(&now));
        let site = Site::start("127.0.0.1:0", move |request| {
            handle(&handled, Millis(time.load(Ordering::SeqCst)), request);
        })
        .unwrap();
        let (limit, ticked) = (Arc::clone(&until), Arc::downgrade(&state));
        let open = Arc::downgrade(&site);
        thread::spawn(move || {
            while let (Some(state), Some(_)) = (ticked.upgrade(), open.upgrade()) {
                let step = now.load(Ordering::SeqCst) + 1;
                let step = step.min(limit.load(Ordering::SeqCst));
                now.store(step, Ordering::SeqCst);
                state.lock().unwrap().tick(Millis(step));
                thread::yield_now();
            }
        });
        SteppedEngine { site, until }
    }

    fn run_until(&self, ms: u64) {
        self.until.store(ms, Ordering::SeqCst);
    }
}

fn post(engine: &EngineHandle, path: &str, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    post_to(engine.addr(), path, body)
}

fn post_to(addr: SocketAddr, path: &str, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    let url = format!("http://{addr}{path}");
    attohttpc::post(url)
        .text(body.to_string())
        .read_timeout(std::time::Duration::from_secs(5))
        .send()
}

fn generate(engine: &EngineHandle, prompt: &str, max_tokens: u32) -> attohttpc::Response {
    post(engine, "/v1/generate", &generate_body(prompt, max_tokens)).unwrap()
}

fn generate_body(prompt: &str, max_tokens: u32) -> Value {
    json!({
        "request": REQUEST, "attempt": 1, "owner": "a", "epoch": 1, "priority": 1,
        "model": "callback-7b", "prompt": prompt, "prompt_tokens": 1, "prefix": 1,
        "max_tokens": max_tokens, "offset": 0, "generated": "",
    })
}

/// Reads frames of an attempt until `count` or the finish; returns the text and
/// whether it finished.
fn read(answer: attohttpc::Response, attempt: u32, count: usize) -> (String, bool) {
    let mut text = String::new();
    let mut left = count;
    for line in BufReader::new(answer).lines() {
        let Ok(line) = line else { break };
        let Ok(frame) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        if frame["attempt"] != attempt {
            continue;
        }
        if !frame["finish"].is_null() {
            return (text, true);
        }
        text.push_str(frame["text"].as_str().unwrap());
        left -= 1;
        if left == 0 {
            break;
        }
    }
    (text, false)
}

fn fast() -> EngineConfig {
    EngineConfig {
        token_ms: 1.0,
        ..EngineConfig::default()
    }
}

#[test]
fn a_stream_is_whole_among_crossed_frames() {
    let engine = EngineHandle::start(fast()).unwrap();
    engine.fault(&EngineFault {
        crossed: Some(3),
        ..EngineFault::default()
    });
    let (text, whole) = read(generate(&engine, "hello", 20), 1, usize::MAX);
    assert!(whole);
    assert_eq!(text, expected_answer("hello", 20));
}

#[test]
fn a_stream_resumes_at_its_offset_after_a_cut() {
    let engine = SteppedEngine::start(fast());
    let addr = engine.site.addr();
    let answer = post_to(addr, "/v1/generate", &generate_body("hello", 60)).unwrap();
    // Time for some tokens, but not for the whole answer.
    engine.run_until(40);
    let (head, whole) = read(answer, 1, 5);
    assert!(!whole);
    let body = json!({"request": REQUEST, "attempt": 2, "owner": "b", "epoch": 1, "offset": 5});
    let answer = post_to(addr, "/v1/resume", &body).unwrap();
    engine.run_until(1_000);
    let (tail, whole) = read(answer, 2, usize::MAX);
    assert!(whole);
    assert_eq!(head + &tail, expected_answer("hello", 60));
    let stats = attohttpc::get(format!("http://{addr}/stats"))
        .send()
        .unwrap();
    let stats: Value = serde_json::from_str(&stats.text().unwrap()).unwrap();
    assert_eq!(
        (&stats["submitted"], &stats["resumed"]),
        (&1.into(), &1.into())
    );
}

#[test]
fn a_silent_connection_leaves_the_stream_to_be_resumed() {
    let engine = EngineHandle::start(fast()).unwrap();
    let open = generate(&engine, "hello", 60);
    engine.fault(&EngineFault {
        silent: true,
        ..EngineFault::default()
    });
    let body = json!({"request": REQUEST, "attempt": 2, "owner": "a", "epoch": 1, "offset": 0});
    let (text, whole) = read(post(&engine, "/v1/resume", &body).unwrap(), 2, usize::MAX);
    assert!(whole);
    assert_eq!(text, expected_answer("hello", 60));
    drop(open);
}

#[test]
fn a_crash_breaks_the_stream_off_and_changes_the_boot_number() {
    let engine = EngineHandle::start(EngineConfig::default()).unwrap();
    let answer = generate(&engine, "hello", 100);
    engine.fault(&EngineFault {
        crash: true,
        ..EngineFault::default()
    });
    let (_, whole) = read(answer, 1, usize::MAX);
    assert!(!whole);
    let stats = engine.stats();
    assert_eq!((stats.boot, stats.memory_used), (2, 0));
}

#[test]
fn a_cold_engine_falls_over_when_given_more_than_it_bears() {
    let mut state = EngineState::new(EngineConfig {
        cold: Limits {
            streams: 2,
            ..Limits::default()
        },
        ..EngineConfig::default()
    });
    assert_eq!(state.submit(Millis(1), &named(1, "a")), Submitted::Accepted);
    assert_eq!(state.submit(Millis(1), &named(2, "b")), Submitted::Accepted);
    assert_eq!(state.submit(Millis(1), &named(3, "c")), Submitted::Crashed);
    let stats = state.stats();
    assert_eq!((stats.cold_crashes, stats.boot), (1, 2));
    assert_eq!(stats.excess_cold.streams, 1);
}

#[test]
fn an_engine_that_turns_cold_bears_its_load_for_its_grace() {
    let mut state = EngineState::new(EngineConfig {
        cold: Limits {
            streams: 1,
            ..Limits::default()
        },
        prefill_tokens_per_s: 0.001,
        ..EngineConfig::default()
    });
    state.fault(
        Millis(0),
        &EngineFault {
            warm: true,
            ..EngineFault::default()
        },
    );
    state.submit(Millis(1), &named(1, "a"));
    state.submit(Millis(1), &named(2, "b"));
    state.fault(
        Millis(10),
        &EngineFault {
            cold: true,
            ..EngineFault::default()
        },
    );
    state.tick(Millis(2_000));
    assert_eq!(state.stats().cold_crashes, 0);
    state.tick(Millis(3_100));
    assert_eq!(state.stats().cold_crashes, 1);
    assert!(!state.stats().excess_cold.any());
}

#[test]
fn old_epochs_are_refused_or_counted() {
    let mut state = EngineState::new(EngineConfig::default());
    assert_eq!(state.check_epoch(5), Ok(()));
    assert_eq!(state.check_epoch(4), Err(Rejection::StaleEpoch));
    state.fault(
        Millis(0),
        &EngineFault {
            epochs: Some(OldEpochs::Ignore),
            ..EngineFault::default()
        },
    );
    assert_eq!(state.check_epoch(4), Ok(()));
    assert_eq!(state.stats().old_epochs_run, 1);
}

#[test]
fn a_stream_without_a_reader_frees_its_memory_after_the_grace() {
    let mut state = EngineState::new(EngineConfig {
        decode_tokens_per_s: 0.001,
        ..EngineConfig::default()
    });
    state.submit(Millis(0), &submit("hello", 8));
    assert_eq!(state.stats().memory_used, 10);
    state.tick(Millis(7_000));
    assert_eq!(state.stats().streams, 1);
    state.tick(Millis(8_000));
    let stats = state.stats();
    assert_eq!((stats.streams, stats.memory_used, stats.expired), (0, 0, 1));
}

#[test]
fn more_than_the_memory_is_refused() {
    let mut state = EngineState::new(EngineConfig {
        memory_tokens: 15,
        ..EngineConfig::default()
    });
    assert_eq!(
        state.submit(Millis(0), &named(1, "abcd")),
        Submitted::Accepted
    );
    let full = Submitted::Rejected(Rejection::Full);
    assert_eq!(state.submit(Millis(0), &named(2, "abcd")), full);
    assert!(state.cancel("0000000000000001"));
    assert_eq!(
        state.submit(Millis(0), &named(2, "abcd")),
        Submitted::Accepted
    );
}

#[test]
fn important_prompts_are_processed_first() {
    let mut state = EngineState::new(EngineConfig {
        prefill_tokens_per_s: 1000.0,
        ..EngineConfig::default()
    });
    state.submit(Millis(0), &named(1, &"a".repeat(800)));
    let urgent = Submit {
        priority: 9,
        ..named(2, &"b".repeat(800))
    };
    state.submit(Millis(0), &urgent);
    // Cold speed is a half: the first 200 ms process 100 of 400 tokens.
    state.tick(Millis(200));
    let report = state.load(Millis(10_000));
    assert_eq!(report.prefill_waiting, 300);
    state.tick(Millis(400));
    let first = |request: &str| state.streams[request].prefill_left;
    assert_eq!(first("0000000000000002"), 0.0);
    assert_eq!(first("0000000000000001"), 200.0);
}

#[test]
fn a_poisonous_prompt_crashes_the_engine_that_runs_it() {
    let mut state = EngineState::new(EngineConfig {
        poison: "<crash>".to_owned(),
        ..EngineConfig::default()
    });
    state.submit(Millis(0), &submit("a <crash> b", 8));
    state.tick(Millis(100));
    let stats = state.stats();
    assert_eq!((stats.poison_crashes, stats.down), (1, true));
}
