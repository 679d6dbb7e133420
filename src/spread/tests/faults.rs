use super::net::Fault;
use super::net::Net;
use super::net::document;
use crate::clock::Millis;
use crate::control::AdminAnswer;
use crate::id::Revision;
use crate::metrics::Count;
use crate::spread::HEAD_KEY;
use crate::spread::Message;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// Time within which all instances adopt a change in the absence of faults.
const ADOPTED_WITHIN: Millis = Millis::from_secs(5);
/// Time within which an older head in the store is replaced.
const RESTORED_WITHIN: Millis = Millis::from_secs(10);

fn base() -> String {
    document(&[("a", "west"), ("b", "west"), ("c", "east")])
}

/// Returns the base document with another region for one domain.
fn with_region(name: &str, region: &str) -> String {
    let mut domains = vec![("a", "west"), ("b", "west"), ("c", "east")];
    for domain in &mut domains {
        if domain.0 == name {
            domain.1 = region;
        }
    }
    document(&domains)
}

/// Returns a net in which all instances have adopted revision 1.
fn net_at_revision_1() -> Net {
    let mut net = Net::new(2);
    net.run(Millis(500));
    assert_eq!(net.apply_and_wait(0, 0, "first", &base()), 1);
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [1; 6]);
    net
}

fn region(net: &Net, node: usize, domain: &str) -> String {
    let declaration = net.nodes[node].spread.current().unwrap();
    let found = declaration.domains.iter().find(|one| one.name == domain);
    found.unwrap().region.clone()
}

#[test]
fn every_instance_adopts_a_change_within_five_seconds() {
    let mut net = Net::new(5);
    net.run(Millis(500));
    net.apply(3, 0, "first", &base());
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [1; 15]);
    net.apply(7, 1, "second", &with_region("a", "north"));
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [2; 15]);
    assert!((0..15).all(|node| region(&net, node, "a") == "north"));
}

#[test]
fn a_repeated_change_is_idempotent() {
    let mut net = net_at_revision_1();
    assert_eq!(
        net.apply_and_wait(1, 1, "second", &with_region("a", "north")),
        2
    );
    assert_eq!(
        net.apply_and_wait(5, 1, "second", &with_region("a", "north")),
        2
    );
    assert_eq!(
        net.apply_and_wait(1, 2, "again", &with_region("a", "north")),
        2
    );
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [2; 6]);
}

#[test]
fn a_lost_answer_is_resolved_by_reading_the_head() {
    // A change takes two writes: the text and the head.
    for faults in [
        vec![Fault::LostAnswer, Fault::LostAnswer],
        vec![
            Fault::LostWrite,
            Fault::LostWrite,
            Fault::LostAnswer,
            Fault::LostWrite,
        ],
        vec![Fault::LateWrite, Fault::LateWrite],
    ] {
        let mut net = net_at_revision_1();
        net.store.faults = faults.clone().into();
        let ticket = net.apply(2, 1, "second", &with_region("a", "north"));
        net.run(Millis(300));
        net.store.apply_late_writes();
        net.run(ADOPTED_WITHIN);
        let applied = net.outcome(ticket).expect("answered").expect("accepted");
        assert_eq!(applied.revision, Revision(2), "{faults:?}");
        net.run(ADOPTED_WITHIN);
        assert_eq!(net.revisions(), [2; 6], "{faults:?}");
    }
}

#[test]
fn an_unconfirmed_swap_is_refused_as_may_have_run() {
    let mut net = net_at_revision_1();
    let before = net.store.keys.len();
    let ticket = net.apply(2, 1, "second", &with_region("a", "north"));
    while net.store.keys.len() == before {
        net.step();
    }
    // The text is written; the next write is the swap of the head.
    net.store.faults = vec![Fault::LostAnswer].into();
    net.run(Millis(200));
    net.store.down = true;
    net.run(Millis::from_secs(30));
    let refusal = net
        .outcome(ticket)
        .expect("answered")
        .expect_err("unsettled");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    net.store.down = false;
    assert_eq!(
        net.apply_and_wait(4, 1, "second", &with_region("a", "north")),
        2
    );
}

