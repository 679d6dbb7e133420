//! Applies updates from the platform's store.
//!
//! A store that returns from an older copy shows servers and cordons as they were
//! some seconds before, until servers and operators write them again. What is
//! known to be newer stays in force meanwhile: servers number their writes, and a
//! drained or removed server, or a cordoned failure domain, is not used again for
//! what only the copy says.

use std::collections::HashSet;
use std::sync::Arc;

use super::Core;
use super::calls::plain_routes;
use crate::clock::Millis;
use crate::gateway::message::Output;
use crate::gateway::message::StoreUpdate;
use crate::gateway::ranks::Ranks;
use crate::gateway::route::RouteTable;
use crate::gateway::server_table::Change;
use crate::gateway::server_table::ServerEntry;
use crate::gateway::server_table::ServerKey;

/// Reserve kept within the time limit for requests to a server that has left,
/// for the delivery of the news and of requests that are on their way.
const LEAVING_MARGIN: Millis = Millis(500);
/// Time after which operators are taken to have written their cordons again.
const CORDON_RETURN_TIME: Millis = Millis(5_000);
/// Write intervals of servers after which a removed server whose entry is back with
/// the copy is used again. The store removes the entries of servers that have been
/// silent for three.
const REAPPEARED_ENTRY_WRITES: u64 = 5;

/// Write intervals of servers for which those of a failure domain that is back in
/// service are taken to be cold: they may have become so just before, and their entries
/// say it with the next write.
const COLD_DOUBT_WRITES: u64 = 2;

/// A server whose entry disappeared around an outage of the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lapse {
    /// When it is dropped.
    until: Millis,
    /// Whether the outage was long enough for the entry of a live server to lapse.
    /// If so, it cannot return while the store is lost again.
    may_return: bool,
}

impl Core {
    pub(super) fn apply_store_updates(
        &mut self,
        now: Millis,
        updates: Vec<StoreUpdate>,
        out: &mut Vec<Output>,
    ) {
        for update in updates {
            self.apply_store_update(now, update, out);
        }
        if let Some(routes) = &self.routes {
            self.fleet_load.set_specs(now, &self.server_table, routes);
        }
    }

    fn apply_store_update(&mut self, now: Millis, update: StoreUpdate, out: &mut Vec<Output>) {
        match update {
            StoreUpdate::Routes(routes) => self.apply_routes(routes, out),
            StoreUpdate::DomainCordoned(domain) => {
                self.missing_cordons.remove(&domain);
                if self.cordoned_domains.insert(domain.clone()) {
                    log::info!(domain = domain.as_str(); "failure domain taken out");
                }
            }
            StoreUpdate::DomainUncordoned(domain) => {
                self.missing_cordons.remove(&domain);
                self.uncordon(now, &domain);
            }
            StoreUpdate::CordonMissing(domain) => {
                if self.cordoned_domains.contains(&domain) {
                    log::info!(
                        domain = domain.as_str(),
                        keep_ms = CORDON_RETURN_TIME.0;
                        "cordon missing after the store's return: kept until operators can have written it again"
                    );
                    self.missing_cordons
                        .insert(domain, now + CORDON_RETURN_TIME);
                }
            }
            StoreUpdate::Server(entry) => self.apply_server(now, entry),
            StoreUpdate::RestoredServer(entry) => self.apply_restored_server(now, entry),
            StoreUpdate::ServerRemoved(id) => self.on_server_removed(now, &id),
            StoreUpdate::Instance(member) => {
                if member.name != self.local.name {
                    self.instances.apply_entry(now, &member);
                }
            }
            StoreUpdate::InstanceRemoved(name) => self.instances.remove(&name),
        }
    }

    fn apply_routes(&mut self, routes: Arc<RouteTable>, out: &mut Vec<Output>) {
        let current_version = self.routes.as_ref().map_or(0, |routes| routes.version);
        if self.routes.is_some() && routes.version <= current_version {
            if routes.version < current_version {
                log::warn!(version = routes.version, in_force = current_version; "older configuration ignored");
            }
            return;
        }
        log::info!(
            version = routes.version,
            before = current_version,
            services = routes.services.len();
            "configuration in force"
        );
        out.push(Output::Limits(routes.limits));
        let names: HashSet<&str> = routes
            .hosts
            .values()
            .flatten()
            .map(|route| route.name.as_str())
            .collect();
        self.answer_times.retain(|name| names.contains(name));
        self.output_lengths.retain(|name| names.contains(name));
        if self.learns_costs() {
            self.cost.set_routes(plain_routes(&routes));
        }
        self.ranks = Ranks::new(&routes);
        let is_known = |service: &str| routes.services.contains_key(service);
        self.rank_ledger.retain(is_known);
        self.room_rates.retain(is_known);
        self.routes = Some(routes);
    }

    fn uncordon(&mut self, now: Millis, domain: &str) {
        if !self.cordoned_domains.remove(domain) {
            return;
        }
        let cold_for = self.bounds.server_write_interval * COLD_DOUBT_WRITES;
        let listed = self.server_table.listed();
        let servers: Vec<ServerKey> = listed
            .filter(|(_, server)| server.entry.domain == domain)
            .map(|(key, _)| key)
            .collect();
        log::info!(
            domain = domain,
            servers = servers.len(),
            cold_ms = cold_for.0;
            "failure domain back in service"
        );
        for server in servers {
            self.server_table.mark_cold(server, now + cold_for);
        }
    }

