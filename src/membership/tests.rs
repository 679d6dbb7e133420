use std::collections::BTreeSet;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::metrics::Metrics;
use crate::timeline::Timeline;

const STEP: Millis = Millis(100);

/// One instance's membership, with the context to run it.
struct Node {
    me: Identity,
    membership: Membership,
    timeline: Timeline,
    state: InstanceState,
}

impl Node {
    fn new(name: &str, boot: u64) -> Node {
        let me = identity(name, boot);
        Node {
            membership: Membership::new(&me),
            timeline: Timeline::new(name),
            state: InstanceState::default(),
            me,
        }
    }

    fn run(
        &mut self,
        now: Millis,
        action: impl FnOnce(&mut Membership, &mut Cx<'_>),
    ) -> Vec<Output> {
        let mut out = Vec::new();
        let metrics = Metrics::new();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut cx = Cx {
            now,
            me: &self.me,
            out: &mut out,
            rng: &mut rng,
            timeline: &mut self.timeline,
            metrics: &metrics,
        };
        action(&mut self.membership, &mut cx);
        out
    }
}

/// Instances that exchange heartbeats without delay; heartbeats over cut links and to
/// stopped instances are lost.
struct Net {
    now: Millis,
    nodes: BTreeMap<String, Node>,
    /// Stopped or paused instances.
    down: BTreeSet<String>,
    /// Pairs of instances without a link, in sorted order.
    cut: BTreeSet<(String, String)>,
    /// Heartbeats sent, by instance.
    sent: BTreeMap<String, u64>,
}

impl Net {
    fn new(names: &[&str]) -> Net {
        let nodes = names
            .iter()
            .map(|name| ((*name).to_owned(), Node::new(name, 1)))
            .collect();
        Net {
            now: Millis::ZERO,
            nodes,
            down: BTreeSet::new(),
            cut: BTreeSet::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Delivers to `to` an instance list of `names`, in which `leaving` are
    /// draining.
    fn deliver_list(&mut self, to: &str, names: &[&str], leaving: &[&str]) {
        let listings: Vec<Listing> = names
            .iter()
            .map(|name| listing(name, leaving.contains(name)))
            .collect();
        let now = self.now;
        let node = self.nodes.get_mut(to).unwrap();
        node.run(now, |membership, cx| {
            membership.apply_listings(cx, &listings)
        });
    }

    fn list_all(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        let all: Vec<&str> = names.iter().map(String::as_str).collect();
        for name in &all {
            self.deliver_list(name, &all, &[]);
        }
    }

    fn advance(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            if self.down.contains(&name) {
                continue;
            }
            let now = self.now;
            let node = self.nodes.get_mut(&name).unwrap();
            let state = node.state;
            let out = node.run(now, |membership, cx| membership.tick(cx, state));
            self.deliver(&name, out);
        }
    }

    fn deliver(&mut self, from: &str, out: Vec<Output>) {
        for output in out {
            let Output::Peer { to, message, .. } = output else {
                panic!("membership sends only to peers");
            };
            *self.sent.entry(from.to_owned()).or_default() += 1;
            let PeerMessage::Membership(heartbeat) = message else {
                panic!("membership sends only heartbeats");
            };
            let boot = self.nodes[from].me.boot;
            let lost = self.down.contains(&to) || self.cut.contains(&link(from, &to));
            let now = self.now;
            if let Some(node) = self.nodes.get_mut(&to).filter(|_| !lost) {
                node.run(now, |membership, cx| {
                    membership.on_message(cx, from, boot, heartbeat);
                });
            }
        }
    }

    fn cut_links_between(&mut self, a: &str, b: &str) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for x in names.iter().filter(|name| domain(name) == a) {
            for y in names.iter().filter(|name| domain(name) == b) {
                self.cut.insert(link(x, y));
            }
        }
    }

