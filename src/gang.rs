//! Gang scheduling: prompts that exceed one engine's memory run on several
//! engines of one failure domain.
//!
//! Engines of a failure domain with the same value of the label `gang` may form
//! a gang. All members are reserved together or not at all. A waiting job holds
//! no member, so that two gangs never wait for members that the other holds; it
//! requests the capacity leases of all its members in one pass, in the order of
//! their names. Each member prefills its part of the prompt in slices; then its
//! KV cache is exported to the next member. The last member, which holds all
//! parts, decodes the output like any engine. If a member fails, all
//! reservations are released.

mod chain;
mod plan;

pub use plan::GANG_LABEL;
pub use plan::GangPart;
pub use plan::GangPlan;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::backend::BackendAnswer;
use crate::backend::BackendOrder;
use crate::backend::Work;
use crate::capacity::Capacity;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::gang::chain::Step;
use crate::gang::chain::StepSequence;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::routing::Router;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Time without an answer after which a step counts as failed.
pub const STEP_TIMEOUT: Millis = Millis::from_secs(30);

/// A member of a gang with its reserved capacity.
#[derive(Debug, PartialEq, Eq)]
pub struct Member {
    /// Reserved part of a capacity lease; it identifies the backend server.
    pub lease: LeaseUse,
    /// Index of the first prompt token of its part.
    pub from: u64,
    /// Index after the last prompt token of its part.
    pub to: u64,
}

/// A job with its reserved engines.
#[derive(Debug)]
pub struct GangReservation {
    /// The job.
    pub job: Job,
    /// At least two members, in the order of the prompt's parts.
    pub members: Vec<Member>,
}

/// Progress of a gang that the caller must handle.
#[derive(Debug)]
pub enum GangEvent {
    /// Prefill of the whole prompt is complete: the last member decodes the
    /// output.
    Ready {
        /// The job.
        job: Job,
        /// Reserved capacity of the last member.
        lease: LeaseUse,
    },
    /// A member failed, and the gang was cancelled.
    Broken {
        /// The job.
        job: Job,
        /// The failed member.
        failed: BackendKey,
        /// Whether nothing runs on the failed member: it refused the
        /// connection, died or restarted.
        nothing_runs: bool,
        /// Reserved capacity of all members. An engine may use memory under it
        /// until it confirms a cancel.
        leases: Vec<LeaseUse>,
    },
}

#[derive(Debug)]
struct Gang {
    /// `None` once the output is being decoded.
    job: Option<Job>,
    work: Arc<Work>,
    /// Members; the last is removed when its capacity passes to the attempt
    /// that decodes the output.
    members: Vec<Member>,
    steps: StepSequence,
    /// Handle of the last exported KV cache segment.
    segment: Option<String>,
    /// Time at which the order of the current step was sent.
    step_sent_at: Millis,
}

/// All gangs of this instance.
#[derive(Debug, Default)]
pub struct Gangs {
    gangs: BTreeMap<RequestId, Gang>,
}

impl Gangs {
    /// Starts the prefill of a prompt on its reserved members.
    pub fn start(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        reservation: GangReservation,
        work: Arc<Work>,
    ) {
        let GangReservation { job, members } = reservation;
        let request = job.request;
        let names: Vec<&str> = members
            .iter()
            .map(|member| fleet.backend(member.lease.backend).name.as_str())
            .collect();
        let detail = format!("gang of {}", names.join(", "));
        cx.count(Count::Gangs);
        cx.event(EventKind::AttemptSent, Subject::request(request), detail);
        let parts = members.iter().map(|member| (member.from, member.to));
        let gang = Gang {
            steps: StepSequence::new(parts.collect()),
            job: Some(job),
            work,
            members,
            segment: None,
            step_sent_at: cx.now,
        };
        gang.send_order(cx, fleet, request);
        self.gangs.insert(request, gang);
        self.update_gauge(cx);
    }

    /// Handles an engine's answer to a step; returns an event once the prompt
    /// is prefilled or the gang failed. Answers to other steps are ignored,
    /// except that a `GangFailed` of the current member always fails the gang.
    pub fn on_answer(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        router: &mut Router,
        capacity: &mut Capacity,
        backend: BackendKey,
        answer: &BackendAnswer,
    ) -> Option<GangEvent> {
        let request = match answer {
            BackendAnswer::Prefilled { request, .. }
            | BackendAnswer::Exported { request, .. }
            | BackendAnswer::Imported { request }
            | BackendAnswer::GangFailed { request, .. } => *request,
            _ => return None,
        };
        let gang = self.gangs.get_mut(&request)?;
        let step = gang.steps.step()?;
        if gang.members[step.member()].lease.backend != backend {
            return None;
        }
        if let BackendAnswer::GangFailed { refused, .. } = answer {
            return self.fail(cx, request, backend, *refused);
        }
        if !step.is_answered_by(answer) {
            return None;
        }
        if let BackendAnswer::Exported { segment, .. } = answer {
            gang.segment = Some(segment.clone());
        }
        gang.step_sent_at = cx.now;
        gang.steps.advance();
        if gang.steps.is_prefilled(step.member()) {
            let lease = &mut gang.members[step.member()].lease;
            router.finish_gang_prefill(lease);
            capacity.release_prefill(lease);
        }
        if gang.steps.step().is_some() {
            gang.send_order(cx, fleet, request);
            return None;
        }
        let job = gang.job.take()?;
        let lease = gang.members.pop()?.lease;
        Some(GangEvent::Ready { job, lease })
    }

