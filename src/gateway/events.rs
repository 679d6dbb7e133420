//! Whole events of a stream.
//!
//! A backend server may break off in the middle of an event. Only whole events
//! are passed on, so that another server can go on after the last of them.

use bytes::Bytes;
use bytes::BytesMut;

/// Field that names an event.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream of `text/event-stream` at the ends of events.
#[derive(Debug, Default)]
pub struct Events {
    buf: BytesMut,
    last_id: Option<String>,
}

impl Events {
    /// Takes bytes and returns all events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let end = end_of_events(&self.buf)?;
        let whole = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether part of an event is left.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the part of an event that is left.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }
}

/// Returns the position after the last blank line.
fn end_of_events(buf: &[u8]) -> Option<usize> {
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

fn last_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|&byte| byte == b'\n')
        .rfind(|line| line.starts_with(ID_FIELD))?;
    let id = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(id.trim().to_owned())
}
