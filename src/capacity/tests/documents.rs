use std::collections::BTreeMap;

use crate::capacity::CoordinatorsDocument;
use crate::capacity::Holder;
use crate::id::Boot;
use crate::id::Epoch;

fn holder(name: &str) -> Holder {
    Holder {
        name: name.to_owned(),
        boot: Boot(1),
        addr: format!("{name}:1"),
    }
}

fn document(names: &[&str]) -> CoordinatorsDocument {
    let start = CoordinatorsDocument::default();
    names
        .iter()
        .fold(start, |document, name| document.with_holder(holder(name)))
}

#[test]
fn each_change_raises_the_epoch() {
    let document = document(&["x", "y"]);
    assert_eq!(document.epoch, Epoch(2));
    assert_eq!(document.without_holder("x").epoch, Epoch(3));
    assert_eq!(document.with_epoch_above(Epoch(9)).epoch, Epoch(10));
    assert_eq!(document.with_epoch_above(Epoch(0)).epoch, Epoch(3));
}

#[test]
fn removing_a_holder_moves_only_its_backends() {
    let before = document(&["w", "x", "y", "z"]);
    let after = before.without_holder("y");
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..400 {
        let backend = format!("engine-{number}");
        let coordinator = before.coordinator_of(&backend).unwrap().name.clone();
        let new_coordinator = after.coordinator_of(&backend).unwrap().name.clone();
        assert!(
            coordinator == "y" || coordinator == new_coordinator,
            "{backend} moved without need"
        );
        *counts.entry(coordinator).or_default() += 1;
    }
    assert_eq!(counts.len(), 4);
    for (name, count) in counts {
        assert!(
            (60..=140).contains(&count),
            "{name} coordinates {count} backend servers"
        );
    }
}

#[test]
fn the_document_names_earlier_coordinators() {
    let first = document(&["x"]);
    let third = first.with_holder(holder("y")).without_holder("y");
    let coordinators = third.coordinators_since(Epoch(1), "engine").unwrap();
    assert_eq!(coordinators.len(), 2);
    assert!(coordinators.contains(&"x"));
    let mut later = third;
    for _ in 0..5 {
        later = later.with_epoch_above(Epoch(0));
    }
    assert_eq!(later.coordinators_since(Epoch(1), "engine"), None);
}

#[test]
fn the_smallest_set_depends_on_the_last_known_epoch() {
    let document = document(&["x", "y", "z"]);
    assert_eq!(document.min_holder_count("x", Epoch(0)), 1);
    assert_eq!(document.min_holder_count("x", Epoch(2)), 2);
    assert_eq!(document.min_holder_count("x", Epoch(3)), 3);
    assert_eq!(document.min_holder_count("z", Epoch(0)), 3);
}
