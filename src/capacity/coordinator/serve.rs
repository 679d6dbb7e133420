//! How a coordinator serves its users: lease requests, recalls, load reports,
//! orphaned streams.

use super::Coordinator;
use super::Outbox;
use crate::backend::BackendOrder;
use crate::backend::LoadReport;
use crate::backend::RunningStream;
use crate::capacity::Amount;
use crate::capacity::CapacityContext;
use crate::capacity::CoordinatorsDocument;
use crate::capacity::Grant;
use crate::capacity::Grants;
use crate::capacity::LEASE_TTL;
use crate::capacity::LeaseRequest;
use crate::capacity::Message;
use crate::capacity::Recall;
use crate::capacity::Registry;
use crate::capacity::ledger::Contact;
use crate::capacity::ledger::Ledger;
use crate::capacity::ledger::UserProcess;
use crate::capacity::poll::INITIAL_LOAD_REPORT_INTERVAL;
use crate::capacity::poll::LOAD_REPORT_INTERVAL;
use crate::capacity::poll::Polls;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::fleet::BackendKey;
use crate::id::Epoch;
use crate::id::RequestId;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::metrics::Count;

/// Time after which the last heartbeat that a holder acknowledged no longer
/// counts as contact.
pub const CONTACT_TTL: Millis = Millis(3_500);
/// Age from which a load report no longer confirms that no newer epoch exists
/// (for a coordinator), nor how much capacity is free (for a static share).
pub const REPORT_TTL: Millis = Millis(3_000);
/// Time after which streams without a live owner, or of this instance without
/// an unanswered request, are cancelled.
pub const ORPHAN_GRACE: Millis = Millis(20_000);

impl Coordinator {
    /// Answers a user's lease request.
    pub fn on_lease_request(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        registry: &Registry,
        user: &UserProcess,
        request: &LeaseRequest,
        out: &mut Outbox,
    ) {
        let Some(document) = registry.document() else {
            return;
        };
        if request.epoch < document.epoch {
            out.messages
                .push((user.0.clone(), coordinators_message(cx, document)));
        }
        let mut items = Vec::new();
        let mut granted = Vec::new();
        for item in &request.items {
            let Some(key) = context.fleet.backend_key(&item.backend) else {
                continue;
            };
            let Some(ledger) = self.ledgers.get_mut(&key) else {
                continue;
            };
            let from_self = user.0 == cx.me.name;
            if let Some(news) = item.news.filter(|_| !from_self) {
                context
                    .conditions
                    .merge_report(cx, context.fleet, key, news);
            }
            let limit = limit_of(context, key);
            let limit_lowered = ledger.set_limit(limit);
            if !ledger.record_lease_request(cx.now, user, request.number, item) {
                continue;
            }
            if !may_grant(cx.now, context.members, registry, ledger) {
                continue;
            }
            ledger.set_contacts(cx.now, contacts(cx, context.members, document, ledger));
            let lease = ledger.grant(cx.now, user);
            items.push(Grant {
                backend: item.backend.clone(),
                credit: lease,
                condition: context.conditions.condition(context.fleet, key),
            });
            granted.push((key, limit_lowered));
        }
        if !items.is_empty() {
            cx.count(Count::CreditAnswers);
            let grants = grants(request.number, document.epoch, items);
            out.messages.push((user.0.clone(), grants));
        }
        for (key, limit_lowered) in granted {
            self.serve_unmet(cx, context, registry, key, limit_lowered, out);
        }
    }

    /// Applies limits, polls load reports, and serves lease requests that can
    /// be met now.
    pub fn tick(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        registry: &Registry,
        polls: &mut Polls,
        out: &mut Outbox,
    ) {
        let keys: Vec<BackendKey> = self.ledgers.keys().copied().collect();
        for key in keys {
            let limit = limit_of(context, key);
            let Some(ledger) = self.ledgers.get_mut(&key) else {
                continue;
            };
            ledger.drop_removed_holders(cx.now);
            let limit_lowered = ledger.set_limit(limit);
            let period = match ledger.can_grant(cx.now) {
                true => LOAD_REPORT_INTERVAL,
                false => INITIAL_LOAD_REPORT_INTERVAL,
            };
            polls.poll_if_due(cx, context.fleet, key, period);
            self.serve_unmet(cx, context, registry, key, limit_lowered, out);
        }
    }

