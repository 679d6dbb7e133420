//! Routing: which backend server a job goes to.
//!
//! The operators' routes give tiers of backend servers. Within a tier the one
//! with the earliest predicted first token is taken, over the engines that the
//! prefix prefers, and long prompts keep to their part of the engines. The
//! router also knows what this instance has in flight, and learns speeds from
//! it.

mod explain;
mod gang;
mod lane;
mod learn;
mod load;
mod split;
mod want;

pub use explain::BackendOutcome;
pub use explain::Explanation;
pub use explain::Outcome;
pub use lane::Lane;
pub use lane::LaneKey;
pub use lane::Place;
pub use load::Flight;
pub use load::Load;
pub use split::Split;
pub use want::Want;

use crate::affinity::Affinity;
use crate::affinity::score;
use crate::capacity::Capacity;
use crate::capacity::CreditUse;
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

/// Prompt tokens of long prompts in flight on one engine from this instance; a
/// longer prompt goes where there is none.
pub const LONG_PREFILL_TOKENS: u64 = 131_072;
/// Work of prompts that may wait in an engine before the one that is sent.
pub const MOST_AHEAD: Millis = Millis(500);
/// An engine that a prefix prefers is passed over when its predicted first token
/// is later than the earliest one of its tier times this.
const AFFINITY_BOUND: f64 = 1.5;
/// An engine that a prefix prefers is passed over when its load, in parts of
/// its tier's mean, is above this (bounded loads after Mirrokni, Thorup and
/// Zadimoghaddam 2018, "Consistent Hashing with Bounded Loads").
pub const AFFINITY_LOAD_BOUND: f64 = 1.25;
/// What the choice of a backend server rests on.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The time.
    pub now: Millis,
    /// The fleet.
    pub fleet: &'a Fleet,
    /// Conditions of backend servers.
    pub conditions: &'a Conditions,
}

/// A choice that is open to one job.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The job.
    pub job: &'a Job,
    /// Its lane.
    pub lane: LaneKey,
    /// Whether waiting any longer endangers its deadline: it may run beside
    /// long prompts.
    pub pressed: bool,
    /// Backend servers that are kept for other jobs.
    pub kept: &'a [BackendKey],
}

/// Why there is no room for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Full {
    /// No backend server of the lane has a stream free.
    Streams,
    /// Some have, but not for this job.
    Job,
}

/// Applies the operators' routes on one instance.
#[derive(Debug)]
pub struct Router {
    local: DomainKey,
    lanes: Lanes,
    loads: Loads,
    pace: f64,
    /// Learned speeds.
    pub predictor: Predictor,
    /// Where prefixes are cached.
    pub affinity: Affinity,
    /// The split of engines by prompt length.
    pub split: Split,
}

impl Router {
    /// Returns the router of an instance in the failure domain `local`.
    #[must_use]
    pub fn new(local: DomainKey) -> Router {
        Router {
            local,
            lanes: Lanes::default(),
            loads: Loads::default(),
            pace: 1.0,
            predictor: Predictor::default(),
            affinity: Affinity::default(),
            split: Split::default(),
        }
    }

    /// Returns the backend servers that may serve the job, best first.
    #[must_use]
    pub fn candidates(&mut self, fleet: &Fleet, job: &Job) -> Vec<BackendKey> {
        let Some(lane) = self.lane(fleet, job).and_then(|key| self.lanes.get(key)) else {
            return Vec::new();
        };
        lane.places()
            .map(|place| place.backend)
            .filter(|backend| !job.excluded.contains(backend))
            .collect()
    }

    /// Returns the lane of a job: the backend servers of its route and model.
    /// The key holds until the fleet's generation changes.
    pub fn lane(&mut self, fleet: &Fleet, job: &Job) -> Option<LaneKey> {
        self.lanes.find(fleet, self.local, job)
    }

    /// Returns a lane's backend servers.
    #[must_use]
    pub fn places(&self, lane: LaneKey) -> Option<&Lane> {
        self.lanes.get(lane)
    }

