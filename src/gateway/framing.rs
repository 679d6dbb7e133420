//! Finds the request heads in the bytes of a caller's connection.
//!
//! hyper drops one of two conflicting body lengths before it passes a head on,
//! so that the conflict is seen only in the raw bytes. Bodies are skipped by
//! their lengths; every byte is looked at once, whatever the size of a head.

use std::collections::VecDeque;

/// Bytes kept of a line: enough for the header names and lengths that count.
const MAX_LINE_PREFIX_BYTES: usize = 128;
/// Bytes of the line end after a chunk.
const CHUNK_END_BYTES: u64 = 2;

/// The lengths of a body that a head specifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// At most one length.
    Clear,
    /// Several lengths, or one that cannot be read.
    Ambiguous,
}

/// Part of a request that is expected next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    RequestLine,
    Header,
    /// Bytes left of a body.
    Body(u64),
    ChunkSize,
    /// Bytes left of a chunk, with its line end.
    Chunk(u64),
    Trailer,
    /// Nothing: the end of the current body is unknown.
    Unknown,
}

/// Splits the bytes of a connection into requests.
#[derive(Debug)]
pub struct HeadScanner {
    part: Part,
    /// Beginning of the current line.
    line: Vec<u8>,
    /// Values of the current head's `Content-Length` headers.
    lengths: Vec<Option<u64>>,
    /// Whether the current head has a `Transfer-Encoding`.
    encoded: bool,
    /// Complete heads that have not been taken.
    heads: VecDeque<BodyLength>,
}

impl HeadScanner {
    /// Returns a scanner for a new connection.
    #[must_use]
    pub fn new() -> HeadScanner {
        HeadScanner {
            part: Part::RequestLine,
            line: Vec::new(),
            lengths: Vec::new(),
            encoded: false,
            heads: VecDeque::new(),
        }
    }

    /// Takes the oldest complete head. One that was not found is ambiguous.
    pub fn take_head(&mut self) -> BodyLength {
        self.heads.pop_front().unwrap_or(BodyLength::Ambiguous)
    }

    /// Returns whether the caller has sent more than the heads that were taken and
    /// their bodies.
    #[must_use]
    pub fn has_read_ahead(&self) -> bool {
        !self.heads.is_empty() || self.is_inside_head()
    }

    /// Returns whether a part of a head has arrived.
    #[must_use]
    pub fn is_inside_head(&self) -> bool {
        match self.part {
            Part::RequestLine => !self.line.is_empty(),
            Part::Header => true,
            _ => false,
        }
    }

    /// Scans received bytes.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.part {
                Part::Body(left) => {
                    let (left, rest) = skip(left, bytes);
                    self.part = match left {
                        0 => Part::RequestLine,
                        left => Part::Body(left),
                    };
                    rest
                }
                Part::Chunk(left) => {
                    let (left, rest) = skip(left, bytes);
                    self.part = match left {
                        0 => Part::ChunkSize,
                        left => Part::Chunk(left),
                    };
                    rest
                }
                Part::RequestLine | Part::Header | Part::ChunkSize | Part::Trailer => {
                    self.scan_line(bytes)
                }
                Part::Unknown => return,
            };
        }
    }

    /// Scans up to the end of the current line; returns the bytes after it.
    fn scan_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let line = &bytes[..end.unwrap_or(bytes.len())];
        let space = MAX_LINE_PREFIX_BYTES - self.line.len();
        self.line.extend_from_slice(&line[..line.len().min(space)]);
        let Some(end) = end else {
            return &[];
        };
        let line = std::mem::take(&mut self.line);
        self.part = self.part_after(line.strip_suffix(b"\r").unwrap_or(&line));
        // Keeps the allocation.
        self.line = line;
        self.line.clear();
        &bytes[end + 1..]
    }

    fn part_after(&mut self, line: &[u8]) -> Part {
        match self.part {
            // Empty lines before a request are skipped.
            Part::RequestLine if line.is_empty() => Part::RequestLine,
            Part::Header if line.is_empty() => self.end_head(),
            Part::Header => {
                self.read_header(line);
                Part::Header
            }
            Part::ChunkSize => match chunk_size(line) {
                Some(0) => Part::Trailer,
                Some(size) => Part::Chunk(size.saturating_add(CHUNK_END_BYTES)),
                None => Part::Unknown,
            },
            Part::Trailer if line.is_empty() => Part::RequestLine,
            Part::RequestLine => Part::Header,
            Part::Trailer | Part::Body(_) | Part::Chunk(_) | Part::Unknown => self.part,
        }
    }

    fn read_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let (name, value) = (line[..colon].trim_ascii(), &line[colon + 1..]);
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths.push(parse(value, 10));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.encoded = true;
        }
    }

    fn end_head(&mut self) -> Part {
        let encoded = std::mem::take(&mut self.encoded);
        let (body_length, part) = match (self.lengths.as_slice(), encoded) {
            ([], false) | ([Some(0)], false) => (BodyLength::Clear, Part::RequestLine),
            ([], true) => (BodyLength::Clear, Part::ChunkSize),
            ([Some(length)], false) => (BodyLength::Clear, Part::Body(*length)),
            _ => (BodyLength::Ambiguous, Part::Unknown),
        };
        self.lengths.clear();
        self.heads.push_back(body_length);
        part
    }
}

impl Default for HeadScanner {
    fn default() -> HeadScanner {
        HeadScanner::new()
    }
}

/// Skips up to `left` bytes; returns how many are then left, and the rest.
fn skip(left: u64, bytes: &[u8]) -> (u64, &[u8]) {
    let skipped = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
    (left - skipped as u64, &bytes[skipped..])
}

fn chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|byte| *byte == b';').next()?;
    parse(size, 16)
}

fn parse(digits: &[u8], radix: u32) -> Option<u64> {
    let digits = std::str::from_utf8(digits.trim_ascii()).ok()?;
    u64::from_str_radix(digits, radix).ok()
}
