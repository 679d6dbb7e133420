//! Order of requests that wait for room, fair shares of workspaces, ranks.

use std::collections::HashMap;

use proptest::prelude::*;

use super::simulation::route_table;
use crate::clock::Millis;
use crate::gateway::fair_shares::FairShares;
use crate::gateway::fair_shares::WorkspaceKey;
use crate::gateway::message::Ticket;
use crate::gateway::queue::MAX_WAITING;
use crate::gateway::queue::MAX_WAITING_BYTES;
use crate::gateway::queue::RoomRates;
use crate::gateway::queue::Round;
use crate::gateway::queue::WaitCause;
use crate::gateway::queue::WaitQueue;
use crate::gateway::queue::Waiting;
use crate::gateway::ranks::DEFAULT_ENGINE_PRIORITY;
use crate::gateway::ranks::RankLedger;
use crate::gateway::ranks::Ranks;
use crate::gateway::route::Workspace;

const SMALL: WorkspaceKey = WorkspaceKey(1);
const LARGE: WorkspaceKey = WorkspaceKey(2);

/// When requests begin to wait.
const START: u64 = 1_000;

/// Returns a request that is due this long after the start.
fn waiting(rank: u8, workspace: WorkspaceKey, due_in: u64) -> Waiting {
    Waiting {
        service: "engines".to_owned(),
        rank,
        workspace,
        since: Millis(START),
        due_at: Millis(START + due_in),
        until: Millis(START + due_in),
        utility: 1.0,
        engine_ms: 50.0,
        needed_tokens: 5_000,
        bytes: 1_000,
        tried_at: Millis::ZERO,
        cause: WaitCause::NoRoom,
    }
}

fn is_large(waiting: &Waiting) -> bool {
    waiting.workspace == LARGE
}

/// Returns the order of requests that are tried this long after the start.
fn order(requests: Vec<Waiting>, after: u64) -> Vec<u64> {
    let now = START + after;
    let mut queue = WaitQueue::default();
    for (ticket, waiting) in requests.into_iter().enumerate() {
        queue.insert(Millis(now), Ticket(ticket as u64), waiting, is_large);
    }
    queue.record_room("engines");
    let due = queue.take_due(Millis(now), is_large);
    due.into_iter().map(|ticket| ticket.0).collect()
}

#[test]
fn rank_then_share_then_loss_decide_the_order() {
    let requests = vec![
        waiting(1, SMALL, 200),
        waiting(0, LARGE, 200),
        waiting(0, SMALL, 900),
        waiting(0, SMALL, 200),
    ];
    assert_eq!(order(requests, 0), [3, 2, 1, 0]);
}

#[test]
fn a_long_prompt_that_is_due_soon_goes_before_a_short_one_that_can_wait() {
    let long = Waiting {
        utility: 10.0,
        engine_ms: 1_000.0,
        ..waiting(0, SMALL, 1_050)
    };
    let short = waiting(0, SMALL, 3_000);
    assert_eq!(order(vec![short.clone(), long.clone()], 0), [1, 0]);
    // Nothing more is lost by letting a late one wait.
    let late = Waiting {
        due_at: Millis(START + 10),
        ..short.clone()
    };
    let due = waiting(0, SMALL, 160);
    assert_eq!(order(vec![late, due], 100), [1, 0]);
}

#[test]
fn requests_are_tried_only_if_something_changed() {
    let mut queue = WaitQueue::default();
    let at = |after: u64| Millis(START + after);
    let request = Waiting {
        tried_at: at(0),
        ..waiting(0, SMALL, 400)
    };
    queue.insert(at(0), Ticket(1), request, is_large);
    assert!(queue.take_due(at(35), is_large).is_empty());
    queue.record_room("another service");
    assert!(queue.take_due(at(35), is_large).is_empty());
    queue.record_room("engines");
    assert_eq!(queue.take_due(at(35), is_large), [Ticket(1)]);
    assert!(queue.take_due(at(60), is_large).is_empty());
    // Reports can be lost.
    assert_eq!(queue.take_due(at(135), is_large), [Ticket(1)]);
    assert!(queue.take_due(at(160), is_large).is_empty());
    // Its time is over.
    assert_eq!(queue.take_due(at(400), is_large), [Ticket(1)]);
}

