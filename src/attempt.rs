//! Attempts: calls to backend servers, and how to proceed when one ends.
//!
//! A request is retried only if it is idempotent or certainly did not run.
//! Retries go to another backend server, within the deadline and within a retry
//! budget. Calls that were refused before they could run (refused connection,
//! stale epoch) are repeated without using the budget, up to
//! [`MAX_ATTEMPTS_BEFORE_RUN`]. A stream whose connection broke or stopped
//! responding is first resumed on the same engine over a new connection, also if
//! the request is not idempotent. If the engine has lost it, another engine
//! continues the generation after the tokens that the caller already has. A
//! stream that stays silent is resumed until another engine takes it over or the
//! deadline passes.

mod budget;
mod orphans;
#[cfg(test)]
mod tests;

pub use budget::MAX_SAVED_RETRIES;
pub use budget::RETRIES_PER_FIRST_TRY;
pub use budget::RetryBudgets;
pub use orphans::CANCEL_INTERVAL;
pub use orphans::ORPHANED_SERVICE_CALL_TIMEOUT;
pub use orphans::OrphanedCalls;

use std::sync::Arc;

use crate::backend::AttemptEnd;
use crate::backend::CallStart;
use crate::backend::Rejection;
use crate::backend::Work;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::condition::Signal;
use crate::id::AttemptId;
use crate::job::Job;
use crate::once::Slot;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// Number of tries from which no retry is made, except after a refused
/// connection or stale epoch (see [`MAX_ATTEMPTS_BEFORE_RUN`]). A try is an
/// attempt that is not a resume.
pub const MAX_TRIES: u32 = 4;
/// Maximum attempts up to which a refused connection or stale epoch is retried
/// without using the retry budget, while no attempt ran. It exceeds
/// [`MAX_TRIES`], as refused connections and stale epochs cause no work on a
/// backend server.
pub const MAX_ATTEMPTS_BEFORE_RUN: u32 = 16;
/// Maximum consecutive resumes on one engine without a new token before the
/// request migrates or, after a broken connection, is retried elsewhere.
pub const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 2;

/// An admitted request, from the claim of its idempotency key to its final
/// answer, with the state of its attempts.
#[derive(Debug)]
pub struct InFlightRequest {
    /// The job; `None` while it is in the queue.
    pub job: Option<Job>,
    /// The prompt or service call.
    pub work: Arc<Work>,
    /// The workspace's name.
    pub workspace: String,
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// Where the claim of its idempotency key is stored, if it has one.
    pub claim_slot: Option<Slot>,
    /// A plain service's answer: HTTP status and body.
    pub service_answer: Option<(u16, Vec<u8>)>,
    /// Whether the caller already got its final answer or disconnected, while
    /// the call continues so that its result can be recorded.
    pub caller_detached: bool,
    /// When the complete answer is due.
    pub deadline: Millis,
    /// Number of the most recent attempt.
    pub last_attempt_number: u32,
    /// Number of tries, not counting resumes.
    pub tries: u32,
    /// Combined verdict of all ended attempts.
    pub verdict: Verdict,
    /// Its current phase.
    pub phase: Phase,
}

/// Phase of an admitted request.
#[derive(Debug)]
pub enum Phase {
    /// Its idempotency key is being claimed.
    Claiming,
    /// It waits in the queue.
    Waiting,
    /// An attempt is in flight on a backend server.
    Running(RunningAttempt),
}

/// An attempt in flight on a backend server.
#[derive(Debug)]
pub struct RunningAttempt {
    /// Its id.
    pub attempt: AttemptId,
    /// The part of a capacity lease that it uses; it names the backend server.
    /// Messages and metrics call it `credit`.
    pub lease: LeaseUse,
    /// When the request was first sent to this backend server; a resume does
    /// not change it.
    pub sent_at: Millis,
    /// When its first token arrived.
    pub first_token_at: Option<Millis>,
    /// How it started: fresh, or as a resume or continuation of a stream.
    pub start: CallStart,
    /// Number of output tokens that the caller had at the last progress update.
    pub offset: u32,
    /// Number of consecutive resumes without a new token between them.
    pub resumes: u32,
    /// Whether the request also waits in the queue, with a retry spent, for
    /// another backend server that takes it over. The attempt goes on until
    /// then.
    pub migrating: bool,
    /// When the migration of an idempotent service call starts.
    pub migrate_at: Option<Millis>,
}

/// The action after the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The answer is complete.
    Complete,
    /// The stream is resumed on the same engine.
    Resume,
    /// The request is retried on another backend server.
    RetryElsewhere,
    /// The request has failed.
    Fail(Reason),
}

