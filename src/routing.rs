//! Routing: which backend server a job goes to.
//!
//! The operators' routes define tiers of backend servers. Within a tier,
//! engines that likely have the prompt's prefix cached come first unless they
//! are much slower or overloaded, then the backend servers by predicted time to
//! first token (TTFT). Long prompts are restricted to a part of the engines.
//! The router also tracks this instance's in-flight attempts and learns speeds
//! from them.
//!
//! A capacity lease is a lease on part of a backend server's concurrency limit;
//! messages and metrics call it `credit`.

mod demand;
mod explain;
mod gang;
mod lane;
mod learn;
mod load;
mod split;

pub use demand::LaneDemand;
pub use explain::BackendOutcome;
pub use explain::Explanation;
pub use explain::RoutingOutcome;
pub use lane::Lane;
pub use lane::LaneBackend;
pub use lane::LaneKey;
pub use load::AttemptLoad;
pub use load::Load;
pub use split::LengthSplit;

use crate::affinity::Affinity;
use crate::affinity::rendezvous_score;
use crate::capacity::Capacity;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::condition::Condition;
use crate::condition::Conditions;
use crate::declaration::Limits;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::job::Cost;
use crate::job::Job;
use crate::job::LengthClass;
use crate::prediction::Prediction;
use crate::prediction::Predictor;
use crate::routing::lane::Lanes;
use crate::routing::load::Loads;

/// Maximum prompt tokens of long prompts that this instance has in prefill on
/// one engine. A single prompt above it needs an engine without any.
pub const MAX_LONG_PREFILL_TOKENS: u64 = 131_072;
/// Maximum predicted prefill time of the prompts that a non-urgent prompt finds
/// queued on an engine; otherwise it stays in this instance's queue.
pub const MAX_PREFILL_WAIT: Millis = Millis(500);
/// Prefix affinity is ignored for an engine whose predicted TTFT exceeds the
/// lowest of its tier times this.
const AFFINITY_TTFT_BOUND: f64 = 1.5;
/// Prefix affinity is ignored for an engine whose load, in streams per weight,
/// exceeds this multiple of its tier's mean by more than one stream (after
/// Mirrokni, Thorup and Zadimoghaddam 2018, "Consistent Hashing with Bounded
/// Loads").
pub const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// The state that a routing decision is based on.
#[derive(Debug, Clone, Copy)]
pub struct RoutingView<'a> {
    /// The current time.
    pub now: Millis,
    /// The fleet.
    pub fleet: &'a Fleet,
    /// The conditions of the backend servers.
    pub conditions: &'a Conditions,
}

/// A request to place one job on a backend server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The job.
    pub job: &'a Job,
    /// Its lane.
    pub lane: LaneKey,
    /// Whether its due start has passed: it may then share an engine with long
    /// prompts in prefill and exceed [`MAX_PREFILL_WAIT`].
    pub urgent: bool,
    /// Backend servers that are reserved for other jobs.
    pub reserved: &'a [BackendKey],
}

/// Why a job could not be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// No backend server of the lane has a free stream.
    NoFreeStream,
    /// Some have a free stream, but none can take this job.
    NoBackendFits,
}

/// Applies the operators' routes on one instance.
#[derive(Debug)]
pub struct Router {
    local_domain: DomainKey,
    lanes: Lanes,
    loads: Loads,
    /// Moving average of predicted over actual time of complete requests.
    speedup: f64,
    /// Learned speeds.
    pub predictor: Predictor,
    /// Prefix affinity of engines.
    pub affinity: Affinity,
    /// The split of engines by prompt length.
    pub length_split: LengthSplit,
}

impl Router {
    /// Returns the router of an instance in the failure domain
    /// `local_domain`.
    #[must_use]
    pub fn new(local_domain: DomainKey) -> Router {
        Router {
            local_domain,
            lanes: Lanes::default(),
            loads: Loads::default(),
            speedup: 1.0,
            predictor: Predictor::default(),
            affinity: Affinity::default(),
            length_split: LengthSplit::default(),
        }
    }

