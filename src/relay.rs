//! Relays between the traffic threads that read answers and the threads that
//! write them to callers: one relay per request.
//!
//! A relay keeps the complete text received so far, because an attempt on
//! another engine has to continue it. The caller's thread consumes that text at
//! its own speed: a slow caller delays no engine and no other caller, and its
//! memory use is limited to its own answer.
//!
//! Each push carries its attempt and offset. Only the next token of the current
//! attempt is accepted, so that a caller gets every token once and in order even
//! if frames arrive late, duplicated or for the wrong attempt.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::control::Reply;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::metrics::Count;
use crate::metrics::Metrics;

/// Number of shards of the table, each with its own lock.
const SHARDS: usize = 16;

/// The next item for a caller's thread to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// Text of one or more tokens.
    Text { text: String, tokens: u32 },
    /// A plain service's answer.
    Body { status: u16, body: Vec<u8> },
    /// The final event. `finish` is set if an engine completed the answer.
    End {
        reply: Reply,
        finish: Option<Finish>,
    },
}

/// Why an engine ended an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model finished the answer.
    Stop,
    /// The maximum number of output tokens is reached.
    Length,
}

impl Finish {
    /// Returns the `finish_reason` value for callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Finish::Stop => "stop",
            Finish::Length => "length",
        }
    }
}

/// Result of pushing a frame into a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushResult {
    /// The frame was accepted.
    Accepted,
    /// Dropped: a duplicate, or from an attempt that is not the current one.
    Stale,
    /// Dropped: earlier tokens are missing, so the stream is broken.
    Gap,
    /// Dropped: the caller disconnected or has its final reply.
    Closed,
}

/// The part of the answer that precedes an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerPrefix {
    /// Number of tokens the relay has received.
    pub offset: u32,
    /// Their text.
    pub text: String,
    /// Why an earlier attempt completed the answer, if it did.
    pub finish: Option<Finish>,
}

/// All relays of a process.
#[derive(Debug, Clone)]
pub struct Relays {
    shards: Arc<[Mutex<Shard>]>,
    metrics: Arc<Metrics>,
}

impl Relays {
    /// Returns an empty table.
    #[must_use]
    pub fn new(metrics: Arc<Metrics>) -> Relays {
        Relays {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            metrics,
        }
    }

    /// Opens a request's relay and returns the caller's end of it.
    #[must_use]
    pub fn open(&self, request: RequestId) -> CallerSide {
        let (tx, rx) = flume::bounded(1);
        self.shard(request).relays.insert(request, Relay::new(tx));
        CallerSide {
            relays: self.clone(),
            request,
            wake: rx,
        }
    }

    /// Registers an attempt before it is handed to a traffic thread; from then
    /// on it can be dropped.
    #[must_use]
    pub fn announce(&self, attempt: AttemptId) -> AttemptSide {
        let dropped = Arc::new(AtomicBool::new(false));
        self.shard(attempt.request)
            .attempts
            .insert(attempt, Arc::clone(&dropped));
        AttemptSide {
            relays: self.clone(),
            attempt,
            dropped,
        }
    }

    /// Drops an attempt: its relay accepts no further frames of it.
    pub fn drop_attempt(&self, attempt: AttemptId) {
        if let Some(dropped) = self.shard(attempt.request).attempts.get(&attempt) {
            dropped.store(true, Ordering::Release);
        }
    }

    /// Sets the final reply for a caller; later frames are dropped. Returns
    /// `false` if the caller has disconnected or already has its final reply.
    pub fn finish(&self, request: RequestId, reply: Reply) -> bool {
        let mut shard = self.shard(request);
        let Some(relay) = shard.unfinished_relay(request) else {
            return false;
        };
        relay.reply = Some(reply);
        relay.wake();
        true
    }

