//! A store that returns from an older copy, as the core sees it.

use std::sync::Arc;

use super::core::Harness;
use super::core::entry;
use super::core::heard;
use super::core::keyed_table;
use super::core::member;
use super::core::plan;
use super::core::refusal;
use crate::clock::Millis;
use crate::gateway::datagram::Format;
use crate::gateway::instances::Heartbeat;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::Recipient;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StoreUpdate;
use crate::gateway::message::Watching;
use crate::gateway::server_table::ServerEntry;
use crate::verdict::Reason;

/// Time by which servers and operators have written again, in ms.
const REWRITTEN_MS: u64 = 7_000;

fn restored() -> Harness {
    let mut harness = Harness::new();
    harness.restore(1);
    harness
}

fn plain(index: usize, writes: u64) -> ServerEntry {
    ServerEntry {
        writes,
        ..entry(&format!("p{index}"), "plain")
    }
}

fn drain(index: usize, writes: u64) -> ServerEntry {
    ServerEntry {
        draining: true,
        ..plain(index, writes)
    }
}

/// Returns the servers that get calls.
fn used_servers(harness: &mut Harness) -> Vec<String> {
    let mut used: Vec<String> = (0..20)
        .filter_map(|_| {
            let (_, out) = harness.submit("/once/1", "k");
            plan(&out).map(|plan| plan.server_id.clone())
        })
        .collect();
    used.sort();
    used.dedup();
    used
}

#[test]
fn a_draining_server_is_not_used_for_what_an_older_copy_says() {
    let mut harness = Harness::new();
    harness.apply_store_updates(vec![StoreUpdate::Server(drain(0, 5))]);
    harness.restore(1);
    harness.apply_store_updates(vec![StoreUpdate::RestoredServer(plain(0, 4))]);
    assert_eq!(used_servers(&mut harness), ["p1", "p2", "p3"]);
    // It writes again.
    harness.apply_store_updates(vec![StoreUpdate::RestoredServer(drain(0, 6))]);
    let _ = harness.tick_until(harness.now + REWRITTEN_MS);
    assert_eq!(used_servers(&mut harness), ["p1", "p2", "p3"]);
}

#[test]
fn a_server_that_starts_to_drain_after_the_stores_return_gets_no_more_calls() {
    let mut harness = restored();
    // Its writes are not numbered.
    harness.apply_store_updates(vec![StoreUpdate::RestoredServer(drain(0, 0))]);
    assert_eq!(used_servers(&mut harness), ["p1", "p2", "p3"]);
}

#[test]
fn a_removed_server_that_an_older_copy_lists_is_used_only_if_its_entry_stays() {
    for is_alive in [false, true] {
        let mut harness = Harness::new();
        harness.apply_store_updates(vec![StoreUpdate::ServerRemoved("p0".to_owned())]);
        harness.restore(1);
        harness.apply_store_updates(vec![StoreUpdate::RestoredServer(plain(0, 0))]);
        let _ = harness.tick_until(harness.now + 3_000);
        assert_eq!(used_servers(&mut harness), ["p1", "p2", "p3"]);
        if !is_alive {
            harness.apply_store_updates(vec![StoreUpdate::ServerRemoved("p0".to_owned())]);
        }
        let _ = harness.tick_until(harness.now + REWRITTEN_MS);
        assert_eq!(
            used_servers(&mut harness).contains(&"p0".to_owned()),
            is_alive
        );
    }
}

#[test]
fn an_older_start_of_a_server_does_not_replace_its_newer_one() {
    let mut harness = Harness::new();
    let restarted = ServerEntry {
        started_unix_ms: 9,
        ..plain(0, 1)
    };
    harness.apply_store_updates(vec![StoreUpdate::Server(restarted)]);
    harness.restore(1);
    harness.apply_store_updates(vec![StoreUpdate::RestoredServer(drain(0, 8))]);
    assert_eq!(used_servers(&mut harness), ["p0", "p1", "p2", "p3"]);
}

