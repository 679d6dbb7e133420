//! Splitting of event streams that arrive in chunks of any size.

use proptest::prelude::*;

use crate::gateway::events::EventSplitter;
use crate::gateway::events::EventTooLarge;

proptest! {
    /// However a stream is cut into chunks, the complete events that are
    /// returned are its bytes up to the last event's end.
    #[test]
    fn events_are_complete_and_in_order(
        sizes in prop::collection::vec(1_usize..40, 1..60),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let events: String = (1..=40).map(|n| format!("id: {n}{end}data: {n}{end}{end}")).collect();
        let stream = format!("{events}id: 41");
        let mut rest = stream.as_bytes();
        let mut splitter = EventSplitter::default();
        let mut received = Vec::new();
        for size in sizes.into_iter().cycle() {
            let (chunk, after) = rest.split_at(size.min(rest.len()));
            rest = after;
            if let Some(complete) = splitter.push(chunk).unwrap() {
                prop_assert!(complete.ends_with(end.repeat(2).as_bytes()));
                received.extend_from_slice(&complete);
            }
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(received, events.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some("40"));
        prop_assert!(splitter.has_partial());
    }
}

#[test]
fn an_event_without_an_end_is_refused_before_it_fills_the_memory() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\n\n").unwrap().is_some());
    let pushed = (0..10_000).find(|_| splitter.push(&[b'x'; 1_000]) == Err(EventTooLarge));
    assert!(pushed.is_some_and(|chunks| chunks < 2_000), "{pushed:?}");
    assert_eq!(splitter.last_id(), Some("1"));
}
