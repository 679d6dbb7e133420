//! Decides which document should be in force and writes it.

use rand::RngExt;

use super::Call;
use super::RETRY_DELAY;
use super::Registry;
use super::instance_key;
use crate::capacity::CoordinatorsDocument;
use crate::capacity::Holder;
use crate::clock::Millis;
use crate::control::Cx;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::store::KeyVersion;
use crate::store::StoreOp;

/// Additional delay, for each serving instance of the failure domain whose name
/// sorts before this one's, before it checks and removes a gone holder.
const REMOVAL_STAGGER: Millis = Millis(2_000);

impl Registry {
    /// Reads the instance keys of holders that membership reports as gone or
    /// does not know.
    pub(super) fn check_gone_holders(&mut self, cx: &mut Cx<'_>, members: &Membership) {
        let Some(document) = &self.document else {
            return;
        };
        let gone: Vec<Holder> = document
            .holders
            .iter()
            .filter(|holder| holder.name != self.me.name && is_gone(members, &holder.name))
            .cloned()
            .collect();
        self.gone_since
            .retain(|name, _| gone.iter().any(|holder| holder.name == *name));
        self.without_key.retain(|holder| gone.contains(holder));
        if !self.is_holder() || self.draining {
            return;
        }
        let rank = rank_among_serving(members, &self.domain, &self.me.name);
        for holder in gone {
            let since = *self.gone_since.entry(holder.name.clone()).or_insert(cx.now);
            let due = cx.now.since(since) >= REMOVAL_STAGGER * rank
                && !self.without_key.contains(&holder);
            let check_pending = self.has_pending(|call| matches!(call, Call::CheckHolder { .. }));
            if due && !check_pending && cx.now >= self.next_write_at {
                self.next_write_at = cx.now + RETRY_DELAY;
                let key = instance_key(&holder.name);
                self.call(cx, Call::CheckHolder { holder }, StoreOp::Get { key });
            }
        }
    }

    /// Writes the next document if one is due.
    pub(super) fn plan_write(&mut self, cx: &mut Cx<'_>, members: &Membership) {
        let busy = self.has_pending(|call| matches!(call, Call::WriteDocument { .. }));
        let (Some(version), false) = (self.version, busy || cx.now < self.next_write_at) else {
            return;
        };
        let may_write = self.registered || self.draining;
        if !may_write {
            return;
        }
        let Some((document, removed)) = self.next_document(cx.now, members) else {
            return;
        };
        self.next_write_at = cx.now + RETRY_DELAY + Millis(cx.rng.random_range(0..RETRY_DELAY.0));
        let key = CoordinatorsDocument::key(&self.domain);
        let value = serde_json::to_vec(&document).unwrap_or_default();
        let create = version == KeyVersion(0);
        let op = match create {
            true => StoreOp::Create {
                key,
                value,
                lease: None,
            },
            false => StoreOp::Swap {
                key,
                value,
                version,
                lease: None,
            },
        };
        self.stepping_down = self.draining;
        if let Some(name) = &removed {
            self.pending_removals.insert(name.clone(), cx.now);
        }
        let call = Call::WriteDocument {
            document,
            removed,
            create,
        };
        self.call(cx, call, op);
    }

    /// Returns the document that should be in force and the other holder that
    /// it removes, if any. Returns `None` if the document needs no change.
    fn next_document(
        &self,
        now: Millis,
        members: &Membership,
    ) -> Option<(CoordinatorsDocument, Option<String>)> {
        let document = self.document.clone().unwrap_or_default();
        if self.draining {
            return self
                .is_holder()
                .then(|| (document.without_holder(&self.me.name), None));
        }
        if !self.is_holder() {
            let next = document.with_holder(self.me.clone());
            let highest = members.highest_epoch();
            let next = if next.epoch <= highest {
                next.with_epoch_above(highest)
            } else {
                next
            };
            return Some((next, None));
        }
        // The last read found no document, an unreadable one or an older epoch.
        let unconfirmed = self.confirmed_at.is_none();
        let rank = rank_among_serving(members, &self.domain, &self.me.name);
        if unconfirmed && rank == 0 {
            return Some((document.with_epoch_above(members.highest_epoch()), None));
        }
        let gone_holder = self.without_key.iter().find(|holder| {
            let since = self.gone_since.get(&holder.name);
            since.is_some_and(|since| now.since(*since) >= REMOVAL_STAGGER * rank)
        })?;
        let name = gone_holder.name.clone();
        Some((document.without_holder(&name), Some(name)))
    }
}

fn is_gone(members: &Membership, name: &str) -> bool {
    let member = members.member(name);
    member.is_none_or(|member| member.state == MemberState::Gone)
}

/// Returns how many serving instances of the failure domain have a name that
/// sorts before `name`.
fn rank_among_serving(members: &Membership, domain: &str, name: &str) -> u64 {
    let serving = members.serving_in(domain);
    let before = serving.iter().take_while(|other| **other < name).count();
    u64::try_from(before).unwrap_or(0)
}
