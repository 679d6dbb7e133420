//! Gangs: prompts over one engine's memory, on several engines of one failure
//! domain.
//!
//! Engines with the same value of the label `gang`, in one failure domain, may
//! join. All members are reserved at once or none, and whoever waits asks for
//! them in the order of their names, so that two gangs never hold what the other
//! needs. Each member processes its part of the prompt in slices; then its
//! memory is exported to the next. The last member, which can reach all parts,
//! generates the answer like any engine. If a member fails, all of it is freed.

mod chain;
mod plan;

pub use plan::GANG_LABEL;
pub use plan::Part;
pub use plan::Plan;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::backend::BackendAnswer;
use crate::backend::BackendOrder;
use crate::backend::Work;
use crate::capacity::Capacity;
use crate::capacity::CreditUse;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::gang::chain::Chain;
use crate::gang::chain::Step;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::routing::Router;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Time without an answer after which a step counts as failed.
pub const STEP_LIMIT: Millis = Millis::from_secs(30);

/// A member of a gang with what is reserved on it.
#[derive(Debug, PartialEq, Eq)]
pub struct Member {
    /// The credit it uses, which names the backend server.
    pub held: CreditUse,
    /// The first token of its part of the prompt.
    pub from: u64,
    /// The token after its part of the prompt.
    pub to: u64,
}

/// A job with the engines that are reserved for it.
#[derive(Debug)]
pub struct Reservation {
    /// The job.
    pub job: Job,
    /// The members, in the order of the prompt's parts; two at least.
    pub members: Vec<Member>,
}

/// What became of a gang.
#[derive(Debug)]
pub enum Event {
    /// The whole prompt is processed: the last member generates the answer.
    Ready {
        /// The job.
        job: Job,
        /// The last member's credit.
        held: CreditUse,
    },
    /// A member failed. Everything reserved is given up.
    Broken {
        /// The job.
        job: Job,
        /// The member that failed.
        failed: BackendKey,
        /// Whether that one refused the connection: nothing runs there.
        refused: bool,
        /// The credits of all members; engines may hold memory under them until
        /// they have confirmed a cancel.
        held: Vec<CreditUse>,
    },
}

#[derive(Debug)]
struct Gang {
    /// Absent once the answer is being generated.
    job: Option<Job>,
    work: Arc<Work>,
    members: Vec<Member>,
    /// Absent while the last member's is with the attempt.
    chain: Chain,
    segment: Option<String>,
    stepped: Millis,
}

/// All gangs of this instance.
#[derive(Debug, Default)]
pub struct Gangs {
    gangs: BTreeMap<RequestId, Gang>,
}

impl Gangs {
    /// Begins to process a prompt on its reserved members.
    pub fn begin(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        reservation: Reservation,
        work: Arc<Work>,
    ) {
        let Reservation { job, members } = reservation;
        let request = job.request;
        let names: Vec<&str> = members
            .iter()
            .map(|member| fleet.backend(member.held.backend).name.as_str())
            .collect();
        let detail = format!("gang of {}", names.join(", "));
        cx.count(Count::Gangs);
        cx.event(EventKind::AttemptSent, Subject::request(request), detail);
        let parts = members.iter().map(|member| (member.from, member.to));
        let gang = Gang {
            chain: Chain::new(parts.collect()),
            job: Some(job),
            work,
            members,
            segment: None,
            stepped: cx.now,
        };
        gang.order(cx, fleet, request);
        self.gangs.insert(request, gang);
        self.measure(cx);
    }

