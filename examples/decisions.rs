//! Measures what admission, order and routing cost an instance at the size that
//! the design is for: 1,300 backend servers in 23 failure domains, 2,600
//! workspaces, 19 models.
//!
//! Run by `cargo run --release --example decisions`.

use std::time::Instant;

use eyre::OptionExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use skylarkhook::admission::Decision;
use skylarkhook::admission::Queue;
use skylarkhook::capacity::Capacity;
use skylarkhook::clock::Millis;
use skylarkhook::condition::Conditions;
use skylarkhook::control::Cx;
use skylarkhook::control::Identity;
use skylarkhook::control::Output;
use skylarkhook::declaration::Declaration;
use skylarkhook::fleet::Fleet;
use skylarkhook::fleet::Listing;
use skylarkhook::fleet::Role;
use skylarkhook::id::Boot;
use skylarkhook::id::Fingerprint;
use skylarkhook::id::RequestId;
use skylarkhook::job::Job;
use skylarkhook::metrics::Metrics;
use skylarkhook::routing::Router;
use skylarkhook::timeline::Timeline;

/// Failure domains.
const DOMAINS: usize = 23;
/// Backend servers.
const BACKENDS: usize = 1_300;
/// Workspaces.
const WORKSPACES: usize = 2_600;
/// Models.
const MODELS: usize = 19;
/// Requests an instance sees a second.
const REQUESTS_PER_S: f64 = 66.0;
/// Requests of one measurement.
const REQUESTS: u64 = 20_000;

const RULES: &str = "
[[limit]]
warm = { streams = 64, memory_tokens = 2000000, prefill_tokens = 400000 }
cold = { streams = 64, memory_tokens = 2000000, prefill_tokens = 400000 }
[[kind]]
name = 'summary'
deadline_ms = 30000
importance = 50
[[route]]
name = 'near first'
prefer = ['locality = local', 'locality = region', 'locality = remote']
";

fn main() -> eyre::Result<()> {
    let mut world = World::new(64)?;
    world.measure("room everywhere", 0, Ends::AtOnce)?;
    world.measure("room, 2,000 requests in flight", 2_000, Ends::AtOnce)?;
    let mut world = World::new(2)?;
    world.measure("full, 300 waiting", 300, Ends::WhenFull)?;
    Ok(())
}

/// When the requests in flight end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ends {
    /// As soon as more than the stated number are in flight.
    AtOnce,
    /// When more than the stated number wait.
    WhenFull,
}

struct World {
    fleet: Fleet,
    models: Vec<String>,
    me: Identity,
    rng: ChaCha8Rng,
    timeline: Timeline,
    metrics: Metrics,
    out: Vec<Output>,
    now: Millis,
}

impl World {
    fn new(streams: u32) -> eyre::Result<World> {
        let models: Vec<String> = (0..MODELS).map(|i| format!("model-{i}")).collect();
        let mut fleet = Fleet::default();
        fleet.apply_declaration(&declaration(streams)?);
        fleet.apply_listings(listings(&models));
        Ok(World {
            fleet,
            models,
            me: Identity {
                name: "entry".to_owned(),
                domain: "domain-0".to_owned(),
                boot: Boot(1),
                peer_addr: String::new(),
                unix_time_at_start: Millis::ZERO,
            },
            rng: ChaCha8Rng::seed_from_u64(7),
            timeline: Timeline::new("entry"),
            metrics: Metrics::new(),
            out: Vec::new(),
            now: Millis::ZERO,
        })
    }

