//! The memory budget, without a network.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::clock::Millis;
use crate::gateway::body_reads::BodyReads;
use crate::gateway::connection::Activity;
use crate::gateway::connection::ConnectionState;
use crate::gateway::connection_table::CloseRank;
use crate::gateway::connection_table::ConnectionTable;
use crate::gateway::connection_table::close_rank;
use crate::gateway::framing::HeadScanner;
use crate::gateway::memory_budget::Exhausted;
use crate::gateway::memory_budget::Holder;
use crate::gateway::memory_budget::LeasedBuffer;
use crate::gateway::memory_budget::MemoryBudget;
use crate::gateway::memory_budget::MemoryPlan;
use crate::gateway::memory_budget::SMALL_BYTES;
use crate::gateway::memory_budget::UNLEASED_BYTES;

const MIB: usize = 1024 * 1024;
/// Largest body of the users' configurations.
const LARGE_BODY: usize = 4 * MIB;

/// Memory in MiB and descriptors of the users' machines.
const MACHINES: [(usize, u64); 4] = [(112, 2_870), (160, 4_100), (260, 4_100), (512, 8_192)];

#[test]
fn a_large_body_fits_on_every_machine() {
    for (memory, descriptors) in MACHINES {
        let plan = MemoryPlan::new((memory * MIB) as u64, descriptors);
        let budget = MemoryBudget::new(plan.content_bytes);
        assert!(budget.has_room(Holder::Bodies, LARGE_BODY), "{plan:?}");
        assert!(budget.has_room(Holder::Answers, 2 * LARGE_BODY), "{plan:?}");
    }
}

#[test]
fn what_is_divided_stays_under_four_fifths_of_the_memory() {
    for (memory, descriptors) in MACHINES {
        let plan = MemoryPlan::new((memory * MIB) as u64, descriptors);
        let connections = plan.caller_connections + plan.relay_connections;
        // The cost of a connection, and what a process needs by itself.
        let most = plan.content_bytes + connections * 32 * 1024 + 32 * MIB;
        assert!(most <= memory * MIB / 10 * 8, "{memory} MiB: {most}");
        assert!(connections < usize::try_from(descriptors).unwrap());
        assert!(plan.relay_connections > 0);
    }
}

#[test]
fn an_absurd_machine_is_divided_too() {
    for (memory, descriptors) in [(0, 0), (u64::MAX, u64::MAX)] {
        let plan = MemoryPlan::new(memory, descriptors);
        assert!(plan.caller_connections > 0 && plan.content_bytes > 0);
    }
}

#[test]
fn a_lease_gives_back_when_it_is_dropped() {
    let budget = MemoryBudget::new(MIB);
    let mut lease = budget.lease(Holder::Bodies);
    assert_eq!(lease.grow_to(MIB / 2), Ok(()));
    assert_eq!(budget.used(Holder::Bodies), MIB / 2);
    assert_eq!(lease.grow_to(MIB), Err(Exhausted));
    assert_eq!(budget.used(Holder::Bodies), MIB / 2);
    lease.shrink_to(MIB / 4);
    assert_eq!(budget.used(Holder::Bodies), MIB / 4);
    drop(lease);
    assert_eq!(budget.used(Holder::Bodies), 0);
}

#[test]
fn small_bodies_and_answers_find_room_when_large_bodies_have_taken_theirs() {
    let budget = MemoryBudget::new(32 * MIB);
    let mut large = Vec::new();
    loop {
        let mut lease = budget.lease(Holder::Bodies);
        if lease.grow_to(LARGE_BODY).is_err() {
            break;
        }
        large.push(lease);
    }
    assert!(large.len() >= 3);
    let mut small = budget.lease(Holder::Bodies);
    assert_eq!(small.grow_to(SMALL_BYTES), Ok(()));
    let mut answer = budget.lease(Holder::Answers);
    assert_eq!(answer.grow_to(2 * LARGE_BODY), Ok(()));
}

