//! Decisions of the core on single requests: configuration, freshness,
//! draining, verdicts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use super::simulation::route_table;
use crate::clock::Millis;
use crate::gateway::core::Core;
use crate::gateway::core::LocalInstance;
use crate::gateway::datagram::Formats;
use crate::gateway::instances::Heartbeat;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::AttemptNumber;
use crate::gateway::message::AttemptPlan;
use crate::gateway::message::EntriesState;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::ProbeEnd;
use crate::gateway::message::PromptShape;
use crate::gateway::message::RequestHead;
use crate::gateway::message::ServerNotice;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;
use crate::gateway::message::StoreUpdate;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::message::Watching;
use crate::gateway::relay::RelayTerms;
use crate::gateway::route::Route;
use crate::gateway::route::RouteTable;
use crate::gateway::route::RunPolicy;
use crate::gateway::route::Service;
use crate::gateway::route::Workspace;
use crate::gateway::server_table::ServerEntry;
use crate::gateway::server_table::id_hash;
use crate::gateway::settings::Bounds;
use crate::metrics::Metrics;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

pub(super) const SERVERS: usize = 4;

/// A core configured with keys, a plain service and engines.
pub(super) struct Harness {
    pub(super) core: Core,
    pub(super) now: u64,
    next_ticket: u64,
    /// Deadline that callers set.
    pub(super) deadline: Millis,
    /// Number of the latest attempt of each request.
    attempts: BTreeMap<Ticket, AttemptNumber>,
    /// Server of the latest attempt of each request.
    servers: BTreeMap<Ticket, String>,
    /// Servers that have crashed, whose probes fail.
    pub(super) crashed: BTreeSet<String>,
    /// Version of the configuration that the store shows.
    pub(super) shown_version: Option<u64>,
    /// Position of the operators' keys in the store.
    pub(super) position: StorePosition,
    /// Whether probes of backend servers fail.
    pub(super) is_cut_off: bool,
    /// Whether probes end at once, and not at all otherwise.
    pub(super) answers_probes: bool,
}

pub(super) fn keyed_table(version: u64, keys: &[&str]) -> RouteTable {
    let mut table = route_table();
    table.version = version;
    table.services.insert(
        "plain".to_owned(),
        Service {
            name: "plain".to_owned(),
            probe_path: "/health".to_owned(),
            max_connections: 96,
            cold_requests_per_s: 0.0,
            engine: None,
        },
    );
    for (prefix, run_policy) in [
        ("/once/", RunPolicy::AtMostOnce),
        ("/again/", RunPolicy::Idempotent),
    ] {
        let route = Route {
            name: prefix.to_owned(),
            prefix: prefix.to_owned(),
            run_policy,
            streaming: false,
            time_limit: Millis(800),
            target_latency: Millis(150),
            target_gap: None,
            priority: 2,
            weighted_services: vec![("plain".to_owned(), 1)],
            max_attempts: if run_policy == RunPolicy::AtMostOnce {
                1
            } else {
                2
            },
            anonymous: false,
        };
        table.insert("host".to_owned(), route);
    }
    let workspace = Workspace {
        name: "w".to_owned(),
        priority: None,
    };
    let keys = keys
        .iter()
        .map(|key| ((*key).to_owned(), workspace.clone()));
    table.keys = Some(keys.collect());
    table
}

pub(super) fn entry(id: &str, service: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: service.to_owned(),
        addr: format!(
            "10.0.0.{}:80",
            1 + id.bytes().map(u32::from).sum::<u32>() % 250
        ),
        domain: if id.ends_with('0') { "a" } else { "b" }.to_owned(),
        slots: 6,
        draining: false,
        cold_remaining: Millis::ZERO,
        started_unix_ms: 1,
        writes: 0,
    }
}

fn core_with_bounds(bounds: Bounds) -> Core {
    let local = LocalInstance {
        name: "me".to_owned(),
        domain: "a".to_owned(),
        addr: "10.9.0.1:1".to_owned(),
    };
    Core::new(local, bounds, Arc::new(Metrics::new()))
}

/// Returns a core that may make one retry and earns none.
/// Returns a position in the first era.
pub(super) fn position(revision: u64) -> StorePosition {
    StorePosition {
        era: StoreEra::default(),
        revision,
    }
}

/// Returns another instance of this release.
pub(super) fn member(name: &str, addr: &str) -> Member {
    Member {
        name: name.to_owned(),
        addr: addr.to_owned(),
        formats: Formats::OWN,
    }
}

/// Returns a message from another instance that has not waited.
pub(super) fn heard(message: PeerMessage) -> Input {
    Input::Peer {
        message,
        arrived_after: Millis::NEVER,
    }
}

fn core_with_one_retry() -> Core {
    core_with_bounds(Bounds {
        retry_ratio: 0.0,
        // The core uses 0.7 of the limit.
        retry_extra: 1.5,
        ..Bounds::default()
    })
}

impl Harness {
    pub(super) fn new() -> Harness {
        let mut harness = Harness::unconfigured();
        harness.configure();
        harness
    }

