//! An admitted request as the scheduling duties see it.

use crate::clock::Millis;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::fleet::KindKey;
use crate::fleet::WorkspaceKey;
use crate::id::Fingerprint;
use crate::id::RequestId;

/// Prompts from this many tokens on are long.
pub const LONG_PROMPT_TOKENS: u64 = 16_000;
/// Prompts from this many tokens on are huge.
pub const HUGE_PROMPT_TOKENS: u64 = 100_000;

/// Length class of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LengthClass {
    /// Below [`LONG_PROMPT_TOKENS`]; calls of plain services too.
    Short,
    /// Below [`HUGE_PROMPT_TOKENS`].
    Long,
    /// Longer.
    Huge,
}

impl LengthClass {
    /// Returns the class of a prompt of `tokens` tokens.
    #[must_use]
    pub const fn of(tokens: u64) -> LengthClass {
        match tokens {
            0..LONG_PROMPT_TOKENS => LengthClass::Short,
            LONG_PROMPT_TOKENS..HUGE_PROMPT_TOKENS => LengthClass::Long,
            _ => LengthClass::Huge,
        }
    }

    /// Returns the word that routes match on.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            LengthClass::Short => "short",
            LengthClass::Long => "long",
            LengthClass::Huge => "huge",
        }
    }
}

/// What a request takes of a backend server besides one stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens and allowed output tokens.
    pub memory_tokens: u64,
    /// Prompt tokens to process, less the predicted cached prefix.
    pub prefill_tokens: u64,
}

/// An admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its id.
    pub request: RequestId,
    /// Who asked.
    pub workspace: WorkspaceKey,
    /// Its kind.
    pub kind: KindKey,
    /// What serves it.
    pub target: Target,
    /// The model, or the plain service's name.
    pub model: String,
    /// Prompt length in tokens; 0 for a plain service.
    pub prompt_tokens: u64,
    /// Output tokens allowed; 0 for a plain service.
    pub max_tokens: u32,
    /// Hash of the prompt's first part.
    pub prefix: u64,
    /// Hash of all that identifies the request.
    pub fingerprint: Fingerprint,
    /// Who is refused last: 0 to 100.
    pub importance: u8,
    /// When it was admitted.
    pub admitted: Millis,
    /// When the whole answer is due.
    pub deadline: Millis,
    /// Tokens that the caller has already.
    pub offset: u32,
    /// Backend servers that must not get it again.
    pub excluded: Vec<BackendKey>,
    /// Suspected of crashing engines: it runs alone.
    pub alone: bool,
}

impl Job {
    /// Returns the length class of the prompt.
    #[must_use]
    pub const fn length(&self) -> LengthClass {
        LengthClass::of(self.prompt_tokens)
    }

    /// Returns the cost if `cached` tokens of the prompt need no processing.
    #[must_use]
    pub fn cost(&self, cached: u64) -> Cost {
        let prompt = self.prompt_tokens + u64::from(self.offset);
        let output = u64::from(self.max_tokens.saturating_sub(self.offset));
        Cost {
            memory_tokens: prompt + output,
            prefill_tokens: prompt.saturating_sub(cached),
        }
    }
}