#[test]
fn a_cordon_that_an_older_copy_lacks_holds_until_operators_have_written_again() {
    let cordoned = || StoreUpdate::DomainCordoned("a".to_owned());
    let missing = || StoreUpdate::CordonMissing("a".to_owned());
    for is_written_again in [false, true] {
        let mut harness = Harness::new();
        harness.apply_store_updates(vec![cordoned()]);
        assert_eq!(used_servers(&mut harness), ["p1", "p2", "p3"]);
        harness.restore(1);
        harness.apply_store_updates(vec![missing()]);
        let _ = harness.tick_until(harness.now + 2_000);
        assert_eq!(used_servers(&mut harness), ["p1", "p2", "p3"]);
        if is_written_again {
            harness.apply_store_updates(vec![cordoned()]);
        }
        let _ = harness.tick_until(harness.now + REWRITTEN_MS);
        let is_used = used_servers(&mut harness).contains(&"p0".to_owned());
        assert_eq!(is_used, !is_written_again);
        harness.apply_store_updates(vec![StoreUpdate::DomainUncordoned("a".to_owned())]);
        assert!(used_servers(&mut harness).contains(&"p0".to_owned()));
    }
}

fn routes(version: u64, keys: &[&str]) -> StoreUpdate {
    StoreUpdate::Routes(Arc::new(keyed_table(version, keys)))
}

/// Returns why a call with this key is refused.
fn refused(harness: &mut Harness, key: &str) -> Option<Reason> {
    let (_, out) = harness.submit("/once/1", key);
    refusal(&out).map(|refusal| refusal.reason)
}

fn heartbeat(era: u64, config_revision: u64, config_version: u64) -> Input {
    heard(PeerMessage::Alive(Heartbeat {
        member: member("other", "10.9.0.2:1"),
        config_revision,
        proof_age_ms: 100,
        store_answers: true,
        entries_digest: None,
        entries_revision: None,
        period_ms: 500,
        store_era: Some(StoreEra(era)),
        config_version,
        calls: Vec::new(),
    }))
}

#[test]
fn an_older_configuration_in_the_store_proves_nothing_of_the_one_in_force() {
    let mut harness = Harness::new();
    harness.apply_store_updates(vec![routes(4, &["k"])]);
    harness.restore(1);
    harness.apply_store_updates(vec![routes(3, &["k", "revoked"])]);
    let _ = harness.tick_until(harness.now + 4_000);
    assert_eq!(refused(&mut harness, "k"), None);
    assert_eq!(refused(&mut harness, "revoked"), Some(Reason::Unavailable));
    let _ = harness.tick_until(harness.now + 1_000);
    assert_eq!(refused(&mut harness, "k"), Some(Reason::Unavailable));
    harness.apply_store_updates(vec![routes(4, &["k"])]);
    assert_eq!(refused(&mut harness, "k"), None);
    assert_eq!(refused(&mut harness, "revoked"), Some(Reason::Unauthorized));
}

#[test]
fn a_configuration_that_cannot_be_decoded_leaves_the_one_in_force_unproven() {
    let mut harness = Harness::new();
    harness.shown_version = None;
    let _ = harness.tick_until(harness.now + 5_000);
    assert_eq!(refused(&mut harness, "k"), Some(Reason::Unavailable));
}

#[test]
fn an_instance_that_holds_an_older_version_than_another_proves_nothing() {
    let mut harness = Harness::new();
    let _ = harness.handle(heartbeat(0, 5, 2));
    let _ = harness.tick_until(harness.now + 5_000);
    assert_eq!(refused(&mut harness, "k"), Some(Reason::Unavailable));
}

#[test]
fn an_instance_without_the_store_serves_on_the_proof_of_others_after_its_return() {
    let mut harness = Harness::new();
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 6_000;
    assert_eq!(refused(&mut harness, "k"), Some(Reason::Unavailable));
    // Another instance holds the same version, at a lower revision.
    let _ = harness.handle(heartbeat(1, 2, 1));
    assert_eq!(refused(&mut harness, "k"), None);
    let _ = harness.handle(Input::Tick);
    harness.now += 6_000;
    let _ = harness.handle(heartbeat(1, 3, 2));
    assert_eq!(refused(&mut harness, "k"), Some(Reason::Unavailable));
}

/// Returns a core that has just started and learned that the store is in era 1.
fn starting() -> Harness {
    let mut harness = Harness::unconfigured();
    harness.position.era = StoreEra(1);
    let _ = harness.handle(Input::StoreEra {
        era: StoreEra(1),
        restored: false,
    });
    harness.configure();
    harness
}

