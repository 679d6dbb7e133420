//! Parses the bodies of `/v1/chat/completions` and `/v1/completions`.
//!
//! Fields that this layer does not use (such as `temperature`) are accepted and
//! not forwarded.

use serde_json::Map;
use serde_json::Value;
use xxhash_rust::xxh3::Xxh3;

use crate::backend::Prompt;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Assumed length of a token, in bytes of text.
pub const BYTES_PER_TOKEN: u64 = 4;
/// Length of the beginning of a prompt that is hashed as its prefix.
pub const PREFIX_BYTES: usize = 4096;
/// Greatest output length that a caller may request.
pub const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
/// Maximum length of a model name.
const MAX_MODEL_BYTES: usize = 128;

/// The API endpoint that received a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// A parsed prompt with its response options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedPrompt {
    /// The prompt; `max_tokens` is 0 if the caller sets no limit.
    pub prompt: Prompt,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with a usage chunk.
    pub usage: bool,
}

/// Parses a body. `token_sha256` is part of the prefix hash, so that workspaces
/// never share a prefix.
///
/// # Errors
///
/// Returns a refusal that names the invalid field and the accepted values.
pub fn parse(dialect: Dialect, body: &[u8], token_sha256: &str) -> Result<ParsedPrompt, Refusal> {
    let text = std::str::from_utf8(body)
        .map_err(|error| bad_request(format!("the body is not UTF-8: {error}")))?;
    let value: Value = serde_json::from_str(text)
        .map_err(|error| bad_request(format!("the body is not JSON: {error}")))?;
    let Value::Object(mut fields) = value else {
        return Err(bad_request("the body has to be a JSON object"));
    };
    let model = model(&mut fields)?;
    let text = match dialect {
        Dialect::Chat => chat_text(&mut fields)?,
        Dialect::Completion => completion_text(&mut fields)?,
    };
    if text.is_empty() {
        return Err(bad_request("the prompt is empty"));
    }
    check_single_choice(&fields)?;
    let prompt = Prompt {
        tokens: (text.len() as u64).div_ceil(BYTES_PER_TOKEN),
        prefix: prefix(token_sha256, &model, &text),
        max_tokens: max_tokens(&fields)?,
        model,
        text,
    };
    Ok(ParsedPrompt {
        prompt,
        stream: bool_field(&fields, "stream")?,
        usage: usage(&fields)?,
    })
}

/// Returns the hash of workspace, model and the prompt's beginning.
fn prefix(token_sha256: &str, model: &str, text: &str) -> u64 {
    let beginning = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
    hash(&[token_sha256.as_bytes(), model.as_bytes(), beginning])
}

/// Hashes each part together with its length, so that lists of parts which
/// concatenate to the same bytes differ.
#[must_use]
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

fn model(fields: &mut Map<String, Value>) -> Result<String, Refusal> {
    match fields.remove("model") {
        Some(Value::String(model)) if (1..=MAX_MODEL_BYTES).contains(&model.len()) => Ok(model),
        Some(Value::String(_)) => Err(bad_request(format!(
            "`model` has to have 1 to {MAX_MODEL_BYTES} bytes"
        ))),
        Some(other) => Err(invalid_field("model", "a string", &other)),
        None => Err(bad_request("`model` is missing")),
    }
}

fn completion_text(fields: &mut Map<String, Value>) -> Result<String, Refusal> {
    match fields.remove("prompt") {
        Some(Value::String(text)) => Ok(text),
        Some(Value::Array(mut parts)) if parts.len() == 1 => match parts.remove(0) {
            Value::String(text) => Ok(text),
            other => Err(invalid_field("prompt[0]", "a string", &other)),
        },
        Some(other) => Err(invalid_field(
            "prompt",
            "a string or a list of one string",
            &other,
        )),
        None => Err(bad_request("`prompt` is missing")),
    }
}

/// Joins the messages of a chat, each prefixed with its role.
fn chat_text(fields: &mut Map<String, Value>) -> Result<String, Refusal> {
    let messages = match fields.remove("messages") {
        Some(Value::Array(messages)) => messages,
        Some(other) => return Err(invalid_field("messages", "a list", &other)),
        None => return Err(bad_request("`messages` is missing")),
    };
    if messages.is_empty() {
        return Err(bad_request("`messages` is empty"));
    }
    let mut text = String::new();
    for (index, message) in messages.into_iter().enumerate() {
        let (role, content) = chat_message(index, message)?;
        text.push_str(&role);
        text.push_str(": ");
        text.push_str(&content);
        text.push('\n');
    }
    text.push_str("assistant: ");
    Ok(text)
}

fn chat_message(index: usize, message: Value) -> Result<(String, String), Refusal> {
    let Value::Object(mut message) = message else {
        return Err(invalid_field(
            &format!("messages[{index}]"),
            "an object",
            &message,
        ));
    };
    let role = match message.remove("role") {
        Some(Value::String(role)) => role,
        Some(other) => {
            let field = format!("messages[{index}].role");
            return Err(invalid_field(&field, "a string", &other));
        }
        None => return Err(bad_request(format!("`messages[{index}].role` is missing"))),
    };
    let field = format!("messages[{index}].content");
    let content = match message.remove("content") {
        Some(Value::String(text)) => text,
        Some(Value::Array(parts)) => text_parts(&field, parts)?,
        Some(Value::Null) | None => String::new(),
        Some(other) => {
            return Err(invalid_field(
                &field,
                "a string or a list of text parts",
                &other,
            ));
        }
    };
    Ok((role, content))
}

fn text_parts(field: &str, parts: Vec<Value>) -> Result<String, Refusal> {
    let mut text = String::new();
    for (index, part) in parts.iter().enumerate() {
        let is_text = part.get("type").and_then(Value::as_str) == Some("text");
        match part.get("text").and_then(Value::as_str) {
            Some(part) if is_text => text.push_str(part),
            _ => {
                let field = format!("{field}[{index}]");
                return Err(invalid_field(&field, "a text part", part));
            }
        }
    }
    Ok(text)
}

fn max_tokens(fields: &Map<String, Value>) -> Result<u32, Refusal> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => return output_tokens(name, value),
        }
    }
    Ok(0)
}

fn output_tokens(name: &str, value: &Value) -> Result<u32, Refusal> {
    let allowed = 1..=MAX_OUTPUT_TOKENS;
    value
        .as_u64()
        .filter(|tokens| allowed.contains(tokens))
        .and_then(|tokens| u32::try_from(tokens).ok())
        .ok_or_else(|| {
            let expected = format!("a whole number from 1 to {MAX_OUTPUT_TOKENS}");
            invalid_field(name, &expected, value)
        })
}

fn bool_field(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(other) => Err(invalid_field(name, "true or false", other)),
    }
}

fn usage(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => bool_field(options, "include_usage"),
        Some(other) => Err(invalid_field("stream_options", "an object", other)),
    }
}

fn check_single_choice(fields: &Map<String, Value>) -> Result<(), Refusal> {
    match fields.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(other) => Err(invalid_field("n", "1", other)),
    }
}

/// Maximum length of an invalid value quoted in an error message.
const MAX_SHOWN_CHARS: usize = 40;

fn invalid_field(field: &str, expected: &str, found: &Value) -> Refusal {
    let shown: String = found.to_string().chars().take(MAX_SHOWN_CHARS).collect();
    bad_request(format!("`{field}` has to be {expected}, not {shown}"))
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadRequest, message)
}