#[test]
fn unanswered_store_calls_do_not_block_an_instance() {
    let mut net = net_at_revision_1();
    net.nodes[0].drops_store_answers = true;
    let ticket = net.apply(0, 1, "second", &with_region("a", "north"));
    net.run(Millis::from_secs(60));
    net.nodes[0].drops_store_answers = false;
    net.run(Millis::from_secs(120));
    assert!(net.outcome(ticket).is_some());
    assert_eq!(
        net.apply_and_wait(0, 1, "third", &with_region("b", "south")),
        2
    );
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [2; 6]);
}

#[test]
fn concurrent_changes_to_different_objects_are_merged() {
    let mut net = net_at_revision_1();
    let one = net.apply(0, 1, "one", &with_region("a", "north"));
    let two = net.apply(5, 1, "two", &with_region("b", "south"));
    net.run(ADOPTED_WITHIN);
    let one = net.outcome(one).unwrap().unwrap();
    let two = net.outcome(two).unwrap().unwrap();
    assert_eq!(one.merged as u8 + two.merged as u8, 1);
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [3; 6]);
    assert_eq!(region(&net, 3, "a"), "north");
    assert_eq!(region(&net, 3, "b"), "south");
    // The head and three texts: the text that lost the swap is deleted.
    assert_eq!(net.store.keys.len(), 4);
}

#[test]
fn concurrent_changes_to_one_object_conflict_and_the_refusal_names_both() {
    let mut net = net_at_revision_1();
    let one = net.apply(0, 1, "one", &with_region("a", "north"));
    let two = net.apply(5, 1, "two", &with_region("a", "south"));
    net.run(ADOPTED_WITHIN);
    let outcomes = [net.outcome(one).unwrap(), net.outcome(two).unwrap()];
    let refusals: Vec<_> = outcomes
        .iter()
        .filter_map(|one| one.as_ref().err())
        .collect();
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].reason, Reason::Conflict);
    assert_eq!(refusals[0].verdict, Verdict::NotRun);
    assert!(
        refusals[0].message.contains("`one`"),
        "{}",
        refusals[0].message
    );
    assert!(
        refusals[0].message.contains("`two`"),
        "{}",
        refusals[0].message
    );
    assert!(refusals[0].message.contains("[[domain]] `a`"));
}

#[test]
fn a_change_on_an_old_base_is_merged_from_the_stores_history() {
    let mut net = net_at_revision_1();
    for i in 0..6 {
        let text = with_region("b", &format!("region-{i}"));
        net.apply_and_wait(0, 1 + i, &format!("b{i}"), &text);
    }
    // Revision 1 is no longer in memory; its text is read from the store.
    assert_eq!(
        net.apply_and_wait(4, 1, "old", &with_region("a", "north")),
        8
    );
    net.run(ADOPTED_WITHIN);
    assert_eq!(region(&net, 0, "b"), "region-5");
    assert_eq!(region(&net, 0, "a"), "north");
}

#[test]
fn a_change_is_refused_and_the_old_revision_stays_while_the_store_is_down() {
    let mut net = net_at_revision_1();
    net.store.down = true;
    let ticket = net.apply(2, 1, "second", &with_region("a", "north"));
    net.run(Millis(300));
    let refusal = net.outcome(ticket).expect("answered at once").unwrap_err();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.retry_after, Some(Millis(700)));
    net.run(Millis::from_secs(60));
    assert_eq!(net.revisions(), [1; 6]);
    net.store.down = false;
    assert_eq!(
        net.apply_and_wait(2, 1, "second", &with_region("a", "north")),
        2
    );
}

#[test]
fn an_invalid_change_is_refused_with_its_problems() {
    let mut net = net_at_revision_1();
    let ticket = net.apply(2, 1, "second", "[[domain]]\nname = \"x y\"\n");
    let refusal = net.outcome(ticket).expect("answered at once").unwrap_err();
    assert_eq!(refusal.reason, Reason::BadRequest);
    assert!(
        refusal.message.starts_with("second:2:8: `x y`"),
        "{}",
        refusal.message
    );
    let ticket = net.apply(2, 99, "third", &base());
    net.run(ADOPTED_WITHIN);
    let refusal = net.outcome(ticket).unwrap().unwrap_err();
    assert_eq!(refusal.reason, Reason::Conflict);
}

