//! Failures of backend servers told apart from the loss of this instance's link
//! to them.
//!
//! What an instance sees of a server that it cannot reach says nothing about the
//! server if it reaches no other one either. Crashes, and reports to the other
//! instances, are therefore held back until a probe has shown that the link works,
//! and are dropped if the link is lost.
//!
//! A sound server may break an answer off, too. A crash is therefore recorded only
//! once the server is known to have ended: it answers no probe that was sent after
//! the break, another server answers at its address, or the registry lists it no
//! longer or as started again.

use std::collections::BTreeMap;

use super::Core;
use super::quarantine::ObservedCrash;
use crate::clock::Millis;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Output;
use crate::gateway::message::ProbeEnd;
use crate::gateway::server_links::Change;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::id_hash;
use crate::metrics::Count;

/// Interval at which silent and lost links are checked.
const LINK_CHECK_PERIOD: Millis = Millis(100);

/// A report of a failed server for the other instances.
#[derive(Debug)]
pub(super) enum HeldReport {
    /// The server is avoided until this time.
    Avoided {
        /// The server.
        server: ServerKey,
        /// End of the avoidance.
        until: Millis,
    },
    /// The server crashed.
    Crashed {
        /// The server.
        server: ServerKey,
        /// What is known of the crash.
        crash: ObservedCrash,
        /// Whether the server is known to have ended.
        has_ended: bool,
    },
}

impl HeldReport {
    fn server(&self) -> ServerKey {
        match self {
            HeldReport::Avoided { server, .. } | HeldReport::Crashed { server, .. } => *server,
        }
    }
}

impl Core {
    /// Returns whether the link to the servers of a server's service is lost.
    pub(super) fn is_link_lost(&self, server: ServerKey) -> bool {
        self.links
            .is_lost(&self.server_table.get(server).entry.service)
    }

    /// Records that no connection to a server could be opened.
    pub(super) fn record_unreachable(
        &mut self,
        now: Millis,
        server: ServerKey,
        out: &mut Vec<Output>,
    ) {
        let service = self.server_table.get(server).entry.service.clone();
        let servers = self.servers_of(&service).len();
        let change = self
            .links
            .record_unreachable(now, &service, server, servers);
        self.apply_link_change(now, &service, change, out);
        self.probe(now, &service, out);
    }

    /// Puts the link to a server's service in doubt because the server failed.
    pub(super) fn doubt_link(&mut self, now: Millis, server: ServerKey, out: &mut Vec<Output>) {
        let service = self.server_table.get(server).entry.service.clone();
        self.links.doubt(&service);
        self.probe(now, &service, out);
    }

    pub(super) fn on_probe_ended(
        &mut self,
        now: Millis,
        server_id: &str,
        end: ProbeEnd,
        out: &mut Vec<Output>,
    ) {
        let crash_probe = self.crash_probes.remove(server_id);
        if let Some(sent_at) = crash_probe {
            self.settle_crashes(server_id, sent_at, end);
        }
        if let Some(server) = self.server_table.find_by_id(server_id) {
            let service = self.server_table.get(server).entry.service.clone();
            // The server that failed says nothing about the link if it is not
            // reached.
            if crash_probe.is_none() || matches!(end, ProbeEnd::Answered | ProbeEnd::Replaced) {
                let servers = self.servers_of(&service).len();
                let change = self.links.record_probe(now, &service, server, end, servers);
                self.apply_link_change(now, &service, change, out);
                self.probe(now, &service, out);
            }
            if self.links.is_up(&service) {
                self.send_held_reports(now, &service, out);
            }
        }
        self.probe_crashed(now, server_id, out);
    }

    /// Holds a crash back until it is known whether the server has ended.
    pub(super) fn hold_crash(
        &mut self,
        now: Millis,
        server: ServerKey,
        crash: ObservedCrash,
        out: &mut Vec<Output>,
    ) {
        self.held_reports.push(HeldReport::Crashed {
            server,
            crash,
            has_ended: !self.server_table.get(server).listed,
        });
        let server_id = self.server_table.get(server).entry.id.clone();
        self.probe_crashed(now, &server_id, out);
    }

    /// Probes a server of which it is open whether it has ended. The end of a probe
    /// that was sent before says nothing.
    fn probe_crashed(&mut self, now: Millis, server_id: &str, out: &mut Vec<Output>) {
        let is_open = |report: &HeldReport| match report {
            HeldReport::Crashed {
                server, has_ended, ..
            } => !has_ended && self.server_table.get(*server).entry.id == server_id,
            HeldReport::Avoided { .. } => false,
        };
        let Some(report) = self.held_reports.iter().find(|report| is_open(report)) else {
            return;
        };
        let server = report.server();
        let service = self.server_table.get(server).entry.service.clone();
        let is_probed = self.links.is_probing(&service, server);
        if is_probed || self.crash_probes.contains_key(server_id) {
            return;
        }
        self.crash_probes.insert(server_id.to_owned(), now);
        self.send_probe(now, server, out);
    }

    /// Decides about the crashes of a server before a probe that has ended.
    fn settle_crashes(&mut self, server_id: &str, sent_at: Millis, end: ProbeEnd) {
        let server_table = &self.server_table;
        self.held_reports.retain_mut(|report| {
            let HeldReport::Crashed {
                server,
                crash,
                has_ended,
            } = report
            else {
                return true;
            };
            let server = server_table.get(*server);
            if *has_ended || server.entry.id != server_id || crash.at > sent_at {
                return true;
            }
            *has_ended = !server.listed || end != ProbeEnd::Answered;
            if !*has_ended {
                crash.log_disproved(server_id);
            }
            *has_ended
        });
    }

