//! Which document should be in force, and the write that brings it about.

use rand::RngExt;

use super::Call;
use super::RETRY_PAUSE;
use super::Registry;
use super::instance_key;
use crate::capacity::Holder;
use crate::capacity::HomesDocument;
use crate::clock::Millis;
use crate::control::Cx;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::store::KeyVersion;
use crate::store::StoreOp;

/// Time by which each further live holder waits before it acts for a lost one.
const TURN: Millis = Millis(2_000);

impl Registry {
    /// Looks up the keys of holders from which nothing comes.
    pub(super) fn watch_holders(&mut self, cx: &mut Cx<'_>, members: &Membership) {
        let Some(document) = &self.document else {
            return;
        };
        let gone: Vec<Holder> = document
            .holders
            .iter()
            .filter(|holder| holder.name != self.me.name && is_gone(members, &holder.name))
            .cloned()
            .collect();
        self.missing
            .retain(|name, _| gone.iter().any(|holder| holder.name == *name));
        self.absent.retain(|holder| gone.contains(holder));
        if !self.holds() || self.leaving {
            return;
        }
        let turn = turn(members, &self.domain, &self.me.name);
        for holder in gone {
            let since = *self.missing.entry(holder.name.clone()).or_insert(cx.now);
            let due = cx.now.since(since) >= TURN * turn && !self.absent.contains(&holder);
            let asked = self.pending(|call| matches!(call, Call::Look { .. }));
            if due && !asked && cx.now >= self.next_write {
                self.next_write = cx.now + RETRY_PAUSE;
                let key = instance_key(&holder.name);
                self.call(cx, Call::Look { holder }, StoreOp::Get { key });
            }
        }
    }

    pub(super) fn plan_write(&mut self, cx: &mut Cx<'_>, members: &Membership) {
        let busy = self.pending(|call| matches!(call, Call::Write { .. }));
        let (Some(version), false) = (self.version, busy || cx.now < self.next_write) else {
            return;
        };
        let lease_due = self.registered || self.leaving;
        if !lease_due {
            return;
        }
        let Some((document, removed)) = self.next_document(cx.now, members) else {
            return;
        };
        self.next_write = cx.now + RETRY_PAUSE + Millis(cx.rng.random_range(0..RETRY_PAUSE.0));
        let key = HomesDocument::key(&self.domain);
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
        self.stepping_down = self.leaving;
        if let Some(name) = &removed {
            self.unsettled.insert(name.clone(), cx.now);
        }
        let call = Call::Write {
            document,
            removed,
            create,
        };
        self.call(cx, call, op);
    }

    /// Returns the document that should be in force, and who is taken out of it
    /// by another.
    fn next_document(
        &self,
        now: Millis,
        members: &Membership,
    ) -> Option<(HomesDocument, Option<String>)> {
        let document = self.document.clone().unwrap_or_default();
        if self.leaving {
            return self
                .holds()
                .then(|| (document.without(&self.me.name), None));
        }
        if !self.holds() {
            let next = document.with(self.me.clone());
            let highest = members.highest_epoch();
            let next = if next.epoch <= highest {
                next.above(highest)
            } else {
                next
            };
            return Some((next, None));
        }
        let store_is_older = self.read.is_none();
        let turn = turn(members, &self.domain, &self.me.name);
        if store_is_older && turn == 0 {
            return Some((document.above(members.highest_epoch()), None));
        }
        let lost = self.absent.iter().find(|holder| {
            let since = self.missing.get(&holder.name);
            since.is_some_and(|since| now.since(*since) >= TURN * turn)
        })?;
        let name = lost.name.clone();
        Some((document.without(&name), Some(name)))
    }
}

fn is_gone(members: &Membership, name: &str) -> bool {
    let member = members.member(name);
    member.is_none_or(|member| member.state == MemberState::Gone)
}

/// Returns how many live instances of the failure domain come before `name`.
fn turn(members: &Membership, domain: &str, name: &str) -> u64 {
    let live = members.live_in(domain);
    let before = live.iter().take_while(|other| **other < name).count();
    u64::try_from(before).unwrap_or(0)
}