    /// Returns a core that has not read anything from the store.
    pub(super) fn unconfigured() -> Harness {
        Harness {
            core: core_with_bounds(Bounds::default()),
            now: 10_000,
            next_ticket: 0,
            deadline: Millis(1_500),
            attempts: BTreeMap::new(),
            servers: BTreeMap::new(),
            crashed: BTreeSet::new(),
            shown_version: None,
            position: position(5),
            is_cut_off: false,
            answers_probes: true,
        }
    }

    /// Gives the core its configuration and backend servers.
    pub(super) fn configure(&mut self) {
        let mut updates = vec![StoreUpdate::Routes(Arc::new(keyed_table(1, &["k"])))];
        for index in 0..SERVERS {
            updates.push(StoreUpdate::Server(entry(&format!("p{index}"), "plain")));
            updates.push(StoreUpdate::Server(entry(&format!("e{index}"), "engines")));
        }
        self.apply_store_updates(updates);
    }

    /// Handles an input, and the ends of the probes that it causes.
    pub(super) fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = self.core.handle(Millis(self.now), input);
        for output in out.clone() {
            match output {
                Output::Send(ticket, plan) => {
                    self.attempts.insert(ticket, plan.attempt);
                    self.servers.insert(ticket, plan.server_id);
                }
                Output::Probe { server_id, .. } if self.answers_probes => {
                    let is_crashed = self.crashed.contains(&server_id);
                    let end = match self.is_cut_off || is_crashed {
                        true => ProbeEnd::Unreachable,
                        false => ProbeEnd::Answered,
                    };
                    out.extend(self.handle(Input::ProbeEnded { server_id, end }));
                }
                _ => {}
            }
        }
        out
    }

    /// Lets another instance be heard; its name gives its address.
    pub(super) fn hear_instance(&mut self, name: &str) {
        let _ = self.handle(heard(PeerMessage::Alive(Heartbeat {
            member: member(name, &format!("{name}:1")),
            config_revision: 5,
            proof_age_ms: 0,
            store_answers: true,
            entries_digest: None,
            entries_revision: None,
            period_ms: 2_000,
            store_era: Some(StoreEra::default()),
            config_version: 1,
            calls: Vec::new(),
        })));
    }

    pub(super) fn first_output(&mut self, ticket: Ticket) -> Vec<Output> {
        let attempt = self.attempts[&ticket];
        self.handle(Input::FirstOutput(ticket, attempt))
    }

    /// Lets time pass with a tick every 25 ms; returns the outputs.
    pub(super) fn tick_until(&mut self, now: u64) -> Vec<Output> {
        let mut out = Vec::new();
        while self.now < now {
            self.now += 25;
            out.extend(self.handle(Input::Tick));
            self.apply_store_updates(Vec::new());
        }
        out
    }

    /// Lets the store return from an older copy.
    pub(super) fn restore(&mut self, era: u64) {
        self.position.era = StoreEra(era);
        let era = StoreEra(era);
        let _ = self.handle(Input::StoreEra {
            era,
            restored: true,
        });
    }

    pub(super) fn apply_store_updates(&mut self, updates: Vec<StoreUpdate>) {
        for update in &updates {
            if let StoreUpdate::Routes(routes) = update {
                self.shown_version = Some(routes.version);
            }
        }
        let input = Input::StoreUpdates {
            proved_at: Some(Millis(self.now)),
            shown_version: self.shown_version,
            config_position: self.position,
            updates,
        };
        let _ = self.handle(input);
    }

    /// Applies the removal of a server's entry, which proves nothing of the
    /// configuration.
    fn read_removal(&mut self, id: &str) {
        let _ = self.handle(Input::StoreUpdates {
            proved_at: None,
            shown_version: Some(1),
            config_position: position(5),
            updates: vec![StoreUpdate::ServerRemoved(id.to_owned())],
        });
    }

    pub(super) fn submit(&mut self, path: &str, key: &str) -> (Ticket, Vec<Output>) {
        self.submit_relayed(path, key, None)
    }

    /// Submits a request that another instance relays, if there are terms.
    pub(super) fn submit_relayed(
        &mut self,
        path: &str,
        key: &str,
        relay: Option<RelayTerms>,
    ) -> (Ticket, Vec<Output>) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let submission = Submission {
            head: RequestHead {
                request_id: format!("r{}", ticket.0),
                deadline: Some(self.deadline),
                key: Some(key.to_owned()),
                prompt: path.starts_with("/short").then_some(PromptShape {
                    prompt_tokens: 1_000,
                    max_output_tokens: 500,
                    expected_output_tokens: Some(430),
                }),
                ..RequestHead::default()
            },
            host: "host".to_owned(),
            path: path.to_owned(),
            arrived: Millis(self.now),
            fingerprint: 7,
            relay,
            ..Submission::default()
        };
        let out = self.handle(Input::Submit(ticket, submission));
        (ticket, out)
    }

    pub(super) fn end_attempt(&mut self, ticket: Ticket, end: AttemptEnd) -> Vec<Output> {
        let attempt = self.attempts.get(&ticket).copied().unwrap_or_default();
        self.handle(Input::AttemptEnded(ticket, attempt, end))
    }

    /// Ends the latest attempt of a request because its server crashes.
    pub(super) fn crash_server(&mut self, ticket: Ticket) -> Vec<Output> {
        self.crashed.insert(self.servers[&ticket].clone());
        self.end_attempt(ticket, AttemptEnd::Broken)
    }

    /// Ends the latest attempt of a request, which its server breaks off, and
    /// returns the server.
    pub(super) fn break_off(&mut self, ticket: Ticket) -> (String, Vec<Output>) {
        let server = self.servers[&ticket].clone();
        (server, self.end_attempt(ticket, AttemptEnd::Broken))
    }

    /// Sends ten requests and returns the servers that received them.
    pub(super) fn receiving_servers(&mut self, path: &str) -> Vec<String> {
        let mut servers = Vec::new();
        let mut tickets = Vec::new();
        for _ in 0..10 {
            let (ticket, out) = self.submit(path, "k");
            servers.extend(plan(&out).map(|plan| plan.server_id.clone()));
            tickets.push(ticket);
        }
        for ticket in tickets {
            let _ = self.end_attempt(ticket, AttemptEnd::Whole);
        }
        servers.sort();
        servers.dedup();
        servers
    }
}

