//! Which of the bodies that are being read yields when the memory budget is used
//! up.
//!
//! It is meant for callers that send bodies of legal size and stop short of their
//! end, or send slowly, beside callers that send at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::clock::Millis;
use crate::gateway::memory_budget::LeasedBuffer;

/// Time without a byte after which the reading of a body counts as stalled.
const STALL_TIME: Millis = Millis(250);

/// Bodies of callers that are being read and hold a lease. When the budget is used
/// up, the slowest and largest of them yields.
#[derive(Debug, Clone, Default)]
pub struct BodyReads(Rc<Reads>);

#[derive(Debug, Default)]
struct Reads {
    reads: RefCell<HashMap<u64, BodyRead>>,
    next_id: Cell<u64>,
}

#[derive(Debug, Clone)]
struct BodyRead {
    held: usize,
    received: usize,
    began: Millis,
    progressed: Millis,
    yields: Rc<Notify>,
}

impl BodyRead {
    /// Returns how early it yields; the greatest first. Stalled ones come before
    /// those that progress, the largest first; of the others the slowest.
    fn yield_rank(&self, now: Millis) -> (bool, usize) {
        let is_stalled = now.since(self.progressed) >= STALL_TIME;
        if is_stalled {
            return (true, self.held);
        }
        let elapsed = usize::try_from(now.since(self.began).0).unwrap_or(usize::MAX);
        let bytes_per_ms = self.received / elapsed.max(1);
        (false, usize::MAX - bytes_per_ms)
    }
}

/// The reading of one body; it ends when this is dropped.
#[derive(Debug)]
pub struct ReadingBody {
    reads: BodyReads,
    id: u64,
    yields: Rc<Notify>,
}

impl BodyReads {
    /// Records that the reading of a body holds a lease from now on.
    #[must_use]
    pub fn begin(&self, now: Millis) -> ReadingBody {
        let id = self.0.next_id.get();
        self.0.next_id.set(id + 1);
        let yields = Rc::new(Notify::new());
        let read = BodyRead {
            held: 0,
            received: 0,
            began: now,
            progressed: now,
            yields: Rc::clone(&yields),
        };
        self.0.reads.borrow_mut().insert(id, read);
        ReadingBody {
            reads: self.clone(),
            id,
            yields,
        }
    }

    /// Returns the bytes that stalled reads hold.
    #[must_use]
    pub fn stalled_bytes(&self, now: Millis) -> usize {
        let reads = self.0.reads.borrow();
        reads
            .values()
            .filter(|read| now.since(read.progressed) >= STALL_TIME)
            .map(|read| read.held)
            .sum()
    }

    /// Lets the slowest or largest read yield; returns which one it is, if any.
    #[must_use]
    pub fn yield_one(&self, now: Millis) -> Option<u64> {
        let mut reads = self.0.reads.borrow_mut();
        let first = reads
            .iter()
            .max_by_key(|(id, read)| (read.yield_rank(now), **id))
            .map(|(id, _)| *id)?;
        // It is no candidate again.
        let read = reads.remove(&first)?;
        read.yields.notify_one();
        Some(first)
    }
}

impl ReadingBody {
    /// Returns its number among the reads.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Records that bytes arrived.
    pub fn progress(&self, now: Millis, buf: &LeasedBuffer) {
        if let Some(read) = self.reads.0.reads.borrow_mut().get_mut(&self.id) {
            read.held = buf.held();
            read.received = buf.len();
            read.progressed = now;
        }
    }

    /// Waits until it has to yield.
    pub async fn yielded(&self) {
        self.yields.notified().await;
    }
}

impl Drop for ReadingBody {
    fn drop(&mut self) {
        self.reads.0.reads.borrow_mut().remove(&self.id);
    }
}