    /// Puts links in doubt whose servers have been silent, and probes those that
    /// are in doubt or lost.
    pub(super) fn check_links(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < self.next_link_check {
            return;
        }
        self.next_link_check = now + LINK_CHECK_PERIOD;
        let mut waiting_since: BTreeMap<&str, Millis> = BTreeMap::new();
        for request in self.requests.values() {
            if let Some(attempt) = &request.active_attempt {
                let since = waiting_since
                    .entry(&request.service)
                    .or_insert(attempt.last_output);
                *since = attempt.last_output.min(*since);
            }
        }
        for (service, since) in waiting_since {
            self.links.check_silence(now, service, since);
        }
        for service in self.links.services_to_probe() {
            self.probe(now, &service, out);
        }
    }

    /// Lists the crashes that are not recorded yet, with their servers.
    pub(super) fn held_crashes(&self) -> impl Iterator<Item = (ServerKey, &ObservedCrash)> {
        self.held_reports.iter().filter_map(|report| match report {
            HeldReport::Crashed { server, crash, .. } => Some((*server, crash)),
            HeldReport::Avoided { .. } => None,
        })
    }

    /// Drops the held crashes that are disproved as the server answered a request
    /// sent at this time.
    pub(super) fn drop_disproved_crashes(&mut self, sent_at: Millis, server: ServerKey) {
        self.held_reports.retain(|report| match report {
            HeldReport::Crashed {
                server: of, crash, ..
            } => *of != server || crash.at >= sent_at,
            HeldReport::Avoided { .. } => true,
        });
    }

    /// Sends the held reports about the servers of a service, except crashes of
    /// servers of which it is open whether they have ended.
    fn send_held_reports(&mut self, now: Millis, service: &str, out: &mut Vec<Output>) {
        for report in self.take_held_reports(service) {
            match report {
                HeldReport::Avoided { server, until } => {
                    self.broadcast_avoided(server, until.since(now), out);
                }
                HeldReport::Crashed {
                    server,
                    ref crash,
                    has_ended,
                } if has_ended || !self.server_table.get(server).listed => {
                    self.record_crash(now, server, crash, out);
                }
                HeldReport::Crashed { .. } => self.held_reports.push(report),
            }
        }
    }

    /// Tells the other instances to avoid a server.
    pub(super) fn broadcast_avoided(
        &self,
        server: ServerKey,
        avoid_for: Millis,
        out: &mut Vec<Output>,
    ) {
        let message = PeerMessage::Suspect {
            server: id_hash(&self.server_table.get(server).entry.id),
            avoid_ms: avoid_for.0,
        };
        self.broadcast(out, message);
    }

    fn apply_link_change(
        &mut self,
        now: Millis,
        service: &str,
        change: Option<Change>,
        out: &mut Vec<Output>,
    ) {
        match change {
            None => {}
            Some(Change::Confirmed) => self.send_held_reports(now, service, out),
            Some(Change::Lost) => {
                self.on_link_lost(service);
                self.broadcast_relay_state(out);
                self.doubt_other_links(now, service, out);
            }
            Some(Change::Restored(after)) => {
                log::info!(service = service, after_ms = after.0; "backend servers of a service are reached again");
                self.broadcast_relay_state(out);
            }
        }
    }

    /// Probes the servers of all other services, as the link to them may be lost
    /// too.
    fn doubt_other_links(&mut self, now: Millis, lost_service: &str, out: &mut Vec<Output>) {
        let listed = self.server_table.listed();
        let mut services: Vec<String> = listed
            .map(|(_, server)| server.entry.service.clone())
            .filter(|service| service != lost_service)
            .collect();
        services.sort();
        services.dedup();
        for service in services {
            self.links.doubt(&service);
            self.probe(now, &service, out);
        }
    }

    /// Takes back what was recorded against servers while the link was in doubt.
    fn on_link_lost(&mut self, service: &str) {
        self.count(Count::LinksLost);
        let reports = self.take_held_reports(service);
        log::warn!(
            service = service,
            reports_dropped = reports.len();
            "no backend server of a service is reached: the link of this instance is taken to be lost"
        );
        for server in self.servers_of(service) {
            self.health.forget_failures(server);
        }
    }

    fn take_held_reports(&mut self, service: &str) -> Vec<HeldReport> {
        let (taken, kept) = std::mem::take(&mut self.held_reports)
            .into_iter()
            .partition(|report| self.server_table.get(report.server()).entry.service == service);
        self.held_reports = kept;
        taken
    }

    fn servers_of(&self, service: &str) -> Vec<ServerKey> {
        let listed = self.server_table.listed();
        let of_service = listed.filter(|(_, server)| server.entry.service == service);
        of_service.map(|(key, _)| key).collect()
    }

    fn probe(&mut self, now: Millis, service: &str, out: &mut Vec<Output>) {
        let mut servers = self.servers_of(service);
        servers.retain(|server| {
            let id = &self.server_table.get(*server).entry.id;
            !self.crash_probes.contains_key(id)
        });
        for key in self.links.take_probes(now, service, &servers) {
            self.send_probe(now, key, out);
        }
    }

    fn send_probe(&self, now: Millis, server: ServerKey, out: &mut Vec<Output>) {
        let entry = &self.server_table.get(server).entry;
        // A server that asked for a pause is sent nothing.
        let path = match self.pause_left(now, server) {
            Millis::ZERO => self.probe_path(&entry.service),
            _ => None,
        };
        self.count(Count::LinkProbes);
        out.push(Output::Probe {
            server_id: entry.id.clone(),
            addr: entry.addr.clone(),
            path,
        });
    }

    fn probe_path(&self, service: &str) -> Option<String> {
        let service = self.routes.as_ref()?.services.get(service)?;
        Some(service.probe_path.clone())
    }
}