pub(super) fn plan(out: &[Output]) -> Option<&AttemptPlan> {
    out.iter().find_map(|output| match output {
        Output::Send(_, plan) => Some(plan),
        _ => None,
    })
}

pub(super) fn refusal(out: &[Output]) -> Option<&Refusal> {
    out.iter().find_map(|output| match output {
        Output::Refuse(_, refusal) => Some(refusal),
        _ => None,
    })
}

#[test]
fn a_request_before_any_configuration_is_told_to_retry() {
    let mut harness = Harness::new();
    harness.core = Core::new(
        LocalInstance {
            name: "me".to_owned(),
            domain: "a".to_owned(),
            addr: String::new(),
        },
        Bounds::default(),
        Arc::new(Metrics::new()),
    );
    let (_, out) = harness.submit("/once/1", "k");
    let refusal = refusal(&out).unwrap();
    assert_eq!(refusal.reason, Reason::Unavailable);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn unknown_routes_and_keys_are_rejected_only_while_the_configuration_is_fresh() {
    let mut harness = Harness::new();
    let (_, out) = harness.submit("/nowhere/1", "k");
    assert_eq!(refusal(&out).unwrap().reason, Reason::NotFound);
    let (_, out) = harness.submit("/once/1", "unknown");
    assert_eq!(refusal(&out).unwrap().reason, Reason::Unauthorized);
    harness.now += 3_000;
    for (path, key) in [("/nowhere/1", "k"), ("/once/1", "unknown")] {
        let (_, out) = harness.submit(path, key);
        assert_eq!(refusal(&out).unwrap().reason, Reason::Unavailable);
    }
}

#[test]
fn keys_are_used_only_while_the_configuration_is_fresh() {
    let mut harness = Harness::new();
    harness.now += 4_500;
    let (_, out) = harness.submit("/once/1", "k");
    assert!(plan(&out).is_some());
    harness.now += 200;
    let (_, out) = harness.submit("/once/1", "k");
    assert_eq!(refusal(&out).unwrap().reason, Reason::Unavailable);
}

#[test]
fn the_proof_of_another_instance_keeps_keys_usable() {
    let mut harness = Harness::new();
    harness.now += 6_000;
    let alive = |config_revision| {
        heard(PeerMessage::Alive(Heartbeat {
            member: member("other", "10.9.0.2:1"),
            config_revision,
            proof_age_ms: 1_000,
            store_answers: true,
            entries_digest: None,
            entries_revision: None,
            period_ms: 500,
            store_era: Some(StoreEra::default()),
            config_version: 1,
            calls: Vec::new(),
        }))
    };
    // The peer knows a newer operator change than this instance.
    let _ = harness.handle(alive(6));
    let (_, out) = harness.submit("/once/1", "k");
    assert!(plan(&out).is_none());
    let _ = harness.handle(alive(5));
    let (_, out) = harness.submit("/once/1", "k");
    assert!(plan(&out).is_some());
}

#[test]
fn the_proof_of_a_heartbeat_is_as_old_as_the_time_for_which_it_waited_here() {
    let mut harness = Harness::new();
    let arrived_after = Millis(harness.now);
    // The process is suspended, and a key may be taken away meanwhile.
    harness.now += 6_000;
    let mut heartbeat = heard(PeerMessage::Alive(Heartbeat {
        member: member("other", "10.9.0.2:1"),
        config_revision: 5,
        proof_age_ms: 100,
        store_answers: true,
        entries_digest: None,
        entries_revision: None,
        period_ms: 500,
        store_era: Some(StoreEra::default()),
        config_version: 1,
        calls: Vec::new(),
    }));
    if let Input::Peer {
        arrived_after: after,
        ..
    } = &mut heartbeat
    {
        *after = arrived_after;
    }
    let _ = harness.handle(heartbeat);
    let (_, out) = harness.submit("/once/1", "k");
    assert_eq!(refusal(&out).unwrap().reason, Reason::Unavailable);
}

#[test]
fn heartbeats_of_a_close_watcher_carry_the_digest_of_entries() {
    let mut harness = Harness::new();
    let _ = harness.handle(heard(PeerMessage::Alive(Heartbeat {
        member: member("other", "10.9.0.2:1"),
        config_revision: 5,
        proof_age_ms: 0,
        store_answers: true,
        entries_digest: None,
        entries_revision: None,
        period_ms: 500,
        store_era: Some(StoreEra::default()),
        config_version: 1,
        calls: Vec::new(),
    })));
    let _ = harness.handle(Input::StoreUpdates {
        proved_at: None,
        shown_version: Some(1),
        config_position: position(5),
        updates: Vec::new(),
    });
    let mut digests = Vec::new();
    for n in 0..12 {
        harness.now += 500;
        if n == 2 {
            // Others would rely on it before it has read the entries.
            assert!(digests.iter().all(Option::is_none), "{digests:?}");
            let _ = harness.handle(Input::EntriesRead {
                queried_at: Millis(harness.now),
                entries: EntriesState {
                    position: position(4),
                    digest: 77,
                },
            });
        }
        for output in harness.handle(Input::Tick) {
            if let Output::Broadcast(_, PeerMessage::Alive(heartbeat)) = output {
                let revision = heartbeat.entries_digest.map(|_| 4);
                assert_eq!(heartbeat.entries_revision, revision);
                digests.push(heartbeat.entries_digest);
            }
        }
    }
    assert!(
        digests.iter().filter(|digest| **digest == Some(77)).count() >= 8,
        "{digests:?}"
    );
}

#[test]
fn few_instances_poll_an_unavailable_store() {
    let heartbeat = |n: u32, store_answers| {
        heard(PeerMessage::Alive(Heartbeat {
            member: member(&format!("other-{n}"), &format!("10.9.0.{n}:1")),
            config_revision: 5,
            proof_age_ms: 20_000,
            store_answers,
            entries_digest: None,
            entries_revision: None,
            period_ms: 500,
            store_era: Some(StoreEra::default()),
            config_version: 1,
            calls: Vec::new(),
        }))
    };
    let watching_after_store_loss = |store_answers: bool| {
        let mut harness = Harness::new();
        harness.now += 6_000;
        let _ = harness.handle(Input::StoreCallFailed);
        let mut watching = None;
        for _ in 0..10 {
            for n in 1..90 {
                let _ = harness.handle(heartbeat(n, store_answers));
            }
            harness.now += 500;
            for output in harness.handle(Input::Tick) {
                if let Output::Watch(now) = output {
                    watching = Some(now);
                }
            }
        }
        watching
    };
    // The store rejects only this instance: the others watch it.
    assert_ne!(watching_after_store_loss(true), Some(Watching::Closely));
    // The store answers no instance, and many precede this one.
    assert_ne!(watching_after_store_loss(false), Some(Watching::Closely));
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut harness = Harness::new();
    harness.apply_store_updates(vec![StoreUpdate::Routes(Arc::new(keyed_table(
        9,
        &["new"],
    )))]);
    harness.apply_store_updates(vec![StoreUpdate::Routes(Arc::new(keyed_table(4, &["k"])))]);
    let (_, out) = harness.submit("/once/1", "k");
    assert_eq!(refusal(&out).unwrap().reason, Reason::Unauthorized);
}

#[test]
fn draining_and_removed_servers_receive_no_requests() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.receiving_servers("/once/1"),
        ["p0", "p1", "p2", "p3"]
    );
    let draining = ServerEntry {
        draining: true,
        ..entry("p1", "plain")
    };
    harness.apply_store_updates(vec![
        StoreUpdate::Server(draining),
        StoreUpdate::ServerRemoved("p2".to_owned()),
    ]);
    assert_eq!(harness.receiving_servers("/once/1"), ["p0", "p3"]);
}

