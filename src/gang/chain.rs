//! Sequence of steps of a gang.

use crate::backend::BackendAnswer;

/// Maximum number of prompt tokens in one prefill order.
pub const MAX_SLICE_TOKENS: u64 = 8_192;

/// One step of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A member prefills a slice of its part.
    Prefill {
        /// Index of the member, in the order of the prompt's parts.
        member: usize,
        /// Index of the first prompt token of the slice.
        from: u64,
        /// Index after the last prompt token of the slice.
        to: u64,
    },
    /// A member exports the KV cache of the prompt from the start to the end
    /// of its part.
    Export {
        /// Index of the member, in the order of the prompt's parts.
        member: usize,
        /// Index after the last prompt token of its part.
        to: u64,
    },
    /// A member imports the KV cache that its predecessor exported.
    Import {
        /// Index of the member, at least 1.
        member: usize,
    },
}

impl Step {
    /// Returns the index of the member that executes the step.
    #[must_use]
    pub const fn member(self) -> usize {
        match self {
            Step::Prefill { member, .. }
            | Step::Export { member, .. }
            | Step::Import { member } => member,
        }
    }

    /// Returns whether an answer belongs to this step.
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

/// Steps of one gang: each member prefills its part in slices, then exports its
/// KV cache, which the next member imports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepSequence {
    /// Token ranges of the parts, the end exclusive.
    parts: Vec<(u64, u64)>,
    /// Current step, or `None` once the whole prompt is prefilled.
    step: Option<Step>,
}

impl StepSequence {
    /// Creates the sequence for the parts of a prompt, each given by its first
    /// token and the token after its last.
    #[must_use]
    pub fn new(parts: Vec<(u64, u64)>) -> StepSequence {
        let step = parts.first().map(|&(from, to)| slice_from(0, from, to));
        StepSequence { parts, step }
    }

    /// Returns the current step, or `None` once the whole prompt is prefilled.
    #[must_use]
    pub const fn step(&self) -> Option<Step> {
        self.step
    }

    /// Returns whether a member has completed the prefill of its part.
    #[must_use]
    pub const fn is_prefilled(&self, member: usize) -> bool {
        match self.step {
            Some(Step::Prefill {
                member: current, ..
            }) => member < current,
            Some(Step::Export {
                member: current, ..
            }) => member <= current,
            Some(Step::Import { member: current }) => member < current,
            None => true,
        }
    }

    /// Moves to the next step.
    pub fn advance(&mut self) {
        self.step = self.step.and_then(|step| self.next_after(step));
    }

    /// Returns the step that follows `step`, or `None` after the last slice of
    /// the last part.
    fn next_after(&self, step: Step) -> Option<Step> {
        match step {
            Step::Prefill { member, to, .. } => {
                let end = self.parts[member].1;
                if to < end {
                    return Some(slice_from(member, to, end));
                }
                let last = member + 1 == self.parts.len();
                (!last).then_some(Step::Export { member, to })
            }
            Step::Export { member, .. } => Some(Step::Import { member: member + 1 }),
            Step::Import { member } => {
                let (from, to) = self.parts[member];
                Some(slice_from(member, from, to))
            }
        }
    }
}

/// Returns the prefill step for the slice of a part that starts at `from`.
fn slice_from(member: usize, from: u64, end: u64) -> Step {
    Step::Prefill {
        member,
        from,
        to: end.min(from + MAX_SLICE_TOKENS),
    }
}
