//! Placement of gangs: several engines that share the prefill of one prompt.

use crate::capacity::Capacity;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::gang::GangPlan;
use crate::gang::Member;
use crate::job::Job;
use crate::routing::AttemptLoad;
use crate::routing::LaneKey;
use crate::routing::PlacementError;
use crate::routing::PlacementRequest;
use crate::routing::Router;
use crate::routing::RoutingView;

impl Router {
    /// Returns whether the lane's engines, if all were warm and idle, could
    /// form a gang for the job.
    #[must_use]
    pub fn can_form_gang(&self, fleet: &Fleet, lane: LaneKey, job: &Job) -> bool {
        let warm = |key: BackendKey| {
            let rule = fleet.backend(key).limit_rule.as_ref();
            rule.map(|rule| rule.warm).unwrap_or_default()
        };
        GangPlan::find(fleet, job, self.lane_backends(lane), warm).is_some()
    }

    /// Acquires the capacity leases of all members of a gang, or none.
    ///
    /// # Errors
    ///
    /// Returns why the gang could not be placed.
    pub fn reserve_gang(
        &mut self,
        view: RoutingView<'_>,
        capacity: &mut Capacity,
        request: PlacementRequest<'_>,
    ) -> Result<Vec<Member>, PlacementError> {
        let usable = self
            .lane_backends(request.lane)
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
            let Some(lease) = lease else {
                members
                    .into_iter()
                    .for_each(|member| capacity.release(member.lease));
                return Err(PlacementError::NoBackendFits);
            };
            let (from, to) = (part.from, part.to);
            members.push(Member { lease, from, to });
        }
        for member in &members {
            let tokens = member.lease.cost.prefill_tokens;
            self.loads.add_gang_member(member.lease.backend, tokens);
        }
        Ok(members)
    }

    /// Requests the capacity leases of all members that a gang needs.
    fn request_gang_leases(
        &self,
        view: RoutingView<'_>,
        capacity: &mut Capacity,
        request: PlacementRequest<'_>,
    ) {
        let plan = GangPlan::find(
            view.fleet,
            request.job,
            self.lane_backends(request.lane),
            |key| view.conditions.limits(view.fleet, key),
        );
        for part in plan.into_iter().flat_map(|plan| plan.parts) {
            capacity.record_demand(view.now, part.backend, part.cost, request.job.importance);
        }
    }

    /// Returns the engines that a gang for a waiting job would use, in the
    /// order in which it requests their leases.
    #[must_use]
    pub fn gang_backends(
        &self,
        view: RoutingView<'_>,
        request: PlacementRequest<'_>,
    ) -> Vec<BackendKey> {
        let plan = GangPlan::find(
            view.fleet,
            request.job,
            self.lane_backends(request.lane),
            |key| view.conditions.limits(view.fleet, key),
        );
        plan.into_iter()
            .flat_map(|plan| plan.parts)
            .map(|part| part.backend)
            .collect()
    }

    /// Records that a member has finished its part of the prompt's prefill.
    pub fn finish_gang_prefill(&mut self, lease: &LeaseUse) {
        self.loads
            .finish_gang_prefill(lease.backend, lease.cost.prefill_tokens);
    }

    /// Records that a member has released its capacity lease.
    pub fn remove_gang_member(&mut self, lease: &LeaseUse) {
        self.loads
            .remove_gang_member(lease.backend, lease.cost.prefill_tokens);
    }

    /// Records that the last member starts to decode the answer.
    pub fn start_gang_decode(&mut self, now: Millis, fleet: &Fleet, job: &Job, lease: &LeaseUse) {
        self.remove_gang_member(lease);
        let speeds = self.predictor.speeds(now, fleet, lease.backend, &job.model);
        let attempt = AttemptLoad {
            cost: lease.cost,
            cached_tokens: job.prompt_tokens,
            predicted: speeds.predict(job, 0, job.prompt_tokens),
            prefix: 0,
            ..AttemptLoad::new(now, lease.backend, job)
        };
        self.loads.insert(job.request, attempt);
    }

    fn lane_backends(&self, lane: LaneKey) -> impl Iterator<Item = BackendKey> {
        let lane = self.lanes.get(lane).into_iter();
        lane.flat_map(|lane| lane.backends())
            .map(|server| server.backend)
    }
}
