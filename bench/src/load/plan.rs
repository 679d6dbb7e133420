//! What the load tool sends and when: worked out from a seed beforehand, so
//! that two targets get the same requests at the same times.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

use crate::answer::BYTES_PER_TOKEN;
use skylarkhook::clock::Millis;

/// Length in tokens of the part that prompts of one workspace share.
const SHARED_TOKENS: usize = 256;
/// Shared parts of one workspace.
const SHARED_PARTS: u64 = 4;

/// A class of requests.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadClass {
    /// Its name in the tables.
    pub name: String,
    /// The request kind that callers name; empty: none.
    pub kind: String,
    /// Its share of the requests.
    pub weight: f64,
    /// The model; for a prompt.
    pub model: String,
    /// Shortest prompt, in tokens.
    pub prompt_min: u64,
    /// Longest prompt, in tokens; lengths between are spread evenly over their
    /// logarithms.
    pub prompt_max: u64,
    /// Output tokens allowed.
    pub max_tokens: u32,
    /// The plain service; empty: this class sends prompts.
    pub service: String,
    /// The plain service's operation.
    pub operation: String,
    /// The workspace that sends it; empty: any, by their shares.
    pub workspace: String,
    /// Whether a call must not run more than once: it gets an idempotency key.
    pub once: bool,
    /// Copies of one call sent at the same time to different instances.
    pub copies: u32,
    /// Times that a caller sends a failed request again.
    pub resends: u32,
    /// Text put into each prompt; all prompts of the class are the same then.
    pub marker: String,
    /// The time from which it is sent.
    pub from_ms: Millis,
}

impl Default for LoadClass {
    fn default() -> LoadClass {
        LoadClass {
            name: String::new(),
            kind: String::new(),
            weight: 1.0,
            model: "callback-7b".to_owned(),
            prompt_min: 1_000,
            prompt_max: 1_000,
            max_tokens: 32,
            service: String::new(),
            operation: String::new(),
            workspace: String::new(),
            once: false,
            copies: 1,
            resends: 0,
            marker: String::new(),
            from_ms: Millis::ZERO,
        }
    }
}

/// A workspace that sends requests.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadWorkspace {
    /// Its name.
    pub name: String,
    /// Its bearer token.
    pub token: String,
    /// Its share of the requests.
    pub weight: f64,
}

/// What to send.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// Seed of times, lengths and texts.
    pub seed: u64,
    /// How long requests are sent.
    pub span: Millis,
    /// Requests a second, on average.
    pub rate: f64,
    /// Classes of requests.
    pub classes: Vec<LoadClass>,
    /// Workspaces.
    pub workspaces: Vec<LoadWorkspace>,
    /// How long a caller waits for the next sign of its answer.
    pub patience: Millis,
}

/// One request of the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Its number.
    pub number: u64,
    /// When it is sent, after the start.
    pub at: Millis,
    /// Index of its class.
    pub class: usize,
    /// Index of its workspace.
    pub workspace: usize,
    /// Prompt length in tokens; 0 for a plain service.
    pub prompt_tokens: u64,
    /// Seed of its text.
    pub seed: u64,
}

impl LoadConfig {
    /// Works out all requests, in order of time.
    #[must_use]
    pub fn plan(&self) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut at = 0.0;
        let mut plan = Vec::new();
        loop {
            // Exponential gaps: a Poisson process.
            at += -(1.0 - rng.random::<f64>()).ln() / self.rate * 1000.0;
            if at >= self.span.0 as f64 {
                return plan;
            }
            let at = Millis(at as u64);
            let arrival = self.arrival(&mut rng, at, plan.len() as u64);
            // A class that has not begun leaves a gap, so that the others keep
            // their own rate.
            if self.classes[arrival.class].from_ms <= at {
                plan.push(arrival);
            }
        }
    }

    fn arrival(&self, rng: &mut ChaCha8Rng, at: Millis, number: u64) -> Arrival {
        let class = pick(rng, self.classes.iter().map(|class| class.weight));
        let any = pick(rng, self.workspaces.iter().map(|one| one.weight));
        let wanted = &self.classes[class];
        let named = self
            .workspaces
            .iter()
            .position(|one| one.name == wanted.workspace);
        let workspace = named.unwrap_or(any);
        let prompt_tokens = match wanted.service.is_empty() {
            true => length(rng, wanted.prompt_min, wanted.prompt_max),
            false => 0,
        };
        Arrival {
            number,
            at,
            class,
            workspace,
            prompt_tokens,
            seed: rng.random(),
        }
    }

    /// Returns the prompt of a request.
    #[must_use]
    pub fn prompt(&self, arrival: &Arrival) -> String {
        let class = &self.classes[arrival.class];
        let bytes = arrival.prompt_tokens as usize * BYTES_PER_TOKEN;
        let variant = arrival.workspace as u64 * SHARED_PARTS + arrival.seed % SHARED_PARTS;
        let (shared, own) = match class.marker.is_empty() {
            true => (variant, arrival.seed),
            false => (0, 1),
        };
        let mut text = class.marker.clone();
        fill(
            &mut text,
            shared,
            bytes.min(SHARED_TOKENS * BYTES_PER_TOKEN),
        );
        fill(&mut text, own, bytes);
        text
    }
}

/// Appends words until `text` has `bytes` bytes.
fn fill(text: &mut String, seed: u64, bytes: usize) {
    let mut word = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    while text.len() < bytes {
        word ^= word << 13;
        word ^= word >> 7;
        word ^= word << 17;
        text.push_str(&format!("{word:015x} "));
    }
    text.truncate(bytes.max(1));
}

fn pick(rng: &mut ChaCha8Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut at = rng.random::<f64>() * total;
    for (index, weight) in weights.enumerate() {
        if at < weight {
            return index;
        }
        at -= weight;
    }
    0
}

fn length(rng: &mut ChaCha8Rng, min: u64, max: u64) -> u64 {
    let (low, high) = ((min as f64).ln(), (max as f64).ln());
    (low + (high - low) * rng.random::<f64>()).exp().round() as u64
}
