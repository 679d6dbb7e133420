//! Splits a server-sent event stream into complete events.
//!
//! A connection may break in the middle of an event. Only complete events are
//! forwarded, so that another server can resume after the last of them. The size
//! of an event is limited, because the rest of a stream may never come.
//!
//! Comments and blank lines only keep a connection open and say nothing about the
//! request. They are not passed on before the first event, so that another server
//! can be tried until then.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Length of the longest end of an event, `\r\n\r\n`, in bytes.
const LONGEST_EVENT_END: usize = 4;
/// Field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";
/// Field that holds an event's content.
const DATA_FIELD: &[u8] = b"data";

/// Splits a `text/event-stream` body at the ends of events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of the buffer up to the last blank line: comments before the first
    /// event.
    held: usize,
    has_begun: bool,
    last_id: Option<String>,
}

/// Bytes of a stream that end after a blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes.
    pub bytes: Bytes,
    /// Whether they hold an event, not only comments.
    pub has_event: bool,
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
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        let searched = self.buf.len().saturating_sub(LONGEST_EVENT_END - 1);
        self.buf.extend_from_slice(bytes);
        let mut complete = None;
        if let Some(end) = last_event_end(&self.buf[searched..]) {
            let end = searched + end;
            let has_event = has_event(&self.buf[self.held..end]);
            self.has_begun |= has_event;
            self.held = match self.has_begun {
                true => 0,
                false => end,
            };
            complete = self.has_begun.then(|| Events {
                bytes: self.buf.split_to(end).freeze(),
                has_event,
            });
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        if let Some(id) = complete
            .as_ref()
            .and_then(|events| last_id_in(&events.bytes))
        {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Continues the stream of another splitter, whose last event counts until
    /// this one has one.
    pub fn continue_from(&mut self, other: EventSplitter) {
        self.last_id = self.last_id.take().or(other.last_id);
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        self.buf.len() > self.held
    }

    /// Returns the comments of a stream that has ended without an event.
    #[must_use]
    pub fn take_comments(&mut self) -> Bytes {
        self.buf.split_to(std::mem::take(&mut self.held)).freeze()
    }
}

fn has_event(bytes: &[u8]) -> bool {
    bytes
        .split(|&byte| byte == b'\n')
        .any(|line| line.starts_with(DATA_FIELD) || line.starts_with(ID_FIELD))
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