#[test]
fn a_cordoned_domain_receives_no_requests_until_it_is_back() {
    let mut harness = Harness::new();
    harness.apply_store_updates(vec![StoreUpdate::DomainCordoned("b".to_owned())]);
    assert_eq!(harness.receiving_servers("/once/1"), ["p0"]);
    harness.apply_store_updates(vec![StoreUpdate::DomainUncordoned("b".to_owned())]);
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}

#[test]
fn entries_that_lapse_in_a_store_outage_have_time_to_return() {
    let mut harness = Harness::new();
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 1_000;
    let gone = |index: usize| StoreUpdate::ServerRemoved(format!("p{index}"));
    harness.apply_store_updates((0..SERVERS).map(gone).collect());
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
    harness.now += 1_500;
    harness.apply_store_updates(vec![StoreUpdate::Server(entry("p0", "plain"))]);
    harness.now += 700;
    harness.apply_store_updates(Vec::new());
    let _ = harness.handle(Input::Tick);
    assert_eq!(harness.receiving_servers("/once/1"), ["p0"]);
}

#[test]
fn a_server_that_leaves_after_a_store_outage_gets_nothing_close_to_the_time_limit() {
    let mut harness = Harness::new();
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 400;
    harness.apply_store_updates(Vec::new());
    harness.now += 500;
    let gone = |index: usize| StoreUpdate::ServerRemoved(format!("p{index}"));
    harness.apply_store_updates((1..SERVERS).map(gone).collect());
    // No tick comes before the next request.
    harness.now += 1_700;
    assert_eq!(harness.receiving_servers("/once/1"), ["p0"]);
}

