//! How requests ended, as their callers saw it.

use std::time::Duration;

use serde::Serialize;

use skylarkhook::clock::Millis;
use skylarkhook::job::LengthClass;

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The whole answer, as expected.
    Whole,
    /// An answer that claims to be whole and is not the expected one.
    Wrong,
    /// A refusal or failure that says whether the request ran.
    Refused {
        /// Reason code.
        code: String,
        /// `no`, `maybe` or `yes`.
        ran: String,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The connection ended or fell silent without a final word.
    Broken(String),
}

impl Ending {
    /// Returns the word for tables.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Ending::Whole => "whole".to_owned(),
            Ending::Wrong => "NOT WHOLE".to_owned(),
            Ending::Refused { code, ran, .. } => format!("{code} (ran: {ran})"),
            Ending::Broken(why) => format!("BROKEN: {why}"),
        }
    }

    /// Returns whether the caller was told that nothing ran.
    #[must_use]
    pub fn says_not_run(&self) -> bool {
        matches!(self, Ending::Refused { ran, .. } if ran == "no")
    }
}

/// One call as its caller saw it.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Number of the request in the plan.
    pub number: u64,
    /// Which sending of it, from 0.
    pub copy: u32,
    /// Index of its class.
    pub class: usize,
    /// Prompt length in tokens; 0 for a plain service.
    pub prompt_tokens: u64,
    /// When it was sent, after the start.
    pub at: Millis,
    /// Idempotency key; empty: none.
    pub key: String,
    /// What the caller got.
    pub ending: Ending,
    /// Time to the first token or answer byte.
    pub first: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u32,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Times that the balancer went on to another instance.
    pub failovers: u32,
}

impl Outcome {
    /// Returns the length class; none for a plain service.
    #[must_use]
    pub fn length(&self) -> Option<LengthClass> {
        (self.prompt_tokens > 0).then(|| LengthClass::from_prompt_tokens(self.prompt_tokens))
    }

    /// Returns whether the whole answer came.
    #[must_use]
    pub fn whole(&self) -> bool {
        self.ending == Ending::Whole
    }
}
