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

/// Time within which a change is in force everywhere while all is well.
const WITHIN: Millis = Millis::from_secs(5);
/// Time within which an older store is written anew.
const RESTORED_WITHIN: Millis = Millis::from_secs(10);

fn base() -> String {
    document(&[("a", "west"), ("b", "west"), ("c", "east")])
}

fn with(name: &str, region: &str) -> String {
    let mut domains = vec![("a", "west"), ("b", "west"), ("c", "east")];
    for domain in &mut domains {
        if domain.0 == name {
            domain.1 = region;
        }
    }
    document(&domains)
}

/// Returns a net in which the first revision is in force everywhere.
fn started() -> Net {
    let mut net = Net::new(2);
    net.run(Millis(500));
    assert_eq!(net.applied(0, 0, "first", &base()), 1);
    net.run(WITHIN);
    assert_eq!(net.revisions(), [1; 6]);
    net
}

fn region(net: &Net, node: usize, domain: &str) -> String {
    let declaration = net.nodes[node].spread.current().unwrap();
    let found = declaration.domains.iter().find(|one| one.name == domain);
    found.unwrap().region.clone()
}

#[test]
fn a_change_is_in_force_everywhere_soon() {
    let mut net = Net::new(5);
    net.run(Millis(500));
    net.apply(3, 0, "first", &base());
    net.run(WITHIN);
    assert_eq!(net.revisions(), [1; 15]);
    net.apply(7, 1, "second", &with("a", "north"));
    net.run(WITHIN);
    assert_eq!(net.revisions(), [2; 15]);
    assert!((0..15).all(|node| region(&net, node, "a") == "north"));
}

#[test]
fn the_same_change_again_is_harmless() {
    let mut net = started();
    assert_eq!(net.applied(1, 1, "second", &with("a", "north")), 2);
    assert_eq!(net.applied(5, 1, "second", &with("a", "north")), 2);
    assert_eq!(net.applied(1, 2, "again", &with("a", "north")), 2);
    net.run(WITHIN);
    assert_eq!(net.revisions(), [2; 6]);
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    // The text and the head are one write each.
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
        let mut net = started();
        net.store.faults = faults.clone().into();
        let ticket = net.apply(2, 1, "second", &with("a", "north"));
        net.run(Millis(300));
        net.store.settle();
        net.run(WITHIN);
        let applied = net.outcome(ticket).expect("answered").expect("accepted");
        assert_eq!(applied.revision, Revision(2), "{faults:?}");
        net.run(WITHIN);
        assert_eq!(net.revisions(), [2; 6], "{faults:?}");
    }
}

#[test]
fn a_swap_that_stays_unsettled_may_have_run() {
    let mut net = started();
    let before = net.store.keys.len();
    let ticket = net.apply(2, 1, "second", &with("a", "north"));
    while net.store.keys.len() == before {
        net.step();
    }
    // The text is written; the head is next.
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
    assert_eq!(net.applied(4, 1, "second", &with("a", "north")), 2);
}

#[test]
fn calls_that_never_come_back_do_not_block_an_instance() {
    let mut net = started();
    net.nodes[0].deaf = true;
    let ticket = net.apply(0, 1, "second", &with("a", "north"));
    net.run(Millis::from_secs(60));
    net.nodes[0].deaf = false;
    net.run(Millis::from_secs(120));
    assert!(net.outcome(ticket).is_some());
    assert_eq!(net.applied(0, 1, "third", &with("b", "south")), 2);
    net.run(WITHIN);
    assert_eq!(net.revisions(), [2; 6]);
}

#[test]
fn racing_changes_to_different_objects_are_both_in_force() {
    let mut net = started();
    let one = net.apply(0, 1, "one", &with("a", "north"));
    let two = net.apply(5, 1, "two", &with("b", "south"));
    net.run(WITHIN);
    let one = net.outcome(one).unwrap().unwrap();
    let two = net.outcome(two).unwrap().unwrap();
    assert_eq!(one.merged as u8 + two.merged as u8, 1);
    net.run(WITHIN);
    assert_eq!(net.revisions(), [3; 6]);
    assert_eq!(region(&net, 3, "a"), "north");
    assert_eq!(region(&net, 3, "b"), "south");
    // The head and three texts: the text of the lost race is gone.
    assert_eq!(net.store.keys.len(), 4);
}

#[test]
fn racing_changes_to_one_object_conflict_and_name_both() {
    let mut net = started();
    let one = net.apply(0, 1, "one", &with("a", "north"));
    let two = net.apply(5, 1, "two", &with("a", "south"));
    net.run(WITHIN);
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
    let mut net = started();
    for i in 0..6 {
        let text = with("b", &format!("region-{i}"));
        net.applied(0, 1 + i, &format!("b{i}"), &text);
    }
    // Revision 1 is no longer in memory; its text is read from the store.
    assert_eq!(net.applied(4, 1, "old", &with("a", "north")), 8);
    net.run(WITHIN);
    assert_eq!(region(&net, 0, "b"), "region-5");
    assert_eq!(region(&net, 0, "a"), "north");
}

