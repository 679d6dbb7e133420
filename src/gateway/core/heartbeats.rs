//! Heartbeats between instances: signs of life, and what each knows of the store.

use std::sync::Arc;

use super::Core;
use super::RETRY_LIMIT_SHARE;
use super::freshness::PeerProof;
use crate::clock::Millis;
use crate::gateway::cost::CallReport;
use crate::gateway::datagram::Formats;
use crate::gateway::instances::Heartbeat;
use crate::gateway::instances::MAX_HEARTBEAT_PERIOD;
use crate::gateway::instances::MIN_HEARTBEAT_PERIOD;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::Recipient;
use crate::gateway::instances::heartbeat_period;
use crate::gateway::message::Output;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;
use crate::gateway::message::Watching;

impl Core {
    pub(super) fn send_heartbeat(&mut self, now: Millis, out: &mut Vec<Output>) {
        let watch_closely = self.watching == Watching::Closely;
        let period = match watch_closely {
            true => MIN_HEARTBEAT_PERIOD,
            false => heartbeat_period(self.instances.known_count()),
        };
        self.next_heartbeat = now + period;
        let calls = self.cost.take_reports(now);
        self.broadcast(out, self.heartbeat(now, period, calls));
        if self.shutdown.is_some() || !self.links.lost_services().is_empty() {
            self.broadcast_relay_state(out);
        }
        self.repeat_crash_records(now, out);
        let instances = self.instances.known_count() as f64;
        self.budgets
            .set_max_saved((self.bounds.retry_extra * RETRY_LIMIT_SHARE / instances).max(1.0));
    }

    fn heartbeat(&self, now: Millis, period: Millis, calls: Vec<CallReport>) -> PeerMessage {
        // Until it has read the entries, an instance watches them for nobody.
        let watches_entries = self.watching == Watching::Closely && self.has_read_entries;
        let entries = watches_entries.then_some(self.entries);
        let era = self.freshness.era();
        let entries_position = entries
            .map(|entries| entries.position)
            .filter(|position| position.era == era);
        PeerMessage::Alive(Heartbeat {
            member: Member {
                name: self.local.name.clone(),
                addr: self.local.addr.clone(),
                formats: Formats::OWN,
            },
            config_revision: self.freshness.config_revision(),
            proof_age_ms: self.freshness.proof_age(now).0,
            store_answers: self.freshness.is_store_answering(),
            entries_digest: entries.map(|entries| entries.digest),
            entries_revision: entries_position.map(|position| position.revision),
            period_ms: period.0,
            store_era: Some(era),
            config_version: self.config_version(),
            calls,
        })
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Millis,
        arrived_after: Millis,
        heartbeat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        let member = heartbeat.member;
        if member.name == self.local.name {
            return;
        }
        // An instance that does not know eras takes what the store shows after its
        // return for old. It cannot watch the store for the others.
        let knows_era = heartbeat.store_era.is_some() || self.freshness.era() == StoreEra(0);
        let is_changed = self.instances.apply_heartbeat(
            now,
            &member,
            Millis(heartbeat.period_ms),
            heartbeat.store_answers && knows_era,
        );
        // A watcher that the store does not answer is replaced by the next in the
        // common order, two at a time, as the store may answer nobody.
        if heartbeat.store_answers {
            let watches = knows_era && heartbeat.entries_digest.is_some();
            self.instances.record_watch(now, &member.name, watches);
        }
        if is_changed {
            log::info!(
                instance = member.name.as_str(),
                addr = member.addr.as_str(),
                formats:% = member.formats;
                "instance heard"
            );
            // It may just have started, and need a proof to serve.
            let recipient = Recipient::from(&member);
            let heartbeat = self.heartbeat(now, MAX_HEARTBEAT_PERIOD, Vec::new());
            out.push(Output::Broadcast(Arc::new(vec![recipient]), heartbeat));
        }
        self.record_call_reports(now, arrived_after, &heartbeat.calls);
        let proof = PeerProof {
            position: StorePosition {
                era: heartbeat.store_era.unwrap_or_default(),
                revision: heartbeat.config_revision,
            },
            version: heartbeat.config_version,
            age: Millis(heartbeat.proof_age_ms) + now.since(arrived_after),
        };
        let in_force = self.config_version();
        self.freshness.record_peer_proof(now, proof, in_force);
    }
}
