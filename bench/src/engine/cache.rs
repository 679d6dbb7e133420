//! An engine's prefix cache and its feed of events, late and with gaps.

use std::collections::VecDeque;

use skylarkhook::backend::CacheEvent;
use skylarkhook::clock::Millis;

/// Events kept for readers.
const EVENTS_MAX: usize = 4096;

/// Prefixes held, least recently used first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    held: VecDeque<(u64, u64)>,
    used: u64,
    events: VecDeque<(Millis, CacheEvent)>,
    sequence: u64,
    /// Events to lose by order.
    pub drop_events: u32,
}

impl PrefixCache {
    /// Returns the tokens of a prefix that are held, and marks it as used.
    pub fn touch(&mut self, prefix: u64) -> u64 {
        let Some(at) = self.held.iter().position(|(held, _)| *held == prefix) else {
            return 0;
        };
        match self.held.remove(at) {
            Some(entry) => {
                self.held.push_back(entry);
                entry.1
            }
            None => 0,
        }
    }

    /// Holds a prefix; others are evicted as far as `capacity` needs it.
    pub fn insert(&mut self, now: Millis, prefix: u64, tokens: u64, capacity: u64) {
        if tokens == 0 || tokens > capacity || self.touch(prefix) > 0 {
            return;
        }
        while self.used + tokens > capacity {
            let Some((evicted, freed)) = self.held.pop_front() else {
                break;
            };
            self.used -= freed;
            self.publish(now, evicted, false);
        }
        self.held.push_back((prefix, tokens));
        self.used += tokens;
        self.publish(now, prefix, true);
    }

    /// Forgets all prefixes, as after a crash, without an event.
    pub fn clear(&mut self) {
        self.held.clear();
        self.used = 0;
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    #[must_use]
    pub fn events(&self, now: Millis, lag: Millis, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| *at + lag <= now && event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn publish(&mut self, now: Millis, prefix: u64, held: bool) {
        self.sequence += 1;
        if self.drop_events > 0 {
            self.drop_events -= 1;
            return;
        }
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            held,
        };
        self.events.push_back((now, event));
    }
}
