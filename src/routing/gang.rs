//! Placement of gangs: several engines that share the prefill of one prompt.

use crate::capacity::Capacity;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::gang::GangPlan;
use crate::gang::Member;
use crate::job::Job;
use crate::routing::InFlightAttempt;
use crate::routing::LaneKey;
use crate::routing::PlacementError;
use crate::routing::PlacementRequest;
use crate::routing::Router;
use crate::routing::View;

impl Router {
    /// Returns whether the lane's engines, if all were warm and idle, could
    /// form a gang for the job.
    #[must_use]
    pub fn can_gang(&self, fleet: &Fleet, lane: LaneKey, job: &Job) -> bool {
        let warm = |key: BackendKey| {
            let rule = fleet.backend(key).limit.as_ref();
            rule.map(|rule| rule.warm).unwrap_or_default()
        };
        GangPlan::find(fleet, job, self.backends_of(lane), warm).is_some()
    }

    /// Takes the capacity leases of all members of a gang, or of none.
    ///
    /// # Errors
    ///
    /// Returns why the gang could not be placed.
    pub fn reserve_gang(
        &mut self,
        view: View<'_>,
        capacity: &mut Capacity,
        request: PlacementRequest<'_>,
    ) -> Result<Vec<Member>, PlacementError> {
        let usable = self
            .backends_of(request.lane)
            .filter(|key| !request.reserved.contains(key));
        let plan = GangPlan::find(view.fleet, request.job, usable, |key| {
            capacity.available(view.now, view.fleet, view.conditions, key)
        });
        let Some(plan) = plan else {
            self.request_gang_leases(view, capacity, request);
            return Err(PlacementError::NoBackendFits);
        };
        let mut members: Vec<Member> = Vec::new();
        for part in plan.parts {
            let (now, key) = (view.now, part.backend);
            let lease = capacity.try_acquire(now, view.fleet, view.conditions, key, part.cost);
            let Some(held) = lease else {
                members
                    .into_iter()
                    .for_each(|member| capacity.release(member.held));
                return Err(PlacementError::NoBackendFits);
            };
            let (from, to) = (part.from, part.to);
            members.push(Member { held, from, to });
        }
        for member in &members {
            let tokens = member.held.cost.prefill_tokens;
            self.loads.add_gang_member(member.held.backend, tokens);
        }
        Ok(members)
    }

    /// Requests the capacity leases of all members that a gang needs.
    fn request_gang_leases(
        &self,
        view: View<'_>,
        capacity: &mut Capacity,
        request: PlacementRequest<'_>,
    ) {
        let plan = GangPlan::find(
            view.fleet,
            request.job,
            self.backends_of(request.lane),
            |key| view.conditions.limits(view.fleet, key),
        );
        for part in plan.into_iter().flat_map(|plan| plan.parts) {
            capacity.record_demand(view.now, part.backend, part.cost, request.job.importance);
        }
    }

    /// Returns the engines that a waiting gang needs, in the order in which it
    /// requests their leases.
    #[must_use]
    pub fn gang_backends(&self, view: View<'_>, request: PlacementRequest<'_>) -> Vec<BackendKey> {
        let plan = GangPlan::find(
            view.fleet,
            request.job,
            self.backends_of(request.lane),
            |key| view.conditions.limits(view.fleet, key),
        );
        plan.into_iter()
            .flat_map(|plan| plan.parts)
            .map(|part| part.backend)
            .collect()
    }

    /// Records that a member has finished the prefill of its part.
    pub fn gang_processed(&mut self, held: &LeaseUse) {
        self.loads
            .finish_gang_prefill(held.backend, held.cost.prefill_tokens);
    }

    /// Records that a member no longer holds its engine.
    pub fn leave_gang(&mut self, held: &LeaseUse) {
        self.loads
            .remove_gang_member(held.backend, held.cost.prefill_tokens);
    }

    /// Records that the last member starts to decode the answer.
    pub fn lead_gang(&mut self, now: Millis, fleet: &Fleet, job: &Job, held: &LeaseUse) {
        self.leave_gang(held);
        let speeds = self.predictor.speeds(now, fleet, held.backend, &job.model);
        let attempt = InFlightAttempt {
            cost: held.cost,
            cached_tokens: job.prompt_tokens,
            predicted: speeds.predict(job, 0, job.prompt_tokens),
            prefix: 0,
            ..InFlightAttempt::new(now, held.backend, job)
        };
        self.loads.start(job.request, attempt);
    }

    fn backends_of(&self, lane: LaneKey) -> impl Iterator<Item = BackendKey> {
        let lane = self.lanes.get(lane).into_iter();
        lane.flat_map(|lane| lane.backends())
            .map(|server| server.backend)
    }
}
