//! Prefix affinity: which engines keep a prompt's prefix in their cache.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar 1998, "Using name-based
//! mappings to increase hit rates"; weights after Schindelhauer and Schomaker
//! 2005, "Weighted distributed hash tables") names the engines of a prefix, so
//! that all instances agree without a message. How many they are follows from
//! the prefix's popularity. Cache events, late and with gaps, and what was sent
//! where are hints: they predict cached tokens and never decide alone.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::backend::CacheEvent;
use crate::clock::Millis;
use crate::fleet::BackendKey;

/// Prefixes that an instance remembers.
pub const PREFIXES: usize = 16_384;
/// Time after which an engine is taken to have evicted a prefix that nobody
/// sent there again.
pub const HOLD: Millis = Millis::from_secs(300);
/// Half-life of a prefix's popularity.
pub const POPULARITY_HALF_LIFE: Millis = Millis::from_secs(60);
/// Copies that all prefixes together get, for each engine.
pub const COPIES_PER_ENGINE: f64 = 4.0;
/// Cached tokens that are predicted for a prefix before any were seen.
pub const START_CACHED_TOKENS: u64 = 512;
/// Weight of a new sample in the average of cached tokens.
const LEARNING_RATE: f64 = 0.2;

/// How many engines keep a prefix.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Copies {
    /// One.
    One,
    /// All.
    All,
    /// In proportion to its popularity.
    #[default]
    Proportional,
}

/// What is known of a prefix.
#[derive(Debug, Clone)]
struct Prefix {
    popularity: f64,
    at: Millis,
    cached_tokens: f64,
    holders: Vec<(BackendKey, Millis)>,
}

/// What is known of all prefixes.
#[derive(Debug, Default)]
pub struct Affinity {
    /// How many engines keep a prefix.
    pub copies: Copies,
    prefixes: HashMap<u64, Prefix>,
    total: f64,
    total_at: Millis,
}

impl Affinity {
    /// Notes that a prompt with this prefix went to an engine.
    pub fn sent(&mut self, now: Millis, prefix: u64, backend: BackendKey) {
        if prefix == 0 {
            return;
        }
        self.make_room(now, prefix);
        self.total = decayed(self.total, now.since(self.total_at)) + 1.0;
        self.total_at = now;
        let known = self.prefixes.entry(prefix).or_insert_with(|| Prefix {
            popularity: 0.0,
            at: now,
            cached_tokens: START_CACHED_TOKENS as f64,
            holders: Vec::new(),
        });
        known.popularity = decayed(known.popularity, now.since(known.at)) + 1.0;
        known.at = now;
        known.hold(now, backend);
    }

    /// Takes over an engine's cache events.
    pub fn events(&mut self, now: Millis, backend: BackendKey, events: &[CacheEvent]) {
        for event in events {
            let Some(known) = self.prefixes.get_mut(&event.prefix) else {
                continue;
            };
            match event.held {
                true => known.hold(now, backend),
                false => known.holders.retain(|&(key, _)| key != backend),
            }
        }
    }

    /// Forgets what an engine held, as it started anew.
    pub fn forget(&mut self, backend: BackendKey) {
        for known in self.prefixes.values_mut() {
            known.holders.retain(|&(key, _)| key != backend);
        }
    }

    /// Learns how many tokens of a prefix an engine had, from the first token's
    /// time.
    pub fn observe(&mut self, prefix: u64, cached_tokens: u64) {
        if let Some(known) = self.prefixes.get_mut(&prefix) {
            known.cached_tokens += LEARNING_RATE * (cached_tokens as f64 - known.cached_tokens);
        }
    }

    /// Returns how many tokens of the prefix an engine is predicted to hold.
    #[must_use]
    pub fn cached_tokens(&self, now: Millis, prefix: u64, backend: BackendKey) -> u64 {
        let Some(known) = self.prefixes.get(&prefix) else {
            return 0;
        };
        let held = known
            .holders
            .iter()
            .any(|&(key, at)| key == backend && now.since(at) <= HOLD);
        if held { known.cached_tokens as u64 } else { 0 }
    }

    /// Returns how many of `engines` engines keep a prefix. The proportional
    /// rule is that of Rao, Chen, Fu and Bu 2007, "Optimal Proactive Caching in
    /// Peer-to-Peer Network: Analysis and Application", section 4.
    #[must_use]
    pub fn copies(&self, now: Millis, prefix: u64, engines: usize) -> usize {
        match self.copies {
            Copies::One => 1,
            Copies::All => engines,
            Copies::Proportional => {
                let share = self.share(now, prefix);
                let copies = share * engines as f64 * COPIES_PER_ENGINE;
                (copies.ceil() as usize).clamp(1, engines.max(1))
            }
        }
    }

    /// Returns a prefix's part of all requests with a prefix.
    fn share(&self, now: Millis, prefix: u64) -> f64 {
        let Some(known) = self.prefixes.get(&prefix) else {
            return 0.0;
        };
        let total = decayed(self.total, now.since(self.total_at));
        decayed(known.popularity, now.since(known.at)) / total.max(1.0)
    }

    /// Drops the less popular half when too many prefixes are known.
    fn make_room(&mut self, now: Millis, prefix: u64) {
        if self.prefixes.len() < PREFIXES || self.prefixes.contains_key(&prefix) {
            return;
        }
        let mut ranked: Vec<(f64, u64)> = self
            .prefixes
            .iter()
            .map(|(&prefix, known)| (decayed(known.popularity, now.since(known.at)), prefix))
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, prefix) in &ranked[..PREFIXES / 2] {
            self.prefixes.remove(prefix);
        }
    }
}

impl Prefix {
    fn hold(&mut self, now: Millis, backend: BackendKey) {
        self.holders
            .retain(|&(key, at)| key != backend && now.since(at) <= HOLD);
        self.holders.push((backend, now));
    }
}

/// Returns the rendezvous score of an engine for a prefix; the highest score is
/// the prefix's first engine. `weight` is the engine's size relative to others.
#[must_use]
pub fn score(prefix: u64, engine: u64, weight: f64) -> f64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&prefix.to_le_bytes());
    buf[8..].copy_from_slice(&engine.to_le_bytes());
    // 53 bits make a number in (0, 1).
    let bits = (xxh3_64(&buf) >> 11) as f64;
    let unit = (bits + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}

/// Returns a popularity after `span` without requests.
fn decayed(popularity: f64, span: Millis) -> f64 {
    popularity * (-(span.0 as f64) / POPULARITY_HALF_LIFE.0 as f64).exp2()
}

#[cfg(test)]
mod tests;
