//! Which instances watch the store, and what they forward.

use super::core::Harness;
use super::core::heard;
use super::core::member;
use crate::clock::Millis;
use crate::gateway::instances::Heartbeat;
use crate::gateway::instances::Item;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::StoreEra;
use crate::gateway::message::Watching;

/// Returns how an instance watches the store after some seconds beside many others
/// that the store answers and that prove nothing of the configuration.
fn watching_without_proofs(mut harness: Harness) -> Watching {
    let mut watching = Watching::Loosely;
    for _ in 0..10 {
        for n in 0..190 {
            let _ = harness.handle(heard(PeerMessage::Alive(Heartbeat {
                member: member(&format!("other-{n}"), &format!("10.9.0.{n}:1")),
                config_revision: 0,
                proof_age_ms: Millis::NEVER.0,
                store_answers: true,
                entries_digest: None,
                period_ms: 2_000,
                store_era: Some(StoreEra::default()),
                config_version: 0,
                calls: Vec::new(),
            })));
        }
        for _ in 0..20 {
            harness.now += 25;
            for output in harness.handle(Input::Tick) {
                if let Output::Watch(now) = output {
                    watching = now;
                }
            }
        }
    }
    watching
}

#[test]
fn instances_that_start_before_there_is_a_configuration_leave_the_store_to_two_of_them() {
    let harness = Harness::unconfigured();
    assert_eq!(watching_without_proofs(harness), Watching::Loosely);
}

#[test]
fn an_instance_whose_proof_is_overdue_watches_the_store_for_itself() {
    let harness = Harness::new();
    assert_eq!(watching_without_proofs(harness), Watching::ForItself);
}

/// Lets an instance that knows many others forward changes of entries; returns to
/// how many instances each is sent.
fn forwarded(harness: &mut Harness, changes: u64) -> Vec<usize> {
    let items = (0..changes).map(|n| Item {
        key: format!("servers/i-{n}"),
        revision: n,
        value: Some(vec![0; 300]),
        era: StoreEra::default(),
    });
    let out = harness.handle(Input::ForwardItems(items.collect()));
    let sent = out.into_iter().filter_map(|output| match output {
        Output::Broadcast(recipients, PeerMessage::Item(_)) => Some(recipients.len()),
        _ => None,
    });
    sent.collect()
}

#[test]
fn entries_of_servers_that_start_together_do_not_fill_the_link_of_a_close_watcher() {
    const OTHERS: usize = 194;
    let mut harness = Harness::new();
    for n in 0..OTHERS {
        harness.hear_instance(&format!("other-{n}"));
    }
    // 155 servers start within three seconds, a few in each answer of the store.
    let mut datagrams = 0;
    for _ in 0..30 {
        datagrams += forwarded(&mut harness, 5).into_iter().sum::<usize>();
        harness.now += 100;
    }
    assert!(datagrams <= 4_000 + 3 * 2_000, "{datagrams}");
    // Single changes are forwarded to all again soon after.
    harness.now += 1_000;
    assert_eq!(forwarded(&mut harness, 5), [OTHERS; 5]);
}

#[test]
fn a_few_instances_are_sent_all_changes() {
    let mut harness = Harness::new();
    for n in 0..5 {
        harness.hear_instance(&format!("other-{n}"));
    }
    assert_eq!(forwarded(&mut harness, 155), [5; 155]);
}
