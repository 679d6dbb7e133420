//! Putting a revision in force: an operator's change, or the write-back of what
//! the key-value service has lost.
//!
//! One proposal runs at a time. It reads the head, learns what it lacks, writes
//! the new text under a key of its own and swaps the head. Only the swap puts
//! it in force, so a failure before it leaves nothing behind but a text that
//! nothing names. If the swap's answer is lost, the head is read back: the
//! change's id in it tells.

mod step;

use self::step::Base;
use self::step::Next;
use self::step::Seen;
use self::step::Step;
use self::step::come_back;
use self::step::planned;
use self::step::text_written;
use super::Applied;
use super::ApplyRequest;
use super::Call;
use super::Current;
use super::Spread;
use super::TextHash;
use super::answer;
use super::catch_up::around;
use super::head::HEAD_KEY;
use super::head::Head;
use super::head::Past;
use super::head::Relation;
use super::plan;
use super::plan::Plan;
use super::refuse;
use crate::clock::Millis;
use crate::control::Cx;
use crate::metrics::Count;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::store::StoreResult;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Time after which a proposal is given up; the operators' listener waits five
/// seconds for an answer.
const GIVE_UP: Millis = Millis::from_secs(3);
/// Mean time until a step without an answer is tried again.
const RETRY: Millis = Millis(500);
/// When a refused operator may come back, unless the service says.
const COME_BACK: Millis = Millis::from_secs(1);

/// A revision on its way.
#[derive(Debug)]
pub(super) struct Proposal {
    goal: Goal,
    step: Step,
    started: Millis,
    /// When the step's call is to be sent; none: it is out.
    due: Option<Millis>,
    /// Whether a swap may have taken effect unseen.
    lost: bool,
}

#[derive(Debug)]
enum Goal {
    /// An operator's change.
    Apply(u64, ApplyRequest),
    /// The store holds an older or another head.
    Restore,
}

impl Spread {
    /// Starts the next operator's change, if no proposal runs.
    pub(super) fn start_waiting(&mut self, cx: &mut Cx<'_>) {
        while self.proposal.is_none() {
            let Some((ticket, request)) = self.waiting.pop_front() else {
                return;
            };
            self.start(cx, Goal::Apply(ticket, request));
        }
    }

    /// Starts the write-back of a newer revision, if it is due.
    pub(super) fn start_restore(&mut self, cx: &mut Cx<'_>) {
        let due = self.restore_at.is_some_and(|at| at <= cx.now);
        if due && self.proposal.is_none() {
            self.restore_at = None;
            self.start(cx, Goal::Restore);
        }
    }

    fn start(&mut self, cx: &mut Cx<'_>, goal: Goal) {
        self.proposal = Some(Proposal {
            goal,
            step: Step::Head,
            started: cx.now,
            due: Some(cx.now),
            lost: false,
        });
        self.go_on(cx);
    }

