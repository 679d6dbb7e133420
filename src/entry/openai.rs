//! Response bodies in the format of the OpenAI API.

use serde_json::Value;
use serde_json::json;

use super::prompt::Dialect;
use crate::id::RequestId;
use crate::relay::Finish;

/// Fields common to all chunks of one response.
#[derive(Debug, Clone)]
pub(super) struct ResponseFormat {
    pub(super) dialect: Dialect,
    pub(super) request: RequestId,
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    /// Unix time of the request, in seconds.
    pub(super) created: u64,
}

impl ResponseFormat {
    /// Returns a complete, non-streamed response.
    pub(super) fn complete(&self, text: &str, tokens: u32, finish: Finish) -> Value {
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

    /// Returns a stream chunk with text; the `first` one of a chat adds the role.
    pub(super) fn text_chunk(&self, text: &str, first: bool) -> Value {
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

    /// Returns the stream chunk with the finish reason.
    pub(super) fn finish_chunk(&self, finish: Finish) -> Value {
        let finish = finish.as_str();
        let choice = match self.dialect {
            Dialect::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish}),
            Dialect::Completion => json!({"index": 0, "text": "", "finish_reason": finish}),
        };
        self.envelope(vec![choice], true)
    }

    /// Returns the stream chunk with the token usage.
    pub(super) fn usage_chunk(&self, tokens: u32) -> Value {
        let mut chunk = self.envelope(Vec::new(), true);
        chunk["usage"] = self.usage(tokens);
        chunk
    }

    fn envelope(&self, choices: Vec<Value>, streamed: bool) -> Value {
        let (prefix, object) = match (self.dialect, streamed) {
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
