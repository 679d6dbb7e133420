//! Instances that are cut off from all backend servers, while callers, the store
//! and the other instances reach them.

use crate::fleet::Fleet;
use crate::links::Cut;
use crate::process::this_program;

const GATEWAYS: usize = 3;
/// Requests to each instance in which a cut is noticed. They are not counted.
const SETTLING_REQUESTS: usize = 20;
/// Counted requests to each instance.
const REQUESTS: usize = 60;
/// Share of the requests that sound instances serve, of which callers of a
/// cut-off instance get at least this numerator and denominator.
const SERVED_SHARE: (usize, usize) = (2, 3);
/// All ways of cutting an instance off.
const CUTS: [Cut; 3] = [Cut::Reset, Cut::RefuseNew, Cut::Silent];

fn start() -> Fleet {
    Fleet::start(&vec![this_program(); GATEWAYS])
}

#[test]
fn callers_of_an_instance_that_is_cut_off_from_all_servers_are_served() {
    for cut in CUTS {
        let mut fleet = start();
        fleet.serve(SETTLING_REQUESTS);
        fleet.cut(0, cut);
        fleet.serve(SETTLING_REQUESTS);
        let served = fleet.serve(REQUESTS);
        let (numerator, denominator) = SERVED_SHARE;
        let required = REQUESTS * numerator / denominator;
        assert!(served[0] >= required, "{cut:?}: {served:?}");
        fleet.heal(0);
        fleet.serve(SETTLING_REQUESTS);
        assert_eq!(fleet.serve(REQUESTS), [REQUESTS; GATEWAYS], "{cut:?}");
    }
}

#[test]
fn instances_that_reach_all_servers_serve_while_another_is_cut_off() {
    for cut in CUTS {
        let mut fleet = start();
        fleet.serve(SETTLING_REQUESTS);
        fleet.cut(0, cut);
        let served = fleet.serve(REQUESTS);
        assert_eq!(served[1..], [REQUESTS; GATEWAYS - 1], "{cut:?}");
    }
}
