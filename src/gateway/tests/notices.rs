//! What backend servers ask for in their answers.

use super::core::Harness;
use super::core::SERVERS;
use super::core::entry;
use super::core::heard;
use super::core::plan;
use super::core::refusal;
use crate::clock::Millis;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::ServerNotice;
use crate::gateway::message::StoreUpdate;
use crate::gateway::server_table::ServerEntry;
use crate::gateway::server_table::id_hash;
use crate::verdict::Reason;
use crate::verdict::Verdict;

fn notice(harness: &mut Harness, server: usize, notice: ServerNotice) -> Vec<Output> {
    let sent_at = Millis(harness.now);
    harness.handle(Input::ServerNotice {
        server_id: format!("p{server}"),
        sent_at,
        notice,
    })
}

fn pause(ms: u64) -> ServerNotice {
    ServerNotice {
        pause: Some(Millis(ms)),
        ..ServerNotice::default()
    }
}

#[test]
fn a_server_gets_nothing_until_the_end_of_the_longest_pause_that_it_asked_for() {
    let mut harness = Harness::new();
    let _ = notice(&mut harness, 0, pause(3_000));
    let _ = notice(&mut harness, 0, pause(100));
    let _ = notice(&mut harness, 0, ServerNotice::default());
    for until in [10_500, 11_500, 12_950] {
        let _ = harness.tick_until(until);
        assert!(
            !harness
                .receiving_servers("/once/1")
                .contains(&"p0".to_owned())
        );
    }
    let _ = harness.tick_until(13_025);
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}

#[test]
fn a_pause_is_no_failure_and_is_asked_of_one_instance_only() {
    let mut harness = Harness::new();
    harness.hear_instance("other");
    let (ticket, out) = harness.submit("/once/1", "k");
    let server = plan(&out).unwrap().server_id[1..].parse().unwrap();
    let mut out = notice(&mut harness, server, pause(200));
    out.extend(harness.end_attempt(ticket, AttemptEnd::Refused));
    let tells = |output: &Output| match output {
        Output::Broadcast(_, message) => matches!(
            message,
            PeerMessage::Suspect { .. } | PeerMessage::ServerNotice { .. }
        ),
        _ => false,
    };
    assert!(!out.iter().any(tells), "{out:?}");
    let _ = harness.tick_until(10_225);
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}

#[test]
fn a_request_is_refused_at_once_if_all_servers_ask_for_pauses() {
    let mut harness = Harness::new();
    for server in 0..SERVERS {
        let _ = notice(&mut harness, server, pause(400 + 100 * server as u64));
    }
    let (_, out) = harness.submit("/once/1", "k");
    let first = refusal(&out).unwrap().clone();
    assert_eq!(first.reason, Reason::NoBackend);
    assert_eq!(first.verdict, Verdict::NotRun);
    // A third of the time that the caller has left is the most that it waits.
    let longest = Millis(800 / 3);
    assert_eq!(first.retry_after, Some(longest));
    harness.now += 250;
    let waits: Vec<Millis> = (0..8)
        .map(|_| {
            let (_, out) = harness.submit("/once/1", "k");
            refusal(&out).unwrap().retry_after.unwrap()
        })
        .collect();
    assert!(waits.iter().all(|&wait| wait >= Millis(150)), "{waits:?}");
    assert!(waits.iter().any(|&wait| wait != waits[0]), "{waits:?}");
}

#[test]
fn a_server_that_says_it_is_leaving_gets_nothing_until_it_starts_anew() {
    let mut harness = Harness::new();
    harness.hear_instance("other");
    let leaving = ServerNotice {
        leaving: true,
        ..ServerNotice::default()
    };
    let tells = |output: &Output| match output {
        Output::Broadcast(_, PeerMessage::ServerNotice { notice, .. }) => notice.leaving,
        _ => false,
    };
    assert!(notice(&mut harness, 0, leaving).iter().any(tells));
    assert!(!notice(&mut harness, 0, leaving).iter().any(tells));
    let _ = harness.handle(heard(PeerMessage::ServerNotice {
        server: id_hash("p1"),
        notice: leaving,
    }));
    let _ = notice(&mut harness, 0, ServerNotice::default());
    assert_eq!(harness.receiving_servers("/once/1"), ["p2", "p3"]);
    // The address and the id may be given to another start of a server.
    let started = ServerEntry {
        started_unix_ms: 2,
        ..entry("p0", "plain")
    };
    harness.apply_store_updates(vec![
        StoreUpdate::Server(started),
        StoreUpdate::Server(entry("p1", "plain")),
    ]);
    assert_eq!(harness.receiving_servers("/once/1"), ["p0", "p2", "p3"]);
}

#[test]
fn an_absurd_pause_ends() {
    let mut harness = Harness::new();
    let _ = notice(&mut harness, 0, pause(u64::MAX));
    harness.now += 600_000;
    let _ = harness.handle(Input::Tick);
    harness.apply_store_updates(Vec::new());
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}