#[test]
fn a_request_that_waits_long_is_tried_seldom_however_much_changes() {
    let mut queue = WaitQueue::default();
    let at = |after: u64| Millis(START + after);
    for (ticket, wait) in [(1, 250), (2, 3_750)] {
        let request = Waiting {
            tried_at: at(0),
            ..waiting(0, SMALL, wait)
        };
        queue.insert(at(0), Ticket(ticket), request, is_large);
    }
    let mut tries = [0, 0];
    for tick in 1..10 {
        queue.record_room("engines");
        for ticket in queue.take_due(at(tick * 25), is_large) {
            tries[ticket.0 as usize - 1] += 1;
        }
    }
    assert_eq!(tries, [9, 2]);
}

#[test]
fn a_round_ends_once_requests_find_no_room() {
    let mut round = Round::default();
    let short = waiting(0, SMALL, 500);
    let long = Waiting {
        needed_tokens: 300_000,
        ..short.clone()
    };
    round.record_failure(&long, false);
    assert!(round.is_futile(&long, false));
    assert!(!round.is_futile(&short, false));
    round.record_failure(&short, false);
    assert!(round.is_futile(&short, false));
    // A workspace over its share says nothing about the others.
    let mut round = Round::default();
    round.record_failure(&short, true);
    assert!(round.is_futile(&short, true));
    assert!(!round.is_futile(&short, false));
}

#[test]
fn the_queue_is_bounded_and_lets_the_last_ones_go() {
    let mut queue = WaitQueue::default();
    for ticket in 0..MAX_WAITING as u64 {
        let evicted = queue.insert(Millis(0), Ticket(ticket), waiting(1, SMALL, 500), is_large);
        assert!(evicted.is_empty());
    }
    let urgent = Ticket(u64::MAX);
    let evicted = queue.insert(Millis(0), urgent, waiting(0, SMALL, 500), is_large);
    assert_eq!(evicted, [Ticket(MAX_WAITING as u64 - 1)]);
    let flooding = Ticket(u64::MAX - 1);
    let evicted = queue.insert(Millis(0), flooding, waiting(1, LARGE, 500), is_large);
    assert_eq!(evicted, [flooding]);
    let big = Waiting {
        bytes: MAX_WAITING_BYTES,
        ..waiting(0, SMALL, 400)
    };
    queue.insert(Millis(0), Ticket(u64::MAX - 2), big, is_large);
    assert_eq!(queue.len(), 1);
}

#[test]
fn room_that_appears_often_is_expected_soon() {
    let mut rates = RoomRates::default();
    assert_eq!(rates.expected_wait(Millis(0), "engines", 1), None);
    for at in 0..200 {
        rates.record(Millis(at * 10), "engines");
    }
    let wait = rates.expected_wait(Millis(2_000), "engines", 10).unwrap();
    assert!((90..130).contains(&wait.0), "{wait:?}");
    let later = rates.expected_wait(Millis(4_000), "engines", 10).unwrap();
    assert!(later > wait * 5, "{later:?}");
    assert_eq!(rates.expected_wait(Millis(60_000), "engines", 10), None);
}

#[test]
fn a_share_is_lent_and_called_back_within_a_second() {
    let mut shares = FairShares::default();
    let key = |number: u32| WorkspaceKey(number);
    // Two modest workspaces, and one with ten times their work.
    for at in 0..200 {
        let now = Millis(at * 10);
        shares.record(now, "engines", key(1), 1.0);
        shares.record(now, "engines", key(2), 1.0);
        shares.record(now, "engines", key(3), 10.0);
    }
    let now = Millis(2_000);
    let is_over =
        |shares: &FairShares, now, number| shares.is_over_share(now, "engines", key(number));
    assert_eq!(
        [1, 2, 3].map(|number| is_over(&shares, now, number)),
        [false, false, true]
    );
    assert!(!is_over(&shares, now, 4));
    // The flood ends and the others go on.
    for at in 200..300 {
        let now = Millis(at * 10);
        shares.record(now, "engines", key(1), 5.0);
        shares.record(now, "engines", key(2), 5.0);
    }
    assert!(!is_over(&shares, Millis(3_000), 3));
    shares.expire(Millis(60_000));
    assert_eq!(shares.summary(Millis(60_000)), (0, 0.0));
}

