use super::*;
use crate::backend::LoadReport;
use crate::condition::Signal;
use crate::fixture::Fixture;
use crate::fixture::SPEEDS;
use crate::fixture::fleet;
use crate::fixture::job;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::RequestId;

const RULES: &str = "
[[domain]]
name = 'ikeja'
region = 'lagos'
[[domain]]
name = 'lekki'
region = 'lagos'
[[limit]]
warm = { streams = 8, memory_tokens = 400000, prefill_tokens = 400000 }
cold = { streams = 8, memory_tokens = 400000, prefill_tokens = 400000 }
[[kind]]
name = 'summary'
deadline_ms = 60000
importance = 50
[[workspace]]
name = 'agents'
token_sha256 = ''
[[route]]
name = 'near first'
prefer = ['locality = local, gpu != old', 'locality = region']
";

const ENGINES: &[(&str, &str, &str)] = &[
    ("a1", "ikeja", SPEEDS),
    ("a2", "ikeja", SPEEDS),
    ("a3", "ikeja", SPEEDS),
    ("a4", "ikeja", SPEEDS),
    ("b1", "lekki", SPEEDS),
    ("old", "ikeja", "gpu=old"),
    ("other", "ikeja", "model=x,y"),
];

struct RoutingSetup {
    fixture: Fixture,
    fleet: Fleet,
    conditions: Conditions,
    capacity: Capacity,
    router: Router,
}

impl RoutingSetup {
    fn new() -> RoutingSetup {
        let fleet = fleet(RULES, ENGINES);
        let local = fleet.domain_key("ikeja").unwrap();
        RoutingSetup {
            fixture: Fixture::new(),
            fleet,
            conditions: Conditions::default(),
            capacity: Capacity::default(),
            router: Router::new(local),
        }
    }

    fn view(&self) -> RoutingView<'_> {
        RoutingView {
            now: self.fixture.now,
            fleet: &self.fleet,
            conditions: &self.conditions,
        }
    }

    fn place(&mut self, job: &Job) -> Option<String> {
        let lane = self.router.find_lane_key(&self.fleet, job)?;
        let view = RoutingView {
            now: self.fixture.now,
            fleet: &self.fleet,
            conditions: &self.conditions,
        };
        let request = PlacementRequest {
            job,
            lane,
            urgent: false,
            reserved: &[],
        };
        let lease = self.router.place(view, &mut self.capacity, request).ok()?;
        Some(self.fleet.backend(lease.backend).name.clone())
    }
}

#[test]
fn requests_overflow_to_the_next_tier_when_one_is_full() {
    let mut setup = RoutingSetup::new();
    let mut placed_on = Vec::new();
    for request in 0..40 {
        let job = job(&setup.fleet, request, 100, 10);
        placed_on.push(setup.place(&job).unwrap());
    }
    assert!(placed_on[..32].iter().all(|name| name.starts_with('a')));
    assert!(placed_on[32..].iter().all(|name| name == "b1"));
    let job = job(&setup.fleet, 99, 100, 10);
    assert_eq!(setup.place(&job), None);
}

#[test]
fn long_prompts_use_only_engines_that_accept_them_and_stay_within_the_token_limit() {
    let mut setup = RoutingSetup::new();
    let short = job(&setup.fleet, 0, 100, 10);
    let long = |request| job(&RoutingSetup::new().fleet, request, 120_000, 10);
    let now = setup.fixture.now;
    setup
        .router
        .length_split
        .observe(now, LengthClass::Short, 300_000);
    setup
        .router
        .length_split
        .observe(now, LengthClass::Long, 120_000);
    let first = setup.place(&long(1)).unwrap();
    let second = setup.place(&long(2)).unwrap();
    assert_ne!(first, second, "at most one long prompt per engine");
    assert_eq!(setup.place(&long(3)).as_deref(), Some("b1"));
    assert_eq!(setup.place(&long(4)), None);
    for request in 10..26 {
        let name = setup.place(&Job {
            request: RequestId(request),
            ..short.clone()
        });
        let name = name.unwrap();
        assert!(
            name != first && name != second,
            "{name} has a long prompt in prefill"
        );
    }
    let now = Millis(1_000);
    assert!(
        setup
            .router
            .record_first_token(now, &setup.fleet, RequestId(1))
            .is_none()
    );
    assert_eq!(setup.place(&long(5)), Some(first));
}

