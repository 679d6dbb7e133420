//! Splits a server-sent event stream into complete events.
//!
//! A connection may break in the middle of an event. Only complete events are
//! forwarded, so that another server can resume after the last of them. The size
//! of an event is limited, because the rest of a stream may never come.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Length of the longest end of an event, `\r\n\r\n`, in bytes.
const LONGEST_EVENT_END: usize = 4;
/// Field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Splits a `text/event-stream` body at the ends of events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

/// An event is larger than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventSplitter {
    /// Appends bytes and returns all events that are now complete, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event has become too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        let searched = self.buf.len().saturating_sub(LONGEST_EVENT_END - 1);
        self.buf.extend_from_slice(bytes);
        let complete = last_event_end(&self.buf[searched..])
            .map(|end| self.buf.split_to(searched + end).freeze());
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        if let Some(id) = complete.as_ref().and_then(|events| last_id_in(events)) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the buffered incomplete event.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }
}

/// Returns the position after the last blank line.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf
        .windows(2)
        .rposition(|pair| pair == b"\n\n")
        .map(|at| at + 2);
    let crlf = buf
        .windows(4)
        .rposition(|four| four == b"\r\n\r\n")
        .map(|at| at + 4);
    lf.max(crlf)
}

fn last_id_in(events: &[u8]) -> Option<String> {
    let line = events
        .split(|&byte| byte == b'\n')
        .rfind(|line| line.starts_with(ID_FIELD))?;
    let id = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(id.trim().to_owned())
}
