//! Instances that are cut off from all backend servers, while callers, the store
//! and the other instances reach them.

use tempfile::TempDir;

use crate::backend::Backend;
use crate::backend::Runs;
use crate::links::Cut;
use crate::links::Links;
use crate::platform::Store;
use crate::platform::configuration;
use crate::process::Gateway;
use crate::process::call;

const GATEWAYS: usize = 3;
const BACKENDS: usize = 4;
/// Requests to each instance in which a cut is noticed. They are not counted.
const SETTLING_REQUESTS: usize = 20;
/// Counted requests to each instance.
const REQUESTS: usize = 60;
/// Share of the requests that sound instances serve, of which callers of a
/// cut-off instance get at least this numerator and denominator.
const SERVED_SHARE: (usize, usize) = (2, 3);
/// All ways of cutting an instance off.
const CUTS: [Cut; 3] = [Cut::Reset, Cut::RefuseNew, Cut::Silent];
const PATHS: [&str; 3] = ["/once/1", "/again/1", "/stream/1"];

struct Fleet {
    _dir: TempDir,
    _store: Store,
    links: Links,
    runs: Runs,
    _backends: Vec<Backend>,
    gateways: Vec<Gateway>,
    next_id: usize,
}

impl Fleet {
    fn start() -> Fleet {
        let dir = tempfile::tempdir().unwrap();
        let (store, addr) = Store::start().unwrap();
        let (runs, links) = (Runs::default(), Links::default());
        let backends: Vec<Backend> = (1..=BACKENDS)
            .map(|at| Backend::start_with_links(&format!("i-{at}"), runs.clone(), &links).unwrap())
            .collect();
        store.put("op/config", configuration(1, &["k1"]).as_bytes());
        for backend in &backends {
            let key = format!("servers/{}", backend.id);
            store.put(&key, backend.entry("ready").as_bytes());
        }
        let gateways: Vec<Gateway> = (0..GATEWAYS)
            .map(|at| Gateway::start(dir.path(), &format!("g{at}"), addr))
            .collect();
        for gateway in &gateways {
            links.add(gateway.process_id());
            gateway.wait_ready();
        }
        for gateway in &gateways {
            gateway.wait_metric("skylarkhook_members_live", GATEWAYS - 1);
        }
        Fleet {
            _dir: dir,
            _store: store,
            links,
            runs,
            _backends: backends,
            gateways,
            next_id: 0,
        }
    }

    fn cut(&self, gateway: usize, cut: Cut) {
        self.links.cut(self.gateways[gateway].process_id(), cut);
    }

    fn heal(&self, gateway: usize) {
        self.links.heal(self.gateways[gateway].process_id());
    }

    /// Sends requests to all instances in turn. Returns how many each served at
    /// the first attempt.
    fn serve(&mut self, requests: usize) -> [usize; GATEWAYS] {
        let mut served = [0; GATEWAYS];
        for n in 0..requests {
            for (at, gateway) in self.gateways.iter().enumerate() {
                self.next_id += 1;
                let id = format!("r{}", self.next_id);
                let headers = [
                    ("X-Skylarkhook-Request-Id", id.as_str()),
                    ("X-Skylarkhook-Deadline-Ms", "3000"),
                    ("Authorization", "Token k1"),
                ];
                let path = PATHS[n % PATHS.len()];
                let answer = call(gateway.callers, "POST", path, &headers, &id).unwrap();
                if answer.status == 200 && answer.whole {
                    served[at] += 1;
                }
                let ran = self.runs.of(&id);
                assert!(answer.status != 503 || ran == 0, "{answer:?}");
                assert!(path != "/once/1" || ran <= 1, "{id} ran {ran} times");
            }
        }
        served
    }
}

#[test]
fn callers_of_an_instance_that_is_cut_off_from_all_servers_are_served() {
    for cut in CUTS {
        let mut fleet = Fleet::start();
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
        let mut fleet = Fleet::start();
        fleet.serve(SETTLING_REQUESTS);
        fleet.cut(0, cut);
        let served = fleet.serve(REQUESTS);
        assert_eq!(served[1..], [REQUESTS; GATEWAYS - 1], "{cut:?}");
    }
}
