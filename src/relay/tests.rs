//! A caller gets every token once and in order even if frames arrive late,
//! duplicated or from another attempt.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::verdict::Reason;
use crate::verdict::Refusal;

const REQUEST: RequestId = RequestId(7);

fn relays() -> (Relays, Arc<Metrics>) {
    let metrics = Arc::new(Metrics::new());
    (Relays::new(Arc::clone(&metrics)), metrics)
}

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: REQUEST,
        number,
    }
}

fn read_text(caller: &CallerSide) -> (String, u32) {
    let mut all = (String::new(), 0);
    while let Some(CallerEvent::Text { text, tokens }) = caller.next(Duration::ZERO) {
        all.0.push_str(&text);
        all.1 += tokens;
    }
    all
}

#[test]
fn duplicates_gaps_and_late_frames_are_dropped_and_counted() {
    let (relays, metrics) = relays();
    let caller = relays.open(REQUEST);
    let first = relays.announce(attempt(1));
    let second = relays.announce(attempt(2));
    assert_eq!(first.begin().unwrap().offset, 0);
    assert_eq!(first.push(0, "a"), PushResult::Accepted);
    assert_eq!(first.push(0, "a"), PushResult::Stale);
    assert_eq!(first.push(2, "c"), PushResult::Gap);
    let begun = second.begin().unwrap();
    assert_eq!((begun.offset, begun.text.as_str()), (1, "a"));
    assert_eq!(first.push(1, "late"), PushResult::Stale);
    assert_eq!(first.begin(), None);
    assert_eq!(second.push(1, "b"), PushResult::Accepted);
    assert_eq!(read_text(&caller), ("ab".to_owned(), 2));
    assert_eq!(metrics.count(Count::StaleFrames), 3);
}

#[test]
fn a_dropped_attempt_neither_begins_nor_pushes() {
    let (relays, _) = relays();
    let caller = relays.open(REQUEST);
    let running = relays.announce(attempt(1));
    running.begin().unwrap();
    relays.drop_attempt(attempt(1));
    assert!(running.is_dropped());
    assert_eq!(running.push(0, "a"), PushResult::Stale);
    let waiting = relays.announce(attempt(2));
    relays.drop_attempt(attempt(2));
    assert_eq!(waiting.begin(), None);
    assert_eq!(read_text(&caller), (String::new(), 0));
}

#[test]
fn nothing_follows_the_final_reply() {
    let (relays, _) = relays();
    let caller = relays.open(REQUEST);
    let running = relays.announce(attempt(1));
    running.begin().unwrap();
    assert_eq!(running.push(0, "a"), PushResult::Accepted);
    let refusal = Refusal::may_have_run(Reason::DeadlineExceeded, "late");
    let reply = Reply::Refused(refusal);
    assert!(relays.finish(REQUEST, reply.clone()));
    assert!(!relays.finish(REQUEST, Reply::Complete));
    assert_eq!(running.push(1, "b"), PushResult::Closed);
    assert_eq!(read_text(&caller).0, "a");
    // `read_text` has consumed the final event, the first that is not text.
    assert_eq!(caller.next(Duration::ZERO), None);
}

#[test]
fn the_final_reply_follows_all_text_and_wakes_the_caller() {
    let (relays, _) = relays();
    let caller = relays.open(REQUEST);
    let running = relays.announce(attempt(1));
    let thread = std::thread::spawn(move || {
        running.begin().unwrap();
        let pushed = running.push(0, "a");
        running.set_finish(Finish::Stop);
        relays.finish(REQUEST, Reply::Complete);
        pushed
    });
    let wait = Duration::from_secs(60);
    let event = caller.next(wait).unwrap();
    let (text, tokens) = ("a".to_owned(), 1);
    assert_eq!(event, CallerEvent::Text { text, tokens });
    let end = CallerEvent::End {
        reply: Reply::Complete,
        finish: Some(Finish::Stop),
    };
    assert_eq!(caller.next(wait).unwrap(), end);
    assert_eq!(thread.join().unwrap(), PushResult::Accepted);
}

#[test]
fn a_disconnected_caller_leaves_no_state_behind() {
    let (relays, _) = relays();
    let caller = relays.open(REQUEST);
    let running = relays.announce(attempt(1));
    running.begin().unwrap();
    drop(caller);
    assert!(relays.is_empty());
    assert_eq!(running.push(0, "a"), PushResult::Closed);
    assert_eq!(running.answer(200, Vec::new()), PushResult::Closed);
    drop(running);
    assert!(relays.shard(REQUEST).attempts.is_empty());
    assert!(!relays.finish(REQUEST, Reply::Complete));
}

#[test]
fn a_service_answers_once() {
    let (relays, _) = relays();
    let caller = relays.open(REQUEST);
    let running = relays.announce(attempt(1));
    running.begin().unwrap();
    assert_eq!(running.answer(200, b"first".to_vec()), PushResult::Accepted);
    assert_eq!(running.answer(200, b"second".to_vec()), PushResult::Stale);
    let body = b"first".to_vec();
    let event = CallerEvent::Body { status: 200, body };
    assert_eq!(caller.next(Duration::ZERO), Some(event));
    assert_eq!(caller.next(Duration::ZERO), None);
}

#[derive(Debug, Clone)]
enum Step {
    Begin(u32),
    PushResult { number: u32, offset: u32 },
    Drop(u32),
    Read,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (1u32..6).prop_map(Step::Begin),
        6 => (1u32..6, 0u32..12).prop_map(|(number, offset)| Step::PushResult { number, offset }),
        1 => (1u32..6).prop_map(Step::Drop),
        2 => Just(Step::Read),
    ]
}

proptest! {
    /// For any interleaving of attempts, the caller's text consists of the
    /// offsets 0, 1, 2, … without a gap, one for each accepted push.
    #[test]
    fn the_callers_text_has_every_token_once(steps in prop::collection::vec(step(), 1..200)) {
        let (relays, _) = relays();
        let caller = relays.open(REQUEST);
        let sides: Vec<AttemptSide> = (1..6).map(|number| relays.announce(attempt(number))).collect();
        let side = |number: u32| &sides[number as usize - 1];
        let mut received = String::new();
        let mut accepted = 0u32;
        for step in steps {
            match step {
                Step::Begin(number) => {
                    if let Some(begun) = side(number).begin() {
                        prop_assert_eq!(begun.offset, accepted);
                    }
                }
                Step::PushResult { number, offset } => {
                    let push = side(number).push(offset, &format!("{offset},"));
                    if push == PushResult::Accepted {
                        prop_assert_eq!(offset, accepted);
                        accepted += 1;
                    }
                }
                Step::Drop(number) => relays.drop_attempt(attempt(number)),
                Step::Read => received.push_str(&read_text(&caller).0),
            }
        }
        received.push_str(&read_text(&caller).0);
        let expected: String = (0..accepted).map(|offset| format!("{offset},")).collect();
        prop_assert_eq!(received, expected);
    }
}
