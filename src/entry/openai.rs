//! Answers in the shapes of the OpenAI API.

use serde_json::Value;
use serde_json::json;

use super::prompt::Dialect;
use crate::id::RequestId;
use crate::relay::Finish;

/// What all parts of one answer have in common.
#[derive(Debug, Clone)]
pub(super) struct Shape {
    pub(super) dialect: Dialect,
    pub(super) request: RequestId,
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    /// When the request came, in seconds since 1970.
    pub(super) created: u64,
}

impl Shape {
    /// Returns a whole answer.
    pub(super) fn whole(&self, text: &str, tokens: u32, finish: Finish) -> Value {
        let finish = finish.as_str();
        let choice = match self.dialect {
            Dialect::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            Dialect::Completion => json!({
                "index": 0,
                "text": text,
                "finish_reason": finish,
            }),
        };
        let mut answer = self.envelope(vec![choice], false);
        answer["usage"] = self.usage(tokens);
        answer
    }

    /// Returns a part of a stream with text; `first` adds the role.
    pub(super) fn part(&self, text: &str, first: bool) -> Value {
        let choice = match self.dialect {
            Dialect::Chat if first => json!({
                "index": 0,
                "delta": {"role": "assistant", "content": text},
                "finish_reason": null,
            }),
            Dialect::Chat => json!({
                "index": 0,
                "delta": {"content": text},
                "finish_reason": null,
            }),
            Dialect::Completion => json!({
                "index": 0,
                "text": text,
                "finish_reason": null,
            }),
        };
        self.envelope(vec![choice], true)
    }

    /// Returns the part of a stream that says why it ends.
    pub(super) fn last(&self, finish: Finish) -> Value {
        let finish = finish.as_str();
        let choice = match self.dialect {
            Dialect::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish}),
            Dialect::Completion => json!({"index": 0, "text": "", "finish_reason": finish}),
        };
        self.envelope(vec![choice], true)
    }

    /// Returns the part of a stream that reports usage.
    pub(super) fn usage_part(&self, tokens: u32) -> Value {
        let mut part = self.envelope(Vec::new(), true);
        part["usage"] = self.usage(tokens);
        part
    }

    fn envelope(&self, choices: Vec<Value>, part: bool) -> Value {
        let (prefix, object) = match (self.dialect, part) {
            (Dialect::Chat, false) => ("chatcmpl", "chat.completion"),
            (Dialect::Chat, true) => ("chatcmpl", "chat.completion.chunk"),
            (Dialect::Completion, _) => ("cmpl", "text_completion"),
        };
        json!({
            "id": format!("{prefix}-{}", self.request),
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }

    fn usage(&self, tokens: u32) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + u64::from(tokens),
        })
    }
}
