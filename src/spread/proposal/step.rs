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
    ReadHead,
    /// Reads the text of the store's head.
    ReadStoreText(HeadVersion, Box<Head>),
    /// Reads the base text of a change, or the common ancestor of diverged
    /// heads. With the store's head and text if diverged revisions are to be
    /// merged.
    ReadBase(HeadVersion, RevisionInfo, Option<(Box<Head>, String)>),
    /// Writes the new text.
    WriteText(Box<Plan>),
    /// Swaps the head.
    SwapHead(Box<Plan>),
}

/// Version of the head as last read; `None` if the store has no head.
pub(super) type HeadVersion = Option<KeyVersion>;

/// The result of a step.
pub(super) enum StepResult {
    /// Continue with this step immediately.
    Step(Step),
    /// Retry later from the proposal's step (`ReadHead` unless the handler put the
    /// failed step back), or abandon the proposal.
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
    InMemory(String),
    /// In the store.
    InStore(RevisionInfo),
    /// The revision is not listed.
    Unknown,
}

impl Step {
    /// Returns the store call of the step.
    pub(super) fn store_op(&self) -> StoreOp {
        match self {
            Step::ReadHead => StoreOp::Get {
                key: HEAD_KEY.to_owned(),
            },
            Step::ReadStoreText(_, head) => StoreOp::Get {
                key: head.newest.text_key(),
            },
            Step::ReadBase(_, info, _) => StoreOp::Get {
                key: info.text_key(),
            },
            Step::WriteText(plan) => StoreOp::Create {
                key: plan.head.newest.text_key(),
                value: plan.text.as_bytes().to_vec(),
                lease: None,
            },
            Step::SwapHead(plan) => plan.head_write(),
        }
    }
}

impl Plan {
    /// Returns the store call that writes the head.
    pub(super) fn head_write(&self) -> StoreOp {
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
pub(super) fn next_write_text(mut plan: Plan, head_version: HeadVersion) -> StepResult {
    plan.replaces = head_version;
    StepResult::Step(Step::WriteText(Box::new(plan)))
}

/// Returns the step that follows the write of a text: the swap of the head.
pub(super) fn on_text_written(
    proposal: &mut Proposal,
    mut plan: Box<Plan>,
    result: StoreResult,
) -> StepResult {
    let version = match result {
        Ok(StoreAnswer::Written(version)) => version,
        Ok(StoreAnswer::Conflict(Some(entry))) => {
            if entry.value != plan.text.as_bytes() {
                let text = "the change id was used with another text";
                return StepResult::Refused(Refusal::not_run(Reason::Conflict, text));
            }
            entry.version
        }
        Ok(_) => return StepResult::Failed(StoreFailure::NotRun { retry_after: None }),
        Err(failure) => {
            // Writing the same text again is idempotent.
            proposal.step = Step::WriteText(plan);
            return StepResult::Failed(failure);
        }
    };
    plan.head.newest.version = version;
    StepResult::Step(Step::SwapHead(plan))
}

/// Returns a refusal of a change that may be accepted later.
pub(super) fn unavailable(message: &str) -> Refusal {
    Refusal::not_run(Reason::Unavailable, message).retry_after(REFUSAL_RETRY_AFTER)
}