#[test]
fn an_instance_that_starts_alone_waits_until_operators_can_have_written_again() {
    let mut harness = starting();
    let (_, out) = harness.submit("/once/1", "k");
    let refused_until = refusal(&out).and_then(|refusal| refusal.retry_after);
    assert_eq!(refused_until, Some(Millis(2_000)));
    let _ = harness.tick_until(harness.now + 1_900);
    assert_eq!(refused(&mut harness, "k"), Some(Reason::Unavailable));
    let _ = harness.tick_until(harness.now + 200);
    assert_eq!(refused(&mut harness, "k"), None);
}

#[test]
fn an_instance_that_starts_beside_others_serves_once_one_proves_its_configuration() {
    let mut harness = starting();
    let out = harness.handle(heartbeat(1, 5, 1));
    assert_eq!(refused(&mut harness, "k"), None);
    // The other instance is answered at once, as it may have started, too.
    let answered = out.iter().find_map(|output| match output {
        Output::Broadcast(recipients, PeerMessage::Alive(_)) => Some(recipients.to_vec()),
        _ => None,
    });
    let other = Recipient {
        addr: "10.9.0.2:1".to_owned(),
        format: Format::Tagged,
    };
    assert_eq!(answered, Some(vec![other]));
}

#[test]
fn an_instance_that_starts_with_an_older_version_than_others_serves_no_keys() {
    let mut harness = starting();
    let _ = harness.handle(heartbeat(1, 5, 2));
    let _ = harness.tick_until(harness.now + 5_000);
    assert_eq!(refused(&mut harness, "k"), Some(Reason::Unavailable));
    harness.apply_store_updates(vec![routes(2, &["k"])]);
    assert_eq!(refused(&mut harness, "k"), None);
}

#[test]
fn the_first_proof_after_the_stores_return_is_told_to_others_at_once() {
    let mut harness = starting();
    let _ = harness.handle(heartbeat(1, 5, 1));
    harness.apply_store_updates(Vec::new());
    harness.now += 1_950;
    for _ in 0..2 {
        harness.now += 25;
        let _ = harness.handle(Input::Tick);
    }
    harness.apply_store_updates(Vec::new());
    harness.now += 5;
    let out = harness.handle(Input::Tick);
    let is_heartbeat =
        |output: &Output| matches!(output, Output::Broadcast(_, PeerMessage::Alive(_)));
    assert!(out.iter().any(is_heartbeat), "{out:?}");
}

#[test]
fn every_return_of_the_store_starts_the_wait_for_operators_anew() {
    let mut harness = starting();
    let _ = harness.tick_until(harness.now + 1_500);
    harness.restore(2);
    let _ = harness.tick_until(harness.now + 1_500);
    assert_eq!(refused(&mut harness, "k"), Some(Reason::Unavailable));
    let _ = harness.tick_until(harness.now + 600);
    assert_eq!(refused(&mut harness, "k"), None);
}

#[test]
fn a_short_absence_of_the_store_that_returns_from_an_older_copy_interrupts_no_service() {
    let mut harness = Harness::new();
    // Its last answer was to a query 1.3 s ago.
    harness.now += 1_300;
    harness.restore(1);
    for _ in 0..100 {
        let _ = harness.tick_until(harness.now + 50);
        assert_eq!(refused(&mut harness, "k"), None);
    }
}

/// Returns whether an instance watches the store closely beside many others that
/// the store answers, of which each states this era and two watch it for all.
fn watches_closely_beside(store_era: Option<StoreEra>) -> bool {
    let mut harness = Harness::new();
    harness.restore(1);
    let mut watches_closely = false;
    for _ in 0..10 {
        for n in 0..30 {
            let _ = harness.handle(heard(PeerMessage::Alive(Heartbeat {
                member: member(&format!("other-{n}"), &format!("10.9.0.{n}:1")),
                config_revision: 5,
                proof_age_ms: 0,
                store_answers: true,
                entries_digest: (n < 2).then_some(0),
                entries_revision: None,
                period_ms: 2_000,
                store_era,
                config_version: 1,
                calls: Vec::new(),
            })));
        }
        for output in harness.tick_until(harness.now + 300) {
            if let Output::Watch(watching) = output {
                watches_closely = watching == Watching::Closely;
            }
        }
    }
    watches_closely
}

#[test]
fn instances_that_do_not_know_eras_do_not_watch_a_returned_store_for_others() {
    assert!(!watches_closely_beside(Some(StoreEra(1))));
    assert!(watches_closely_beside(None));
}