#[test]
fn a_buffer_takes_no_more_than_twice_what_is_in_it() {
    let budget = MemoryBudget::new(32 * MIB);
    let mut buf = LeasedBuffer::new(budget.lease(Holder::Bodies), LARGE_BODY);
    let chunk = [b'x'; 100];
    while buf.len() + chunk.len() <= LARGE_BODY {
        buf.reserve(chunk.len()).unwrap();
        buf.append(&chunk);
        let used = budget.used(Holder::Bodies);
        assert!(used <= 2 * buf.len().max(UNLEASED_BYTES));
    }
    assert!(budget.used(Holder::Bodies) <= LARGE_BODY);
    let bytes = buf.into_bytes();
    let copy = bytes.clone();
    drop(bytes);
    assert!(budget.used(Holder::Bodies) > 0);
    drop(copy);
    assert_eq!(budget.used(Holder::Bodies), 0);
}

#[test]
fn the_largest_stalled_body_yields_first_and_then_the_slowest() {
    let budget = MemoryBudget::new(64 * MIB);
    let reads = BodyReads::default();
    let read = |size: usize, began: u64, progressed: u64| {
        let reading = reads.begin(Millis(began));
        let mut buf = LeasedBuffer::new(budget.lease(Holder::Bodies), LARGE_BODY);
        buf.reserve(size).unwrap();
        buf.append(&vec![0; size]);
        reading.progress(Millis(progressed), &buf);
        (reading, buf)
    };
    let small_stalled = read(100_000, 0, 100);
    let large_stalled = read(MIB, 0, 100);
    let slow = read(100_000, 0, 1_000);
    let quick = read(MIB, 900, 1_000);
    assert_eq!(
        reads.stalled_bytes(Millis(1_000)),
        small_stalled.1.held() + large_stalled.1.held()
    );
    for next in [&large_stalled, &small_stalled, &slow, &quick] {
        assert_eq!(reads.yield_one(Millis(1_000)), Some(next.0.id()));
    }
    assert_eq!(reads.yield_one(Millis(1_000)), None);
}

#[test]
fn connections_without_a_request_make_room_for_new_ones() {
    let old = Duration::from_secs(1);
    let rank = |activity, has_answered, blocked| close_rank(activity, has_answered, old, blocked);
    let unused = rank(Activity::Head, false, None);
    let not_reading = rank(Activity::Response, true, Some(old));
    let sending = rank(Activity::Body, true, None);
    let idle = rank(Activity::Idle, true, None);
    assert!(unused > not_reading && not_reading > sending && sending > idle);
    assert_eq!(idle, Some((CloseRank::Idle, old)));
    for (activity, blocked) in [
        (Activity::Request, None),
        (Activity::Response, None),
        (Activity::Aborted, Some(old)),
    ] {
        assert_eq!(rank(activity, true, blocked), None);
    }
    let new = Duration::from_millis(1);
    assert_eq!(close_rank(Activity::Idle, true, new, None), None);
    assert!(close_rank(Activity::Idle, false, new, None) < unused);
}

#[test]
fn a_full_table_refuses_what_it_can_make_no_room_for() {
    let table = ConnectionTable::new(2);
    let busy = ConnectionState::new();
    busy.begin(Activity::Request);
    let places: Vec<_> = (0..2).map(|_| table.admit(&busy).unwrap()).collect();
    assert!(table.admit(&ConnectionState::new()).is_none());
    drop(places);
    assert!(table.is_empty());
    let silent: Vec<_> = (0..2)
        .map(|_| table.admit(&ConnectionState::new()).unwrap())
        .collect();
    let (_place, closed) = table.admit(&busy).unwrap();
    assert_eq!(closed, Some(CloseRank::Unused));
    assert_eq!(table.len(), 2);
    drop(silent);
    assert_eq!(table.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(45),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever arrives in whatever pieces, the scanner keeps little and finds the
    /// same.
    #[test]
    fn heads_are_found_alike_in_any_pieces(
        bytes in vec(any::<u8>(), 0..2_000),
        pieces in vec(1_usize..64, 1..64),
    ) {
        let mut whole = HeadScanner::new();
        whole.scan(&bytes);
        let mut cut = HeadScanner::new();
        let mut rest = bytes.as_slice();
        for piece in pieces.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*piece).min(rest.len()));
            cut.scan(now);
            rest = later;
        }
        assert_eq!(whole.is_inside_head(), cut.is_inside_head());
        for _ in 0..8 {
            assert_eq!(whole.take_head(), cut.take_head());
        }
    }
}
