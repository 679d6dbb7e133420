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
