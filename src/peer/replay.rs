//! Protection against replayed frames.
//!
//! For each sender the guard keeps the current boot number, up to
//! `MAX_PAST_BOOTS` earlier ones, and a sliding window of the highest
//! [`WINDOW_STAMPS`] stamps as in RFC 4303, section 3.4.3. Each frame is
//! accepted once. A process that has just started knows no stamps yet, so it
//! accepts each frame recorded before its start once, unless the stamp is too
//! low for a full window; the same holds once `MAX_SENDERS` is reached. A
//! replayed answer grants nothing, because answers between components name the
//! receiver's own request.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::id::Boot;

/// Number of stamps kept for each sender; once there are as many, frames with
/// lower stamps than all of them are rejected.
pub const WINDOW_STAMPS: usize = 256;
/// Number of earlier boot numbers kept for each sender; frames with one of them
/// are rejected.
const MAX_PAST_BOOTS: usize = 8;
/// Maximum number of senders kept, far above the number of peers of a process;
/// when it is reached, all are forgotten.
const MAX_SENDERS: usize = 4_096;

/// Rejects replayed frames, by the stamps seen from each sender.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<String, Sender>,
}

#[derive(Debug, Default)]
struct Sender {
    boot: Boot,
    past_boots: VecDeque<Boot>,
    stamps: BTreeSet<u64>,
}

impl ReplayGuard {
    /// Records a frame and returns whether it is new.
    pub fn accept(&mut self, from: &str, boot: Boot, stamp: u64) -> bool {
        if let Some(sender) = self.senders.get_mut(from) {
            return sender.accept(boot, stamp);
        }
        if self.senders.len() >= MAX_SENDERS {
            self.senders.clear();
        }
        let sender = Sender {
            boot,
            past_boots: VecDeque::new(),
            stamps: BTreeSet::from([stamp]),
        };
        self.senders.insert(from.to_owned(), sender);
        true
    }
}

impl Sender {
    fn accept(&mut self, boot: Boot, stamp: u64) -> bool {
        if self.past_boots.contains(&boot) {
            return false;
        }
        if boot != self.boot {
            self.restart(boot);
        }
        let full = self.stamps.len() >= WINDOW_STAMPS;
        let oldest = self.stamps.first().copied().unwrap_or(0);
        if full && stamp < oldest {
            return false;
        }
        if !self.stamps.insert(stamp) {
            return false;
        }
        if full {
            self.stamps.pop_first();
        }
        true
    }

    fn restart(&mut self, boot: Boot) {
        if self.past_boots.len() == MAX_PAST_BOOTS {
            self.past_boots.pop_front();
        }
        self.past_boots.push_back(self.boot);
        self.boot = boot;
        self.stamps.clear();
    }
}