#[test]
fn one_workspace_alone_and_callers_without_one_are_never_over_their_share() {
    let mut shares = FairShares::default();
    for at in 0..100 {
        shares.record(Millis(at), "engines", SMALL, 100.0);
        shares.record(Millis(at), "engines", WorkspaceKey::default(), 1_000.0);
    }
    assert!(!shares.is_over_share(Millis(100), "engines", SMALL));
    assert!(!shares.is_over_share(Millis(100), "engines", WorkspaceKey::default()));
}

#[test]
fn ranks_matter_only_where_they_differ() {
    let mut table = route_table();
    let same = Ranks::new(&table);
    assert_eq!(same.engine_priority("engines", 1), DEFAULT_ENGINE_PRIORITY);
    for (route, priority) in table.hosts.values_mut().flatten().zip([0, 1, 2]) {
        route.priority = priority;
    }
    let ranks = Ranks::new(&table);
    let priorities = [0, 1, 2].map(|rank| ranks.engine_priority("engines", rank));
    assert_eq!(priorities, [4, 5, 6]);
    let workspace = |priority| Workspace {
        name: "w".to_owned(),
        priority,
    };
    let keys = (0..40).map(|rank| (rank.to_string(), workspace(Some(rank))));
    table.keys = Some(HashMap::from_iter(keys));
    let ranks = Ranks::new(&table);
    let priorities: Vec<u8> = (0..40)
        .map(|rank| ranks.engine_priority("engines", rank))
        .collect();
    assert!(priorities.is_sorted() && priorities.iter().all(|priority| *priority <= 9));
}

#[test]
fn a_less_urgent_rank_is_held_back_while_a_more_urgent_one_is_refused() {
    let mut ledger = RankLedger::default();
    let now = Millis(1_000);
    let admitted =
        |ledger: &RankLedger, at, service, rank| ledger.admitted_share(at, service, rank);
    for _ in 0..10 {
        ledger.record_placed(now, "engines", 0);
        ledger.record_placed(now, "engines", 2);
    }
    assert!(admitted(&ledger, now, "engines", 2) >= 1.0);
    for _ in 0..10 {
        ledger.record_refused(now, "engines", 0);
    }
    let share = admitted(&ledger, now, "engines", 2);
    assert!((0.5..0.55).contains(&share), "{share}");
    assert!(admitted(&ledger, now, "engines", 0) >= 1.0);
    assert!(admitted(&ledger, now, "other", 2) >= 1.0);
    // Where its own requests find no room either, fewer are held back.
    for _ in 0..10 {
        ledger.record_refused(now, "engines", 2);
    }
    assert!(admitted(&ledger, now, "engines", 2) > 0.95);
    // What is long ago does not count.
    ledger.record_refused(now, "engines", 0);
    assert!(admitted(&ledger, Millis(60_000), "engines", 2) >= 1.0);
}

proptest! {
    #[test]
    fn the_queue_gives_back_what_it_was_given(
        ops in prop::collection::vec((0..20_u64, 0..3_u8, 0..1_000_u64, any::<bool>()), 0..100)
    ) {
        let mut queue = WaitQueue::default();
        let mut known = std::collections::BTreeSet::new();
        for (ticket, rank, due_at, is_removed) in ops {
            let ticket = Ticket(ticket);
            if is_removed {
                prop_assert_eq!(queue.remove(ticket).is_some(), known.remove(&ticket));
            } else {
                let evicted = queue.insert(Millis(0), ticket, waiting(rank, SMALL, due_at), is_large);
                prop_assert!(evicted.is_empty());
                known.insert(ticket);
            }
            prop_assert_eq!(queue.len(), known.len());
        }
        let mut due = queue.take_due(Millis(2_000), is_large);
        due.sort();
        prop_assert_eq!(due, known.into_iter().collect::<Vec<_>>());
    }
}
