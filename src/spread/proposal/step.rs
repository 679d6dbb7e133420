//! The steps of a proposal. Each step is one call to the key-value service.

use super::Applied;
use super::HEAD_KEY;
use super::Head;
use super::Plan;
use super::Proposal;
use super::REFUSAL_RETRY_AFTER;
use super::RevisionInfo;
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
    StoreText(HeadVersion, Box<Head>),
    /// Reads the base text of a change, or the common ancestor of diverged
    /// heads. With the store's head and text if diverged revisions are to be
    /// merged.
    Base(HeadVersion, RevisionInfo, Option<(Box<Head>, String)>),
    /// Writes the new text.
    Text(Box<Plan>),
    /// Swaps the head.
    Swap(Box<Plan>),
}

/// Version of the head as last read; `None` if the store has no head.
pub(super) type HeadVersion = Option<KeyVersion>;

/// The result of a step.
pub(super) enum Next {
    /// Continue with this step immediately.
    Step(Step),
    /// Retry the step later, or abandon the proposal.
    Failed(StoreFailure),
    /// The proposal is complete; an operator's change is accepted or changes
    /// nothing.
    Done(Applied),
    /// The proposal is abandoned; an operator's change is refused.
    Refused(Refusal),
}

/// The location of the text on which a change is based.
pub(super) enum Base {
    /// In memory.
    Text(String),
    /// In the store.
    Stored(RevisionInfo),
    /// The revision is not listed.
    Unknown,
}

impl Step {
    /// Returns the store call of the step.
    pub(super) fn op(&self) -> StoreOp {
        match self {
            Step::Head => StoreOp::Get {
                key: HEAD_KEY.to_owned(),
            },
            Step::StoreText(_, head) => StoreOp::Get {
                key: head.newest.text_key(),
            },
            Step::Base(_, info, _) => StoreOp::Get {
                key: info.text_key(),
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
    /// Returns the store call that writes the head.
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

/// Returns the step that writes the text of `plan`.
pub(super) fn write_plan(mut plan: Plan, head_version: HeadVersion) -> Next {
    plan.replaces = head_version;
    Next::Step(Step::Text(Box::new(plan)))
}

/// Returns the step that follows the write of a text: the swap of the head.
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
            // Writing the same text again is idempotent.
            proposal.step = Step::Text(plan);
            return Next::Failed(failure);
        }
    };
    plan.head.newest.version = version;
    Next::Step(Step::Swap(plan))
}

/// Returns a refusal of a change that may be accepted later.
pub(super) fn refuse_for_now(message: &str) -> Refusal {
    Refusal::not_run(Reason::Unavailable, message).retry_after(REFUSAL_RETRY_AFTER)
}