    /// Sends the call of the proposal's step once it is due.
    pub(super) fn go_on(&mut self, cx: &mut Cx<'_>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.due.is_none_or(|due| cx.now < due) {
            return;
        }
        proposal.due = None;
        let op = proposal.step.op();
        self.call(cx, Call::Proposal, op);
    }

    pub(super) fn on_proposal(&mut self, cx: &mut Cx<'_>, result: StoreResult) {
        let Some(mut proposal) = self.proposal.take() else {
            return;
        };
        let step = std::mem::replace(&mut proposal.step, Step::Head);
        let next = match step {
            Step::Head => self.head_read(cx, &mut proposal, result),
            Step::Theirs(seen, head) => self.theirs_read(cx, &proposal, seen, *head, result),
            Step::Base(seen, past, theirs) => {
                self.base_read(cx, &mut proposal, seen, past, theirs, result)
            }
            Step::Text(plan) => text_written(&mut proposal, plan, result),
            Step::Swap(plan) => self.swapped(cx, &mut proposal, plan, result),
        };
        self.take_next(cx, proposal, next);
    }

    fn take_next(&mut self, cx: &mut Cx<'_>, mut proposal: Proposal, next: Next) {
        match next {
            Next::Step(step) => {
                proposal.step = self.still_on_top(step);
                proposal.due = Some(cx.now);
                self.proposal = Some(proposal);
                self.go_on(cx);
            }
            Next::Failed(failure) => self.failed(cx, proposal, failure),
            Next::Done(applied) => {
                if let Goal::Apply(ticket, _) = proposal.goal {
                    answer(cx, ticket, &applied);
                }
            }
            Next::Refused(refusal) => {
                if let Goal::Apply(ticket, _) = proposal.goal {
                    refuse(cx, ticket, refusal);
                }
            }
        }
    }

    /// Returns the step, or the first one if the revision that its plan was
    /// made from is no longer in force here.
    fn still_on_top(&self, step: Step) -> Step {
        let (Step::Text(plan) | Step::Swap(plan)) = &step else {
            return step;
        };
        let newest = self.current.as_ref().map(|current| &current.head.newest);
        match (newest, &plan.parent) {
            (None, None) => step,
            (Some(newest), Some(parent)) if newest.is(parent) => step,
            _ => Step::Head,
        }
    }

    fn failed(&mut self, cx: &mut Cx<'_>, mut proposal: Proposal, failure: StoreFailure) {
        let late = cx.now.since(proposal.started) >= GIVE_UP;
        let refused = matches!(failure, StoreFailure::NotRun { .. });
        if !late && (proposal.lost || !refused) {
            proposal.due = Some(cx.now + around(cx, RETRY));
            self.proposal = Some(proposal);
            return;
        }
        let Goal::Apply(ticket, _) = proposal.goal else {
            return;
        };
        let after = match failure {
            StoreFailure::NotRun {
                retry_after: Some(after),
            } => after,
            _ => COME_BACK,
        };
        let refusal = match proposal.lost {
            true => Refusal::may_have_run(
                Reason::Unavailable,
                "the key-value service does not say whether the change is in force; apply it again with the same change id",
            ),
            false => Refusal::not_run(
                Reason::Unavailable,
                "the key-value service does not take the change now",
            ),
        };
        refuse(cx, ticket, refusal.retry_after(after));
    }

    fn head_read(&mut self, cx: &mut Cx<'_>, proposal: &mut Proposal, result: StoreResult) -> Next {
        match result {
            Ok(StoreAnswer::Entry(entry)) => self.head_seen(cx, proposal, entry),
            Ok(_) => Next::Failed(StoreFailure::MayHaveRun),
            Err(failure) => Next::Failed(failure),
        }
    }

    /// Decides by the store's head what comes next.
    fn head_seen(
        &mut self,
        cx: &mut Cx<'_>,
        proposal: &mut Proposal,
        entry: Option<StoreEntry>,
    ) -> Next {
        let seen = entry.as_ref().map(|entry| entry.version);
        let head = entry.and_then(|entry| Head::decode(&entry.value));
        if let Some(applied) = self.settled(&proposal.goal, head.as_ref()) {
            if let Some(head) = head {
                self.fetch_newer(cx, head);
            }
            return Next::Done(applied);
        }
        let Some(head) = head else {
            return self.build(cx, proposal, seen);
        };
        let relation = match &self.current {
            None => Relation::Behind,
            Some(current) => current.head.relation(&head),
        };
        match (relation, &proposal.goal) {
            (Relation::Same, Goal::Restore) => Next::Done(self.unchanged()),
            (Relation::Same | Relation::Ahead, _) => self.build(cx, proposal, seen),
            (Relation::Behind, _) | (Relation::Diverged, Goal::Restore) => {
                let spliced = head.splice.as_ref().and_then(|splice| self.spliced(splice));
                match spliced.filter(|text| TextHash::of(text) == head.newest.hash) {
                    Some(text) => self.theirs_known(cx, proposal, seen, head, text),
                    None => Next::Step(Step::Theirs(seen, Box::new(head))),
                }
            }
            (Relation::Diverged, Goal::Apply(..)) => {
                self.restore_at = Some(cx.now);
                Next::Refused(come_back("the declarations are being reunited"))
            }
        }
    }

    /// Returns what became of a change that is in force already.
    fn settled(&self, goal: &Goal, head: Option<&Head>) -> Option<Applied> {
        let Goal::Apply(_, request) = goal else {
            return None;
        };
        let own = self.current.as_ref().map(|current| &current.head);
        let heads = head.into_iter().chain(own);
        let past = heads
            .filter_map(|head| head.made_by(&request.change))
            .next()?;
        Some(Applied {
            revision: past.revision,
            merged: past.hash != TextHash::of(&request.text),
            unchanged: false,
        })
    }

    fn unchanged(&self) -> Applied {
        Applied {
            revision: self.revision(),
            merged: false,
            unchanged: true,
        }
    }

    fn theirs_read(
        &mut self,
        cx: &mut Cx<'_>,
        proposal: &Proposal,
        seen: Seen,
        head: Head,
        result: StoreResult,
    ) -> Next {
        let entry = match result {
            Ok(StoreAnswer::Entry(Some(entry))) => entry,
            Ok(_) => return Next::Refused(come_back("the newest text is not in the store")),
            Err(failure) => return Next::Failed(failure),
        };
        match String::from_utf8(entry.value) {
            Ok(text) => self.theirs_known(cx, proposal, seen, head, text),
            Err(_) => Next::Refused(come_back("the newest text is not readable")),
        }
    }

    fn theirs_known(
        &mut self,
        cx: &mut Cx<'_>,
        proposal: &Proposal,
        seen: Seen,
        head: Head,
        text: String,
    ) -> Next {
        if self.adopt(cx, head.clone(), &text) {
            return match proposal.goal {
                Goal::Restore => Next::Done(self.unchanged()),
                Goal::Apply(..) => self.build(cx, proposal, seen),
            };
        }
        let diverged = |current: &&Current| current.head.relation(&head) == Relation::Diverged;
        let Some(current) = self.current.as_ref().filter(diverged) else {
            return Next::Refused(come_back("the newest text is not readable"));
        };
        if let Goal::Apply(..) = proposal.goal {
            // A peer brought another revision meanwhile.
            return Next::Step(Step::Head);
        }
        let Some(base) = current.head.common(&head).cloned() else {
            return self.reunite(cx, seen, None, &head, &text);
        };
        match self.recent_text(base.hash) {
            Some(base) => self.reunite(cx, seen, Some(&base), &head, &text),
            None => Next::Step(Step::Base(seen, base, Some((Box::new(head), text)))),
        }
    }

    /// Plans what the proposal is for, over the revision in force here.
    fn build(&mut self, cx: &mut Cx<'_>, proposal: &Proposal, seen: Seen) -> Next {
        let request = match &proposal.goal {
            Goal::Apply(_, request) => request,
            Goal::Restore => {
                return match &self.current {
                    Some(current) => {
                        cx.count(Count::DeclarationRestores);
                        planned(plan::restore(current), seen)
                    }
                    None => Next::Done(self.unchanged()),
                };
            }
        };
        if self.heard > self.revision() {
            return Next::Refused(come_back(
                "this instance is still learning a newer revision",
            ));
        }
        match self.base_of(request) {
            Base::Text(text) => self.build_on(cx, request, seen, &text),
            Base::Stored(past) => Next::Step(Step::Base(seen, past, None)),
            Base::Unknown => {
                let text = format!(
                    "revision {}, on which the change is based, is not known here; get the newest one and make the change again",
                    request.base.0
                );
                Next::Refused(Refusal::not_run(Reason::Conflict, text))
            }
        }
    }

    fn build_on(&self, cx: &mut Cx<'_>, request: &ApplyRequest, seen: Seen, base: &str) -> Next {
        let at = cx.me.unix_zero + cx.now;
        match plan::apply(self.current.as_ref(), base, request, at) {
            Ok(Some(plan)) => planned(plan, seen),
            Ok(None) => Next::Done(self.unchanged()),
            Err(refusal) => {
                if refusal.reason == Reason::Conflict {
                    cx.count(Count::DeclarationConflicts);
                }
                Next::Refused(refusal)
            }
        }
    }

    fn base_of(&self, request: &ApplyRequest) -> Base {
        let revision = self.revision();
        if request.base.0 == 0 || request.base == revision {
            return Base::Text(String::new());
        }
        let heads = self.current.iter().map(|current| &current.head);
        let past = heads
            .flat_map(Head::all)
            .find(|past| past.revision == request.base);
        match past {
            None => Base::Unknown,
            Some(past) => match self.recent_text(past.hash) {
                Some(text) => Base::Text(text.to_string()),
                None => Base::Stored(past.clone()),
            },
        }
    }

    fn base_read(
        &mut self,
        cx: &mut Cx<'_>,
        proposal: &mut Proposal,
        seen: Seen,
        past: Past,
        theirs: Option<(Box<Head>, String)>,
        result: StoreResult,
    ) -> Next {
        let entry = match result {
            Ok(StoreAnswer::Entry(entry)) => entry,
            Ok(_) => return Next::Failed(StoreFailure::MayHaveRun),
            Err(failure) => {
                proposal.step = Step::Base(seen, past, theirs);
                return Next::Failed(failure);
            }
        };
        let text = entry
            .and_then(|entry| String::from_utf8(entry.value).ok())
            .filter(|text| TextHash::of(text) == past.hash);
        match (theirs, text, &proposal.goal) {
            (Some((head, their_text)), base, _) => {
                self.reunite(cx, seen, base.as_deref(), &head, &their_text)
            }
            (None, Some(base), Goal::Apply(_, request)) => self.build_on(cx, request, seen, &base),
            _ => {
                let text = format!("the text of revision {} is gone", past.revision.0);
                Next::Refused(Refusal::not_run(Reason::Conflict, text))
            }
        }
    }

    fn reunite(
        &self,
        cx: &mut Cx<'_>,
        seen: Seen,
        base: Option<&str>,
        head: &Head,
        text: &str,
    ) -> Next {
        let Some(current) = &self.current else {
            return Next::Done(self.unchanged());
        };
        let at = cx.me.unix_zero + cx.now;
        cx.count(Count::DeclarationRestores);
        match plan::reunite(current, base, (head, text), self.heard, at) {
            Ok(plan) => planned(plan, seen),
            Err(message) => Next::Refused(come_back(&message)),
        }
    }

    fn swapped(
        &mut self,
        cx: &mut Cx<'_>,
        proposal: &mut Proposal,
        plan: Box<Plan>,
        result: StoreResult,
    ) -> Next {
        match result {
            Ok(StoreAnswer::Written(version)) => {
                self.store_version = version;
                Next::Done(self.in_force(cx, *plan))
            }
            Ok(StoreAnswer::Conflict(entry)) => {
                proposal.lost = false;
                let head = entry.as_ref().and_then(|entry| Head::decode(&entry.value));
                if self.settled(&proposal.goal, head.as_ref()).is_none() {
                    self.discard(cx, &proposal.goal, &plan);
                }
                self.head_seen(cx, proposal, entry)
            }
            Ok(_) | Err(StoreFailure::MayHaveRun) => {
                proposal.lost = true;
                Next::Failed(StoreFailure::MayHaveRun)
            }
            Err(failure) => Next::Failed(failure),
        }
    }

    /// Deletes the text of an operator's change that no head can name any more.
    fn discard(&mut self, cx: &mut Cx<'_>, goal: &Goal, plan: &Plan) {
        if let Goal::Apply(..) = goal {
            self.prune(cx, &plan.head.newest);
        }
    }

    fn prune(&mut self, cx: &mut Cx<'_>, past: &Past) {
        let op = StoreOp::Delete {
            key: past.text_key(),
            version: past.version,
        };
        self.call(cx, Call::Prune, op);
    }

    /// Takes over a revision that this instance has put in force.
    fn in_force(&mut self, cx: &mut Cx<'_>, plan: Plan) -> Applied {
        let revision = plan.head.newest.revision;
        for past in &plan.dropped {
            self.prune(cx, past);
        }
        cx.count(Count::DeclarationChanges);
        self.adopt(cx, plan.head, &plan.text);
        Applied {
            revision,
            merged: plan.merged,
            unchanged: false,
        }
    }
}
