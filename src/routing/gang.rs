//! Reservation of gangs.

use crate::capacity::Capacity;
use crate::capacity::CreditUse;
use crate::clock::Millis;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::gang::Member;
use crate::gang::Plan;
use crate::job::Job;
use crate::routing::Ask;
use crate::routing::Flight;
use crate::routing::Full;
use crate::routing::LaneKey;
use crate::routing::Router;
use crate::routing::View;

impl Router {
    /// Returns whether the lane's engines, all warm and free, make a gang for
    /// the job.
    #[must_use]
    pub fn can_gang(&self, fleet: &Fleet, lane: LaneKey, job: &Job) -> bool {
        let warm = |key: BackendKey| {
            let rule = fleet.backend(key).limit.as_ref();
            rule.map(|rule| rule.warm).unwrap_or_default()
        };
        Plan::find(fleet, job, self.able(lane), warm).is_some()
    }

    /// Reserves all members of a gang, or none.
    ///
    /// # Errors
    ///
    /// Returns why there is no room.
    pub fn reserve_gang(
        &mut self,
        view: View<'_>,
        capacity: &mut Capacity,
        ask: Ask<'_>,
    ) -> Result<Vec<Member>, Full> {
        let able = self.able(ask.lane).filter(|key| !ask.kept.contains(key));
        let plan = Plan::find(view.fleet, ask.job, able, |key| {
            capacity.available(view.now, view.fleet, view.conditions, key)
        });
        let Some(plan) = plan else {
            self.want_gang(view, capacity, ask);
            return Err(Full::Job);
        };
        let mut members: Vec<Member> = Vec::new();
        for part in plan.parts {
            let (now, key) = (view.now, part.backend);
            let taken = capacity.take(now, view.fleet, view.conditions, key, part.cost);
            let Some(held) = taken else {
                members
                    .into_iter()
                    .for_each(|member| capacity.release(member.held));
                return Err(Full::Job);
            };
            let (from, to) = (part.from, part.to);
            members.push(Member { held, from, to });
        }
        for member in &members {
            let tokens = member.held.cost.prefill_tokens;
            self.loads.reserve(member.held.backend, tokens);
        }
        Ok(members)
    }

    /// Asks for credits of all members that a gang needs.
    fn want_gang(&self, view: View<'_>, capacity: &mut Capacity, ask: Ask<'_>) {
        let plan = Plan::find(view.fleet, ask.job, self.able(ask.lane), |key| {
            view.conditions.limits(view.fleet, key)
        });
        for part in plan.into_iter().flat_map(|plan| plan.parts) {
            capacity.want(view.now, part.backend, part.cost, ask.job.importance);
        }
    }

    /// Returns the engines that a waiting gang needs, in the order in which it
    /// asks for them.
    #[must_use]
    pub fn gang_needs(&self, view: View<'_>, ask: Ask<'_>) -> Vec<BackendKey> {
        let plan = Plan::find(view.fleet, ask.job, self.able(ask.lane), |key| {
            view.conditions.limits(view.fleet, key)
        });
        plan.into_iter()
            .flat_map(|plan| plan.parts)
            .map(|part| part.backend)
            .collect()
    }

    /// Notes that a member has processed its part.
    pub fn gang_processed(&mut self, held: &CreditUse) {
        self.loads.processed(held.backend, held.cost.prefill_tokens);
    }

    /// Notes that a member is no longer reserved.
    pub fn leave_gang(&mut self, held: &CreditUse) {
        self.loads.unreserve(held.backend, held.cost.prefill_tokens);
    }

    /// Notes that the last member begins to generate the answer.
    pub fn lead_gang(&mut self, now: Millis, fleet: &Fleet, job: &Job, held: &CreditUse) {
        self.leave_gang(held);
        let speeds = self.predictor.speeds(now, fleet, held.backend, &job.model);
        let flight = Flight {
            cost: held.cost,
            cached_tokens: job.prompt_tokens,
            predicted: speeds.predict(job, 0, job.prompt_tokens),
            prefix: 0,
            ..Flight::new(now, held.backend, job)
        };
        self.loads.start(job.request, flight);
    }

    fn able(&self, lane: LaneKey) -> impl Iterator<Item = BackendKey> {
        let lane = self.lanes.get(lane).into_iter();
        lane.flat_map(|lane| lane.places())
            .map(|place| place.backend)
    }
}