#[test]
fn while_the_store_is_down_a_change_is_refused_and_the_old_one_stays() {
    let mut net = started();
    net.store.down = true;
    let ticket = net.apply(2, 1, "second", &with("a", "north"));
    net.run(Millis(300));
    let refusal = net.outcome(ticket).expect("answered at once").unwrap_err();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.retry_after, Some(Millis(700)));
    net.run(Millis::from_secs(60));
    assert_eq!(net.revisions(), [1; 6]);
    net.store.down = false;
    assert_eq!(net.applied(2, 1, "second", &with("a", "north")), 2);
}

#[test]
fn what_is_wrong_with_a_document_is_said_at_once() {
    let mut net = started();
    let ticket = net.apply(2, 1, "second", "[[domain]]\nname = \"x y\"\n");
    let refusal = net.outcome(ticket).expect("answered at once").unwrap_err();
    assert_eq!(refusal.reason, Reason::BadRequest);
    assert!(
        refusal.message.starts_with("second:2:8: `x y`"),
        "{}",
        refusal.message
    );
    let ticket = net.apply(2, 99, "third", &base());
    net.run(WITHIN);
    let refusal = net.outcome(ticket).unwrap().unwrap_err();
    assert_eq!(refusal.reason, Reason::Conflict);
}

#[test]
fn an_older_store_is_written_anew() {
    let mut net = started();
    let backup = net.store.keys.clone();
    net.applied(0, 1, "second", &with("a", "north"));
    net.applied(0, 2, "third", &with("a", "south"));
    net.run(WITHIN);
    net.store.keys = backup;
    net.run(RESTORED_WITHIN);
    assert_eq!(net.revisions(), [3; 6]);
    net.restart(4);
    net.run(WITHIN);
    assert_eq!(net.revisions(), [3; 6]);
    assert!(net.count(Count::DeclarationRestores) > 0);
    assert_eq!(region(&net, 4, "a"), "south");
    assert_eq!(net.applied(1, 3, "fourth", &with("b", "south")), 4);
}

#[test]
fn a_change_right_after_a_restore_keeps_what_was_accepted() {
    let mut net = started();
    let backup = net.store.keys.clone();
    net.applied(0, 1, "second", &with("a", "north"));
    net.run(WITHIN);
    net.store.keys = backup;
    assert_eq!(net.applied(1, 2, "third", &with("a", "south")), 3);
    net.run(WITHIN);
    assert_eq!(net.revisions(), [3; 6]);
}

#[test]
fn an_empty_or_unreadable_store_is_written_anew() {
    for damage in [None, Some(b"{".to_vec())] {
        let mut net = started();
        net.applied(0, 1, "second", &with("a", "north"));
        match damage {
            None => net.store.keys.clear(),
            Some(value) => net.store.keys.get_mut(HEAD_KEY).unwrap().value = value,
        }
        net.run(Millis::from_secs(60));
        net.restart(0);
        net.nodes[1].up = false;
        net.islands = vec!["a".to_owned()];
        net.run(WITHIN);
        assert_eq!(net.nodes[0].spread.revision(), Revision(2));
    }
}

#[test]
fn revisions_accepted_apart_are_reunited_above_both() {
    let mut net = started();
    let backup = net.store.keys.clone();
    // The domain `a` alone knows what it lets the old store accept.
    net.islands = vec!["a".to_owned()];
    for node in 0..2 {
        net.nodes[node].cut = true;
    }
    net.applied(2, 1, "before", &with("b", "south"));
    net.run(WITHIN);
    for node in 2..6 {
        net.nodes[node].cut = true;
    }
    net.store.keys = backup;
    for node in 0..2 {
        net.nodes[node].cut = false;
    }
    net.run(Millis::from_secs(60));
    assert_eq!(net.applied(0, 1, "after", &with("a", "north")), 2);
    for node in 2..6 {
        net.nodes[node].cut = false;
    }
    net.islands.clear();
    net.run(Millis::from_secs(120));
    assert_eq!(net.revisions(), [3; 6]);
    for node in 0..6 {
        assert_eq!(region(&net, node, "a"), "north");
        assert_eq!(region(&net, node, "b"), "south");
    }
}