    /// Returns the backend servers that may serve the job, best tier first.
    #[must_use]
    pub fn candidates(&mut self, fleet: &Fleet, job: &Job) -> Vec<BackendKey> {
        let Some(lane) = self
            .find_lane_key(fleet, job)
            .and_then(|key| self.lanes.get(key))
        else {
            return Vec::new();
        };
        lane.backends()
            .map(|server| server.backend)
            .filter(|backend| !job.excluded.contains(backend))
            .collect()
    }

    /// Returns the lane of a job: the backend servers of its route and model.
    /// The key is valid until the fleet's generation changes.
    pub fn find_lane_key(&mut self, fleet: &Fleet, job: &Job) -> Option<LaneKey> {
        self.lanes.find(fleet, self.local_domain, job)
    }

    /// Returns a lane.
    #[must_use]
    pub fn get_lane(&self, lane: LaneKey) -> Option<&Lane> {
        self.lanes.get(lane)
    }

    /// Acquires a capacity lease on the best backend server that can take the
    /// job, and records the attempt as in flight.
    ///
    /// # Errors
    ///
    /// Returns why the job could not be placed.
    pub fn place(
        &mut self,
        view: RoutingView<'_>,
        capacity: &mut Capacity,
        request: PlacementRequest<'_>,
    ) -> Result<LeaseUse, PlacementError> {
        let tiers = self
            .lanes
            .get(request.lane)
            .map_or(0, |lane| lane.tiers.len());
        let cost = request.job.cost(0);
        let mut error = PlacementError::NoFreeStream;
        for tier in 0..tiers {
            let (ranked, tier_error) = self.rank_tier(view, capacity, request, tier);
            for (backend, attempt) in ranked {
                let lease =
                    capacity.try_acquire(view.now, view.fleet, view.conditions, backend, cost);
                if let Some(lease) = lease {
                    self.affinity.record_sent(view.now, attempt.prefix, backend);
                    self.loads.insert(request.job.request, attempt);
                    return Ok(lease);
                }
            }
            if tier_error == PlacementError::NoBackendFits {
                error = PlacementError::NoBackendFits;
            }
        }
        Err(error)
    }

    /// Returns the backend server to reserve for a due job that could not be
    /// placed: of those whose limits fit the job, the one with the most free
    /// capacity.
    #[must_use]
    pub fn backend_to_reserve(
        &self,
        view: RoutingView<'_>,
        capacity: &Capacity,
        request: PlacementRequest<'_>,
    ) -> Option<BackendKey> {
        let lane = self.lanes.get(request.lane)?;
        let cost = request.job.cost(0);
        lane.backends()
            .filter(|server| {
                let limits = view.conditions.limits(view.fleet, server.backend);
                limits.streams > 0
                    && Lane::fits_limits(limits, cost)
                    && !request.reserved.contains(&server.backend)
                    && !request.job.excluded.contains(&server.backend)
            })
            .max_by_key(|server| {
                let key = server.backend;
                let free = capacity.available(view.now, view.fleet, view.conditions, key);
                (
                    free.memory_tokens,
                    free.prefill_tokens,
                    free.streams,
                    server.hash,
                )
            })
            .map(|server| server.backend)
    }

    /// Requests capacity leases on the first tier's backend servers for jobs
    /// that could not be placed, plus on one more tier for each
    /// [`demand::TIER_WAIT`] that the longest-waiting job has waited.
    pub fn request_leases(
        &self,
        view: RoutingView<'_>,
        capacity: &mut Capacity,
        demand: LaneDemand,
    ) {
        let Some(lane) = self.lanes.get(demand.lane) else {
            return;
        };
        for server in lane.tiers.iter().take(demand.tier_count()).flatten() {
            let limits = view.conditions.limits(view.fleet, server.backend);
            let cost = demand.lease_cost(limits).filter(|_| limits.streams > 0);
            if let Some(cost) = cost {
                capacity.record_total_demand(view.now, server.backend, cost, demand.weight);
            }
        }
    }

