//! A backend server, in memory: streams with a steady pace, a cold start that
//! falls over, a memory that is freed on cancel or after a grace.

use std::collections::BTreeMap;

use skylarkhook::backend::LoadReport;
use skylarkhook::backend::RunningStream;
use skylarkhook::clock::Millis;
use skylarkhook::declaration::Limits;
use skylarkhook::id::AttemptId;
use skylarkhook::id::Boot;
use skylarkhook::id::Epoch;
use skylarkhook::id::RequestId;

/// Time for which a stream runs on without a reader.
pub const RESUME_GRACE: Millis = Millis(5_000);
/// Time to process a thousand prompt tokens.
const PREFILL_PER_1000: Millis = Millis(100);
/// Time between two tokens of one stream.
const TOKEN_PERIOD: Millis = Millis(20);
/// Time from a crash to the restart.
const RESTART: Millis = Millis(1_500);
/// Age of load reports.
const REPORT_AGE: Millis = Millis(300);

/// Who reads a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reader {
    pub instance: String,
    pub boot: Boot,
    pub attempt: AttemptId,
    /// The connection carries nothing any more, without an end.
    pub silent: bool,
}

#[derive(Debug)]
pub struct Stream {
    pub owner: String,
    pub reader: Option<Reader>,
    pub offset: u32,
    pub total: u32,
    pub next: Millis,
    pub last_read: Millis,
    pub poison: bool,
    pub memory_tokens: u64,
}

#[derive(Debug)]
pub struct Engine {
    pub name: String,
    pub domain: String,
    pub warm: Limits,
    pub cold: Limits,
    pub boot: Boot,
    pub down_until: Millis,
    pub epoch: Epoch,
    pub refuses_old_epochs: bool,
    pub streams: BTreeMap<RequestId, Stream>,
    /// Completions since the start.
    pub completed: u32,
    pub warm_after: u32,
    pub crashes: u32,
    /// Arrivals above what it bore at the time.
    pub excess: u32,
    pub trace: Vec<String>,
}

/// What happens to a stream at one moment.
#[derive(Debug)]
pub enum Step {
    Token(RequestId, u32),
    Finish(RequestId),
    Crash,
}

impl Engine {
    pub fn new(name: &str, domain: &str, warm: Limits, cold: Limits) -> Engine {
        Engine {
            name: name.to_owned(),
            domain: domain.to_owned(),
            warm,
            cold,
            boot: Boot(1),
            down_until: Millis::ZERO,
            epoch: Epoch::default(),
            refuses_old_epochs: true,
            streams: BTreeMap::new(),
            completed: 0,
            warm_after: 3,
            crashes: 0,
            excess: 0,
            trace: Vec::new(),
        }
    }

    pub fn is_up(&self, now: Millis) -> bool {
        now >= self.down_until
    }

    fn limits(&self) -> Limits {
        if self.completed < self.warm_after {
            return self.cold;
        }
        self.warm
    }

    /// Takes a stream in; returns whether the engine bore it.
    pub fn take(&mut self, now: Millis, request: RequestId, stream: Stream) -> bool {
        let limits = self.limits();
        self.streams.insert(request, stream);
        let streams = self.streams.len();
        let memory: u64 = self.streams.values().map(|s| s.memory_tokens).sum();
        let over = streams > limits.streams as usize
            || (limits.memory_tokens > 0 && memory > limits.memory_tokens);
        if over {
            self.excess += 1;
            let owners: Vec<&str> = self.streams.values().map(|s| s.owner.as_str()).collect();
            self.trace.push(format!(
                "{} ms: {} bears {} streams, {memory} of {} tokens, got {streams} from {owners:?}",
                now.0, self.name, limits.streams, limits.memory_tokens
            ));
        }
        let falls = over && self.completed < self.warm_after;
        !falls
    }

    pub fn prefill(now: Millis, prompt_tokens: u64) -> Millis {
        now + Millis(PREFILL_PER_1000.0 * prompt_tokens / 1_000) + TOKEN_PERIOD
    }

    /// Returns what happens now, in order.
    pub fn step(&mut self, now: Millis) -> Vec<Step> {
        let mut steps = Vec::new();
        let forgotten = |stream: &Stream| {
            stream.reader.is_none() && now.since(stream.last_read) >= RESUME_GRACE
        };
        self.streams.retain(|_, stream| !forgotten(stream));
        for (&request, stream) in &mut self.streams {
            while stream.next <= now && stream.offset < stream.total {
                if stream.poison {
                    return vec![Step::Crash];
                }
                steps.push(Step::Token(request, stream.offset));
                stream.offset += 1;
                stream.next += TOKEN_PERIOD;
            }
            let read = stream.reader.as_ref().is_some_and(|reader| !reader.silent);
            if stream.offset == stream.total && read {
                steps.push(Step::Finish(request));
            }
        }
        steps
    }

    /// Loses everything; returns who was reading.
    pub fn crash(&mut self, now: Millis) -> Vec<Reader> {
        self.boot.0 += 1;
        self.down_until = now + RESTART;
        self.completed = 0;
        self.crashes += 1;
        self.epoch = Epoch::default();
        let streams = std::mem::take(&mut self.streams);
        let readers = streams.into_values().filter_map(|stream| stream.reader);
        readers.collect()
    }

    pub fn report(&self, models: &str) -> LoadReport {
        LoadReport {
            boot: self.boot,
            epoch: self.epoch,
            age_ms: REPORT_AGE,
            memory_used: self.streams.values().map(|s| s.memory_tokens).sum(),
            memory_total: self.warm.memory_tokens,
            prefill_waiting: 0,
            streams: self
                .streams
                .iter()
                .map(|(&request, stream)| RunningStream {
                    request,
                    owner: stream.owner.clone(),
                    memory_tokens: stream.memory_tokens,
                })
                .collect(),
            models: vec![models.to_owned()],
        }
    }
}

/// A plain service: counts how often each key ran.
#[derive(Debug, Default)]
pub struct Service {
    pub runs: BTreeMap<String, u32>,
    /// Runs the next calls and loses their answers.
    pub lose_answers: u32,
    pub down: bool,
}

impl Service {
    pub fn report(&self) -> LoadReport {
        LoadReport {
            boot: Boot(1),
            epoch: Epoch::default(),
            age_ms: REPORT_AGE,
            memory_used: 0,
            memory_total: 0,
            prefill_waiting: 0,
            streams: Vec::new(),
            models: Vec::new(),
        }
    }
}

/// Time that a plain service takes for a call.
pub const SERVICE_TIME: Millis = Millis(30);
