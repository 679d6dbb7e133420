//! Load of each backend server: this instance's in-flight attempts, and the
//! load of all instances from load reports.
//!
//! Reports lag. The load that this instance sent since a report was made is
//! added to the reported load, so that a burst is not sent to a backend server
//! that only seemed idle in its last report.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use la_arena::ArenaMap;

use crate::backend::LoadReport;
use crate::clock::Millis;
use crate::fleet::BackendKey;
use crate::id::RequestId;
use crate::job::Cost;
use crate::job::Job;
use crate::job::LengthClass;
use crate::prediction::Prediction;

/// Maximum age of a load report that is still used.
pub const REPORT_MAX_AGE: Millis = Millis::from_secs(5);

/// Maximum length of the change log.
const MAX_LOGGED_CHANGES: usize = 256;

/// An in-flight attempt, with the load that it puts on its backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptLoad {
    /// The backend server.
    pub backend: BackendKey,
    /// The model, or the plain service's name.
    pub model: String,
    /// Hash of the prompt's prefix; 0 if it has none.
    pub prefix: u64,
    /// Length class of the prompt.
    pub length: LengthClass,
    /// Importance from 0 to 100; lower values are moved first.
    pub importance: u8,
    /// Memory and prefill tokens that it costs; it also occupies one stream.
    pub cost: Cost,
    /// Whether it must be the only attempt on its backend server.
    pub exclusive: bool,
    /// When it was sent.
    pub sent_at: Millis,
    /// Prompt tokens that were waiting for prefill on the backend server when
    /// it was sent.
    pub ahead_tokens: u64,
    /// Its prompt tokens predicted to be in the engine's prefix cache.
    pub cached_tokens: u64,
    /// Predicted times, counted from the time of sending.
    pub predicted: Prediction,
    /// Predicted fraction of the backend server's capacity that it uses, from 0
    /// to 1.
    pub utilization: f64,
    /// When its first token arrived.
    pub first_token_at: Option<Millis>,
}

impl AttemptLoad {
    /// Returns the attempt of a job that is sent now, without predictions.
    #[must_use]
    pub fn new(now: Millis, backend: BackendKey, job: &Job) -> AttemptLoad {
        AttemptLoad {
            backend,
            model: job.model.clone(),
            prefix: job.prefix,
            length: job.length_class(),
            importance: job.importance,
            cost: job.cost(0),
            exclusive: job.exclusive,
            sent_at: now,
            ahead_tokens: 0,
            cached_tokens: 0,
            predicted: Prediction::default(),
            utilization: 0.0,
            first_token_at: None,
        }
    }
}

/// A prompt whose prefill has not finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnfinishedPrefill {
    request: RequestId,
    tokens: u64,
    sent_at: Millis,
}

impl AttemptLoad {
    /// Returns its remaining cost: no prefill tokens after the first token.
    #[must_use]
    pub fn remaining(&self) -> Cost {
        let prefill_tokens = match self.first_token_at {
            Some(_) => 0,
            None => self.cost.prefill_tokens,
        };
        Cost {
            prefill_tokens,
            ..self.cost
        }
    }
}

/// Load of one backend server.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Number of this instance's in-flight attempts and gang members.
    pub streams: u32,
    /// Prompt tokens of this instance's unfinished prefills.
    pub prefill_tokens: u64,
    /// The part of `prefill_tokens` in prompts that are not short.
    pub long_prefill_tokens: u64,
    /// Fraction of the backend server that this instance's attempts keep busy.
    pub utilization: f64,
    /// Whether one of this instance's attempts there is exclusive.
    pub exclusive: bool,
    /// When the last prefill of this instance finished.
    last_prefill_end: Millis,
    prefills: VecDeque<UnfinishedPrefill>,
    /// Prompt tokens waiting for prefill in the newest load report, over all
    /// instances.
    reported_prefill_tokens: u64,
    /// Number of streams in the newest load report, over all instances.
    reported_streams: u32,
    /// Prompt tokens that this instance sent since that report was made and whose
    /// prefill has not finished.
    prefill_tokens_since_report: u64,
    /// Streams that this instance started since that report was made, including
    /// ended ones until the next report.
    streams_since_report: u32,
    /// When the newest load report was made.
    report_taken_at: Option<Millis>,
}