/// What the end of an attempt implies for the request and the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// Verdict of this attempt.
    pub verdict: Verdict,
    /// The signal for the backend server's condition, if any.
    pub signal: Option<Signal>,
    /// Whether the attempt may still run on the backend server.
    pub may_still_run: bool,
    /// Whether a resume was refused or its stream was unknown, which implies
    /// that the backend server crashed while it ran the request.
    pub crashed: bool,
    /// Number of output tokens that the caller has.
    pub offset: u32,
}

impl AttemptOutcome {
    /// Returns what the end of `running` implies.
    #[must_use]
    pub fn from_end(running: &RunningAttempt, end: &AttemptEnd) -> AttemptOutcome {
        let is_resume = !matches!(running.start, CallStart::Fresh | CallStart::Continue { .. });
        // A resumed stream has run, even if the resume itself was refused.
        let prior_verdict = if is_resume {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let (verdict, signal, may_still_run, offset) = match *end {
            AttemptEnd::Whole { tokens } => (Verdict::Done, None, false, tokens),
            AttemptEnd::Refused => (prior_verdict, Some(Signal::Refused), false, running.offset),
            AttemptEnd::Rejected(rejection) => (
                prior_verdict,
                signal_of_rejection(rejection),
                false,
                running.offset,
            ),
            AttemptEnd::Broken { verdict, offset } => (
                verdict,
                Some(Signal::Broken),
                verdict != Verdict::NotRun,
                offset,
            ),
            AttemptEnd::Silent { verdict, offset } => (
                verdict,
                Some(Signal::Silent),
                verdict != Verdict::NotRun,
                offset,
            ),
            AttemptEnd::Cancelled { offset } => (Verdict::MayHaveRun, None, true, offset),
        };
        // Meaningful for resumes only.
        let stream_lost = matches!(
            end,
            AttemptEnd::Refused | AttemptEnd::Rejected(Rejection::UnknownStream)
        );
        AttemptOutcome {
            verdict,
            signal,
            may_still_run,
            crashed: is_resume && stream_lost,
            offset,
        }
    }
}

fn signal_of_rejection(rejection: Rejection) -> Option<Signal> {
    match rejection {
        Rejection::Full => Some(Signal::Rejected),
        Rejection::Cold => Some(Signal::RejectedCold),
        Rejection::StaleEpoch | Rejection::UnknownStream | Rejection::Invalid => None,
    }
}

impl InFlightRequest {
    /// Decides how to proceed after the end of an attempt; `model` is the model
    /// or plain service whose budget pays for a retry, unless a migration has
    /// paid for it.
    #[must_use]
    pub fn next_step(
        &self,
        running: &RunningAttempt,
        end: &AttemptEnd,
        outcome: &AttemptOutcome,
        budgets: &mut RetryBudgets,
        model: &str,
    ) -> NextStep {
        match end {
            AttemptEnd::Whole { .. } => return NextStep::Complete,
            AttemptEnd::Cancelled { .. } => return NextStep::Fail(Reason::CallerGone),
            AttemptEnd::Rejected(Rejection::Invalid) => {
                return NextStep::Fail(Reason::BackendRejected);
            }
            _ => {}
        }
        if outcome.may_still_run && self.can_resume(running, end, outcome.offset) {
            return NextStep::Resume;
        }
        let verdict = self.verdict.combine(outcome.verdict);
        if !self.idempotent && verdict != Verdict::NotRun {
            return NextStep::Fail(Reason::BackendFailed);
        }
        let refused_before_run = matches!(
            end,
            AttemptEnd::Refused | AttemptEnd::Rejected(Rejection::StaleEpoch)
        );
        if refused_before_run
            && verdict == Verdict::NotRun
            && self.last_attempt_number < MAX_ATTEMPTS_BEFORE_RUN
        {
            return NextStep::RetryElsewhere;
        }
        if self.tries >= MAX_TRIES {
            return NextStep::Fail(Reason::BackendFailed);
        }
        if running.migrating || budgets.try_withdraw(model) {
            return NextStep::RetryElsewhere;
        }
        NextStep::Fail(Reason::BackendFailed)
    }

    /// Returns whether a stream may be resumed, which executes nothing again. A
    /// silent one always may: the engine may be sound, and another one may be
    /// unable to take over.
    fn can_resume(&self, running: &RunningAttempt, end: &AttemptEnd, offset: u32) -> bool {
        let is_prompt = matches!(*self.work, Work::Prompt(_));
        let progressed = offset > running.offset;
        let silent = matches!(end, AttemptEnd::Silent { .. });
        is_prompt && (progressed || silent || running.resumes < MAX_RESUMES_WITHOUT_PROGRESS)
    }
}