    fn measure(&mut self, name: &str, depth: usize, ends: Ends) -> eyre::Result<()> {
        let local = self.fleet.domain_key("domain-0").ok_or_eyre("no domain")?;
        let mut router = Router::new(local);
        let mut queue = Queue::default();
        let mut capacity = Capacity::default();
        let conditions = Conditions::default();
        let mut running = std::collections::VecDeque::new();
        let start = Instant::now();
        let mut inputs = 0;
        for request in 0..REQUESTS {
            self.now += Millis(1);
            let job = self.job(request)?;
            let mut cx = Cx {
                now: self.now,
                me: &self.me,
                out: &mut self.out,
                rng: &mut self.rng,
                timeline: &mut self.timeline,
                metrics: &self.metrics,
            };
            let _ = queue.admit(&mut cx, &self.fleet, &mut router, job);
            loop {
                inputs += 1;
                let decisions = queue.dispatch(
                    &mut cx,
                    &self.fleet,
                    &mut router,
                    &mut capacity,
                    &conditions,
                );
                for decision in decisions {
                    if let Decision::Send(mut dispatch) = decision {
                        let request = dispatch.job.request;
                        let _ = router.record_first_token(cx.now, &self.fleet, request);
                        capacity.release_prefill(&mut dispatch.lease);
                        running.push_back((request, dispatch.lease));
                    }
                }
                let over = match ends {
                    Ends::AtOnce => running.len() > depth,
                    Ends::WhenFull => queue.len() > depth,
                };
                if !over {
                    break;
                }
                let Some((request, lease)) = running.pop_front() else {
                    break;
                };
                router.record_end(cx.now, &self.fleet, request, None);
                capacity.release(lease);
            }
        }
        let took = start.elapsed();
        let per_input = took.as_secs_f64() * 1e6 / f64::from(inputs);
        let per_request = took.as_secs_f64() * 1e6 / REQUESTS as f64;
        let part = per_request * REQUESTS_PER_S / 1e4;
        println!(
            "{name}: {per_request:.1} us a request, {per_input:.1} us a pass over the queue; \
             at {REQUESTS_PER_S} requests/s {part:.2} % of a core ({} waiting at the end)",
            queue.len()
        );
        Ok(())
    }

    fn job(&self, request: u64) -> eyre::Result<Job> {
        let workspace = format!("workspace-{}", request as usize % WORKSPACES);
        Ok(Job {
            request: RequestId(request),
            workspace: self
                .fleet
                .workspace_key(&workspace)
                .ok_or_eyre("no workspace")?,
            kind: self.fleet.kind_key("summary").ok_or_eyre("no kind")?,
            target: skylarkhook::declaration::Target::Engine,
            model: self.models[request as usize % MODELS].clone(),
            prompt_tokens: 1_000 + request * 37 % 3_000,
            max_tokens: 100,
            prefix: request % 997,
            fingerprint: Fingerprint(request),
            importance: 50,
            submitted_at: self.now,
            deadline: self.now + Millis::from_secs(3_600),
            offset: 0,
            excluded: Vec::new(),
            exclusive: false,
        })
    }
}

fn declaration(streams: u32) -> eyre::Result<Declaration> {
    let mut text = RULES.replace("streams = 64", &format!("streams = {streams}"));
    for i in 0..DOMAINS {
        text += &format!(
            "[[domain]]\nname = 'domain-{i}'\nregion = 'region-{}'\n",
            i % 7
        );
    }
    for i in 0..WORKSPACES {
        text += &format!("[[workspace]]\nname = 'workspace-{i}'\ntoken_sha256 = '{i:064x}'\n");
    }
    Ok(toml::from_str(&text)?)
}

/// Returns the list; each engine has three of the models.
fn listings(models: &[String]) -> Vec<Listing> {
    let listing = |i: usize| {
        let model = |k: usize| models[(i / DOMAINS + k * 6) % MODELS].as_str();
        let offered = [model(0), model(1), model(2)].join(",");
        Listing {
            name: format!("engine-{i}"),
            role: Role::Engine,
            domain: format!("domain-{}", i % DOMAINS),
            addr: "127.0.0.1:1".to_owned(),
            peer_addr: String::new(),
            leaving: false,
            labels: [("model".to_owned(), offered)].into(),
        }
    };
    (0..BACKENDS).map(listing).collect()
}
