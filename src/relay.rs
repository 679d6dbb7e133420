//! Relays between the traffic threads that read answers and the threads that
//! write them to callers: one relay a request.
//!
//! A relay keeps the whole text given so far, as an attempt on another engine
//! has to continue it. The caller's thread takes from that text what it has not
//! written yet, at its own speed: a slow caller holds up no engine and no other
//! caller, and holds no more memory than its own answer.
//!
//! Each push names its attempt and offset. Only the current attempt's next
//! token is taken over, so that a caller gets every token once and in order,
//! whatever comes late, twice or crossed.

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

/// Parts of the table, each behind its own lock.
const SHARDS: usize = 16;

/// What a caller's thread writes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// Text of one or more tokens.
    Text { text: String, tokens: u32 },
    /// A plain service's answer.
    Body { status: u16, body: Vec<u8> },
    /// The final word; nothing follows. An engine's whole answer has a `finish`.
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
    /// It came to its end.
    Stop,
    /// It came to the length allowed.
    Length,
}

impl Finish {
    /// Returns the word that callers read.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Finish::Stop => "stop",
            Finish::Length => "length",
        }
    }
}

/// What became of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Push {
    /// The caller gets it.
    Taken,
    /// The caller has it already, or another attempt is current: dropped.
    Stale,
    /// Tokens before it are missing: the stream is broken.
    Gap,
    /// The caller left or has its final word.
    Gone,
}

/// Where an attempt takes up an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begun {
    /// Tokens that the caller has.
    pub offset: u32,
    /// Their text.
    pub text: String,
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

    /// Announces an attempt, before it is handed to a traffic thread; from then
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

    /// Drops an attempt: its relay takes no more of its frames.
    pub fn drop_attempt(&self, attempt: AttemptId) {
        if let Some(dropped) = self.shard(attempt.request).attempts.get(&attempt) {
            dropped.store(true, Ordering::Release);
        }
    }

    /// Gives a caller the final word; later frames are dropped. Returns whether
    /// the caller was still there without one.
    pub fn finish(&self, request: RequestId, reply: Reply) -> bool {
        let mut shard = self.shard(request);
        let Some(relay) = shard.open_relay(request) else {
            return false;
        };
        relay.reply = Some(reply);
        relay.wake();
        true
    }

    /// Returns how many requests have a relay.
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

    fn count(&self, push: Push) -> Push {
        if push != Push::Taken {
            self.metrics.add(Count::StaleFrames, 1);
        }
        push
    }
}

/// A traffic thread's end of a relay, for one attempt.
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

    /// Makes this attempt the current one and returns where it takes up the
    /// answer; none if it was dropped, a later one is current, or the caller is
    /// gone.
    #[must_use]
    pub fn begin(&self) -> Option<Begun> {
        let mut shard = self.relays.shard(self.attempt.request);
        if self.is_dropped() {
            return None;
        }
        let relay = shard.open_relay(self.attempt.request)?;
        if relay.current >= self.attempt.number {
            return None;
        }
        relay.current = self.attempt.number;
        Some(Begun {
            offset: relay.next,
            text: relay.text.clone(),
        })
    }

    /// Passes the token at `offset` on to the caller.
    #[must_use]
    pub fn push(&self, offset: u32, text: &str) -> Push {
        let mut shard = self.relays.shard(self.attempt.request);
        let push = self.push_locked(&mut shard, offset, text);
        drop(shard);
        self.relays.count(push)
    }

    /// Passes a plain service's answer on to the caller.
    #[must_use]
    pub fn answer(&self, status: u16, body: Vec<u8>) -> Push {
        let mut shard = self.relays.shard(self.attempt.request);
        let push = self.answer_locked(&mut shard, status, body);
        drop(shard);
        self.relays.count(push)
    }

    /// Notes why the engine ended the answer; the final word carries it.
    pub fn set_finish(&self, finish: Finish) {
        let mut shard = self.relays.shard(self.attempt.request);
        if let Some(relay) = shard.open_relay(self.attempt.request) {
            relay.finish = Some(finish);
        }
    }

    /// Counts a frame that belongs to another attempt.
    pub fn count_stale(&self) {
        self.relays.count(Push::Stale);
    }

    /// Returns how many tokens the caller has been given; 0 if it is gone.
    #[must_use]
    pub fn offset(&self) -> u32 {
        let shard = self.relays.shard(self.attempt.request);
        shard
            .relays
            .get(&self.attempt.request)
            .map_or(0, |relay| relay.next)
    }

    fn push_locked(&self, shard: &mut Shard, offset: u32, text: &str) -> Push {
        let Some(relay) = shard.open_relay(self.attempt.request) else {
            return Push::Gone;
        };
        if self.is_dropped() || relay.current != self.attempt.number || offset < relay.next {
            return Push::Stale;
        }
        if offset > relay.next {
            return Push::Gap;
        }
        relay.text.push_str(text);
        relay.next += 1;
        relay.wake();
        Push::Taken
    }

    fn answer_locked(&self, shard: &mut Shard, status: u16, body: Vec<u8>) -> Push {
        let Some(relay) = shard.open_relay(self.attempt.request) else {
            return Push::Gone;
        };
        let is_current = relay.current == self.attempt.number;
        if self.is_dropped() || !is_current || relay.answered {
            return Push::Stale;
        }
        relay.answered = true;
        relay.body = Some((status, body));
        relay.wake();
        Push::Taken
    }
}

