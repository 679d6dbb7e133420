//! Attempts: calls to backend servers, and how to proceed when one ends.
//!
//! A request is retried only if it is idempotent or certainly did not run.
//! Retries go to another backend server, within the deadline and within a retry
//! budget. A stream whose connection broke or stopped responding is first
//! resumed on the same engine over a new connection. If the engine has lost it,
//! another engine continues the generation after the tokens that the caller
//! already has.

mod budget;
mod orphans;
#[cfg(test)]
mod tests;

pub use budget::Budgets;
pub use budget::MAX_SAVED_RETRIES;
pub use budget::RETRIES_PER_FIRST_TRY;
pub use orphans::CANCEL_INTERVAL;
pub use orphans::Lingers;
pub use orphans::SERVICE_LINGER;

use std::sync::Arc;

use crate::backend::AttemptEnd;
use crate::backend::CallStart;
use crate::backend::Rejection;
use crate::backend::Work;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::condition::Sign;
use crate::id::AttemptId;
use crate::job::Job;
use crate::once::Slot;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// Maximum tries of one request, not counting resumes.
pub const MAX_TRIES: u32 = 4;
/// Maximum calls of one request as long as none of them ran. It exceeds
/// [`MAX_TRIES`], as refused connections and stale epochs cost a backend server
/// nothing.
pub const MAX_CALLS: u32 = 16;
/// Maximum consecutive resumes on one engine without a new token.
pub const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 2;

/// An admitted request with the state of its tries.
#[derive(Debug)]
pub struct Flight {
    /// The job; `None` while it is in the queue.
    pub job: Option<Job>,
    /// The prompt or service call.
    pub work: Arc<Work>,
    /// The workspace's name.
    pub workspace: String,
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// The claim of its idempotency key, if it has one.
    pub slot: Option<Slot>,
    /// A plain service's answer: HTTP status and body.
    pub answer: Option<(u16, Vec<u8>)>,
    /// Whether the caller got its final answer or disconnected while the call
    /// continues for its result.
    pub detached: bool,
    /// When the whole answer is due.
    pub deadline: Millis,
    /// Number of the most recent attempt.
    pub number: u32,
    /// Number of tries, not counting resumes.
    pub tries: u32,
    /// Whether any try so far may have run it.
    pub ran: Verdict,
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
    Running(Running),
}

/// The attempt in flight.
#[derive(Debug)]
pub struct Running {
    /// Its id.
    pub attempt: AttemptId,
    /// The capacity lease it uses; it names the backend server. Messages and
    /// metrics call it `credit`.
    pub held: LeaseUse,
    /// When it was sent.
    pub sent: Millis,
    /// When its first token arrived.
    pub first_token: Option<Millis>,
    /// How the call began.
    pub start: CallStart,
    /// Tokens that the caller had at the last progress update.
    pub offset: u32,
    /// Consecutive resumes without a new token.
    pub resumes: u32,
    /// Whether it was cancelled to continue on another backend server.
    pub moves: bool,
}

/// The action after the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The answer is complete.
    Whole,
    /// The stream is resumed on the same engine.
    Resume,
    /// The request is retried on another backend server.
    Elsewhere,
    /// The request has failed.
    Fail(Reason),
}

/// What the end of an attempt implies for the request and the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Whether this attempt may have executed the request.
    pub verdict: Verdict,
    /// The signal for the backend server's condition, if any.
    pub sign: Option<Sign>,
    /// Whether the attempt may still run on the backend server.
    pub lingers: bool,
    /// Whether the backend server crashed while it ran the request.
    pub crashed: bool,
    /// Tokens that the caller has.
    pub offset: u32,
}

impl Outcome {
    /// Returns what the end of `running` implies.
    #[must_use]
    pub fn of(running: &Running, end: &AttemptEnd) -> Outcome {
        let is_resume = !matches!(running.start, CallStart::Fresh | CallStart::Continue { .. });
        let prior_verdict = if is_resume {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let (verdict, sign, lingers, offset) = match *end {
            AttemptEnd::Whole { tokens } => (Verdict::Done, None, false, tokens),
            AttemptEnd::Refused => (prior_verdict, Some(Sign::Refused), false, running.offset),
            AttemptEnd::Rejected(rejection) => (
                prior_verdict,
                signal_of_rejection(rejection),
                false,
                running.offset,
            ),
            AttemptEnd::Broken { verdict, offset } => (
                verdict,
                Some(Sign::Broken),
                verdict != Verdict::NotRun,
                offset,
            ),
            AttemptEnd::Silent { verdict, offset } => (
                verdict,
                Some(Sign::Silent),
                verdict != Verdict::NotRun,
                offset,
            ),
            AttemptEnd::Cancelled { offset } => (Verdict::MayHaveRun, None, true, offset),
        };
        let stream_gone = matches!(
            end,
            AttemptEnd::Refused | AttemptEnd::Rejected(Rejection::UnknownStream)
        );
        Outcome {
            verdict,
            sign,
            lingers,
            crashed: is_resume && stream_gone,
            offset,
        }
    }
}

fn signal_of_rejection(rejection: Rejection) -> Option<Sign> {
    match rejection {
        Rejection::Full => Some(Sign::Rejected),
        Rejection::Cold => Some(Sign::RejectedCold),
        Rejection::StaleEpoch | Rejection::UnknownStream | Rejection::Invalid => None,
    }
}

impl Flight {
    /// Decides how to proceed after the end of an attempt.
    #[must_use]
    pub fn next(
        &self,
        running: &Running,
        end: &AttemptEnd,
        outcome: &Outcome,
        budgets: &mut Budgets,
        group: &str,
    ) -> Next {
        match end {
            AttemptEnd::Whole { .. } => return Next::Whole,
            AttemptEnd::Cancelled { .. } => return Next::Fail(Reason::CallerGone),
            AttemptEnd::Rejected(Rejection::Invalid) => return Next::Fail(Reason::BackendRejected),
            _ => {}
        }
        let ran = self.ran.and(outcome.verdict);
        if !self.idempotent && ran != Verdict::NotRun {
            return Next::Fail(Reason::BackendFailed);
        }
        if outcome.lingers && self.can_resume(running, outcome.offset) {
            return Next::Resume;
        }
        let refused_before_run = matches!(
            end,
            AttemptEnd::Refused | AttemptEnd::Rejected(Rejection::StaleEpoch)
        );
        if refused_before_run && ran == Verdict::NotRun && self.number < MAX_CALLS {
            return Next::Elsewhere;
        }
        if self.tries >= MAX_TRIES {
            return Next::Fail(Reason::BackendFailed);
        }
        if budgets.spend(group) {
            return Next::Elsewhere;
        }
        Next::Fail(Reason::BackendFailed)
    }

    fn can_resume(&self, running: &Running, offset: u32) -> bool {
        let is_prompt = matches!(*self.work, Work::Prompt(_));
        let progressed = offset > running.offset;
        is_prompt && (progressed || running.resumes < MAX_RESUMES_WITHOUT_PROGRESS)
    }
}
