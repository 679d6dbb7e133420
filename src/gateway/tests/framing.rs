//! Heads in the bytes of a connection, however the bytes arrive.

use proptest::prelude::*;

use crate::gateway::framing::BodyLength;
use crate::gateway::framing::HeadScanner;

const REQUESTS: &str = "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n\
    POST /b HTTP/1.1\r\ncontent-LENGTH: 23\r\n\r\nGET / HTTP/1.1\r\nA: \r\n\r\n\
    POST /c HTTP/1.1\nTransfer-Encoding: chunked\n\n\
    1b;x=1\r\nGET / HTTP/1.1\r\nA: abcd\r\n\r\n\r\n0\r\nTrailer: 1\r\n\r\n\
    POST /d HTTP/1.1\r\nX-Content-Length: 3\r\nContent-Length: 0\r\n\r\n\
    POST /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n";

fn heads(parts: &[&[u8]]) -> Vec<BodyLength> {
    let mut scanner = HeadScanner::new();
    for part in parts {
        scanner.scan(part);
    }
    (0..6).map(|_| scanner.take_head()).collect()
}

/// Five heads, of which the last is ambiguous, and none after it.
fn expected() -> Vec<BodyLength> {
    let clear = [BodyLength::Clear; 4];
    [clear.as_slice(), &[BodyLength::Ambiguous; 2]].concat()
}

#[test]
fn only_the_last_head_is_ambiguous() {
    assert_eq!(heads(&[REQUESTS.as_bytes()]), expected());
    let bytes: Vec<&[u8]> = REQUESTS.as_bytes().chunks(1).collect();
    assert_eq!(heads(&bytes), expected());
}

#[test]
fn lengths_that_differ_or_cannot_be_read_are_ambiguous() {
    for lengths in [
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 1\r\nContent-Length: 1\r\n",
        "Content-Length: one\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
        "Content-Length : 1\r\nTransfer-Encoding: gzip\r\n",
    ] {
        let mut scanner = HeadScanner::new();
        scanner.scan(format!("POST / HTTP/1.1\r\n{lengths}\r\n").as_bytes());
        assert_eq!(scanner.take_head(), BodyLength::Ambiguous, "{lengths}");
    }
}

#[test]
fn the_size_of_a_head_does_not_matter() {
    let filler = "x".repeat(1_000_000);
    let head = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX: {filler}\r\nContent-Length: 1\r\n\r\n"
    );
    let mut scanner = HeadScanner::new();
    scanner.scan(head.as_bytes());
    assert_eq!(scanner.take_head(), BodyLength::Ambiguous);
}

#[test]
fn a_head_is_open_from_its_first_byte_to_its_last() {
    let mut scanner = HeadScanner::new();
    let mut inside = Vec::new();
    for byte in b"G / H\r\nContent-Length: 2\r\n\r\nxy" {
        scanner.scan(&[*byte]);
        inside.push(scanner.is_inside_head());
    }
    let open = inside.iter().take_while(|inside| **inside).count();
    assert_eq!(open, "G / H\r\nContent-Length: 2\r\n\r\n".len() - 1);
    assert!(inside[open..].iter().all(|inside| !inside));
}

proptest! {
    #[test]
    fn reads_may_end_anywhere(mut cuts in prop::collection::vec(0..REQUESTS.len(), 0..8)) {
        cuts.sort_unstable();
        let mut parts = Vec::new();
        let mut begin = 0;
        for cut in cuts {
            parts.push(&REQUESTS.as_bytes()[begin..cut]);
            begin = cut;
        }
        parts.push(&REQUESTS.as_bytes()[begin..]);
        prop_assert_eq!(heads(&parts), expected());
    }

    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut scanner = HeadScanner::new();
        scanner.scan(&bytes);
        scanner.scan(REQUESTS.as_bytes());
    }
}