impl Drop for AttemptSide {
    fn drop(&mut self) {
        let mut shard = self.relays.shard(self.attempt.request);
        shard.attempts.remove(&self.attempt);
    }
}

/// The caller's end of a relay; dropping it closes the relay.
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

    /// Waits for what comes next; none if nothing came within `wait`.
    #[must_use]
    pub fn next(&self, wait: Duration) -> Option<CallerEvent> {
        if let Some(event) = self.take() {
            return Some(event);
        }
        // A wake-up may be left over from what an earlier call took.
        while self.wake.recv_timeout(wait).is_ok() {
            if let Some(event) = self.take() {
                return Some(event);
            }
        }
        None
    }

    /// Closes the relay: whatever comes for the request is dropped.
    pub fn close(&self) {
        let mut shard = self.relays.shard(self.request);
        shard.relays.remove(&self.request);
    }

    fn take(&self) -> Option<CallerEvent> {
        let mut shard = self.relays.shard(self.request);
        shard.relays.get_mut(&self.request)?.take()
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
    /// Returns a relay whose caller still waits for the final word.
    fn open_relay(&mut self, request: RequestId) -> Option<&mut Relay> {
        let relay = self.relays.get_mut(&request)?;
        relay.reply.is_none().then_some(relay)
    }
}

#[derive(Debug)]
struct Relay {
    /// Number of the current attempt; 0: none yet.
    current: u32,
    /// Offset of the next token.
    next: u32,
    /// Text of all tokens before `next`.
    text: String,
    /// Bytes of `text` that the caller's thread has taken.
    taken: usize,
    /// Tokens that the caller's thread has taken.
    taken_tokens: u32,
    /// A plain service has answered.
    answered: bool,
    body: Option<(u16, Vec<u8>)>,
    finish: Option<Finish>,
    reply: Option<Reply>,
    ended: bool,
    wake: flume::Sender<()>,
}

impl Relay {
    fn new(wake: flume::Sender<()>) -> Relay {
        Relay {
            current: 0,
            next: 0,
            text: String::new(),
            taken: 0,
            taken_tokens: 0,
            answered: false,
            body: None,
            finish: None,
            reply: None,
            ended: false,
            wake,
        }
    }

    fn wake(&self) {
        // A full channel means that a wake-up is on its way already.
        let _ = self.wake.try_send(());
    }

    fn take(&mut self) -> Option<CallerEvent> {
        if self.taken < self.text.len() {
            let text = self.text[self.taken..].to_owned();
            let tokens = self.next - self.taken_tokens;
            self.taken = self.text.len();
            self.taken_tokens = self.next;
            return Some(CallerEvent::Text { text, tokens });
        }
        if let Some((status, body)) = self.body.take() {
            return Some(CallerEvent::Body { status, body });
        }
        if self.ended {
            return None;
        }
        let reply = self.reply.clone()?;
        self.ended = true;
        let finish = self.finish;
        Some(CallerEvent::End { reply, finish })
    }
}

/// Locks a shard; its state is whole after every statement, so that a thread
/// that panicked while holding it leaves nothing half done.
fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
