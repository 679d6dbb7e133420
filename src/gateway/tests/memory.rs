//! Memory that an order reserves after its request has ended.

use crate::clock::Millis;
use crate::gateway::memory::late_releases;

/// Time from which on reserved memory that no request uses is a leak; the
/// platform's published bound.
const FREE_LIMIT: Millis = Millis(4_000);

#[test]
fn late_orders_leave_no_memory_reserved() {
    let releases: Vec<Millis> = late_releases(FREE_LIMIT).collect();
    let last = *releases.last().unwrap();
    assert!(last < FREE_LIMIT, "{last}");
    for carried_out in (0..last.0).step_by(50).map(Millis) {
        let released = releases.iter().find(|at| **at > carried_out);
        let held = released.map(|at| at.since(carried_out));
        assert!(
            held.is_some_and(|span| span <= Millis(500)),
            "{carried_out}"
        );
    }
}