    /// Applies the entry of a known server that was read after the store returned
    /// from an older copy, as far as it is not older than what is known.
    fn apply_restored_server(&mut self, now: Millis, entry: ServerEntry) {
        let known = self.server_table.find_by_id(&entry.id);
        let Some(known) = known.map(|key| self.server_table.get(key)) else {
            return self.apply_server(now, entry);
        };
        let starts_to_drain =
            entry.draining && entry.started_unix_ms == known.entry.started_unix_ms;
        if entry.is_later_than(&known.entry) || (known.listed && starts_to_drain) {
            return self.apply_server(now, entry);
        }
        log::info!(
            server = entry.id.as_str(),
            writes = entry.writes,
            known_writes = known.entry.writes,
            listed = known.listed;
            "backend server's entry ignored: the store returned from an older copy"
        );
        match known.listed {
            true => {
                self.lapsed_servers.remove(&entry.id);
            }
            false => {
                let until = now + self.bounds.server_write_interval * REAPPEARED_ENTRY_WRITES;
                self.reappeared_servers
                    .insert(entry.id.clone(), (entry, until));
            }
        }
    }

    /// Takes what the store shows since its return to be true once operators and
    /// servers have had the time to write it anew.
    pub(super) fn settle_after_restore(&mut self, now: Millis) {
        if !self.freshness.is_store_answering() {
            return;
        }
        let mut ended = Vec::new();
        self.missing_cordons.retain(|domain, until| {
            let is_kept = now < *until;
            if !is_kept {
                ended.push(domain.clone());
            }
            is_kept
        });
        for domain in ended {
            self.uncordon(now, &domain);
        }
        let mut due = Vec::new();
        self.reappeared_servers.retain(|_, (entry, until)| {
            let is_kept = now < *until;
            if !is_kept {
                due.push(entry.clone());
            }
            is_kept
        });
        for entry in due {
            self.apply_server(now, entry);
        }
    }

    fn apply_server(&mut self, now: Millis, entry: ServerEntry) {
        self.reappeared_servers.remove(&entry.id);
        self.lapsed_servers.remove(&entry.id);
        let id = entry.id.clone();
        let (service, draining) = (entry.service.clone(), entry.draining);
        let cold_ms = entry.cold_remaining.0;
        match self.server_table.upsert(now, entry) {
            Change::Unchanged => return,
            Change::Started(key) => self.fleet_load.reset_server(key),
            Change::Updated(_) => {}
        }
        log::info!(
            server = id.as_str(),
            service = service.as_str(),
            draining = draining,
            cold_ms = cold_ms;
            "backend server listed"
        );
    }

    /// Handles the removal of a server's entry. Entries lapse during a store
    /// outage and return soon after it, so a server whose entry disappears
    /// during an outage or shortly after it is kept for a while. That is counted in
    /// time in which the store answers only if the outage was long enough.
    fn on_server_removed(&mut self, now: Millis, id: &str) {
        self.reappeared_servers.remove(id);
        if self
            .freshness
            .recently_unavailable(now, self.bounds.entry_recovery_time)
        {
            let may_return = self
                .freshness
                .may_have_lapsed(now, self.bounds.entry_recovery_time);
            log::info!(server = id, may_return = may_return; "backend server's entry lapsed");
            let until = now + self.lapse_grace();
            let lapse = Lapse { until, may_return };
            self.lapsed_servers.insert(id.to_owned(), lapse);
            return;
        }
        self.drop_server(id, "entry removed");
    }

    fn lapse_grace(&self) -> Millis {
        self.bounds.entry_recovery_time - LEAVING_MARGIN
    }

    /// Gives servers whose entries lapsed, and could not return while the store was
    /// lost again, that much more time.
    pub(super) fn extend_lapses(&mut self, now: Millis, outage: Millis) {
        let latest = now + self.lapse_grace();
        for lapse in self.lapsed_servers.values_mut() {
            if lapse.may_return {
                lapse.until = (lapse.until + outage).min(latest);
            }
        }
    }

    /// Drops servers whose entries have not returned after a store outage.
    pub(super) fn drop_lapsed_servers(&mut self, now: Millis) {
        let gone: Vec<String> = self
            .lapsed_servers
            .keys()
            .filter(|id| self.has_left(now, id))
            .cloned()
            .collect();
        for id in gone {
            self.lapsed_servers.remove(&id);
            self.drop_server(&id, "entry did not return after the outage");
        }
    }

    /// Returns whether a server's entry has lapsed and not returned in time.
    pub(super) fn has_left(&self, now: Millis, id: &str) -> bool {
        let store_answers = self.freshness.is_store_answering();
        self.lapsed_servers
            .get(id)
            .is_some_and(|lapse| now >= lapse.until && (store_answers || !lapse.may_return))
    }

    fn drop_server(&mut self, id: &str, cause: &str) {
        if let Some(key) = self.server_table.remove(id) {
            self.cost.forget_server(key);
            log::info!(server = id, cause = cause; "backend server gone");
        }
    }
}