#[test]
fn a_server_whose_removal_was_read_soon_after_a_cut_watch_is_dropped_while_the_store_is_down() {
    let mut harness = Harness::new();
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 50;
    harness.apply_store_updates(Vec::new());
    harness.now += 800;
    harness.apply_store_updates(vec![StoreUpdate::ServerRemoved("p0".to_owned())]);
    harness.now += 500;
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 1_300;
    assert_eq!(harness.receiving_servers("/once/1"), ["p1", "p2", "p3"]);
}

/// Guards against requests to a server that has left: with a store that answers slowly,
/// the answer that shows the removal was the first one after a cut watch.
#[test]
fn a_removal_that_the_first_answer_after_a_cut_watch_shows_holds_while_the_store_is_down() {
    let mut harness = Harness::new();
    harness.apply_store_updates(Vec::new());
    harness.now += 1_600;
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 50;
    let queried_at = Millis(harness.now);
    harness.now += 800;
    let _ = harness.handle(Input::EntriesAnswered(queried_at));
    harness.read_removal("p0");
    harness.now += 500;
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 1_300;
    assert_eq!(harness.receiving_servers("/once/1"), ["p1", "p2", "p3"]);
}

#[test]
fn an_entry_that_the_first_answer_after_an_outage_lacks_has_time_to_return() {
    let mut harness = Harness::new();
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 4_000;
    let _ = harness.handle(Input::EntriesAnswered(Millis(harness.now)));
    harness.read_removal("p0");
    harness.apply_store_updates(Vec::new());
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 4_000;
    let _ = harness.handle(Input::Tick);
    harness.apply_store_updates(Vec::new());
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}

#[test]
fn a_removal_that_another_instance_read_holds_where_the_store_does_not_answer() {
    let mut harness = Harness::new();
    let _ = harness.handle(Input::StoreCallFailed);
    for _ in 0..8 {
        harness.now += 500;
        harness.hear_instance("other");
    }
    harness.read_removal("p0");
    harness.now += 1_800;
    assert_eq!(harness.receiving_servers("/once/1"), ["p1", "p2", "p3"]);
}

#[test]
fn entries_that_lapse_in_an_outage_have_time_to_return_after_the_next_one() {
    let mut harness = Harness::new();
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 4_000;
    let gone = |index: usize| StoreUpdate::ServerRemoved(format!("p{index}"));
    harness.apply_store_updates((0..SERVERS).map(gone).collect());
    harness.now += 500;
    let _ = harness.handle(Input::StoreCallFailed);
    harness.now += 4_000;
    harness.apply_store_updates(Vec::new());
    let _ = harness.handle(Input::Tick);
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
    harness.now += 800;
    harness.apply_store_updates(vec![StoreUpdate::Server(entry("p0", "plain"))]);
    harness.now += 1_000;
    assert_eq!(harness.receiving_servers("/once/1"), ["p0"]);
}

#[test]
fn a_restarted_server_replaces_its_predecessor() {
    let mut harness = Harness::new();
    let restarted = ServerEntry {
        started_unix_ms: 2,
        ..entry("p0", "plain")
    };
    harness.apply_store_updates(vec![StoreUpdate::Server(restarted)]);
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}

#[test]
fn a_call_that_may_have_run_is_never_sent_again() {
    for end in [AttemptEnd::Broken, AttemptEnd::Silent] {
        let mut harness = Harness::new();
        let (ticket, out) = harness.submit("/once/1", "k");
        assert!(plan(&out).is_some());
        let out = harness.end_attempt(ticket, end);
        assert!(plan(&out).is_none());
        let refusal = refusal(&out).unwrap();
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert!(matches!(refusal.reason.status(), 502 | 504));
    }
}

#[test]
fn a_reported_failure_is_forwarded_when_no_retry_is_allowed() {
    let mut harness = Harness::new();
    let (ticket, _) = harness.submit("/once/1", "k");
    let out = harness.end_attempt(ticket, AttemptEnd::Failed);
    assert!(out.contains(&Output::ForwardFailure(ticket)));
    let (ticket, _) = harness.submit("/again/1", "k");
    let out = harness.end_attempt(ticket, AttemptEnd::Failed);
    assert!(
        plan(&out).is_some(),
        "an idempotent call is retried on another server"
    );
    let out = harness.end_attempt(ticket, AttemptEnd::Failed);
    assert!(out.contains(&Output::ForwardFailure(ticket)));
}

#[test]
fn a_request_that_crashed_three_servers_is_refused() {
    let mut harness = Harness::new();
    for server in 0..3 {
        let _ = harness.handle(heard(PeerMessage::Crashed {
            fingerprint: 7,
            server,
        }));
    }
    let (_, out) = harness.submit("/again/1", "k");
    let refusal = refusal(&out).unwrap();
    assert_eq!(refusal.reason, Reason::Quarantined);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn single_timeouts_do_not_cause_servers_to_be_avoided() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        let (ticket, _) = harness.submit("/once/1", "k");
        let _ = harness.end_attempt(ticket, AttemptEnd::Silent);
    }
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}