    fn membership(&self, name: &str) -> &Membership {
        &self.nodes[name].membership
    }
}

fn link(a: &str, b: &str) -> (String, String) {
    (a.min(b).to_owned(), a.max(b).to_owned())
}

fn domain(name: &str) -> &str {
    name.split('-').next().unwrap()
}

fn identity(name: &str, boot: u64) -> Identity {
    Identity {
        name: name.to_owned(),
        domain: domain(name).to_owned(),
        boot: Boot(boot),
        peer_addr: format!("{name}:1"),
        unix_time_at_start: Millis::ZERO,
    }
}

fn listing(name: &str, leaving: bool) -> Listing {
    Listing {
        name: name.to_owned(),
        role: Role::Entry,
        domain: domain(name).to_owned(),
        addr: String::new(),
        peer_addr: format!("{name}:1"),
        leaving,
        labels: BTreeMap::new(),
    }
}

/// Two instances in each of three failure domains.
const INSTANCES: [&str; 6] = [
    "ikeja-1", "ikeja-2", "lekki-1", "lekki-2", "yaba-1", "yaba-2",
];

fn net_of_live_instances() -> Net {
    let mut net = Net::new(&INSTANCES);
    net.list_all();
    net.advance(Millis::from_secs(3));
    net
}

#[test]
fn all_listed_instances_become_live() {
    let net = net_of_live_instances();
    assert_eq!(
        net.membership("ikeja-1").serving_in("ikeja"),
        ["ikeja-1", "ikeja-2"]
    );
    assert_eq!(
        net.membership("ikeja-1").serving_in("yaba"),
        ["yaba-1", "yaba-2"]
    );
    for name in INSTANCES {
        for domain in ["ikeja", "lekki", "yaba"] {
            assert!(
                net.membership(name).is_domain_reachable(net.now, domain),
                "{name} to {domain}"
            );
        }
    }
}

#[test]
fn a_heartbeat_makes_an_unlisted_instance_a_member() {
    let mut net = net_of_live_instances();
    net.nodes
        .insert("ikeja-3".to_owned(), Node::new("ikeja-3", 1));
    net.deliver_list("ikeja-3", &INSTANCES, &[]);
    net.advance(Millis::from_secs(2));
    let expected = ["ikeja-1", "ikeja-2", "ikeja-3"];
    assert_eq!(net.membership("ikeja-1").serving_in("ikeja"), expected);
    assert_eq!(net.membership("ikeja-3").serving_in("ikeja"), expected);
    assert_eq!(net.membership("ikeja-1").addr("ikeja-3"), Some("ikeja-3:1"));
}

#[test]
fn a_stopped_instance_is_gone_within_five_seconds_while_it_is_listed() {
    let mut net = net_of_live_instances();
    net.down.insert("ikeja-2".to_owned());
    net.advance(Millis::from_secs(5));
    let state = net.membership("ikeja-1").member("ikeja-2").unwrap().state;
    assert_eq!(state, MemberState::Gone);
    assert_eq!(net.membership("ikeja-1").serving_in("ikeja"), ["ikeja-1"]);
}

#[test]
fn a_silent_instance_is_suspected_then_gone_and_recovers() {
    let mut net = net_of_live_instances();
    net.down.insert("ikeja-2".to_owned());
    net.advance(Millis::from_secs(3));
    let state = |net: &Net| net.membership("ikeja-1").member("ikeja-2").unwrap().state;
    assert_eq!(state(&net), MemberState::Suspect);
    assert_eq!(net.membership("ikeja-1").serving_in("ikeja").len(), 2);
    net.advance(Millis::from_secs(10));
    assert_eq!(state(&net), MemberState::Gone);
    net.down.clear();
    net.advance(Millis::from_secs(6));
    assert_eq!(state(&net), MemberState::Live);
}

#[test]
fn a_draining_instance_is_excluded_immediately() {
    let mut net = net_of_live_instances();
    let now = net.now;
    let draining = net.nodes.get_mut("ikeja-2").unwrap();
    let out = draining.run(now, |membership, cx| membership.start_draining(cx));
    net.deliver("ikeja-2", out);
    assert!(net.membership("ikeja-1").is_draining("ikeja-2"));
    assert!(net.membership("ikeja-2").is_draining("ikeja-2"));
    assert_eq!(net.membership("ikeja-1").serving_in("ikeja"), ["ikeja-1"]);
    assert_eq!(net.membership("ikeja-2").serving_in("ikeja"), ["ikeja-1"]);
}

#[test]
fn the_instance_list_alone_marks_an_instance_as_draining() {
    let mut net = net_of_live_instances();
    net.deliver_list("ikeja-1", &INSTANCES, &["ikeja-2", "yaba-1"]);
    assert!(net.membership("ikeja-1").is_draining("ikeja-2"));
    assert!(net.membership("ikeja-1").is_draining("yaba-1"));
}

#[test]
fn a_new_boot_number_is_recorded_as_a_restart() {
    let mut net = net_of_live_instances();
    net.nodes
        .insert("ikeja-2".to_owned(), Node::new("ikeja-2", 2));
    net.deliver_list("ikeja-2", &INSTANCES, &[]);
    net.advance(Millis::from_secs(1));
    let member = net.membership("ikeja-1").member("ikeja-2").unwrap();
    assert_eq!(member.boot, Some(Boot(2)));
    let events = net.nodes["ikeja-1"]
        .timeline
        .select(&Subject::default(), usize::MAX);
    assert!(
        events
            .iter()
            .any(|event| event.detail == "ikeja-2 restarted")
    );
}

#[test]
fn a_pause_of_this_process_does_not_mark_members_gone() {
    let mut net = net_of_live_instances();
    net.down.insert("ikeja-1".to_owned());
    net.advance(Millis::from_secs(30));
    net.down.clear();
    net.now += STEP;
    let now = net.now;
    let resumed = net.nodes.get_mut("ikeja-1").unwrap();
    resumed.run(now, |membership, cx| {
        membership.tick(cx, InstanceState::default());
    });
    assert_eq!(net.membership("ikeja-1").serving_in("ikeja").len(), 2);
    assert!(net.membership("ikeja-1").is_domain_reachable(now, "yaba"));
}

#[test]
fn a_partitioned_domain_is_unreachable_until_the_partition_heals() {
    let mut net = net_of_live_instances();
    net.cut_links_between("ikeja", "yaba");
    net.advance(Millis::from_secs(12));
    for name in ["ikeja-1", "ikeja-2"] {
        assert!(
            !net.membership(name).is_domain_reachable(net.now, "yaba"),
            "{name}"
        );
        assert!(
            net.membership(name).is_domain_reachable(net.now, "lekki"),
            "{name}"
        );
    }
    net.cut.clear();
    net.advance(Millis::from_secs(8));
    assert!(
        net.membership("ikeja-1")
            .is_domain_reachable(net.now, "yaba")
    );
    assert!(
        net.membership("ikeja-2")
            .is_domain_reachable(net.now, "yaba")
    );
}

#[test]
fn epochs_and_revisions_reach_every_instance() {
    let mut net = net_of_live_instances();
    let yaba = net.nodes.get_mut("yaba-1").unwrap();
    yaba.state.epoch = Epoch(9);
    yaba.state.revision = Revision(5);
    net.advance(Millis::from_secs(2));
    assert_eq!(net.membership("yaba-2").highest_epoch(), Epoch(9));
    assert_eq!(net.membership("ikeja-1").highest_epoch(), Epoch(0));
    let ahead = net
        .membership("yaba-2")
        .member_with_newer_revision(net.now, Revision(4));
    assert_eq!(ahead, Some(("yaba-1", Revision(5))));
    assert_eq!(
        net.membership("yaba-2")
            .member_with_newer_revision(net.now, Revision(5)),
        None
    );
}

#[test]
fn only_delegates_send_heartbeats_between_domains() {
    // Four domains of eight instances: per period, a delegate sends 7 heartbeats
    // to its own domain and 3 to 6 to others; any other instance sends 7.
    let names: Vec<String> = ["a", "b", "c", "d"]
        .iter()
        .flat_map(|domain| (1..=8).map(move |number| format!("{domain}-{number}")))
        .collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut net = Net::new(&all);
    net.list_all();
    net.advance(Millis::from_secs(20));
    net.sent.clear();
    net.advance(Millis::from_secs(10));
    for domain in ["a", "b", "c", "d"] {
        let delegates = net.membership(&format!("{domain}-1")).delegates(domain);
        assert_eq!(delegates.len(), DELEGATES_PER_DOMAIN);
        for name in all.iter().filter(|name| name.starts_with(domain)) {
            let sent = net.sent[*name];
            let delegate = delegates.contains(name);
            let bound = if delegate { 70 + 60 } else { 70 };
            assert!(sent >= 70 && sent <= bound, "{name} sent {sent}");
            assert_eq!(sent > 70, delegate, "{name} sent {sent}");
        }
    }
    for name in &all {
        for domain in ["a", "b", "c", "d"] {
            assert!(net.membership(name).is_domain_reachable(net.now, domain));
        }
    }
}

#[test]
fn lost_delegates_are_replaced() {
    let names: Vec<String> = ["a", "b"]
        .iter()
        .flat_map(|domain| (1..=4).map(move |number| format!("{domain}-{number}")))
        .collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut net = Net::new(&all);
    net.list_all();
    net.advance(Millis::from_secs(5));
    let delegates = net.membership("b-1").delegates("a");
    let lost: Vec<String> = delegates.iter().map(|name| (*name).to_owned()).collect();
    net.down.extend(lost);
    net.advance(Millis::from_secs(12));
    for name in ["b-1", "b-2", "b-3", "b-4"] {
        assert!(
            net.membership(name).is_domain_reachable(net.now, "a"),
            "{name}"
        );
    }
}

#[test]
fn an_unlisted_silent_member_is_removed() {
    let mut net = net_of_live_instances();
    net.down.insert("ikeja-2".to_owned());
    net.deliver_list("ikeja-1", &["ikeja-1"], &[]);
    net.advance(Millis::from_secs(62));
    assert!(net.membership("ikeja-1").member("ikeja-2").is_none());
}
