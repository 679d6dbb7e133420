use std::collections::BTreeMap;

use crate::capacity::Holder;
use crate::capacity::HomesDocument;
use crate::id::Boot;
use crate::id::Epoch;

fn holder(name: &str) -> Holder {
    Holder {
        name: name.to_owned(),
        boot: Boot(1),
        addr: format!("{name}:1"),
    }
}

fn document(names: &[&str]) -> HomesDocument {
    let start = HomesDocument::default();
    names
        .iter()
        .fold(start, |document, name| document.with(holder(name)))
}

#[test]
fn each_change_raises_the_epoch() {
    let document = document(&["x", "y"]);
    assert_eq!(document.epoch, Epoch(2));
    assert_eq!(document.without("x").epoch, Epoch(3));
    assert_eq!(document.above(Epoch(9)).epoch, Epoch(10));
    assert_eq!(document.above(Epoch(0)).epoch, Epoch(3));
}

#[test]
fn a_holder_that_leaves_moves_its_own_homes_only() {
    let before = document(&["w", "x", "y", "z"]);
    let after = before.without("y");
    let mut homes: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..400 {
        let backend = format!("engine-{number}");
        let home = before.home_of(&backend).unwrap().name.clone();
        let next = after.home_of(&backend).unwrap().name.clone();
        assert!(home == "y" || home == next, "{backend} moved for nothing");
        *homes.entry(home).or_default() += 1;
    }
    assert_eq!(homes.len(), 4);
    for (name, count) in homes {
        assert!((60..=140).contains(&count), "{name} is home of {count}");
    }
}

#[test]
fn the_document_tells_who_was_home_before() {
    let first = document(&["x"]);
    let third = first.with(holder("y")).without("y");
    let homes = third.homes_since(Epoch(1), "engine").unwrap();
    assert_eq!(homes.len(), 2);
    assert!(homes.contains(&"x"));
    let mut later = third;
    for _ in 0..5 {
        later = later.above(Epoch(0));
    }
    assert_eq!(later.homes_since(Epoch(1), "engine"), None);
}

#[test]
fn shares_follow_the_smallest_set_that_a_holder_may_know() {
    let document = document(&["x", "y", "z"]);
    assert_eq!(document.smallest_with("x", Epoch(0)), 1);
    assert_eq!(document.smallest_with("x", Epoch(2)), 2);
    assert_eq!(document.smallest_with("x", Epoch(3)), 3);
    assert_eq!(document.smallest_with("z", Epoch(0)), 3);
}