    /// Takes a credit of the best backend server that has room for the job, and
    /// notes the attempt as in flight.
    ///
    /// # Errors
    ///
    /// Returns why there is no room.
    pub fn place(
        &mut self,
        view: View<'_>,
        capacity: &mut Capacity,
        ask: Ask<'_>,
    ) -> Result<CreditUse, Full> {
        let tiers = self.lanes.get(ask.lane).map_or(0, |lane| lane.tiers.len());
        let cost = ask.job.cost(0);
        let mut full = Full::Streams;
        for tier in 0..tiers {
            let (ranked, why) = self.rank_tier(view, capacity, ask, tier);
            for (backend, flight) in ranked {
                let taken = capacity.take(view.now, view.fleet, view.conditions, backend, cost);
                if let Some(held) = taken {
                    self.affinity.sent(view.now, flight.prefix, backend);
                    self.loads.start(ask.job.request, flight);
                    return Ok(held);
                }
            }
            if why == Full::Job {
                full = Full::Job;
            }
        }
        Err(full)
    }

    /// Returns the backend server that should be kept free for a job that is due
    /// and found no room: the one with the most room that can hold it.
    #[must_use]
    pub fn keep(&self, view: View<'_>, capacity: &Capacity, ask: Ask<'_>) -> Option<BackendKey> {
        let lane = self.lanes.get(ask.lane)?;
        let cost = ask.job.cost(0);
        lane.places()
            .filter(|place| {
                let limits = view.conditions.limits(view.fleet, place.backend);
                limits.streams > 0
                    && Lane::bears(limits, cost)
                    && !ask.kept.contains(&place.backend)
                    && !ask.job.excluded.contains(&place.backend)
            })
            .max_by_key(|place| {
                let key = place.backend;
                let free = capacity.available(view.now, view.fleet, view.conditions, key);
                (
                    free.memory_tokens,
                    free.prefill_tokens,
                    free.streams,
                    place.hash,
                )
            })
            .map(|place| place.backend)
    }

    /// Asks for credits of the backend servers that jobs without room may use:
    /// those of the first tier, and of further ones the longer they wait.
    pub fn want(&self, view: View<'_>, capacity: &mut Capacity, want: Want) {
        let Some(lane) = self.lanes.get(want.lane) else {
            return;
        };
        for place in lane.tiers.iter().take(want.tiers()).flatten() {
            let limits = view.conditions.limits(view.fleet, place.backend);
            let cost = want.cost_at(limits).filter(|_| limits.streams > 0);
            if let Some(cost) = cost {
                capacity.want_for_all(view.now, place.backend, cost, want.weight);
            }
        }
    }

    /// Notes the prompt tokens that a request asks for.
    pub fn observe_demand(&mut self, now: Millis, job: &Job) {
        let tokens = job.cost(0).prefill_tokens;
        self.split.observe(now, job.length(), tokens);
    }

    /// Returns the best prediction for a job over its lane's first tier that is
    /// not empty, were nothing else to be done.
    #[must_use]
    pub fn predict_best(
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
            .map(|place| self.predictor.speeds(now, fleet, place.backend, &job.model))
            .reduce(|a, b| a.faster(b))?;
        Some(speeds.predict(job, 0, 0))
    }

    /// Returns a tier's backend servers with room for the job, best first, and
    /// why the others have none.
    fn rank_tier(
        &self,
        view: View<'_>,
        capacity: &Capacity,
        ask: Ask<'_>,
        tier: usize,
    ) -> (Vec<(BackendKey, Flight)>, Full) {
        let mut full = Full::Streams;
        let lane = self.lanes.get(ask.lane);
        let Some(places) = lane.and_then(|lane| lane.tiers.get(tier)) else {
            return (Vec::new(), full);
        };
        let preferred = self.preferred(view.now, ask.job, places);
        let cost = ask.job.cost(0);
        let mut ranked = Vec::new();
        for (index, place) in places.iter().enumerate() {
            let key = place.backend;
            let free = capacity.available(view.now, view.fleet, view.conditions, key);
            if free.streams == 0 {
                continue;
            }
            full = Full::Job;
            let open = fits(free, cost)
                && !ask.job.excluded.contains(&key)
                && !ask.kept.contains(&key)
                && self.bears_length(places, place, ask)
                && self.bears_alone(view.now, key, ask.job);
            if !open {
                continue;
            }
            let flight = self.flight(view, key, ask.job);
            let in_time = view.now + flight.predicted.whole <= ask.job.deadline;
            if !in_time || !(ask.pressed || self.is_ready(view, &flight)) {
                continue;
            }
            let silent = view.conditions.condition(view.fleet, key) == Condition::Silent;
            let rank = (
                silent,
                flight.predicted.first_token,
                self.loads.streams(view.now, key),
                place.hash ^ ask.job.request.0,
            );
            ranked.push((rank, preferred.contains(&index), key, flight));
        }
        ranked.sort_by_key(|(rank, ..)| *rank);
        let best = ranked
            .first()
            .map_or(Millis::ZERO, |((_, first, ..), ..)| *first);
        let bound = Millis((best.0 as f64 * AFFINITY_BOUND) as u64);
        ranked.sort_by_key(|((silent, first, ..), preferred, ..)| {
            *silent || !*preferred || *first > bound
        });
        let ranked = ranked.into_iter().map(|(.., key, flight)| (key, flight));
        (ranked.collect(), full)
    }

