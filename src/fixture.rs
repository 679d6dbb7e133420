//! Shared fixture for tests of the scheduling components: a context on a virtual
//! clock and a small fleet.

pub mod policy_simulation;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Identity;
use crate::control::Output;
use crate::declaration::Declaration;
use crate::declaration::Labels;
use crate::fleet::Fleet;
use crate::fleet::Listing;
use crate::fleet::Role;
use crate::id::Boot;
use crate::id::Fingerprint;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Metrics;
use crate::timeline::Timeline;

/// Labels that declare the speeds of the engines in [`policy_simulation`].
pub const SPEEDS: &str = "prefill_tokens_per_s=8000 decode_tokens_per_s=22";

/// Owns the state that a [`Cx`] borrows.
pub struct Fixture {
    /// The virtual time.
    pub now: Millis,
    /// Recorded events.
    pub timeline: Timeline,
    me: Identity,
    out: Vec<Output>,
    rng: ChaCha8Rng,
    metrics: Metrics,
}

impl Fixture {
    /// Returns a context at time zero, with a fixed seed.
    pub fn new() -> Fixture {
        Fixture {
            now: Millis::ZERO,
            timeline: Timeline::new("test"),
            me: identity(),
            out: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(7),
            metrics: Metrics::new(),
        }
    }

    /// Returns a context at the current virtual time.
    pub fn cx(&mut self) -> Cx<'_> {
        Cx {
            now: self.now,
            me: &self.me,
            out: &mut self.out,
            rng: &mut self.rng,
            timeline: &mut self.timeline,
            metrics: &self.metrics,
        }
    }

    /// Returns the outputs since the last call.
    pub fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }
}

/// Returns a fleet of engines `(name, domain, labels)`; labels are
/// `key=value` pairs separated by spaces, `model` defaults to `m`.
pub fn fleet(rules: &str, engines: &[(&str, &str, &str)]) -> Fleet {
    let declaration: Declaration = toml::from_str(rules).expect("rules are valid");
    let listings = engines.iter();
    let listings = listings.map(|&(name, domain, labels)| listing(name, domain, labels));
    let mut fleet = Fleet::default();
    fleet.apply_declaration(&declaration);
    fleet.apply_listings(listings.collect());
    fleet
}

/// Returns the identity of the tested instance.
pub fn identity() -> Identity {
    Identity {
        name: "test".to_owned(),
        domain: "ikeja".to_owned(),
        boot: Boot(1),
        peer_addr: String::new(),
        unix_time_at_start: Millis::ZERO,
    }
}

/// Returns an engine's entry in the instance list.
pub fn listing(name: &str, domain: &str, labels: &str) -> Listing {
    Listing {
        name: name.to_owned(),
        role: Role::Engine,
        domain: domain.to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        peer_addr: String::new(),
        leaving: false,
        labels: self::labels(labels),
    }
}

fn labels(text: &str) -> Labels {
    let mut labels = Labels::from([("model".to_owned(), "m".to_owned())]);
    let pairs = text
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    labels.extend(pairs.map(|(key, value)| (key.to_owned(), value.to_owned())));
    labels
}

/// Returns a job of the first declared kind and workspace for the model `m`,
/// admitted at time zero.
pub fn job(fleet: &Fleet, request: u64, prompt_tokens: u64, max_tokens: u32) -> Job {
    let kind = &fleet.declaration().kinds[0];
    let workspace = &fleet.declaration().workspaces[0];
    Job {
        request: RequestId(request),
        workspace: fleet.workspace_key(&workspace.name).expect("declared"),
        kind: fleet.kind_key(&kind.name).expect("declared"),
        target: kind.target,
        model: "m".to_owned(),
        prompt_tokens,
        max_tokens,
        prefix: 0,
        fingerprint: Fingerprint(request),
        importance: kind.importance,
        submitted_at: Millis::ZERO,
        deadline: kind.deadline_ms,
        offset: 0,
        excluded: Vec::new(),
        exclusive: false,
    }
}
