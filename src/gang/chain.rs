//! The steps of a gang, one after the other.

use crate::backend::BackendAnswer;

/// Prompt tokens that one order asks an engine to process.
pub const SLICE_TOKENS: u64 = 8_192;

/// One step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A member processes a slice of its part.
    Prefill {
        /// Index of the member.
        member: usize,
        /// First token.
        from: u64,
        /// The token after the last.
        to: u64,
    },
    /// A member exports all parts up to its own.
    Export {
        /// Index of the member.
        member: usize,
        /// The token after its part.
        to: u64,
    },
    /// A member imports what the one before it exported.
    Import {
        /// Index of the member; 1 at least.
        member: usize,
    },
}

impl Step {
    /// Returns the index of the member that has the step.
    #[must_use]
    pub const fn member(self) -> usize {
        match self {
            Step::Prefill { member, .. }
            | Step::Export { member, .. }
            | Step::Import { member } => member,
        }
    }

    /// Returns whether an answer is to this step.
    #[must_use]
    pub fn is_answered_by(self, answer: &BackendAnswer) -> bool {
        match (self, answer) {
            (Step::Prefill { to, .. }, BackendAnswer::Prefilled { to_token, .. }) => {
                to == *to_token
            }
            (Step::Export { .. }, BackendAnswer::Exported { .. })
            | (Step::Import { .. }, BackendAnswer::Imported { .. }) => true,
            _ => false,
        }
    }
}

/// The steps of one gang: each member's part in slices, then its export and the
/// next one's import.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain {
    parts: Vec<(u64, u64)>,
    step: Option<Step>,
}

impl Chain {
    /// Returns the chain over the parts of a prompt, each from its first token
    /// to the one after its last.
    #[must_use]
    pub fn new(parts: Vec<(u64, u64)>) -> Chain {
        let step = parts.first().map(|&(from, to)| slice(0, from, to));
        Chain { parts, step }
    }

    /// Returns the current step; none: the whole prompt is processed.
    #[must_use]
    pub const fn step(&self) -> Option<Step> {
        self.step
    }

    /// Returns whether a member has processed its part.
    #[must_use]
    pub const fn has_part(&self, member: usize) -> bool {
        match self.step {
            Some(Step::Prefill { member: at, .. }) => member < at,
            Some(Step::Export { member: at, .. }) => member <= at,
            Some(Step::Import { member: at }) => member < at,
            None => true,
        }
    }

    /// Goes on to the next step.
    pub fn advance(&mut self) {
        self.step = self.step.and_then(|step| self.after(step));
    }

    fn after(&self, step: Step) -> Option<Step> {
        match step {
            Step::Prefill { member, to, .. } => {
                let end = self.parts[member].1;
                if to < end {
                    return Some(slice(member, to, end));
                }
                let last = member + 1 == self.parts.len();
                (!last).then_some(Step::Export { member, to })
            }
            Step::Export { member, .. } => Some(Step::Import { member: member + 1 }),
            Step::Import { member } => {
                let (from, to) = self.parts[member];
                Some(slice(member, from, to))
            }
        }
    }
}

/// Returns the first slice of a part.
fn slice(member: usize, from: u64, end: u64) -> Step {
    Step::Prefill {
        member,
        from,
        to: end.min(from + SLICE_TOKENS),
    }
}