    /// Records the prompt tokens of an arriving request.
    pub fn record_arrival(&mut self, now: Millis, job: &Job) {
        let tokens = job.cost(0).prefill_tokens;
        self.length_split.observe(now, job.length_class(), tokens);
    }

    /// Returns a lower bound of the job's times on an idle backend server of
    /// its lane's first non-empty tier: it combines the tier's best prefill and
    /// decode speeds.
    #[must_use]
    pub fn predict_lower_bound(
        &self,
        now: Millis,
        fleet: &Fleet,
        lane: LaneKey,
        job: &Job,
    ) -> Option<Prediction> {
        let tiers = &self.lanes.get(lane)?.tiers;
        let tier = tiers.iter().find(|tier| !tier.is_empty())?;
        let speeds = tier
            .iter()
            .map(|server| {
                self.predictor
                    .speeds(now, fleet, server.backend, &job.model)
            })
            .reduce(|a, b| a.faster(b))?;
        Some(speeds.predict(job, 0, 0))
    }

    /// Returns a tier's backend servers that can take the job, best first, and
    /// the error to report if there are none.
    fn rank_tier(
        &self,
        view: RoutingView<'_>,
        capacity: &Capacity,
        request: PlacementRequest<'_>,
        tier: usize,
    ) -> (Vec<(BackendKey, AttemptLoad)>, PlacementError) {
        let mut error = PlacementError::NoFreeStream;
        let lane = self.lanes.get(request.lane);
        let Some(backends) = lane.and_then(|lane| lane.tiers.get(tier)) else {
            return (Vec::new(), error);
        };
        let preferred = self.affinity_backends(view.now, request.job, backends);
        let cost = request.job.cost(0);
        let mut ranked = Vec::new();
        for (index, server) in backends.iter().enumerate() {
            let key = server.backend;
            let free = capacity.available(view.now, view.fleet, view.conditions, key);
            if free.streams == 0 {
                continue;
            }
            error = PlacementError::NoBackendFits;
            let eligible = fits(free, cost)
                && !request.job.excluded.contains(&key)
                && !request.reserved.contains(&key)
                && self.accepts_length(backends, server, request)
                && self.permits_exclusivity(view.now, key, request.job);
            if !eligible {
                continue;
            }
            let attempt = self.predict_attempt(view, key, request.job);
            let in_time = view.now + attempt.predicted.total <= request.job.deadline;
            if !in_time || !(request.urgent || self.starts_soon(view, &attempt)) {
                continue;
            }
            let silent = view.conditions.condition(view.fleet, key) == Condition::Silent;
            let rank = (
                silent,
                attempt.predicted.ttft,
                self.loads.streams(view.now, key),
                server.hash ^ request.job.request.0,
            );
            ranked.push((rank, preferred.contains(&index), key, attempt));
        }
        ranked.sort_by_key(|(rank, ..)| *rank);
        let best_ttft = ranked
            .first()
            .map_or(Millis::ZERO, |((_, ttft, ..), ..)| *ttft);
        let bound = Millis((best_ttft.0 as f64 * AFFINITY_TTFT_BOUND) as u64);
        ranked.sort_by_key(|((silent, ttft, ..), preferred, ..)| {
            *silent || !*preferred || *ttft > bound
        });
        let ranked = ranked.into_iter().map(|(.., key, attempt)| (key, attempt));
        (ranked.collect(), error)
    }

    /// Returns the indices of the backend servers that are assigned the job's
    /// prefix and whose load is within [`AFFINITY_LOAD_BOUND`] of the mean.
    fn affinity_backends(&self, now: Millis, job: &Job, backends: &[LaneBackend]) -> Vec<usize> {
        if job.prefix == 0 || backends.len() < 2 {
            return Vec::new();
        }
        let copies = self.affinity.replica_count(now, job.prefix, backends.len());
        let mut scored: Vec<(f64, usize)> = backends
            .iter()
            .enumerate()
            .map(|(index, server)| {
                (
                    rendezvous_score(job.prefix, server.hash, server.weight),
                    index,
                )
            })
            .collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let load = |index: usize| {
            let server: &LaneBackend = &backends[index];
            f64::from(self.loads.streams(now, server.backend)) / server.weight
        };
        let mean = (0..backends.len()).map(load).sum::<f64>() / backends.len() as f64;
        scored.truncate(copies);
        scored
            .into_iter()
            .map(|(_, index)| index)
            .filter(|&index| {
                load(index) <= mean * AFFINITY_LOAD_BOUND + 1.0 / backends[index].weight
            })
            .collect()
    }