    /// Takes an engine's answer to a step.
    pub fn answered(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        router: &mut Router,
        capacity: &mut Capacity,
        backend: BackendKey,
        answer: &BackendAnswer,
    ) -> Option<Event> {
        let request = match answer {
            BackendAnswer::Prefilled { request, .. }
            | BackendAnswer::Exported { request, .. }
            | BackendAnswer::Imported { request }
            | BackendAnswer::GangFailed { request, .. } => *request,
            _ => return None,
        };
        let gang = self.gangs.get_mut(&request)?;
        let step = gang.chain.step()?;
        if gang.members[step.member()].held.backend != backend {
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
        gang.stepped = cx.now;
        gang.chain.advance();
        if gang.chain.has_part(step.member()) {
            let held = &mut gang.members[step.member()].held;
            router.gang_processed(held);
            capacity.prefill_done(held);
        }
        if gang.chain.step().is_some() {
            gang.order(cx, fleet, request);
            return None;
        }
        let job = gang.job.take()?;
        let held = gang.members.pop()?.held;
        Some(Event::Ready { job, held })
    }

    /// Gives up all gangs with a member that died or was restarted.
    pub fn died(&mut self, cx: &mut Cx<'_>, backend: BackendKey) -> Vec<Event> {
        let concerned: Vec<RequestId> = self
            .gangs
            .iter()
            .filter(|(_, gang)| gang.has(backend))
            .map(|(&request, _)| request)
            .collect();
        concerned
            .into_iter()
            .filter_map(|request| self.fail(cx, request, backend, true))
            .collect()
    }

    /// Gives up all gangs whose step had no answer for too long.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<Event> {
        let late: Vec<(RequestId, BackendKey)> = self
            .gangs
            .iter()
            .filter(|(_, gang)| cx.now.since(gang.stepped) > STEP_LIMIT)
            .filter_map(|(&request, gang)| {
                let member = gang.chain.step()?.member();
                Some((request, gang.members[member].held.backend))
            })
            .collect();
        late.into_iter()
            .filter_map(|(request, backend)| self.fail(cx, request, backend, false))
            .collect()
    }

    /// Ends a request's gang, whole or given up, and returns the credits that
    /// were reserved beside the attempt's own.
    #[must_use]
    pub fn end(&mut self, cx: &Cx<'_>, request: RequestId) -> Vec<CreditUse> {
        let gang = self.gangs.remove(&request);
        self.measure(cx);
        gang.map_or_else(Vec::new, Gang::into_held)
    }

    /// Returns how many gangs there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.gangs.len()
    }

    /// Returns whether there is no gang.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    /// Gives up a gang whose answer is not being generated yet. One that
    /// generates is ended with its attempt.
    fn fail(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        failed: BackendKey,
        refused: bool,
    ) -> Option<Event> {
        self.gangs.get(&request)?.job.as_ref()?;
        let mut gang = self.gangs.remove(&request)?;
        let job = gang.job.take()?;
        cx.count(Count::GangsBroken);
        let detail = format!("gang given up at {:?}", gang.chain.step());
        cx.event(EventKind::AttemptEnded, Subject::request(request), detail);
        self.measure(cx);
        Some(Event::Broken {
            job,
            failed,
            refused,
            held: gang.into_held(),
        })
    }

    fn measure(&self, cx: &Cx<'_>) {
        let gangs = i64::try_from(self.gangs.len()).unwrap_or(i64::MAX);
        cx.metrics.set(Level::Gangs, gangs);
    }
}

impl Gang {
    fn has(&self, backend: BackendKey) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.held.backend == backend)
    }

    fn into_held(self) -> Vec<CreditUse> {
        self.members.into_iter().map(|member| member.held).collect()
    }

    /// Gives the order of the current step.
    fn order(&self, cx: &mut Cx<'_>, fleet: &Fleet, request: RequestId) {
        let (Some(step), Some(job)) = (self.chain.step(), &self.job) else {
            return;
        };
        let member = &self.members[step.member()];
        let epoch = member.held.epoch;
        let order = match step {
            Step::Prefill { from, to, .. } => BackendOrder::Prefill {
                request,
                epoch,
                owner: cx.me.name.clone(),
                priority: job.importance,
                from_token: from,
                to_token: to,
                memory_tokens: member.held.cost.memory_tokens,
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
                addr: self.addr(fleet, member - 1),
            },
        };
        let backend = fleet.backend(member.held.backend);
        cx.out.push(Output::Order {
            backend: backend.name.clone(),
            addr: backend.addr.clone(),
            order,
        });
    }

    fn addr(&self, fleet: &Fleet, member: usize) -> String {
        fleet
            .backend(self.members[member].held.backend)
            .addr
            .clone()
    }
}

#[cfg(test)]
mod tests;
