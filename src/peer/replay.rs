//! Rejection of frames that were recorded and sent again.
//!
//! For each sender the guard keeps the boot number in use, the last ones before
//! it, and a window of stamps as in RFC 4303, section 3.4.3. A frame passes
//! once. A process that has just started knows no stamps yet, so a recorded
//! frame of a living process can reach it once; duties name the receiver's own
//! request in what they answer, so that such a frame grants nothing.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::id::Boot;

/// Stamps kept for each sender; frames that are older than all of them fail.
pub const WINDOW_STAMPS: usize = 256;
/// Earlier boot numbers kept for each sender.
const PAST_BOOTS: usize = 8;
/// Senders kept; far more than a process has peers.
const MAX_SENDERS: usize = 4_096;

/// Frames seen, by sender.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<String, Sender>,
}

#[derive(Debug, Default)]
struct Sender {
    boot: Boot,
    past: VecDeque<Boot>,
    stamps: BTreeSet<u64>,
}

impl ReplayGuard {
    /// Takes a frame into account and returns whether it is new.
    pub fn admit(&mut self, from: &str, boot: Boot, stamp: u64) -> bool {
        if let Some(sender) = self.senders.get_mut(from) {
            return sender.admit(boot, stamp);
        }
        if self.senders.len() >= MAX_SENDERS {
            self.senders.clear();
        }
        let sender = Sender {
            boot,
            past: VecDeque::new(),
            stamps: BTreeSet::from([stamp]),
        };
        self.senders.insert(from.to_owned(), sender);
        true
    }
}

impl Sender {
    fn admit(&mut self, boot: Boot, stamp: u64) -> bool {
        if self.past.contains(&boot) {
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
        if self.past.len() == PAST_BOOTS {
            self.past.pop_front();
        }
        self.past.push_back(self.boot);
        self.boot = boot;
        self.stamps.clear();
    }
}