    /// Returns the number of requests with a relay.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| lock(shard).relays.len())
            .sum()
    }

    /// Returns whether no request has a relay.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, request: RequestId) -> MutexGuard<'_, Shard> {
        let index = usize::try_from(request.0 % SHARDS as u64).unwrap_or_default();
        lock(&self.shards[index])
    }

    fn count(&self, push: PushResult) -> PushResult {
        if push != PushResult::Accepted {
            self.metrics.add(Count::StaleFrames, 1);
        }
        push
    }
}

/// The sending side of a relay, for the traffic thread of one attempt.
#[derive(Debug)]
pub struct AttemptSide {
    relays: Relays,
    attempt: AttemptId,
    dropped: Arc<AtomicBool>,
}

impl AttemptSide {
    /// Returns the attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Returns whether the core dropped the attempt.
    #[must_use]
    pub fn is_dropped(&self) -> bool {
        self.dropped.load(Ordering::Acquire)
    }

    /// Makes this attempt the current one and returns the part of the answer
    /// received so far. Returns `None` if the attempt was dropped, a later one
    /// is current, or the relay is closed.
    #[must_use]
    pub fn begin(&self) -> Option<AnswerPrefix> {
        let mut shard = self.relays.shard(self.attempt.request);
        if self.is_dropped() {
            return None;
        }
        let relay = shard.unfinished_relay(self.attempt.request)?;
        if relay.current >= self.attempt.number {
            return None;
        }
        relay.current = self.attempt.number;
        Some(AnswerPrefix {
            offset: relay.next,
            text: relay.text.clone(),
            finish: relay.finish,
        })
    }

    /// Pushes the token at `offset` for the caller.
    #[must_use]
    pub fn push(&self, offset: u32, text: &str) -> PushResult {
        let mut shard = self.relays.shard(self.attempt.request);
        let push = self.push_locked(&mut shard, offset, text);
        drop(shard);
        self.relays.count(push)
    }

    /// Pushes a plain service's answer for the caller.
    #[must_use]
    pub fn answer(&self, status: u16, body: Vec<u8>) -> PushResult {
        let mut shard = self.relays.shard(self.attempt.request);
        let push = self.answer_locked(&mut shard, status, body);
        drop(shard);
        self.relays.count(push)
    }

    /// Records why the engine ended the answer, for the final event, if this
    /// attempt is the current one.
    pub fn set_finish(&self, finish: Finish) {
        let mut shard = self.relays.shard(self.attempt.request);
        let relay = shard.unfinished_relay(self.attempt.request);
        if let Some(relay) = relay.filter(|relay| relay.current == self.attempt.number) {
            relay.finish = Some(finish);
        }
    }

    /// Counts a frame that belongs to another attempt.
    pub fn count_stale(&self) {
        self.relays.count(PushResult::Stale);
    }

    /// Returns the number of tokens received; 0 if the relay is closed.
    #[must_use]
    pub fn offset(&self) -> u32 {
        let shard = self.relays.shard(self.attempt.request);
        shard
            .relays
            .get(&self.attempt.request)
            .map_or(0, |relay| relay.next)
    }

    fn push_locked(&self, shard: &mut Shard, offset: u32, text: &str) -> PushResult {
        let Some(relay) = shard.unfinished_relay(self.attempt.request) else {
            return PushResult::Closed;
        };
        if self.is_dropped() || relay.current != self.attempt.number || offset < relay.next {
            return PushResult::Stale;
        }
        if offset > relay.next {
            return PushResult::Gap;
        }
        relay.text.push_str(text);
        relay.next += 1;
        relay.wake();
        PushResult::Accepted
    }

    fn answer_locked(&self, shard: &mut Shard, status: u16, body: Vec<u8>) -> PushResult {
        let Some(relay) = shard.unfinished_relay(self.attempt.request) else {
            return PushResult::Closed;
        };
        let is_current = relay.current == self.attempt.number;
        if self.is_dropped() || !is_current || relay.answered {
            return PushResult::Stale;
        }
        relay.answered = true;
        relay.body = Some((status, body));
        relay.wake();
        PushResult::Accepted
    }
}