    /// Cancels all gangs with this member, which died or restarted, unless they
    /// decode already.
    pub fn on_backend_died(&mut self, cx: &mut Cx<'_>, backend: BackendKey) -> Vec<GangEvent> {
        let affected: Vec<RequestId> = self
            .gangs
            .iter()
            .filter(|(_, gang)| gang.has_member(backend))
            .map(|(&request, _)| request)
            .collect();
        affected
            .into_iter()
            .filter_map(|request| self.fail(cx, request, backend, true))
            .collect()
    }

    /// Cancels all gangs whose current step has timed out.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<GangEvent> {
        let timed_out: Vec<(RequestId, BackendKey)> = self
            .gangs
            .iter()
            .filter(|(_, gang)| cx.now.since(gang.step_sent_at) > STEP_TIMEOUT)
            .filter_map(|(&request, gang)| {
                let member = gang.steps.step()?.member();
                Some((request, gang.members[member].lease.backend))
            })
            .collect();
        timed_out
            .into_iter()
            .filter_map(|(request, backend)| self.fail(cx, request, backend, false))
            .collect()
    }

    /// Removes the gang of a request and returns its reserved capacity, without
    /// the part that was passed to the attempt.
    #[must_use]
    pub fn remove(&mut self, cx: &Cx<'_>, request: RequestId) -> Vec<LeaseUse> {
        let gang = self.gangs.remove(&request);
        self.update_gauge(cx);
        gang.map_or_else(Vec::new, Gang::into_leases)
    }

    /// Returns the number of gangs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.gangs.len()
    }

    /// Returns whether there is no gang.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    /// Cancels a gang whose output is not being decoded yet. A gang in decode
    /// ends together with its attempt.
    fn fail(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        failed: BackendKey,
        nothing_runs: bool,
    ) -> Option<GangEvent> {
        self.gangs.get(&request)?.job.as_ref()?;
        let mut gang = self.gangs.remove(&request)?;
        let job = gang.job.take()?;
        cx.count(Count::GangsBroken);
        let detail = format!("gang cancelled at step {:?}", gang.steps.step());
        cx.event(EventKind::AttemptEnded, Subject::request(request), detail);
        self.update_gauge(cx);
        Some(GangEvent::Broken {
            job,
            failed,
            nothing_runs,
            leases: gang.into_leases(),
        })
    }

    fn update_gauge(&self, cx: &Cx<'_>) {
        let gangs = i64::try_from(self.gangs.len()).unwrap_or(i64::MAX);
        cx.metrics.set(Level::Gangs, gangs);
    }
}

impl Gang {
    fn has_member(&self, backend: BackendKey) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.lease.backend == backend)
    }

    fn into_leases(self) -> Vec<LeaseUse> {
        self.members
            .into_iter()
            .map(|member| member.lease)
            .collect()
    }

    /// Sends the order of the current step.
    fn send_order(&self, cx: &mut Cx<'_>, fleet: &Fleet, request: RequestId) {
        let (Some(step), Some(job)) = (self.steps.step(), &self.job) else {
            return;
        };
        let member = &self.members[step.member()];
        let epoch = member.lease.epoch;
        let order = match step {
            Step::Prefill { from, to, .. } => BackendOrder::Prefill {
                request,
                epoch,
                owner: cx.me.name.clone(),
                priority: job.importance,
                from_token: from,
                to_token: to,
                memory_tokens: member.lease.cost.memory_tokens,
                work: self.work.clone(),
            },
            Step::Export { to, .. } => BackendOrder::Export {
                request,
                epoch,
                from_token: 0,
                to_token: to,
            },
            Step::Import { member } => BackendOrder::Import {
                request,
                epoch,
                segment: self.segment.clone().unwrap_or_default(),
                addr: self.member_addr(fleet, member - 1),
            },
        };
        let backend = fleet.backend(member.lease.backend);
        cx.out.push(Output::Order {
            backend: backend.name.clone(),
            addr: backend.addr.clone(),
            order,
        });
    }

    fn member_addr(&self, fleet: &Fleet, index: usize) -> String {
        fleet
            .backend(self.members[index].lease.backend)
            .addr
            .clone()
    }
}

#[cfg(test)]
mod tests;