#[test]
fn an_older_head_in_the_store_is_replaced() {
    let mut net = net_at_revision_1();
    let backup = net.store.keys.clone();
    net.apply_and_wait(0, 1, "second", &with_region("a", "north"));
    net.apply_and_wait(0, 2, "third", &with_region("a", "south"));
    net.run(ADOPTED_WITHIN);
    net.store.keys = backup;
    net.run(RESTORED_WITHIN);
    assert_eq!(net.revisions(), [3; 6]);
    net.restart(4);
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [3; 6]);
    assert!(net.count(Count::DeclarationRestores) > 0);
    assert_eq!(region(&net, 4, "a"), "south");
    assert_eq!(
        net.apply_and_wait(1, 3, "fourth", &with_region("b", "south")),
        4
    );
}

#[test]
fn a_change_right_after_a_restore_keeps_earlier_accepted_changes() {
    let mut net = net_at_revision_1();
    let backup = net.store.keys.clone();
    net.apply_and_wait(0, 1, "second", &with_region("a", "north"));
    net.run(ADOPTED_WITHIN);
    net.store.keys = backup;
    assert_eq!(
        net.apply_and_wait(1, 2, "third", &with_region("a", "south")),
        3
    );
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [3; 6]);
}

#[test]
fn a_missing_or_invalid_head_in_the_store_is_replaced() {
    for damage in [None, Some(b"{".to_vec())] {
        let mut net = net_at_revision_1();
        net.apply_and_wait(0, 1, "second", &with_region("a", "north"));
        match damage {
            None => net.store.keys.clear(),
            Some(value) => net.store.keys.get_mut(HEAD_KEY).unwrap().value = value,
        }
        net.run(Millis::from_secs(60));
        net.restart(0);
        net.nodes[1].up = false;
        net.partitioned_domains = vec!["a".to_owned()];
        net.run(ADOPTED_WITHIN);
        assert_eq!(net.nodes[0].spread.revision(), Revision(2));
    }
}

#[test]
fn diverged_revisions_are_merged_into_one_above_both() {
    let mut net = net_at_revision_1();
    let backup = net.store.keys.clone();
    // Domain `a` is cut off from the others, so it alone knows the change that the
    // restored store accepts from it.
    net.partitioned_domains = vec!["a".to_owned()];
    for node in 0..2 {
        net.nodes[node].cut_off_from_store = true;
    }
    net.apply_and_wait(2, 1, "before", &with_region("b", "south"));
    net.run(ADOPTED_WITHIN);
    for node in 2..6 {
        net.nodes[node].cut_off_from_store = true;
    }
    net.store.keys = backup;
    for node in 0..2 {
        net.nodes[node].cut_off_from_store = false;
    }
    net.run(Millis::from_secs(60));
    assert_eq!(
        net.apply_and_wait(0, 1, "after", &with_region("a", "north")),
        2
    );
    for node in 2..6 {
        net.nodes[node].cut_off_from_store = false;
    }
    net.partitioned_domains.clear();
    net.run(Millis::from_secs(120));
    assert_eq!(net.revisions(), [3; 6]);
    for node in 0..6 {
        assert_eq!(region(&net, node, "a"), "north");
        assert_eq!(region(&net, node, "b"), "south");
    }
}

/// While a change waits for the store's head, a peer delivers a diverged revision.
/// The change must not be answered as accepted when the two revisions are merged.
#[test]
fn a_change_is_not_reported_as_accepted_if_revisions_have_diverged() {
    let mut net = net_at_revision_1();
    let backup = net.store.keys.clone();
    // Differs so much from the first revision that no diff is sent.
    let all_regions = |region| document(&[("a", region), ("b", region), ("c", region)]);
    net.apply(0, 1, "one", &all_regions("north"));
    net.run(Millis(200));
    net.store.keys = backup;
    net.apply(1, 1, "two", &all_regions("south"));
    let three = net.apply(2, 1, "three", &all_regions("middle"));
    net.run(Millis::from_secs(30));
    let refusal = net.outcome(three).expect("answered").expect_err("refused");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(net.revisions(), [3; 6]);
    assert_eq!(region(&net, 0, "a"), "south");
}