#[test]
fn an_attempt_without_output_goes_on_while_no_other_server_can_take_over() {
    let mut harness = Harness::new();
    let gone = |index: usize| StoreUpdate::ServerRemoved(format!("p{index}"));
    harness.apply_store_updates((1..SERVERS).map(gone).collect());
    let (ticket, _) = harness.submit("/again/1", "k");
    let out = harness.tick_until(10_750);
    assert!(plan(&out).is_none() && refusal(&out).is_none(), "{out:?}");
    let _ = harness.first_output(ticket);
    assert!(refusal(&harness.end_attempt(ticket, AttemptEnd::Whole)).is_none());
}

/// Submits an idempotent call and lets it stall; returns the plans of both of
/// its attempts.
fn stalled_call(harness: &mut Harness) -> (Ticket, AttemptPlan, AttemptPlan) {
    let (ticket, out) = harness.submit("/again/1", "k");
    let first = plan(&out).unwrap().clone();
    let out = harness.tick_until(10_500);
    let second = plan(&out).unwrap().clone();
    assert_ne!(second.server_id, first.server_id);
    assert!(refusal(&out).is_none(), "{out:?}");
    (ticket, first, second)
}

#[test]
fn a_stalled_attempt_goes_on_when_its_successor_is_refused() {
    for end in [
        AttemptEnd::NoMemory,
        AttemptEnd::NotSent,
        AttemptEnd::Unreachable,
        AttemptEnd::Refused,
    ] {
        let mut harness = Harness::new();
        let (ticket, first, second) = stalled_call(&mut harness);
        let gone = |index: usize| StoreUpdate::ServerRemoved(format!("p{index}"));
        harness.apply_store_updates((0..SERVERS).map(gone).collect());
        let out = harness.handle(Input::AttemptEnded(ticket, second.attempt, end));
        assert!(refusal(&out).is_none(), "{out:?}");
        let out = harness.tick_until(10_700);
        assert!(refusal(&out).is_none(), "{out:?}");
        let _ = harness.handle(Input::FirstOutput(ticket, first.attempt));
        let whole = Input::AttemptEnded(ticket, first.attempt, AttemptEnd::Whole);
        assert!(refusal(&harness.handle(whole)).is_none());
        assert_eq!(harness.core.open_requests(), 0);
    }
}

#[test]
fn a_successor_continues_when_the_stalled_attempt_breaks() {
    let mut harness = Harness::new();
    let (ticket, first, second) = stalled_call(&mut harness);
    let broken = Input::AttemptEnded(ticket, first.attempt, AttemptEnd::Broken);
    let out = harness.handle(broken);
    assert!(plan(&out).is_none() && refusal(&out).is_none(), "{out:?}");
    let broken = Input::AttemptEnded(ticket, second.attempt, AttemptEnd::Broken);
    let out = harness.handle(broken);
    assert!(refusal(&out).is_some(), "both attempts were made: {out:?}");
}

#[test]
fn a_server_failure_is_forwarded_when_no_other_server_is_left() {
    let mut harness = Harness::new();
    let gone = |index: usize| StoreUpdate::ServerRemoved(format!("p{index}"));
    harness.apply_store_updates((1..SERVERS).map(gone).collect());
    let (ticket, _) = harness.submit("/again/1", "k");
    let out = harness.end_attempt(ticket, AttemptEnd::Failed);
    assert!(out.contains(&Output::ForwardFailure(ticket)), "{out:?}");
}

#[test]
fn stalled_streams_go_on_when_the_retry_budget_is_used_up() {
    let mut harness = Harness::new();
    harness.core = core_with_one_retry();
    harness.configure();
    harness.deadline = Millis(10_000);
    let mut tickets = Vec::new();
    for _ in 0..6 {
        let (ticket, out) = harness.submit("/short/1", "k");
        assert!(plan(&out).is_some());
        let _ = harness.first_output(ticket);
        tickets.push(ticket);
    }
    let out = harness.tick_until(12_000);
    let moved = out
        .iter()
        .filter(|output| matches!(output, Output::Send(..)))
        .count();
    assert_eq!(moved, 1);
    assert!(refusal(&out).is_none(), "{out:?}");
    for ticket in tickets {
        assert!(refusal(&harness.end_attempt(ticket, AttemptEnd::Whole)).is_none());
    }
}

#[test]
fn an_instance_that_was_suspended_starts_no_running_work_again() {
    let mut harness = Harness::new();
    let _ = harness.tick_until(harness.now + 25);
    let (ticket, out) = harness.submit("/again/1", "k");
    assert!(plan(&out).is_some());
    harness.now += 500;
    let out = harness.handle(Input::Tick);
    assert!(plan(&out).is_none(), "{out:?}");
    // What has arrived meanwhile is read only now.
    let _ = harness.first_output(ticket);
    let out = harness.end_attempt(ticket, AttemptEnd::Whole);
    assert!(refusal(&out).is_none(), "{out:?}");
}

