use proptest::prelude::*;

use crate::id::Revision;
use crate::spread::Head;
use crate::spread::RevisionInfo;
use crate::spread::Splice;
use crate::spread::head::MAX_LISTED_REVISIONS;
use crate::spread::head::Relation;
use crate::spread::head::merge_histories;

fn head(revisions: &[(u64, &str)]) -> Head {
    let infos: Vec<RevisionInfo> = revisions
        .iter()
        .map(|(revision, change)| RevisionInfo {
            revision: Revision(*revision),
            change: (*change).to_owned(),
            ..RevisionInfo::default()
        })
        .collect();
    Head {
        newest: infos[0].clone(),
        splice: None,
        older: infos[1..].to_vec(),
    }
}

#[test]
fn the_relation_of_heads_follows_their_histories() {
    let one = head(&[(1, "a")]);
    let two = head(&[(2, "b"), (1, "a")]);
    let other = head(&[(2, "x"), (1, "a")]);
    assert_eq!(two.relation(&two.clone()), Relation::Same);
    assert_eq!(one.relation(&two), Relation::Behind);
    assert_eq!(two.relation(&one), Relation::Ahead);
    assert_eq!(two.relation(&other), Relation::Diverged);
    assert_eq!(
        two.newest_common_revision(&other).map(|info| info.revision),
        Some(Revision(1))
    );
}

#[test]
fn a_revision_older_than_the_history_is_behind() {
    let names: Vec<(u64, &str)> = (100..100 + MAX_LISTED_REVISIONS as u64)
        .rev()
        .map(|n| (n, "x"))
        .collect();
    let new = head(&names);
    let old = head(&[(7, "a")]);
    assert_eq!(old.relation(&new), Relation::Behind);
    assert_eq!(new.relation(&old), Relation::Ahead);
}

#[test]
fn a_history_is_bounded_and_returns_the_dropped_revisions() {
    let names: Vec<(u64, &str)> = (1..=MAX_LISTED_REVISIONS as u64)
        .rev()
        .map(|n| (n, "x"))
        .collect();
    let (kept, dropped) = merge_histories(&[&head(&names)]);
    assert_eq!(kept.len(), MAX_LISTED_REVISIONS - 1);
    assert_eq!(dropped.len(), 1);
    assert_eq!(dropped[0].revision, Revision(1));
}

#[test]
fn a_head_round_trips_through_its_encoding() {
    let head = head(&[(2, "b"), (1, "a")]);
    assert_eq!(Head::decode(&head.encode()), Some(head));
    assert_eq!(Head::decode(b"{"), None);
}

proptest! {
    #[test]
    fn a_splice_reproduces_the_new_text(old in "[abö\n]{0,40}", new in "[abö\n]{0,40}") {
        if let Some(splice) = Splice::between(&old, &new) {
            prop_assert_eq!(splice.apply(&old), Some(new));
            prop_assert_eq!(splice.apply(&(old + "x")), None);
        }
    }

    #[test]
    fn one_change_in_a_long_text_makes_a_short_splice(at in 0..2000_usize, with in "[a-zö]{0,20}") {
        let old = "0123456789".repeat(200);
        let mut new = old.clone();
        new.insert_str(at, &with);
        let splice = Splice::between(&old, &new).expect("short");
        prop_assert!(splice.middle.len() <= with.len() + 1);
        prop_assert_eq!(splice.apply(&old), Some(new));
    }
}
