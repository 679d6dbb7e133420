//! One stream of an engine: its progress, and the connection that reads it.

use std::collections::VecDeque;
use std::io;

use serde_json::json;

use crate::answer::answer_tokens;
use crate::answer::finish_word;
use crate::answer::token_text;
use crate::site::ChunkWriter;
use skylarkhook::clock::Millis;

/// Time between keep-alive lines while nothing else is sent.
const KEEPALIVE: Millis = Millis(500);

/// A stream in flight, or kept for a resume.
pub struct Stream {
    /// The request.
    pub request: String,
    /// The attempt's number.
    pub attempt: u32,
    /// The instance that started it.
    pub owner: String,
    /// Higher goes first in prefill.
    pub priority: u8,
    /// Order of arrival.
    pub sequence: u64,
    /// Hash of the prefix, for the cache.
    pub prefix: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Memory reserved, in tokens; 0 once the answer is generated.
    pub memory_tokens: u64,
    /// Prompt tokens still to process.
    pub prefill_left: f64,
    /// Whether the prompt crashes the engine.
    pub poison: bool,
    /// Hash of the prompt.
    pub hash: u64,
    /// Tokens allowed.
    pub max_tokens: u32,
    /// Tokens generated.
    pub produced: u32,
    /// Share of the next token that is done.
    pub credit: f64,
    /// When each token not yet sent may leave.
    pub due: VecDeque<Millis>,
    /// Next token to send.
    pub sent: u32,
    /// Who reads.
    pub sink: Option<ChunkWriter>,
    /// Since when nobody reads, or since when the answer is complete.
    pub idle_since: Option<Millis>,
    /// When something was sent last.
    pub sent_at: Millis,
}

impl Stream {
    /// Returns the length of the whole answer.
    #[must_use]
    pub fn total(&self) -> u32 {
        answer_tokens(self.hash, self.max_tokens)
    }

    /// Returns whether tokens are being generated.
    #[must_use]
    pub fn decoding(&self) -> bool {
        self.prefill_left <= 0.0 && !self.generated()
    }

    /// Returns whether the whole answer is generated.
    #[must_use]
    pub fn generated(&self) -> bool {
        self.prefill_left <= 0.0 && self.produced >= self.total()
    }

    /// Generates one token that may leave at `due`.
    pub fn produce(&mut self, due: Millis) {
        self.produced += 1;
        self.due.push_back(due);
    }

    /// Reads on at `offset` over another connection.
    pub fn attach(&mut self, now: Millis, attempt: u32, offset: u32, sink: ChunkWriter) {
        self.attempt = attempt;
        self.sent = offset;
        let waiting = self.produced.saturating_sub(offset) as usize;
        self.due = vec![now; waiting].into();
        self.sink = Some(sink);
        self.idle_since = None;
        self.sent_at = now;
    }

    /// Sends what is due; returns whether the whole answer was delivered.
    pub fn send(&mut self, now: Millis, crossed: &mut u32) -> bool {
        let Some(mut sink) = self.sink.take() else {
            return false;
        };
        match self.send_to(&mut sink, now, crossed) {
            Ok(false) => {
                self.sink = Some(sink);
                false
            }
            Ok(true) if sink.muted => {
                // Nobody reads this, but the connection stays open.
                self.idle_since.get_or_insert(now);
                self.sink = Some(sink);
                false
            }
            Ok(true) => sink.finish().is_ok(),
            Err(_) => {
                self.idle_since = Some(now);
                false
            }
        }
    }

    /// Returns whether the last frame was sent.
    fn send_to(
        &mut self,
        sink: &mut ChunkWriter,
        now: Millis,
        crossed: &mut u32,
    ) -> io::Result<bool> {
        let mut lines = String::new();
        while self.due.front().is_some_and(|due| *due <= now) {
            self.due.pop_front();
            if *crossed > 0 {
                *crossed -= 1;
                lines.push_str(&self.crossed_line());
            }
            lines.push_str(&self.token_line());
            self.sent += 1;
        }
        let end = self.generated() && self.due.is_empty();
        if end {
            lines.push_str(&self.finish_line());
        } else if lines.is_empty() && now.since(self.sent_at) >= KEEPALIVE {
            lines.push('\n');
        }
        if !lines.is_empty() {
            self.sent_at = now;
            sink.send(&lines)?;
        }
        Ok(end)
    }

    fn token_line(&self) -> String {
        let text = token_text(self.hash, self.sent);
        let frame = json!({
            "request": self.request,
            "attempt": self.attempt,
            "offset": self.sent,
            "text": text,
        });
        format!("{frame}\n")
    }

    /// Returns a frame that belongs to an attempt long over.
    fn crossed_line(&self) -> String {
        let frame = json!({
            "request": self.request,
            "attempt": self.attempt.wrapping_sub(1),
            "offset": self.sent,
            "text": " crossed",
        });
        format!("{frame}\n")
    }

    fn finish_line(&self) -> String {
        let total = self.total();
        let frame = json!({
            "request": self.request,
            "attempt": self.attempt,
            "offset": total,
            "finish": finish_word(total, self.max_tokens),
        });
        format!("{frame}\n")
    }
}
