//! A caller's request, as the queue and the router see it.

use crate::clock::Millis;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::fleet::KindKey;
use crate::fleet::WorkspaceKey;
use crate::id::Fingerprint;
use crate::id::RequestId;

/// Minimum length of a long prompt.
pub const LONG_PROMPT_TOKENS: u64 = 16_000;
/// Minimum length of a huge prompt.
pub const HUGE_PROMPT_TOKENS: u64 = 100_000;

/// Length class of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LengthClass {
    /// Fewer than [`LONG_PROMPT_TOKENS`] tokens, and all calls of plain services.
    Short,
    /// Fewer than [`HUGE_PROMPT_TOKENS`] tokens.
    Long,
    /// [`HUGE_PROMPT_TOKENS`] tokens or more.
    Huge,
}

impl LengthClass {
    /// Returns the class of a prompt of `tokens` tokens.
    #[must_use]
    pub const fn from_prompt_tokens(tokens: u64) -> LengthClass {
        match tokens {
            0..LONG_PROMPT_TOKENS => LengthClass::Short,
            LONG_PROMPT_TOKENS..HUGE_PROMPT_TOKENS => LengthClass::Long,
            _ => LengthClass::Huge,
        }
    }

    /// Returns the class's name, which routes match on.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            LengthClass::Short => "short",
            LengthClass::Long => "long",
            LengthClass::Huge => "huge",
        }
    }
}

/// Resources that a request uses on a backend server besides one stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cost {
    /// KV cache memory: prompt tokens plus allowed output tokens.
    pub memory_tokens: u64,
    /// Tokens to prefill: the prompt without its predicted cached prefix.
    pub prefill_tokens: u64,
}

/// A request to be queued and run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its id.
    pub request: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceKey,
    /// Its kind.
    pub kind: KindKey,
    /// Whether an engine or a plain service runs it.
    pub target: Target,
    /// The name of the model or of the plain service.
    pub model: String,
    /// Prompt length in tokens; 0 for a plain service.
    pub prompt_tokens: u64,
    /// Output tokens allowed; 0 for a plain service.
    pub max_tokens: u32,
    /// Hash of the start of the prompt, for prefix-cache affinity.
    pub prefix: u64,
    /// Hash that is equal for repeats of the same request.
    pub fingerprint: Fingerprint,
    /// Importance from 0 to 100; under overload, the least important requests are
    /// refused first.
    pub importance: u8,
    /// When it was submitted to this instance.
    pub submitted_at: Millis,
    /// When the complete answer has to be there, a margin before the caller's
    /// deadline.
    pub deadline: Millis,
    /// Number of output tokens that the caller has already received; the next
    /// attempt continues after them.
    pub offset: u32,
    /// Backend servers on which it must not be retried.
    pub excluded: Vec<BackendKey>,
    /// Whether it is suspected of crashing engines, and so must not share an engine
    /// with other requests.
    pub exclusive: bool,
}

impl Job {
    /// Returns the length class of the prompt.
    #[must_use]
    pub const fn length_class(&self) -> LengthClass {
        LengthClass::from_prompt_tokens(self.prompt_tokens)
    }

    /// Returns the cost if `cached_tokens` tokens of the prompt need no
    /// prefill. Output that the caller already has counts as part of the
    /// prompt.
    #[must_use]
    pub fn cost(&self, cached_tokens: u64) -> Cost {
        let prompt = self.prompt_tokens + u64::from(self.offset);
        let output = u64::from(self.max_tokens.saturating_sub(self.offset));
        Cost {
            memory_tokens: prompt + output,
            prefill_tokens: prompt.saturating_sub(cached_tokens),
        }
    }
}