/// In-flight attempts and the load of each backend server.
#[derive(Debug, Default)]
pub struct Loads {
    attempts: BTreeMap<RequestId, AttemptLoad>,
    loads: ArenaMap<BackendKey, Load>,
    change_count: u64,
    /// Backend servers of the last changes, oldest first.
    change_log: VecDeque<BackendKey>,
}

impl Loads {
    /// Adds an attempt; removes an earlier one of the same request.
    pub fn insert(&mut self, request: RequestId, attempt: AttemptLoad) {
        self.remove(request);
        let load = self.loads.entry(attempt.backend).or_default();
        load.streams += 1;
        load.prefill_tokens += attempt.cost.prefill_tokens;
        if attempt.length != LengthClass::Short {
            load.long_prefill_tokens += attempt.cost.prefill_tokens;
        }
        load.prefills.push_back(UnfinishedPrefill {
            request,
            tokens: attempt.cost.prefill_tokens,
            sent_at: attempt.sent_at,
        });
        load.prefill_tokens_since_report += attempt.cost.prefill_tokens;
        load.streams_since_report += 1;
        load.utilization += attempt.utilization;
        load.exclusive |= attempt.exclusive;
        self.attempts.insert(request, attempt);
    }

    /// Records the first token of an attempt. Returns the attempt and its
    /// prefill time, assuming that prefills run in the order of sending.
    pub fn record_first_token(
        &mut self,
        now: Millis,
        request: RequestId,
    ) -> Option<(AttemptLoad, Millis)> {
        let attempt = self.attempts.get_mut(&request)?;
        if attempt.first_token_at.is_some() {
            return None;
        }
        attempt.first_token_at = Some(now);
        let attempt = attempt.clone();
        let load = self.loads.entry(attempt.backend).or_default();
        let prefill_start = attempt.sent_at.max(load.last_prefill_end);
        load.last_prefill_end = now;
        self.remove_prefill(request, &attempt);
        Some((attempt, now.since(prefill_start)))
    }

    /// Removes an attempt and returns it.
    pub fn remove(&mut self, request: RequestId) -> Option<AttemptLoad> {
        let attempt = self.attempts.remove(&request)?;
        self.mark_changed(attempt.backend);
        if attempt.first_token_at.is_none() {
            self.remove_prefill(request, &attempt);
        }
        let load = self.loads.entry(attempt.backend).or_default();
        load.streams = load.streams.saturating_sub(1);
        load.utilization = if load.streams == 0 {
            0.0
        } else {
            load.utilization - attempt.utilization
        };
        load.exclusive &= !attempt.exclusive;
        Some(attempt)
    }

    /// Adds a gang's member with its part of the prompt.
    pub fn add_gang_member(&mut self, backend: BackendKey, tokens: u64) {
        let load = self.loads.entry(backend).or_default();
        load.streams += 1;
        load.prefill_tokens += tokens;
        load.long_prefill_tokens += tokens;
    }

    /// Records that a gang's member has finished its part of the prompt's
    /// prefill.
    pub fn finish_gang_prefill(&mut self, backend: BackendKey, tokens: u64) {
        self.mark_changed(backend);
        let load = self.loads.entry(backend).or_default();
        load.prefill_tokens = load.prefill_tokens.saturating_sub(tokens);
        load.long_prefill_tokens = load.long_prefill_tokens.saturating_sub(tokens);
    }

    /// Removes a gang's member; `tokens` are the prompt tokens of its
    /// unfinished prefill, 0 if it has finished.
    pub fn remove_gang_member(&mut self, backend: BackendKey, tokens: u64) {
        self.finish_gang_prefill(backend, tokens);
        let load = self.loads.entry(backend).or_default();
        load.streams = load.streams.saturating_sub(1);
    }

    /// Applies a load report and recounts what was sent after it was made.
    pub fn apply_load_report(&mut self, now: Millis, backend: BackendKey, report: &LoadReport) {
        self.mark_changed(backend);
        let taken_at = now.since(report.age_ms);
        let sent_since = |attempt: &&AttemptLoad| attempt.sent_at >= taken_at;
        let attempts = self
            .on_backend(backend)
            .map(|(_, attempt)| attempt)
            .filter(sent_since);
        let attempts: Vec<&AttemptLoad> = attempts.collect();
        let streams = u32::try_from(attempts.len()).unwrap_or(u32::MAX);
        let waiting = attempts
            .iter()
            .filter(|attempt| attempt.first_token_at.is_none());
        let tokens = waiting.map(|attempt| attempt.cost.prefill_tokens).sum();
        let load = self.loads.entry(backend).or_default();
        load.report_taken_at = Some(taken_at);
        load.reported_prefill_tokens = report.prefill_waiting;
        load.reported_streams = u32::try_from(report.streams.len()).unwrap_or(u32::MAX);
        load.prefill_tokens_since_report = tokens;
        load.streams_since_report = streams;
    }