#[test]
fn load_sent_after_a_report_is_added_to_it() {
    let mut setup = RoutingSetup::new();
    let key = setup.fleet.backend_key("a1").unwrap();
    let report = LoadReport {
        boot: Boot(1),
        epoch: Epoch(0),
        age_ms: Millis(500),
        memory_used: 0,
        memory_total: 400_000,
        prefill_waiting: 9_000,
        streams: Vec::new(),
        models: Vec::new(),
    };
    let job = job(&setup.fleet, 1, 5_000, 10);
    let attempt = AttemptLoad::new(Millis(1_000), key, &job);
    setup.router.loads.insert(RequestId(1), attempt);
    let ahead = |router: &Router, now| router.loads.prefill_ahead(Millis(now), key, 0.0);
    setup.router.apply_load_report(Millis(1_200), key, &report);
    assert_eq!(
        ahead(&setup.router, 1_200),
        14_000,
        "sent after the report was taken"
    );
    setup.router.apply_load_report(Millis(1_600), key, &report);
    assert_eq!(ahead(&setup.router, 1_600), 9_000, "the report includes it");
    assert_eq!(ahead(&setup.router, 20_000), 5_000, "the report is too old");
    setup
        .router
        .record_end(Millis(20_000), &setup.fleet, RequestId(1), None);
    assert_eq!(ahead(&setup.router, 20_000), 0);
}

#[test]
fn exclusive_job_shares_no_backend_server() {
    let mut setup = RoutingSetup::new();
    let mut exclusive = job(&setup.fleet, 1, 100, 10);
    exclusive.exclusive = true;
    let placed_on = setup.place(&exclusive).unwrap();
    for request in 2..26 {
        let job = job(&setup.fleet, request, 100, 10);
        assert_ne!(setup.place(&job), Some(placed_on.clone()));
    }
    let second = Job {
        request: RequestId(30),
        ..exclusive.clone()
    };
    assert_eq!(
        setup.place(&second).as_deref(),
        Some("b1"),
        "only b1 is empty"
    );
    assert_eq!(
        setup.place(&Job {
            request: RequestId(31),
            ..exclusive
        }),
        None
    );
}

#[test]
fn late_first_token_signals_cold_and_lowers_the_learned_speed() {
    let mut setup = RoutingSetup::new();
    let first = job(&setup.fleet, 1, 8_000, 10);
    let name = setup.place(&first).unwrap();
    let backend = setup.fleet.backend_key(&name).unwrap();
    let max_prefill_time =
        setup
            .router
            .predictor
            .max_prefill_time(Millis(0), &setup.fleet, backend, "m");
    let now = Millis(9_000);
    let signal = setup
        .router
        .record_first_token(now, &setup.fleet, RequestId(1));
    assert_eq!(signal, None, "prompts of other instances may go first");
    setup
        .router
        .record_end(now, &setup.fleet, RequestId(1), Some(10));
    let mut setup = RoutingSetup::new();
    setup.place(&first).unwrap();
    let now = Millis(9_000) + max_prefill_time;
    let signal = setup
        .router
        .record_first_token(now, &setup.fleet, RequestId(1));
    let (key, signal) = signal.unwrap();
    assert_eq!(signal, Signal::Late);
    let learned = setup.router.predictor.speeds(now, &setup.fleet, key, "m");
    assert!(learned.prefill_tokens_per_s.value < 8_000.0);
    assert!(
        !setup
            .router
            .record_end(now, &setup.fleet, RequestId(1), Some(10))
    );
}

#[test]
fn explain_gives_the_first_reason_for_each_backend() {
    let mut setup = RoutingSetup::new();
    let mut declaration = setup.fleet.declaration().clone();
    declaration.domains[1].out = true;
    setup.fleet.apply_declaration(&declaration);
    let mut job = job(&setup.fleet, 1, 100, 10);
    job.excluded = vec![setup.fleet.backend_key("a3").unwrap()];
    let mut router = std::mem::replace(
        &mut setup.router,
        Router::new(setup.fleet.domain_key("ikeja").unwrap()),
    );
    let explanation = router.explain(setup.view(), &setup.capacity, &job);
    assert_eq!(explanation.route.as_deref(), Some("near first"));
    let outcome = |name: &str| {
        let found = explanation
            .backends
            .iter()
            .find(|entry| entry.backend == name);
        found.unwrap().outcome.clone()
    };
    assert!(matches!(
        outcome("a1"),
        RoutingOutcome::Candidate { rank: 0..=2, .. }
    ));
    assert_eq!(outcome("a3"), RoutingOutcome::Excluded);
    assert_eq!(outcome("b1"), RoutingOutcome::Out);
    let offers = "x,y".to_owned();
    assert_eq!(outcome("other"), RoutingOutcome::OtherModel { offers });
    let RoutingOutcome::Unmet { requirements } = outcome("old") else {
        panic!("old is matched by no preference");
    };
    assert!(requirements[0].contains("gpu"), "{requirements:?}");
    let text = serde_json::to_string(&explanation).unwrap();
    assert_eq!(
        serde_json::from_str::<Explanation>(&text).unwrap(),
        explanation
    );
}
