//! Prefix affinity: which engines should have a prompt's prefix in their cache.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar 1998, "Using name-based
//! mappings to increase hit rates"; weights after Schindelhauer and Schomaker
//! 2005, "Weighted distributed hash tables") assigns engines to each prefix, so
//! that all instances agree without communication. The number of engines
//! follows from the prefix's popularity. Sent prompts and cache events, which
//! may be late or incomplete, are only hints: they predict cached tokens but do
//! not determine which engines are assigned a prefix.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::backend::CacheEvent;
use crate::clock::Millis;
use crate::fleet::BackendKey;

/// Maximum prefixes that an instance tracks.
pub const MAX_PREFIXES: usize = 16_384;
/// Time after which an engine is assumed to have evicted a prefix that was not
/// sent there again.
pub const HOLDER_TTL: Millis = Millis::from_secs(300);
/// Half-life of a prefix's popularity.
pub const POPULARITY_HALF_LIFE: Millis = Millis::from_secs(60);
/// Mean number of prefixes that each engine should cache under
/// [`ReplicationPolicy::Proportional`].
pub const COPIES_PER_ENGINE: f64 = 4.0;
/// Predicted cached tokens of a prefix before the first sample.
pub const INITIAL_CACHED_TOKENS: u64 = 512;
/// Weight of a new sample in the moving average of a prefix's cached tokens.
const LEARNING_RATE: f64 = 0.2;

/// Policy for the number of engines that cache a prefix.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReplicationPolicy {
    /// One engine.
    One,
    /// All engines.
    All,
    /// In proportion to the prefix's popularity.
    #[default]
    Proportional,
}

/// Statistics and presumed holders of a prefix.
#[derive(Debug, Clone)]
struct PrefixStats {
    /// Decaying number of requests.
    popularity: f64,
    updated_at: Millis,
    /// Moving average of the cached tokens.
    cached_tokens: f64,
    /// Engines presumed to cache the prefix, each with the time of the newest
    /// evidence.
    holders: Vec<(BackendKey, Millis)>,
}

/// Prefix affinity of one instance.
#[derive(Debug, Default)]
pub struct Affinity {
    /// Policy for the number of engines that cache a prefix.
    pub replication_policy: ReplicationPolicy,
    prefixes: HashMap<u64, PrefixStats>,
    /// Decaying number of requests with any prefix.
    total_popularity: f64,
    total_updated_at: Millis,
}

impl Affinity {
    /// Records that a prompt with this prefix was sent to an engine; a `prefix`
    /// of 0 means none.
    pub fn record_sent(&mut self, now: Millis, prefix: u64, backend: BackendKey) {
        if prefix == 0 {
            return;
        }
        self.evict_unpopular(now, prefix);
        self.total_popularity =
            decayed(self.total_popularity, now.since(self.total_updated_at)) + 1.0;
        self.total_updated_at = now;
        let entry = self.prefixes.entry(prefix).or_insert_with(|| PrefixStats {
            popularity: 0.0,
            updated_at: now,
            cached_tokens: INITIAL_CACHED_TOKENS as f64,
            holders: Vec::new(),
        });
        entry.popularity = decayed(entry.popularity, now.since(entry.updated_at)) + 1.0;
        entry.updated_at = now;
        entry.add_holder(now, backend);
    }

    /// Applies an engine's cache events.
    pub fn apply_events(&mut self, now: Millis, backend: BackendKey, events: &[CacheEvent]) {
        for event in events {
            let Some(entry) = self.prefixes.get_mut(&event.prefix) else {
                continue;
            };
            match event.held {
                true => entry.add_holder(now, backend),
                false => entry.holders.retain(|&(key, _)| key != backend),
            }
        }
    }

    /// Removes an engine from the holders of all prefixes, after it restarted.
    pub fn clear_holder(&mut self, backend: BackendKey) {
        for entry in self.prefixes.values_mut() {
            entry.holders.retain(|&(key, _)| key != backend);
        }
    }