#[test]
fn a_new_instance_pulls_from_peers_during_a_store_outage() {
    let mut net = net_at_revision_1();
    net.store.down = true;
    net.run(Millis::from_secs(5));
    let new = net.add("b");
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.nodes[new].spread.revision(), Revision(1));
    net.partitioned_domains = vec!["d".to_owned()];
    let isolated = net.add("d");
    net.run(Millis::from_secs(30));
    assert_eq!(net.nodes[isolated].spread.current(), None);
}

#[test]
fn a_partitioned_domain_catches_up() {
    let mut net = net_at_revision_1();
    net.partitioned_domains = vec!["c".to_owned()];
    for node in 4..6 {
        net.nodes[node].cut_off_from_store = true;
    }
    for i in 1..=40 {
        let text = with_region("a", &format!("region-{i}"));
        net.apply_and_wait(0, i, &format!("change-{i}"), &text);
    }
    assert_eq!(net.revisions(), [41, 41, 41, 41, 1, 1]);
    net.partitioned_domains.clear();
    net.run(ADOPTED_WITHIN);
    assert_eq!(net.revisions(), [41; 6]);
    // The texts of revisions that no head lists are deleted.
    assert_eq!(
        net.store.keys.len(),
        crate::spread::MAX_LISTED_REVISIONS + 1
    );
}

#[test]
fn a_lower_or_damaged_revision_from_a_peer_is_not_adopted() {
    let mut net = net_at_revision_1();
    let mut old = None;
    net.run_on(0, |spread, _| old = spread.current.clone());
    let old = old.unwrap();
    net.apply_and_wait(0, 1, "second", &with_region("a", "north"));
    net.run(ADOPTED_WITHIN);
    let body = crate::spread::Body::Whole(old.text.to_string());
    let mut head = Box::new(old.head);
    let newest = |head: &_| Message::Newest {
        head: Box::clone(head),
        body: body.clone(),
    };
    net.run_on(3, |spread, cx| {
        spread.on_message(cx, "a-0", "a-0", newest(&head))
    });
    assert_eq!(net.nodes[3].spread.revision(), Revision(2));
    let current = net.nodes[3].spread.current.clone().unwrap();
    let newest_of_node = current.head.newest.clone();
    *head = current.head;
    head.older.insert(0, newest_of_node);
    head.newest.revision = Revision(9);
    head.newest.hash = crate::spread::TextHash(0);
    net.run_on(3, |spread, cx| {
        spread.on_message(cx, "a-0", "a-0", newest(&head))
    });
    assert_eq!(net.nodes[3].spread.revision(), Revision(2));
    assert_eq!(net.nodes[3].metrics.count(Count::DeclarationsUnreadable), 1);
}

#[test]
fn operators_can_read_old_revisions_the_history_and_the_revisions_of_instances() {
    let mut net = net_at_revision_1();
    for i in 1..=5 {
        net.apply_and_wait(
            0,
            i,
            &format!("change-{i}"),
            &with_region("a", &format!("region-{i}")),
        );
    }
    net.run(ADOPTED_WITHIN);
    net.run_on(2, |spread, cx| {
        spread.answer_document(cx, 900, Some(Revision(2)))
    });
    net.run_on(2, |spread, cx| {
        spread.answer_document(cx, 901, Some(Revision(77)))
    });
    net.run(Millis(300));
    let AdminAnswer::Json(value) = &net.nodes[2].answers[&900] else {
        panic!("not a document");
    };
    let shown: crate::spread::RevisionDocument = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(shown.text, with_region("a", "region-1"));
    assert_eq!(shown.author, "change-1-author");
    assert!(matches!(
        net.nodes[2].answers[&901],
        AdminAnswer::Refused(_)
    ));
    assert_eq!(net.nodes[2].spread.history().len(), 6);
    let held = net.nodes[2].spread.held_revisions("b-2", &[]);
    assert_eq!(held.revision, Revision(6));
}

/// A fleet of 320 instances may use at most a tenth of the 2,000 reads per second
/// that the service handles.
#[test]
fn reads_of_an_idle_fleet_are_bounded() {
    let mut net = net_at_revision_1();
    let before = net.store.calls;
    let minutes = 10;
    net.run(Millis::from_secs(60 * minutes));
    let calls = net.store.calls - before;
    let calls_per_s_of_320 = calls as f64 / 6.0 / (60 * minutes) as f64 * 320.0;
    assert!(calls_per_s_of_320 < 200.0, "{calls_per_s_of_320}");
}
