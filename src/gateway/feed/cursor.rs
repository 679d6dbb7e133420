//! What to ask the store for next.
//!
//! A watch continues from a position. While it fails because the store does not
//! respond, the same watch succeeds once the store is back. A response that cannot
//! be read, or is too large, stays so for as long as the store keeps its history:
//! then the current state is read instead, as only the newest version of a key
//! matters. No position is kept for good on calls that fail.

use std::time::Duration;

use super::StoreError;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;

/// Consecutive failures after which one call reads the current state instead. Few
/// instances are at that one when a store is back after an outage.
const FAILURES_PER_READ: u32 = 8;
/// Time in which the response to a read has to begin. All instances may read a large
/// configuration at the same moment, so that the last responses begin late; each
/// call that is given up is made again.
const READ_HEAD_TIMEOUT: Duration = Duration::from_millis(1_400);
/// How often that limit doubles while calls fail.
const MAX_DOUBLINGS: u32 = 1;

/// The next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// Reads the current state; the response has to begin within this time.
    Read(Duration),
    /// Watches for changes after this position.
    Watch(StorePosition),
}

/// Where to continue reading a part of the store.
#[derive(Debug, Default)]
pub(super) struct Cursor {
    position: Option<StorePosition>,
    /// Consecutive calls that failed.
    failures: u32,
}

impl Cursor {
    /// Returns what to ask for next. A position of another era says nothing about
    /// where to continue.
    pub(super) fn next(&self, era: StoreEra) -> Next {
        let position = self.position.filter(|position| position.era == era);
        let is_due = self.failures > 0 && self.failures % FAILURES_PER_READ == 0;
        match position {
            Some(position) if !is_due => Next::Watch(position),
            Some(_) | None => {
                Next::Read(READ_HEAD_TIMEOUT * (1 << self.failures.min(MAX_DOUBLINGS)))
            }
        }
    }

    /// Returns whether the latest call failed.
    pub(super) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records the result of a call.
    pub(super) fn record(&mut self, result: &Result<StorePosition, StoreError>) {
        match result {
            Ok(position) => {
                self.position = Some(*position);
                self.failures = 0;
            }
            Err(StoreError::Compacted | StoreError::Restored | StoreError::Moved) => {
                self.position = None;
            }
            Err(StoreError::NotFound | StoreError::Unreadable(_) | StoreError::Incomplete(_)) => {
                self.position = None;
                self.failures = self.failures.saturating_add(1);
            }
            Err(StoreError::Unavailable(_)) => self.failures = self.failures.saturating_add(1),
        }
    }
}