    /// Returns which places keep the job's prefix and are not loaded far above
    /// the mean, as indices.
    fn preferred(&self, now: Millis, job: &Job, places: &[Place]) -> Vec<usize> {
        if job.prefix == 0 || places.len() < 2 {
            return Vec::new();
        }
        let copies = self.affinity.copies(now, job.prefix, places.len());
        let mut scored: Vec<(f64, usize)> = places
            .iter()
            .enumerate()
            .map(|(index, place)| (score(job.prefix, place.hash, place.weight), index))
            .collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let load = |index: usize| {
            let place: &Place = &places[index];
            f64::from(self.loads.streams(now, place.backend)) / place.weight
        };
        let mean = (0..places.len()).map(load).sum::<f64>() / places.len() as f64;
        scored.truncate(copies);
        scored
            .into_iter()
            .map(|(_, index)| index)
            .filter(|&index| load(index) <= mean * AFFINITY_LOAD_BOUND + 1.0 / places[index].weight)
            .collect()
    }

    /// Returns whether the job's length may go to a place.
    fn bears_length(&self, places: &[Place], place: &Place, ask: Ask<'_>) -> bool {
        if ask.job.target == Target::Service {
            return true;
        }
        let load = self.loads.get(place.backend);
        let long_tokens = load.map_or(0, |load| load.long_prefill_tokens);
        if ask.job.length() == LengthClass::Short {
            return long_tokens == 0 || ask.pressed;
        }
        let takes_long = self.split.takes_long(place)
            || !places.iter().any(|place| self.split.takes_long(place));
        let tokens = ask.job.cost(0).prefill_tokens;
        takes_long && (long_tokens == 0 || long_tokens + tokens <= LONG_PREFILL_TOKENS)
    }

    /// Returns whether an engine would begin with the prompt soon: until then
    /// the job is better kept in the queue, where the order can change.
    fn is_ready(&self, view: View<'_>, flight: &Flight) -> bool {
        let (now, fleet) = (view.now, view.fleet);
        let speeds = self
            .predictor
            .speeds(now, fleet, flight.backend, &flight.model);
        let ahead_s = flight.ahead_tokens as f64 / speeds.prefill_tokens_per_s.value;
        ahead_s <= MOST_AHEAD.as_secs_f64()
    }

    /// Returns whether nobody has to run alone, or does.
    fn bears_alone(&self, now: Millis, backend: BackendKey, job: &Job) -> bool {
        let alone = self.loads.get(backend).is_some_and(|load| load.alone);
        !alone && (!job.alone || self.loads.streams(now, backend) == 0)
    }

    /// Returns the attempt that a job would be on a backend server.
    fn flight(&self, view: View<'_>, backend: BackendKey, job: &Job) -> Flight {
        let speeds = self
            .predictor
            .speeds(view.now, view.fleet, backend, &job.model);
        let tokens_per_s = speeds.prefill_tokens_per_s.value;
        let ahead_tokens = self.loads.prefill_ahead(view.now, backend, tokens_per_s);
        let cached_tokens = self.affinity.cached_tokens(view.now, job.prefix, backend);
        let predicted = speeds.predict(job, ahead_tokens, cached_tokens);
        let warm = view.fleet.backend(backend).limit.as_ref();
        let warm = warm.map(|rule| rule.warm).unwrap_or_default();
        let work_ms = predicted.work_ms(warm, job.cost(cached_tokens));
        Flight {
            part: work_ms / (predicted.whole.0.max(1) as f64),
            ahead_tokens,
            cached_tokens,
            predicted,
            ..Flight::new(view.now, backend, job)
        }
    }
}

/// Returns whether a cost and its stream fit into what is free.
fn fits(free: Limits, cost: Cost) -> bool {
    free.streams > 0
        && free.memory_tokens >= cost.memory_tokens
        && free.prefill_tokens >= cost.prefill_tokens
}

#[cfg(test)]
mod tests;
