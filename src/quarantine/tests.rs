use proptest::prelude::*;

use super::*;
use crate::fixture::Fixture;
use crate::id::RequestId;

const POISON: Fingerprint = Fingerprint(13);

fn attempt(request: u64) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number: 1,
    }
}

#[test]
fn two_crashes_quarantine_a_fingerprint_until_the_quarantine_expires() {
    let mut fixture = Fixture::new();
    let mut quarantine = Quarantine::default();
    let first = quarantine.record_crash(&mut fixture.cx(), &[], POISON, attempt(1));
    assert_eq!(first, Restriction::Suspect);
    let again = quarantine.record_crash(&mut fixture.cx(), &[], POISON, attempt(1));
    assert_eq!(again, Restriction::Suspect, "one crash counts once");
    let second = quarantine.record_crash(&mut fixture.cx(), &[], POISON, attempt(2));
    assert_eq!(
        second,
        Restriction::Quarantined {
            retry_after: QUARANTINE_DURATION
        }
    );
    assert_eq!(
        quarantine.restriction(QUARANTINE_DURATION, POISON),
        Restriction::None
    );
}

#[test]
fn a_suspect_that_completes_is_cleared() {
    let mut fixture = Fixture::new();
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(&mut fixture.cx(), &[], POISON, attempt(1));
    quarantine.record_completion(&mut fixture.cx(), &[], POISON);
    assert_eq!(quarantine.restriction(Millis(1), POISON), Restriction::None);
    let next = quarantine.record_crash(&mut fixture.cx(), &[], POISON, attempt(2));
    assert_eq!(next, Restriction::Suspect);
}

#[test]
fn crashes_seen_by_two_instances_add_up() {
    let mut fixture = Fixture::new();
    let peers = [Peer {
        name: "other".to_owned(),
        addr: "1".to_owned(),
    }];
    let mut local = Quarantine::default();
    let mut remote = Quarantine::default();
    local.record_crash(&mut fixture.cx(), &peers, POISON, attempt(1));
    remote.record_crash(&mut fixture.cx(), &[], POISON, attempt(2));
    let sent = fixture.take();
    assert_eq!(sent.len(), 1);
    for output in sent {
        let Output::Peer {
            message: PeerMessage::Quarantine(message),
            ..
        } = output
        else {
            panic!("unexpected {output:?}");
        };
        remote.on_message(Millis(0), message);
    }
    let restriction = remote.restriction(Millis(0), POISON);
    assert_eq!(
        restriction,
        Restriction::Quarantined {
            retry_after: QUARANTINE_DURATION
        }
    );
}

const PREFIX: u64 = 7;

/// Records a crash by a prompt with the beginning, and returns the restriction on
/// others with it.
fn crash_by_beginning(fixture: &mut Fixture, quarantine: &mut Quarantine, at: u64) -> Restriction {
    fixture.now = Millis(at);
    let request = RequestId(at);
    quarantine.record_beginning_crash(&mut fixture.cx(), &[], PREFIX, request, 0);
    quarantine.restriction_on(Millis(at), POISON, PREFIX)
}

#[test]
fn three_crashes_at_different_moments_quarantine_a_beginning() {
    let mut fixture = Fixture::new();
    let mut quarantine = Quarantine::default();
    let restrictions = [1_000, 1_100, 2_000, 3_000]
        .map(|at| crash_by_beginning(&mut fixture, &mut quarantine, at));
    let retry_after = QUARANTINE_DURATION;
    assert_eq!(restrictions[..3], [Restriction::None; 3]);
    assert_eq!(restrictions[3], Restriction::Quarantined { retry_after });
    let other = quarantine.restriction_on(fixture.now, POISON, PREFIX + 1);
    assert_eq!(other, Restriction::None);
}

#[test]
fn an_answer_that_goes_on_clears_its_beginning() {
    let mut fixture = Fixture::new();
    let mut quarantine = Quarantine::default();
    for at in [1_000, 2_000] {
        crash_by_beginning(&mut fixture, &mut quarantine, at);
    }
    let sound = beginning(PREFIX).unwrap();
    quarantine.record_completion(&mut fixture.cx(), &[], sound);
    for at in [3_000, 4_000] {
        let restriction = crash_by_beginning(&mut fixture, &mut quarantine, at);
        assert_eq!(restriction, Restriction::None);
    }
}

#[test]
fn crashes_after_more_output_do_not_count_against_a_beginning() {
    let mut fixture = Fixture::new();
    let mut quarantine = Quarantine::default();
    for at in [1_000, 2_000, 3_000] {
        fixture.now = Millis(at);
        let mut cx = fixture.cx();
        quarantine.record_beginning_crash(&mut cx, &[], PREFIX, RequestId(at), 2);
    }
    let restriction = quarantine.restriction_on(fixture.now, POISON, PREFIX);
    assert_eq!(restriction, Restriction::None);
}

proptest! {
    /// Records lead to the same restriction in any order and with duplicates.
    #[test]
    fn records_merge_in_any_order(crashes in prop::collection::vec((0..3_u64, 0..6_u64), 1..20)) {
        let mut fixture = Fixture::new();
        let messages: Vec<Message> = crashes
            .iter()
            .map(|&(fingerprint, request)| {
                let record = Record {
                    crashes: [attempt(request)].into(),
                    cleared: BTreeSet::new(),
                };
                Message::Records(vec![(Fingerprint(fingerprint), record, Millis(0))])
            })
            .collect();
        let mut in_order = Quarantine::default();
        let mut reversed = Quarantine::default();
        for message in &messages {
            in_order.on_message(fixture.now, message.clone());
        }
        for message in messages.iter().rev().chain(&messages) {
            reversed.on_message(fixture.now, message.clone());
        }
        for fingerprint in (0..3).map(Fingerprint) {
            let now = fixture.cx().now;
            prop_assert_eq!(
                in_order.restriction(now, fingerprint),
                reversed.restriction(now, fingerprint)
            );
        }
    }
}