    /// Returns the load of a backend server, or `None` if nothing is known
    /// about it.
    #[must_use]
    pub fn get(&self, backend: BackendKey) -> Option<&Load> {
        self.loads.get(backend)
    }

    /// Returns the number of changes so far that may have freed capacity.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the backend servers that may have gained free capacity since the
    /// change count was `count`, or `None` if the change log no longer covers
    /// that.
    #[must_use]
    pub fn changed_since(&self, count: u64) -> Option<impl Iterator<Item = BackendKey>> {
        let missed = usize::try_from(self.change_count - count).ok()?;
        let first = self.change_log.len().checked_sub(missed)?;
        Some(self.change_log.range(first..).copied())
    }

    /// Records that a backend server may have gained free capacity.
    pub fn mark_changed(&mut self, backend: BackendKey) {
        self.change_count += 1;
        if self.change_log.len() == MAX_LOGGED_CHANGES {
            self.change_log.pop_front();
        }
        self.change_log.push_back(backend);
    }

    /// Returns the prompt tokens that wait for prefill on a backend server:
    /// those of the newest report plus those sent since, but at least this
    /// instance's own unfinished prefills minus the estimated progress of the
    /// oldest one at `tokens_per_s`.
    #[must_use]
    pub fn prefill_ahead(&self, now: Millis, backend: BackendKey, tokens_per_s: f64) -> u64 {
        let Some(load) = self.loads.get(backend) else {
            return 0;
        };
        let own = load.prefill_tokens - load.oldest_prefill_progress(now, tokens_per_s);
        match load.is_fresh(now) {
            true => own.max(load.reported_prefill_tokens + load.prefill_tokens_since_report),
            false => own,
        }
    }

    /// Returns the streams on a backend server: those of the newest report plus
    /// those sent since, but at least this instance's own.
    #[must_use]
    pub fn streams(&self, now: Millis, backend: BackendKey) -> u32 {
        match self.loads.get(backend) {
            Some(load) if load.is_fresh(now) => load.streams.max(
                load.reported_streams
                    .saturating_add(load.streams_since_report),
            ),
            Some(load) => load.streams,
            None => 0,
        }
    }

    /// Returns this instance's attempts on a backend server, by request.
    pub fn on_backend(
        &self,
        backend: BackendKey,
    ) -> impl Iterator<Item = (RequestId, &AttemptLoad)> {
        self.attempts
            .iter()
            .filter(move |(_, attempt)| attempt.backend == backend)
            .map(|(&request, attempt)| (request, attempt))
    }

    fn remove_prefill(&mut self, request: RequestId, attempt: &AttemptLoad) {
        self.mark_changed(attempt.backend);
        let load = self.loads.entry(attempt.backend).or_default();
        load.prefills.retain(|prefill| prefill.request != request);
        let tokens = attempt.cost.prefill_tokens;
        load.prefill_tokens = load.prefill_tokens.saturating_sub(tokens);
        if load
            .report_taken_at
            .is_some_and(|taken_at| attempt.sent_at >= taken_at)
        {
            load.prefill_tokens_since_report =
                load.prefill_tokens_since_report.saturating_sub(tokens);
        }
        if attempt.length != LengthClass::Short {
            load.long_prefill_tokens = load.long_prefill_tokens.saturating_sub(tokens);
        }
    }
}

impl Load {
    /// Returns the estimated prefill progress, in tokens, of this instance's
    /// oldest unfinished prompt.
    fn oldest_prefill_progress(&self, now: Millis, tokens_per_s: f64) -> u64 {
        let Some(first) = self.prefills.front() else {
            return 0;
        };
        let elapsed = now.since(first.sent_at.max(self.last_prefill_end));
        let tokens = (elapsed.as_secs_f64() * tokens_per_s) as u64;
        tokens.min(first.tokens).min(self.prefill_tokens)
    }

    /// Returns whether there is a report no older than [`REPORT_MAX_AGE`].
    fn is_fresh(&self, now: Millis) -> bool {
        self.report_taken_at
            .is_some_and(|taken_at| now.since(taken_at) <= REPORT_MAX_AGE)
    }
}
