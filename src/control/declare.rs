//! Application of new declarations on this instance.

use super::Cx;
use super::Ticket;
use super::components::Components;
use crate::declaration::Declaration;
use crate::id::Revision;
use crate::metrics::Level;
use crate::spread::Message;
use crate::spread::Peer;
use crate::store::StoreResult;

impl Components {
    /// Applies a declaration.
    pub(super) fn apply_declaration(
        &mut self,
        cx: &mut Cx<'_>,
        declaration: &Declaration,
        revision: Revision,
    ) {
        self.fleet.apply_declaration(declaration);
        self.conditions.apply_fleet_change(cx, &self.fleet);
        self.revision = revision;
        let value = i64::try_from(revision.0).unwrap_or(i64::MAX);
        cx.metrics.set(Level::Revision, value);
    }

    /// Ticks the distribution of the declarations, and applies what it adopted.
    pub(super) fn spread_tick(&mut self, cx: &mut Cx<'_>) {
        let peers = self.recently_heard_peers(cx);
        let delegates = self.members.delegates(&cx.me.domain);
        let is_watcher = !self.draining() && delegates.contains(&cx.me.name.as_str());
        self.spread.tick(cx, &peers, is_watcher);
        self.apply_adopted_declaration(cx);
    }

    pub(super) fn on_spread_message(&mut self, cx: &mut Cx<'_>, from: &str, message: Message) {
        let addr = self.members.addr(from).unwrap_or_default().to_owned();
        self.spread.on_message(cx, from, &addr, message);
        self.apply_adopted_declaration(cx);
    }

    pub(super) fn on_spread_result(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: Ticket,
        result: StoreResult,
    ) {
        self.spread.on_store(cx, ticket, result);
        self.apply_adopted_declaration(cx);
    }

    /// Returns the instances that sent a heartbeat recently, with their revisions.
    pub(super) fn recently_heard_peers(&self, cx: &Cx<'_>) -> Vec<Peer> {
        let members = self.members.members();
        members
            .filter(|(_, member)| member.has_recent_heartbeat(cx.now))
            .map(|(name, member)| Peer {
                name: name.to_owned(),
                addr: member.addr.clone(),
                domain: member.domain.clone(),
                revision: member.reported_state.revision,
            })
            .collect()
    }

    pub(super) fn apply_adopted_declaration(&mut self, cx: &mut Cx<'_>) {
        if let Some((declaration, revision)) = self.spread.take_adopted() {
            self.apply_declaration(cx, &declaration, revision);
        }
    }
}
