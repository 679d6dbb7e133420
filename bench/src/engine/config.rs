//! Settings, fault orders and counters of an engine.

use serde::Deserialize;
use serde::Serialize;

use skylarkhook::clock::Millis;
use skylarkhook::declaration::Limits;

/// What an engine does with an order under an epoch older than one it has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OldEpochs {
    /// Refuses it.
    #[default]
    Refuse,
    /// Carries it out.
    Ignore,
}

/// Settings of an engine.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineConfig {
    /// Its name in the instance list.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Address to listen on, `ip:port`.
    pub addr: String,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Prompt tokens processed in a second.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated in a second over the whole batch.
    pub decode_tokens_per_s: f64,
    /// Shortest time between two tokens of one stream.
    pub token_ms: f64,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Memory for cached prefixes, in tokens.
    pub cache_tokens: u64,
    /// Tokens of a prompt that a cached prefix saves at most.
    pub prefix_tokens: u64,
    /// Requests to complete until it is warm.
    pub cold_completions: u32,
    /// Speed of a cold engine against a warm one.
    pub cold_speed: f64,
    /// Limits it is declared with when warm; exceeding them is counted.
    pub warm: Limits,
    /// What it bears in a cold start; it falls over when given more.
    pub cold: Limits,
    /// How long it is down after a crash.
    pub restart_ms: Millis,
    /// How long it bears streams above the cold limit after it turned cold.
    pub cold_grace_ms: Millis,
    /// Age of load reports.
    pub load_lag_ms: Millis,
    /// Age of cache events.
    pub event_lag_ms: Millis,
    /// How long a stream runs on without a connection.
    pub grace_ms: Millis,
    /// What it does with old epochs.
    pub old_epochs: OldEpochs,
    /// Text in a prompt that crashes the engine; empty: none.
    pub poison: String,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            name: "engine".to_owned(),
            domain: "domain".to_owned(),
            addr: "127.0.0.1:0".to_owned(),
            models: vec!["callback-7b".to_owned()],
            prefill_tokens_per_s: 100_000.0,
            decode_tokens_per_s: 2_000.0,
            token_ms: 10.0,
            memory_tokens: 400_000,
            cache_tokens: 200_000,
            prefix_tokens: 256,
            cold_completions: 8,
            cold_speed: 0.5,
            warm: Limits::default(),
            cold: Limits::default(),
            restart_ms: Millis(1_000),
            cold_grace_ms: Millis(3_000),
            load_lag_ms: Millis(300),
            event_lag_ms: Millis(500),
            grace_ms: Millis(8_000),
            old_epochs: OldEpochs::Refuse,
            poison: String::new(),
        }
    }
}

/// A fault order.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFault {
    /// Ends the process; it comes back cold after its restart time.
    pub crash: bool,
    /// Is down for so long.
    pub down_ms: Option<Millis>,
    /// Turns cold without ending anything.
    pub cold: bool,
    /// Is warm from now on.
    pub warm: bool,
    /// Factor on all speeds.
    pub slow: Option<f64>,
    /// Nothing arrives any more on the connections that are open now.
    pub silent: bool,
    /// Puts a frame of another attempt before each of the next frames.
    pub crossed: Option<u32>,
    /// Frames leave so much later.
    pub late_ms: Option<Millis>,
    /// Accepts the next streams and cuts their connections without a word.
    pub lose_answers: Option<u32>,
    /// Age of load reports.
    pub lag_ms: Option<Millis>,
    /// Loses the next cache events.
    pub drop_events: Option<u32>,
    /// Age of cache events.
    pub delay_events_ms: Option<Millis>,
    /// What it does with old epochs.
    pub epochs: Option<OldEpochs>,
    /// Takes no more work.
    pub leave: bool,
}

/// Amounts in flight: the highest seen, and the highest above a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Marks {
    /// Streams.
    pub streams: u64,
    /// Memory tokens.
    pub memory_tokens: u64,
    /// Prompt tokens not yet processed.
    pub prefill_tokens: u64,
}

impl Marks {
    /// Raises each mark to what was seen.
    pub fn raise(&mut self, seen: Marks) {
        self.streams = self.streams.max(seen.streams);
        self.memory_tokens = self.memory_tokens.max(seen.memory_tokens);
        self.prefill_tokens = self.prefill_tokens.max(seen.prefill_tokens);
    }

    /// Returns how far the amounts lie above `limits`, where 0 is no limit.
    #[must_use]
    pub fn above(self, limits: Limits) -> Marks {
        let over = |seen: u64, limit: u64| {
            if limit == 0 {
                0
            } else {
                seen.saturating_sub(limit)
            }
        };
        Marks {
            streams: over(self.streams, u64::from(limits.streams)),
            memory_tokens: over(self.memory_tokens, limits.memory_tokens),
            prefill_tokens: over(self.prefill_tokens, limits.prefill_tokens),
        }
    }

    /// Returns whether any mark is above zero.
    #[must_use]
    pub fn any(self) -> bool {
        self != Marks::default()
    }
}

/// Counters of an engine over all its boots.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct EngineStats {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Boot number.
    pub boot: u64,
    /// Whether it is warm.
    pub warm: bool,
    /// Whether it is down.
    pub down: bool,
    /// Streams accepted.
    pub submitted: u64,
    /// Streams that ran to their end.
    pub completed: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Streams replaced by another attempt of their request.
    pub replaced: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Streams dropped as nobody resumed them in time.
    pub expired: u64,
    /// Crashes of any cause.
    pub crashes: u64,
    /// Crashes as a cold engine was given too much.
    pub cold_crashes: u64,
    /// Crashes by a poisonous prompt.
    pub poison_crashes: u64,
    /// Refusals for lack of memory, or as it is leaving.
    pub refused_full: u64,
    /// Refusals of old epochs.
    pub refused_epoch: u64,
    /// Orders under old epochs that were carried out.
    pub old_epochs_run: u64,
    /// Continued answers whose text so far was not this prompt's.
    pub wrong_continuations: u64,
    /// Prompt tokens processed.
    pub prefill_tokens: u64,
    /// Prompt tokens that the prefix cache saved.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Highest number of runs of one request.
    pub runs_max: u32,
    /// Highest amounts in flight.
    pub highest: Marks,
    /// Highest excess over the limits declared for a warm engine.
    pub excess_warm: Marks,
    /// Highest excess over the limits declared for a cold engine.
    pub excess_cold: Marks,
    /// Streams held now.
    pub streams: u64,
    /// Memory held now, in tokens.
    pub memory_used: u64,
}