    /// Applies a load report whose figures were taken at `taken_at`, and
    /// cancels orphaned streams.
    pub fn on_report(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        key: BackendKey,
        taken_at: Millis,
        report: &LoadReport,
        is_open: &dyn Fn(RequestId) -> bool,
    ) {
        let Some(ledger) = self.ledgers.get_mut(&key) else {
            return;
        };
        ledger.apply_report(cx.now, taken_at, report);
        let me = &cx.me.name;
        let members = &*context.members;
        let is_orphaned = |stream: &RunningStream| match stream.owner == *me {
            true => !is_open(stream.request),
            false => members
                .member(&stream.owner)
                .is_none_or(|owner| owner.state == MemberState::Gone),
        };
        let orphans = ledger.orphans(cx.now, report, ORPHAN_GRACE, is_orphaned);
        let epoch = ledger.epoch;
        let backend = context.fleet.backend(key);
        for request in orphans {
            cx.count(Count::OrphansCancelled);
            cx.out.push(Output::Order {
                backend: backend.name.clone(),
                addr: backend.addr.clone(),
                order: BackendOrder::Cancel { request, epoch },
            });
        }
    }

    /// Answers lease requests that could not be met before, and recalls leases
    /// for those that still cannot, or because the limit was lowered.
    fn serve_unmet(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        registry: &Registry,
        key: BackendKey,
        limit_lowered: bool,
        out: &mut Outbox,
    ) {
        let (Some(document), Some(ledger)) = (registry.document(), self.ledgers.get_mut(&key))
        else {
            return;
        };
        if !may_grant(cx.now, context.members, registry, ledger) {
            return;
        }
        let backend = &context.fleet.backend(key).name;
        let condition = context.conditions.condition(context.fleet, key);
        ledger.set_contacts(cx.now, contacts(cx, context.members, document, ledger));
        for (user, number) in ledger.newly_satisfiable(cx.now) {
            let item = Grant {
                backend: backend.clone(),
                credit: ledger.grant(cx.now, &user),
                condition,
            };
            cx.count(Count::CreditAnswers);
            let grants = grants(number, document.epoch, vec![item]);
            out.messages.push((user.0, grants));
        }
        for (user, keep) in ledger.recalls(cx.now, limit_lowered) {
            cx.count(Count::CreditRecalls);
            let recall = Recall {
                backend: backend.clone(),
                keep,
            };
            out.messages.push((user.0, Message::Recall(vec![recall])));
        }
    }
}

/// Returns the message that names the coordinators of this failure domain.
pub(in crate::capacity) fn coordinators_message(
    cx: &Cx<'_>,
    document: &CoordinatorsDocument,
) -> Message {
    Message::Homes {
        domain: cx.me.domain.clone(),
        document: document.clone(),
    }
}

/// Builds the answer to the lease request `number`.
fn grants(number: u64, epoch: Epoch, items: Vec<Grant>) -> Message {
    Message::Grants(Grants {
        number,
        epoch,
        life: LEASE_TTL,
        items,
    })
}

/// Returns the limit in force.
fn limit_of(context: &CapacityContext<'_>, key: BackendKey) -> Amount {
    Amount::of_limits(context.conditions.limits(context.fleet, key))
}

/// Returns whether this instance is still entitled to grant leases: it knows of
/// no newer epoch, and the key-value service or a recent load report of the
/// backend server confirms that.
fn may_grant(now: Millis, members: &Membership, registry: &Registry, ledger: &Ledger) -> bool {
    let epoch = registry.epoch();
    if !registry.is_holder() || registry.is_stepping_down() || members.highest_epoch() > epoch {
        return false;
    }
    let report = ledger.report();
    if report.is_some_and(|(_, seen)| seen > epoch) {
        return false;
    }
    registry.is_current(now) || report.is_some_and(|(taken_at, _)| now.since(taken_at) < REPORT_TTL)
}

/// Returns the contact state of the other holders. Only heartbeats count that
/// this instance sent after it became the coordinator.
fn contacts(
    cx: &Cx<'_>,
    members: &Membership,
    document: &CoordinatorsDocument,
    ledger: &Ledger,
) -> Vec<Contact> {
    let holders = document.holders.iter();
    let others = holders.filter(|holder| holder.name != cx.me.name);
    others
        .map(|holder| {
            let member = members.member(&holder.name);
            let known_epoch = member.map_or(Epoch::default(), |member| member.reported_state.epoch);
            let contact = members.last_acknowledged(&holder.name);
            Contact {
                name: holder.name.clone(),
                fresh: contact
                    .is_some_and(|at| at >= ledger.since && cx.now.since(at) < CONTACT_TTL),
                share_divisor: document.min_holder_count(&holder.name, known_epoch),
            }
        })
        .collect()
}
