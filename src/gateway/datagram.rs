//! Encoding of the datagrams between instances.
//!
//! Two neighbouring releases always understand each other. Every instance states
//! in its store entry and in its heartbeats which formats it reads, and the sender
//! uses the newest one that the recipient reads:
//!
//! - *Positional*, the only one of earlier releases: one message, its fields in a
//!   fixed order. Its layout is frozen; a field that was added later is unknown to
//!   the recipient.
//! - *Tagged*: any number of messages, each with its kind and its length, with
//!   numbered fields as in Protocol Buffers. Kinds and fields can be added: what a
//!   recipient does not know it skips, and a field that the sender does not know has
//!   the meaning that is stated for its absence.

mod positional;
mod tagged;

use std::fmt;

use crate::gateway::instances::PeerMessage;

/// First byte of a tagged datagram; no positional one begins with it.
const TAGGED_MARK: u8 = 0xf2;
/// Maximum size of a datagram, in bytes; a placement on 17 engines takes about
/// 200.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A format of datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// Fields in a fixed order.
    Positional,
    /// Numbered fields.
    Tagged,
}

impl Format {
    const ALL: [Format; 2] = [Format::Positional, Format::Tagged];

    /// Returns the number by which instances state that they read the format.
    const fn number(self) -> u32 {
        match self {
            Format::Positional => 1,
            Format::Tagged => 2,
        }
    }
}

/// The formats that an instance reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Formats {
    newest: Format,
}

impl Formats {
    /// What this release reads.
    pub const OWN: Formats = Formats {
        newest: Format::Tagged,
    };
    /// What a release reads that states no formats.
    pub const EARLIER: Formats = Formats {
        newest: Format::Positional,
    };

    /// Returns the formats with these numbers. Numbers of later formats are left
    /// out.
    #[must_use]
    pub fn from_numbers(numbers: &[u32]) -> Formats {
        let known = Format::ALL
            .into_iter()
            .filter(|format| numbers.contains(&format.number()));
        Formats {
            newest: known.max().unwrap_or(Format::Positional),
        }
    }

    /// Returns the numbers of the formats.
    #[must_use]
    pub fn numbers(self) -> Vec<u32> {
        let read = Format::ALL
            .into_iter()
            .filter(|format| *format <= self.newest);
        read.map(Format::number).collect()
    }

    /// Returns the newest format.
    #[must_use]
    pub fn newest(self) -> Format {
        self.newest
    }
}

impl fmt::Display for Formats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let numbers: Vec<String> = self.numbers().iter().map(ToString::to_string).collect();
        f.write_str(&numbers.join(","))
    }
}

/// A datagram that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatagramError(String);

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DatagramError {}

impl DatagramError {
    fn new(cause: &impl ToString) -> DatagramError {
        DatagramError(cause.to_string())
    }
}

/// The messages of a datagram.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Decoded {
    /// Messages of known kinds, in order.
    pub messages: Vec<PeerMessage>,
    /// Kinds of messages that this release does not know.
    pub unknown_kinds: Vec<u32>,
}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded.
pub fn encode(message: &PeerMessage, format: Format) -> Result<Vec<u8>, DatagramError> {
    match format {
        Format::Positional => positional::encode(message),
        Format::Tagged => {
            let mut buf = vec![TAGGED_MARK];
            tagged::encode(message, &mut buf)?;
            Ok(buf)
        }
    }
}

/// Decodes a datagram of any format.
///
/// # Errors
///
/// Returns an error if the datagram is malformed.
pub fn decode(datagram: &[u8]) -> Result<Decoded, DatagramError> {
    match datagram.split_first() {
        Some((&TAGGED_MARK, messages)) => tagged::decode(messages),
        _ => Ok(Decoded {
            messages: vec![positional::decode(datagram)?],
            unknown_kinds: Vec::new(),
        }),
    }
}
