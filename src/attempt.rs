//! Attempts: what follows when a call to a backend server ends.
//!
//! A request is tried again only if it is idempotent or surely did not run, on
//! another backend server, within its deadline and from a retry budget. A stream
//! whose connection broke or fell silent is first read on at the same engine
//! over a new connection; if the engine lost it, another engine generates what
//! follows the tokens that the caller has.

mod budget;
mod linger;
#[cfg(test)]
mod tests;

pub use budget::Budgets;
pub use budget::RETRY_RESERVE;
pub use budget::RETRY_SHARE;
pub use linger::CANCEL_PERIOD;
pub use linger::Lingers;
pub use linger::SERVICE_LINGER;

use std::sync::Arc;

use crate::backend::AttemptEnd;
use crate::backend::CallStart;
use crate::backend::Rejection;
use crate::backend::Work;
use crate::capacity::CreditUse;
use crate::clock::Millis;
use crate::condition::Sign;
use crate::id::AttemptId;
use crate::job::Job;
use crate::once::Slot;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// Calls that one request may cause at most, resumes not counted.
pub const MAX_TRIES: u32 = 4;
/// Calls that one request may cause at most while none of them ran: refused
/// connections and old epochs cost a backend server nothing.
pub const MAX_CALLS: u32 = 16;
/// Resumes on one engine in a row without a new token.
pub const MAX_RESUMES: u32 = 2;

/// An admitted request and its tries so far.
#[derive(Debug)]
pub struct Flight {
    /// The request; absent while the queue has it.
    pub job: Option<Job>,
    /// The work.
    pub work: Arc<Work>,
    /// The workspace's name.
    pub workspace: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The claim of its idempotency key.
    pub slot: Option<Slot>,
    /// A plain service's answer: HTTP status and body.
    pub answer: Option<(u16, Vec<u8>)>,
    /// The caller has its final answer or left; the call goes on for its result.
    pub detached: bool,
    /// When the whole answer is due.
    pub deadline: Millis,
    /// Number of the last attempt.
    pub number: u32,
    /// Calls sent, resumes not counted.
    pub tries: u32,
    /// Whether any try so far may have run it.
    pub ran: Verdict,
    /// Where it stands.
    pub phase: Phase,
}

/// Where an admitted request stands.
#[derive(Debug)]
pub enum Phase {
    /// Its idempotency key is being claimed.
    Claiming,
    /// It waits in the queue.
    Waiting,
    /// A backend server has it.
    Running(Running),
}

/// The attempt that is under way.
#[derive(Debug)]
pub struct Running {
    /// Its id.
    pub attempt: AttemptId,
    /// The credit it uses, which names the backend server.
    pub held: CreditUse,
    /// When it was sent.
    pub sent: Millis,
    /// When its first token came.
    pub first_token: Option<Millis>,
    /// How the call began.
    pub start: CallStart,
    /// Tokens that the caller had at the last sign of progress.
    pub offset: u32,
    /// Resumes in a row without a new token.
    pub resumes: u32,
    /// Whether it was dropped so that another backend server goes on.
    pub moves: bool,
}

/// What follows the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The answer is whole.
    Whole,
    /// The stream is read on at the same engine.
    Resume,
    /// Another backend server is tried.
    Elsewhere,
    /// The request has failed.
    Fail(Reason),
}

/// What the end of an attempt tells, besides what follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Whether this attempt may have run the request.
    pub verdict: Verdict,
    /// What it tells about the backend server.
    pub sign: Option<Sign>,
    /// Whether something may still run there.
    pub lingers: bool,
    /// Whether the backend server died under the request.
    pub crashed: bool,
    /// Tokens that the caller has.
    pub offset: u32,
}

impl Outcome {
    /// Returns what the end of `running` tells.
    #[must_use]
    pub fn of(running: &Running, end: &AttemptEnd) -> Outcome {
        let started = !matches!(running.start, CallStart::Fresh | CallStart::Continue { .. });
        let before = if started {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let (verdict, sign, lingers, offset) = match *end {
            AttemptEnd::Whole { tokens } => (Verdict::Done, None, false, tokens),
            AttemptEnd::Refused => (before, Some(Sign::Refused), false, running.offset),
            AttemptEnd::Rejected(rejection) => (before, rejected(rejection), false, running.offset),
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
        let gone = matches!(
            end,
            AttemptEnd::Refused | AttemptEnd::Rejected(Rejection::UnknownStream)
        );
        Outcome {
            verdict,
            sign,
            lingers,
            crashed: started && gone,
            offset,
        }
    }
}

fn rejected(rejection: Rejection) -> Option<Sign> {
    match rejection {
        Rejection::Full => Some(Sign::Rejected),
        Rejection::Cold => Some(Sign::RejectedCold),
        Rejection::StaleEpoch | Rejection::UnknownStream | Rejection::Invalid => None,
    }
}

impl Flight {
    /// Decides what follows the end of an attempt.
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
        let turned_away = matches!(
            end,
            AttemptEnd::Refused | AttemptEnd::Rejected(Rejection::StaleEpoch)
        );
        if turned_away && ran == Verdict::NotRun && self.number < MAX_CALLS {
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
        let streams = matches!(*self.work, Work::Prompt(_));
        let progressed = offset > running.offset;
        streams && (progressed || running.resumes < MAX_RESUMES)
    }
}
