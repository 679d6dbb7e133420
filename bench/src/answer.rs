//! The text that every engine stand-in generates for a prompt.
//!
//! Token `i` of an answer is a function of the prompt's hash and `i`, the same on
//! every engine, so that a caller can check an answer exactly.

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of text that count as one prompt token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens of a prompt.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the hash that decides the answer to a prompt.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the text of token `index` of the answer to a prompt with this hash.
#[must_use]
pub fn token_text(hash: u64, index: u32) -> String {
    let mut seed = [0; 12];
    seed[..8].copy_from_slice(&hash.to_le_bytes());
    seed[8..].copy_from_slice(&index.to_le_bytes());
    format!(" {:05x}", xxh3_64(&seed) & 0xf_ffff)
}

/// Returns the length in tokens of the answer to a prompt with this hash: all
/// that is allowed, or between half of it and all.
#[must_use]
pub fn answer_tokens(hash: u64, max_tokens: u32) -> u32 {
    let half = max_tokens / 2;
    let spread = u64::from(max_tokens - half) + 1;
    half + u32::try_from(hash % spread).unwrap_or(0)
}

/// Returns the word for why an answer ended: its own end or the limit.
#[must_use]
pub const fn finish_word(tokens: u32, max_tokens: u32) -> &'static str {
    if tokens < max_tokens {
        "stop"
    } else {
        "length"
    }
}

/// Returns the whole answer to a prompt.
#[must_use]
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let hash = prompt_hash(prompt);
    (0..answer_tokens(hash, max_tokens))
        .map(|index| token_text(hash, index))
        .collect()
}