    /// Returns whether a backend server may take a prompt of the job's length.
    fn accepts_length(
        &self,
        backends: &[LaneBackend],
        server: &LaneBackend,
        request: PlacementRequest<'_>,
    ) -> bool {
        if request.job.target == Target::Service {
            return true;
        }
        let load = self.loads.get(server.backend);
        let long_tokens = load.map_or(0, |load| load.long_prefill_tokens);
        if request.job.length_class() == LengthClass::Short {
            return long_tokens == 0 || request.urgent;
        }
        let accepts_long = self.length_split.accepts_long(server)
            || !backends
                .iter()
                .any(|server| self.length_split.accepts_long(server));
        let tokens = request.job.cost(0).prefill_tokens;
        accepts_long && (long_tokens == 0 || long_tokens + tokens <= MAX_LONG_PREFILL_TOKENS)
    }

    /// Returns whether an engine would start the prompt's prefill within
    /// [`MAX_PREFILL_WAIT`]. Otherwise the job stays in the queue, where it can
    /// still be reordered.
    fn starts_soon(&self, view: RoutingView<'_>, attempt: &AttemptLoad) -> bool {
        let (now, fleet) = (view.now, view.fleet);
        let speeds = self
            .predictor
            .speeds(now, fleet, attempt.backend, &attempt.model);
        let ahead_s = attempt.ahead_tokens as f64 / speeds.prefill_tokens_per_s.value;
        ahead_s <= MAX_PREFILL_WAIT.as_secs_f64()
    }

    /// Returns whether the job may run next to the attempts on a backend server:
    /// none of them is exclusive, and an exclusive job needs a backend server
    /// without streams.
    fn permits_exclusivity(&self, now: Millis, backend: BackendKey, job: &Job) -> bool {
        let runs_exclusive = self.loads.get(backend).is_some_and(|load| load.exclusive);
        !runs_exclusive && (!job.exclusive || self.loads.streams(now, backend) == 0)
    }

    /// Returns the attempt, with predicted times, that would result from
    /// sending the job to a backend server.
    fn predict_attempt(
        &self,
        view: RoutingView<'_>,
        backend: BackendKey,
        job: &Job,
    ) -> AttemptLoad {
        let speeds = self
            .predictor
            .speeds(view.now, view.fleet, backend, &job.model);
        let tokens_per_s = speeds.prefill_tokens_per_s.value;
        let ahead_tokens = self.loads.prefill_ahead(view.now, backend, tokens_per_s);
        let cached_tokens = self.affinity.cached_tokens(view.now, job.prefix, backend);
        let predicted = speeds.predict(job, ahead_tokens, cached_tokens);
        let warm = view.fleet.backend(backend).limit_rule.as_ref();
        let warm = warm.map(|rule| rule.warm).unwrap_or_default();
        let work_ms = predicted.work_ms(warm, job.cost(cached_tokens));
        AttemptLoad {
            utilization: work_ms / (predicted.total.0.max(1) as f64),
            ahead_tokens,
            cached_tokens,
            predicted,
            ..AttemptLoad::new(view.now, backend, job)
        }
    }
}

/// Returns whether one stream with a cost fits into the free capacity.
fn fits(free: Limits, cost: Cost) -> bool {
    free.streams > 0
        && free.memory_tokens >= cost.memory_tokens
        && free.prefill_tokens >= cost.prefill_tokens
}

#[cfg(test)]
mod tests;
