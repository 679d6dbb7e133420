//! Release of memory that is reserved by an order executed after its request
//! has ended.

use crate::clock::Millis;
use crate::gateway::memory::late_release_times;

/// Time after which reserved memory that no request uses counts as leaked, as
/// published by the platform.
const LEAK_LIMIT: Millis = Millis(4_000);

#[test]
fn late_orders_leave_no_memory_reserved() {
    let releases: Vec<Millis> = late_release_times(LEAK_LIMIT).collect();
    let last = *releases.last().unwrap();
    assert!(last < LEAK_LIMIT, "{last}");
    for executed_at in (0..last.0).step_by(50).map(Millis) {
        let released = releases.iter().find(|at| **at > executed_at);
        let held_for = released.map(|at| at.since(executed_at));
        assert!(
            held_for.is_some_and(|held| held <= Millis(500)),
            "{executed_at}"
        );
    }
}
