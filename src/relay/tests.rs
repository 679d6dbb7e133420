//! Expected: a caller gets every token once and in order, whatever comes late,
//! twice or crossed.

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

fn text(caller: &CallerSide) -> (String, u32) {
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
    assert_eq!(first.push(0, "a"), Push::Taken);
    assert_eq!(first.push(0, "a"), Push::Stale);
    assert_eq!(first.push(2, "c"), Push::Gap);
    let begun = second.begin().unwrap();
    assert_eq!((begun.offset, begun.text.as_str()), (1, "a"));
    assert_eq!(first.push(1, "late"), Push::Stale);
    assert_eq!(first.begin(), None);
    assert_eq!(second.push(1, "b"), Push::Taken);
    assert_eq!(text(&caller), ("ab".to_owned(), 2));
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
    assert_eq!(running.push(0, "a"), Push::Stale);
    let waiting = relays.announce(attempt(2));
    relays.drop_attempt(attempt(2));
    assert_eq!(waiting.begin(), None);
    assert_eq!(text(&caller), (String::new(), 0));
}

#[test]
fn nothing_follows_the_final_word() {
    let (relays, _) = relays();
    let caller = relays.open(REQUEST);
    let running = relays.announce(attempt(1));
    running.begin().unwrap();
    assert_eq!(running.push(0, "a"), Push::Taken);
    let refusal = Refusal::may_have_run(Reason::DeadlineExceeded, "late");
    let reply = Reply::Refused(refusal);
    assert!(relays.finish(REQUEST, reply.clone()));
    assert!(!relays.finish(REQUEST, Reply::Complete));
    assert_eq!(running.push(1, "b"), Push::Gone);
    assert_eq!(text(&caller).0, "a");
    // `text` took the final word as the first event that is no text.
    assert_eq!(caller.next(Duration::ZERO), None);
}

#[test]
fn the_final_word_comes_after_all_text_and_wakes_the_caller() {
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
    assert_eq!(thread.join().unwrap(), Push::Taken);
}

#[test]
fn a_caller_that_leaves_leaves_nothing_behind() {
    let (relays, _) = relays();
    let caller = relays.open(REQUEST);
    let running = relays.announce(attempt(1));
    running.begin().unwrap();
    drop(caller);
    assert!(relays.is_empty());
    assert_eq!(running.push(0, "a"), Push::Gone);
    assert_eq!(running.answer(200, Vec::new()), Push::Gone);
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
    assert_eq!(running.answer(200, b"first".to_vec()), Push::Taken);
    assert_eq!(running.answer(200, b"second".to_vec()), Push::Stale);
    let body = b"first".to_vec();
    let event = CallerEvent::Body { status: 200, body };
    assert_eq!(caller.next(Duration::ZERO), Some(event));
    assert_eq!(caller.next(Duration::ZERO), None);
}

#[derive(Debug, Clone)]
enum Step {
    Begin(u32),
    Push { number: u32, offset: u32 },
    Drop(u32),
    Read,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (1u32..6).prop_map(Step::Begin),
        6 => (1u32..6, 0u32..12).prop_map(|(number, offset)| Step::Push { number, offset }),
        1 => (1u32..6).prop_map(Step::Drop),
        2 => Just(Step::Read),
    ]
}

proptest! {
    /// Whatever attempts do, the caller's text is that of offsets 0, 1, 2 and so
    /// on without a gap, and as long as the pushes that were taken.
    #[test]
    fn the_callers_text_has_every_token_once(steps in prop::collection::vec(step(), 1..200)) {
        let (relays, _) = relays();
        let caller = relays.open(REQUEST);
        let sides: Vec<AttemptSide> = (1..6).map(|number| relays.announce(attempt(number))).collect();
        let side = |number: u32| &sides[number as usize - 1];
        let mut got = String::new();
        let mut taken = 0u32;
        for step in steps {
            match step {
                Step::Begin(number) => {
                    if let Some(begun) = side(number).begin() {
                        prop_assert_eq!(begun.offset, taken);
                    }
                }
                Step::Push { number, offset } => {
                    let push = side(number).push(offset, &format!("{offset},"));
                    if push == Push::Taken {
                        prop_assert_eq!(offset, taken);
                        taken += 1;
                    }
                }
                Step::Drop(number) => relays.drop_attempt(attempt(number)),
                Step::Read => got.push_str(&text(&caller).0),
            }
        }
        got.push_str(&text(&caller).0);
        let expected: String = (0..taken).map(|offset| format!("{offset},")).collect();
        prop_assert_eq!(got, expected);
    }
}