impl Drop for AttemptSide {
    fn drop(&mut self) {
        let mut shard = self.relays.shard(self.attempt.request);
        shard.attempts.remove(&self.attempt);
    }
}

/// The receiving side of a relay, for the caller's thread. Dropping it closes
/// the relay.
#[derive(Debug)]
pub struct CallerSide {
    relays: Relays,
    request: RequestId,
    wake: flume::Receiver<()>,
}

impl CallerSide {
    /// Returns the request.
    #[must_use]
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Waits up to `wait` for the next event; `None` if there was none.
    #[must_use]
    pub fn next(&self, wait: Duration) -> Option<CallerEvent> {
        if let Some(event) = self.next_event() {
            return Some(event);
        }
        // A wake-up may be left over from an event that an earlier call took.
        while self.wake.recv_timeout(wait).is_ok() {
            if let Some(event) = self.next_event() {
                return Some(event);
            }
        }
        None
    }

    /// Closes the relay; later frames and replies for the request are dropped.
    pub fn close(&self) {
        let mut shard = self.relays.shard(self.request);
        shard.relays.remove(&self.request);
    }

    fn next_event(&self) -> Option<CallerEvent> {
        let mut shard = self.relays.shard(self.request);
        shard.relays.get_mut(&self.request)?.next_event()
    }
}

impl Drop for CallerSide {
    fn drop(&mut self) {
        self.close();
    }
}

#[derive(Debug, Default)]
struct Shard {
    relays: HashMap<RequestId, Relay>,
    attempts: HashMap<AttemptId, Arc<AtomicBool>>,
}

impl Shard {
    /// Returns the relay if its final reply is not set yet.
    fn unfinished_relay(&mut self, request: RequestId) -> Option<&mut Relay> {
        let relay = self.relays.get_mut(&request)?;
        relay.reply.is_none().then_some(relay)
    }
}

#[derive(Debug)]
struct Relay {
    /// Number of the current attempt; 0 before the first one.
    current: u32,
    /// Offset of the next token.
    next: u32,
    /// Text of all tokens before `next`.
    text: String,
    /// Bytes of `text` that the caller's thread has consumed.
    consumed_bytes: usize,
    /// Tokens that the caller's thread has consumed.
    consumed_tokens: u32,
    /// Whether a plain service has answered.
    answered: bool,
    body: Option<(u16, Vec<u8>)>,
    finish: Option<Finish>,
    reply: Option<Reply>,
    end_delivered: bool,
    wake: flume::Sender<()>,
}

impl Relay {
    fn new(wake: flume::Sender<()>) -> Relay {
        Relay {
            current: 0,
            next: 0,
            text: String::new(),
            consumed_bytes: 0,
            consumed_tokens: 0,
            answered: false,
            body: None,
            finish: None,
            reply: None,
            end_delivered: false,
            wake,
        }
    }

    fn wake(&self) {
        // A full channel already holds a wake-up.
        let _ = self.wake.try_send(());
    }

    fn next_event(&mut self) -> Option<CallerEvent> {
        if self.consumed_bytes < self.text.len() {
            let text = self.text[self.consumed_bytes..].to_owned();
            let tokens = self.next - self.consumed_tokens;
            self.consumed_bytes = self.text.len();
            self.consumed_tokens = self.next;
            return Some(CallerEvent::Text { text, tokens });
        }
        if let Some((status, body)) = self.body.take() {
            return Some(CallerEvent::Body { status, body });
        }
        if self.end_delivered {
            return None;
        }
        let reply = self.reply.clone()?;
        self.end_delivered = true;
        let finish = self.finish;
        Some(CallerEvent::End { reply, finish })
    }
}

/// Locks a shard and ignores poisoning: the state is consistent after every
/// statement, so a panic while the lock is held leaves no partial update.
fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