    /// Learns how many tokens of a prefix were cached, as inferred from the
    /// time to first token.
    pub fn observe_cached_tokens(&mut self, prefix: u64, cached_tokens: u64) {
        if let Some(entry) = self.prefixes.get_mut(&prefix) {
            entry.cached_tokens += LEARNING_RATE * (cached_tokens as f64 - entry.cached_tokens);
        }
    }

    /// Returns how many tokens of the prefix an engine is predicted to have cached.
    #[must_use]
    pub fn cached_tokens(&self, now: Millis, prefix: u64, backend: BackendKey) -> u64 {
        let Some(entry) = self.prefixes.get(&prefix) else {
            return 0;
        };
        let is_holder = entry
            .holders
            .iter()
            .any(|&(key, at)| key == backend && now.since(at) <= HOLDER_TTL);
        if is_holder {
            entry.cached_tokens as u64
        } else {
            0
        }
    }

    /// Returns how many of `engines` engines should cache a prefix. The
    /// proportional rule is that of Rao, Chen, Fu and Bu 2007, "Optimal
    /// Proactive Caching in Peer-to-Peer Network: Analysis and Application",
    /// section 4.
    #[must_use]
    pub fn replica_count(&self, now: Millis, prefix: u64, engines: usize) -> usize {
        match self.replication_policy {
            ReplicationPolicy::One => 1,
            ReplicationPolicy::All => engines,
            ReplicationPolicy::Proportional => {
                let share = self.share(now, prefix);
                let copies = share * engines as f64 * COPIES_PER_ENGINE;
                (copies.ceil() as usize).clamp(1, engines.max(1))
            }
        }
    }

    /// Returns a prefix's share of all requests with a prefix.
    fn share(&self, now: Millis, prefix: u64) -> f64 {
        let Some(entry) = self.prefixes.get(&prefix) else {
            return 0.0;
        };
        let total = decayed(self.total_popularity, now.since(self.total_updated_at));
        decayed(entry.popularity, now.since(entry.updated_at)) / total.max(1.0)
    }

    /// Drops the less popular half of the prefixes if a new one would exceed
    /// [`MAX_PREFIXES`].
    fn evict_unpopular(&mut self, now: Millis, prefix: u64) {
        if self.prefixes.len() < MAX_PREFIXES || self.prefixes.contains_key(&prefix) {
            return;
        }
        let mut ranked: Vec<(f64, u64)> = self
            .prefixes
            .iter()
            .map(|(&prefix, entry)| {
                (
                    decayed(entry.popularity, now.since(entry.updated_at)),
                    prefix,
                )
            })
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, prefix) in &ranked[..MAX_PREFIXES / 2] {
            self.prefixes.remove(prefix);
        }
    }
}

impl PrefixStats {
    fn add_holder(&mut self, now: Millis, backend: BackendKey) {
        self.holders
            .retain(|&(key, at)| key != backend && now.since(at) <= HOLDER_TTL);
        self.holders.push((backend, now));
    }
}

/// Returns the rendezvous score of an engine for a prefix; the engines with the
/// highest scores are assigned the prefix. `weight` is the engine's relative
/// size.
#[must_use]
pub fn rendezvous_score(prefix: u64, engine_hash: u64, weight: f64) -> f64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&prefix.to_le_bytes());
    buf[8..].copy_from_slice(&engine_hash.to_le_bytes());
    // The upper 53 bits, the precision of `f64`, give a value in (0, 1).
    let bits = (xxh3_64(&buf) >> 11) as f64;
    let uniform = (bits + 0.5) / (1u64 << 53) as f64;
    -weight / uniform.ln()
}

/// Returns a popularity after `elapsed` without requests.
fn decayed(popularity: f64, elapsed: Millis) -> f64 {
    popularity * (-(elapsed.0 as f64) / POPULARITY_HALF_LIFE.0 as f64).exp2()
}

#[cfg(test)]
mod tests;
