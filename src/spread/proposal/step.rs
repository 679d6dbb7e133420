//! The steps of a proposal: each is one call to the key-value service.

use super::Applied;
use super::COME_BACK;
use super::HEAD_KEY;
use super::Head;
use super::Past;
use super::Plan;
use super::Proposal;
use crate::store::KeyVersion;
use crate::store::StoreAnswer;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::store::StoreResult;
use crate::verdict::Reason;
use crate::verdict::Refusal;

#[derive(Debug)]
pub(super) enum Step {
    /// Reads the head.
    Head,
    /// Reads the text of the store's head.
    Theirs(Seen, Box<Head>),
    /// Reads the text that a change or both heads were made from.
    Base(Seen, Past, Option<(Box<Head>, String)>),
    /// Writes the new text.
    Text(Box<Plan>),
    /// Swaps the head.
    Swap(Box<Plan>),
}

/// Version of the head as last read; none: there is no head.
pub(super) type Seen = Option<KeyVersion>;

/// How a step ends.
pub(super) enum Next {
    /// Goes on with this step at once.
    Step(Step),
    /// Tries the step again later, or gives up.
    Failed(StoreFailure),
    /// The change is in force.
    Done(Applied),
    /// It is refused.
    Refused(Refusal),
}

/// Where the text is that a change was made from.
pub(super) enum Base {
    Text(String),
    Stored(Past),
    Unknown,
}

impl Step {
    pub(super) fn op(&self) -> StoreOp {
        match self {
            Step::Head => StoreOp::Get {
                key: HEAD_KEY.to_owned(),
            },
            Step::Theirs(_, head) => StoreOp::Get {
                key: head.newest.text_key(),
            },
            Step::Base(_, past, _) => StoreOp::Get {
                key: past.text_key(),
            },
            Step::Text(plan) => StoreOp::Create {
                key: plan.head.newest.text_key(),
                value: plan.text.as_bytes().to_vec(),
                lease: None,
            },
            Step::Swap(plan) => plan.swap(),
        }
    }
}

impl Plan {
    pub(super) fn swap(&self) -> StoreOp {
        let key = HEAD_KEY.to_owned();
        let value = self.head.encode();
        match self.replaces {
            None => StoreOp::Create {
                key,
                value,
                lease: None,
            },
            Some(version) => StoreOp::Swap {
                key,
                value,
                version,
                lease: None,
            },
        }
    }
}

pub(super) fn planned(mut plan: Plan, seen: Seen) -> Next {
    plan.replaces = seen;
    Next::Step(Step::Text(Box::new(plan)))
}

pub(super) fn text_written(
    proposal: &mut Proposal,
    mut plan: Box<Plan>,
    result: StoreResult,
) -> Next {
    let version = match result {
        Ok(StoreAnswer::Written(version)) => version,
        Ok(StoreAnswer::Conflict(Some(entry))) => {
            if entry.value != plan.text.as_bytes() {
                let text = "the change id was used with another text";
                return Next::Refused(Refusal::not_run(Reason::Conflict, text));
            }
            entry.version
        }
        Ok(_) => return Next::Failed(StoreFailure::NotRun { retry_after: None }),
        Err(failure) => {
            // Writing the same text once more is harmless.
            proposal.step = Step::Text(plan);
            return Next::Failed(failure);
        }
    };
    plan.head.newest.version = version;
    Next::Step(Step::Swap(plan))
}

pub(super) fn come_back(message: &str) -> Refusal {
    Refusal::not_run(Reason::Unavailable, message).retry_after(COME_BACK)
}