#[test]
fn a_stream_whose_caller_reads_slowly_is_not_stalled() {
    let mut harness = Harness::new();
    harness.deadline = Millis(30_000);
    let (ticket, out) = harness.submit("/short/1", "k");
    assert!(plan(&out).is_some());
    let _ = harness.first_output(ticket);
    let is_sent = |out: &[Output]| out.iter().any(|o| matches!(o, Output::Send(..)));
    let _ = harness.handle(Input::CallerBehind(ticket, true));
    assert!(!is_sent(&harness.tick_until(12_000)));
    let _ = harness.handle(Input::CallerBehind(ticket, false));
    assert!(!is_sent(&harness.tick_until(12_500)));
    // Then only the server can be silent.
    assert!(is_sent(&harness.tick_until(20_000)));
}

#[test]
fn an_unreachable_server_is_avoided_for_a_while() {
    let mut harness = Harness::new();
    let (ticket, out) = harness.submit("/once/1", "k");
    let first = plan(&out).unwrap().server_id.clone();
    let out = harness.end_attempt(ticket, AttemptEnd::NotSent);
    assert_ne!(plan(&out).unwrap().server_id, first);
    assert!(!harness.receiving_servers("/once/1").contains(&first));
    harness.now += 1_000;
    assert!(harness.receiving_servers("/once/1").contains(&first));
}

#[test]
fn an_engine_without_memory_to_reserve_is_not_avoided() {
    let mut harness = Harness::new();
    let (ticket, out) = harness.submit("/short/1", "k");
    assert!(plan(&out).is_some());
    let out = harness.end_attempt(ticket, AttemptEnd::NoMemory);
    assert!(plan(&out).is_some());
    assert!(
        !out.iter()
            .any(|o| matches!(o, Output::Broadcast(_, PeerMessage::Suspect { .. })))
    );
}

#[test]
fn a_cold_server_receives_no_more_than_its_rate() {
    let mut harness = Harness::new();
    let mut table = keyed_table(2, &["k"]);
    table
        .services
        .get_mut("engines")
        .unwrap()
        .cold_requests_per_s = 3.0;
    let cold = |index: usize| {
        StoreUpdate::Server(ServerEntry {
            cold_remaining: Millis(3_000),
            ..entry(&format!("e{index}"), "engines")
        })
    };
    let mut updates = vec![StoreUpdate::Routes(Arc::new(table))];
    updates.extend((0..SERVERS).map(cold));
    harness.apply_store_updates(updates);
    let sent = (0..40)
        .filter(|_| plan(&harness.submit("/short/1", "k").1).is_some())
        .count();
    assert_eq!(sent, 3 * SERVERS);
}

/// Guards against a burst at servers that became cold while their failure domain was
/// taken out: their entries say so with the next write.
#[test]
fn servers_of_a_domain_that_is_back_in_service_get_no_more_than_the_rate_of_cold_ones() {
    let mut harness = Harness::new();
    let mut table = keyed_table(2, &["k"]);
    for service in table.services.values_mut() {
        service.cold_requests_per_s = 3.0;
    }
    harness.apply_store_updates(vec![StoreUpdate::Routes(Arc::new(table))]);
    let domains = || ["a", "b"].map(ToOwned::to_owned).into_iter();
    harness.apply_store_updates(domains().map(StoreUpdate::DomainCordoned).collect());
    harness.now += 8_000;
    harness.apply_store_updates(domains().map(StoreUpdate::DomainUncordoned).collect());
    for path in ["/short/1", "/once/1"] {
        let mut sent = || {
            let submissions = (0..40).map(|_| harness.submit(path, "k").1);
            submissions.filter(|out| plan(out).is_some()).count()
        };
        assert_eq!(sent(), 3 * SERVERS, "{path}");
    }
    // Two writes of their entries have not said that they are cold.
    harness.now += 2_500;
    harness.apply_store_updates(Vec::new());
    let (_, out) = harness.submit("/once/1", "k");
    assert!(plan(&out).is_some());
    assert!(harness.receiving_servers("/once/1").len() == SERVERS);
}

#[test]
fn a_request_is_refused_promptly_when_no_server_is_left() {
    let mut harness = Harness::new();
    let gone = |index: usize| StoreUpdate::ServerRemoved(format!("p{index}"));
    harness.apply_store_updates((0..SERVERS).map(gone).collect());
    let (_, out) = harness.submit("/once/1", "k");
    let mut refused = refusal(&out).cloned();
    for _ in 0..2 {
        harness.now += 15;
        refused = refused.or(refusal(&harness.handle(Input::Tick)).cloned());
    }
    let refused = refused.expect("refused within an eighth of the target");
    assert_eq!(refused.reason.status(), 503);
    assert!(refused.retry_after.unwrap() > Millis::ZERO);
}

/// Lets servers of the plain service state a rate limit, or none.
fn name_rate_limit(
    harness: &mut Harness,
    servers: std::ops::Range<usize>,
    rate_limit: Option<f64>,
) {
    for index in servers {
        let _ = harness.handle(Input::ServerNotice {
            server_id: format!("p{index}"),
            sent_at: Millis(harness.now),
            notice: ServerNotice {
                rate_limit,
                ..ServerNotice::default()
            },
        });
    }
}