/// While a change waits for the store's head, a peer brings a revision that was
/// accepted apart from it: the change must not be taken for the reunion.
#[test]
fn a_change_among_diverged_revisions_is_not_said_to_be_accepted() {
    let mut net = started();
    let backup = net.store.keys.clone();
    // So different from the first that no difference is sent.
    let whole = |region| document(&[("a", region), ("b", region), ("c", region)]);
    net.apply(0, 1, "one", &whole("north"));
    net.run(Millis(200));
    net.store.keys = backup;
    net.apply(1, 1, "two", &whole("south"));
    let three = net.apply(2, 1, "three", &whole("middle"));
    net.run(Millis::from_secs(30));
    let refusal = net.outcome(three).expect("answered").expect_err("refused");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(net.revisions(), [3; 6]);
    assert_eq!(region(&net, 0, "a"), "south");
}

#[test]
fn a_new_instance_learns_from_peers_during_an_outage() {
    let mut net = started();
    net.store.down = true;
    net.run(Millis::from_secs(5));
    let new = net.add("b");
    net.run(WITHIN);
    assert_eq!(net.nodes[new].spread.revision(), Revision(1));
    net.islands = vec!["d".to_owned()];
    let alone = net.add("d");
    net.run(Millis::from_secs(30));
    assert_eq!(net.nodes[alone].spread.current(), None);
}

#[test]
fn a_domain_that_was_cut_off_catches_up() {
    let mut net = started();
    net.islands = vec!["c".to_owned()];
    for node in 4..6 {
        net.nodes[node].cut = true;
    }
    for i in 1..=40 {
        let text = with("a", &format!("region-{i}"));
        net.applied(0, i, &format!("change-{i}"), &text);
    }
    assert_eq!(net.revisions(), [41, 41, 41, 41, 1, 1]);
    net.islands.clear();
    net.run(WITHIN);
    assert_eq!(net.revisions(), [41; 6]);
    // Texts of revisions that no head names are gone.
    assert_eq!(net.store.keys.len(), crate::spread::HISTORY + 1);
}

#[test]
fn a_lower_or_damaged_revision_from_a_peer_is_not_taken_over() {
    let mut net = started();
    let mut old = None;
    net.with(0, |spread, _| old = spread.current.clone());
    let old = old.unwrap();
    net.applied(0, 1, "second", &with("a", "north"));
    net.run(WITHIN);
    let body = crate::spread::Body::Whole(old.text.to_string());
    let mut head = Box::new(old.head);
    let newest = |head: &_| Message::Newest {
        head: Box::clone(head),
        body: body.clone(),
    };
    net.with(3, |spread, cx| {
        spread.on_message(cx, "a-0", "a-0", newest(&head))
    });
    assert_eq!(net.nodes[3].spread.revision(), Revision(2));
    let current = net.nodes[3].spread.current.clone().unwrap();
    let newest_there = current.head.newest.clone();
    *head = current.head;
    head.older.insert(0, newest_there);
    head.newest.revision = Revision(9);
    head.newest.hash = crate::spread::TextHash(0);
    net.with(3, |spread, cx| {
        spread.on_message(cx, "a-0", "a-0", newest(&head))
    });
    assert_eq!(net.nodes[3].spread.revision(), Revision(2));
    assert_eq!(net.nodes[3].metrics.count(Count::DeclarationsUnreadable), 1);
}

#[test]
fn operators_see_old_revisions_and_who_holds_what() {
    let mut net = started();
    for i in 1..=5 {
        net.applied(
            0,
            i,
            &format!("change-{i}"),
            &with("a", &format!("region-{i}")),
        );
    }
    net.run(WITHIN);
    net.with(2, |spread, cx| spread.show(cx, 900, Some(Revision(2))));
    net.with(2, |spread, cx| spread.show(cx, 901, Some(Revision(77))));
    net.run(Millis(300));
    let AdminAnswer::Json(value) = &net.nodes[2].answers[&900] else {
        panic!("no document");
    };
    let shown: crate::spread::Shown = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(shown.text, with("a", "region-1"));
    assert_eq!(shown.author, "change-1-author");
    assert!(matches!(
        net.nodes[2].answers[&901],
        AdminAnswer::Refused(_)
    ));
    assert_eq!(net.nodes[2].spread.history().len(), 6);
    let held = net.nodes[2].spread.held("b-2", &[]);
    assert_eq!(held.revision, Revision(6));
}

/// 320 instances may ask for no more than a tenth of the two thousand reads
/// that the service takes a second.
#[test]
fn reads_of_an_idle_fleet_are_bounded() {
    let mut net = started();
    let before = net.store.calls;
    let minutes = 10;
    net.run(Millis::from_secs(60 * minutes));
    let calls = net.store.calls - before;
    let a_second_at_full_size = calls as f64 / 6.0 / (60 * minutes) as f64 * 320.0;
    assert!(a_second_at_full_size < 200.0, "{a_second_at_full_size}");
}