#[test]
fn a_request_is_refused_at_once_when_rate_limits_allow_none_for_long() {
    let mut harness = Harness::new();
    name_rate_limit(&mut harness, 0..SERVERS, Some(0.5));
    let (_, out) = harness.submit("/once/1", "k");
    let refused = refusal(&out).expect("refused at once");
    assert_eq!(
        (refused.reason.status(), refused.verdict),
        (503, Verdict::NotRun)
    );
    assert!(refused.retry_after.unwrap() > Millis::ZERO);
    // Servers without a limit take the rest.
    name_rate_limit(&mut harness, 0..1, None);
    assert_eq!(harness.receiving_servers("/once/1"), ["p0"]);
    harness.now += 2_000;
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}

#[test]
fn a_rate_limit_that_another_instance_reports_is_kept() {
    let mut harness = Harness::new();
    let report = |rate_limit| {
        heard(PeerMessage::ServerNotice {
            server: id_hash("p0"),
            notice: ServerNotice {
                rate_limit,
                ..ServerNotice::default()
            },
        })
    };
    let _ = harness.handle(report(Some(1.0)));
    assert_eq!(harness.receiving_servers("/once/1"), ["p1", "p2", "p3"]);
    let _ = harness.handle(report(None));
    assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
}

#[test]
fn a_rate_limit_is_announced_to_the_other_instances() {
    let mut harness = Harness::new();
    let _ = harness.handle(heard(PeerMessage::Alive(Heartbeat {
        member: member("other", "10.9.0.2:1"),
        config_revision: 5,
        proof_age_ms: 0,
        store_answers: true,
        entries_digest: None,
        entries_revision: None,
        period_ms: 500,
        store_era: Some(StoreEra::default()),
        config_version: 1,
        calls: Vec::new(),
    })));
    let mut announce = |rate_limit, advance: u64| {
        harness.now += advance;
        let out = harness.handle(Input::ServerNotice {
            server_id: "p0".to_owned(),
            sent_at: Millis(harness.now),
            notice: ServerNotice {
                rate_limit,
                ..ServerNotice::default()
            },
        });
        let mut messages = out.into_iter().filter_map(|output| match output {
            Output::Broadcast(_, PeerMessage::ServerNotice { server, notice }) => {
                Some((server, notice.rate_limit))
            }
            _ => None,
        });
        messages.next()
    };
    let server = id_hash("p0");
    assert_eq!(announce(None, 0), None, "nothing has changed");
    assert_eq!(announce(Some(2.0), 10), Some((server, Some(2.0))));
    assert_eq!(announce(Some(2.0), 10), None, "announced just now");
    assert_eq!(announce(Some(2.0), 600), Some((server, Some(2.0))));
    assert_eq!(announce(None, 10), Some((server, None)));
}

fn attempt_ends() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::Whole),
        Just(AttemptEnd::Failed),
        Just(AttemptEnd::NotSent),
        Just(AttemptEnd::Unreachable),
        Just(AttemptEnd::NoMemory),
        Just(AttemptEnd::Refused),
        Just(AttemptEnd::Misdirected),
        Just(AttemptEnd::Broken),
        Just(AttemptEnd::Silent),
        Just(AttemptEnd::CallerGone),
    ]
}

/// Returns whether the backend server may have run an attempt that ended this way.
const fn may_have_run(end: AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::Silent | AttemptEnd::Whole
    )
}

proptest! {
    /// Compares the core with a model that tracks what ran. For any sequence of
    /// attempt outcomes, a request that must not be repeated is never sent again
    /// after it may have run, and a refusal claims "not run" only if nothing
    /// ran.
    #[test]
    fn verdicts_match_what_ran(
        path in prop_oneof![Just("/once/1"), Just("/again/1"), Just("/short/1")],
        ends in proptest::collection::vec((attempt_ends(), 0_u64..200), 1..12),
        started in any::<bool>(),
    ) {
        let mut harness = Harness::new();
        let (ticket, mut out) = harness.submit(path, "k");
        let mut ran = false;
        let mut attempts = 0;
        for (end, wait) in ends {
            if let Some(refusal) = refusal(&out) {
                prop_assert_eq!(refusal.verdict == Verdict::NotRun, !ran);
                let claims_not_run = matches!(refusal.reason.status(), 408 | 421 | 429 | 503);
                prop_assert!(
                    !(claims_not_run && ran),
                    "the status claims that a request which ran did not run"
                );
                return Ok(());
            }
            if plan(&out).is_none() {
                return Ok(());
            }
            attempts += 1;
            prop_assert!(!(ran && path == "/once/1"), "sent again after it may have run");
            prop_assert!(attempts <= 6, "attempts are bounded");
            if started && may_have_run(end) {
                let _ = harness.first_output(ticket);
            }
            ran |= may_have_run(end);
            harness.now += wait;
            out = harness.end_attempt(ticket, end);
        }
    }
}
