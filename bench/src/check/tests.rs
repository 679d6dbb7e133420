use std::collections::BTreeMap;
use std::time::Duration;

use super::doubles;
use super::lies;
use super::phantoms;
use crate::load::Ending;
use crate::load::Outcome;
use skylarkhook::clock::Millis;

fn outcome(key: &str, ending: Ending) -> Outcome {
    Outcome {
        number: 0,
        copy: 0,
        class: 0,
        prompt_tokens: 0,
        at: Millis::ZERO,
        key: key.to_owned(),
        ending,
        first: None,
        total: Duration::ZERO,
        tokens: 0,
        gaps: Vec::new(),
        failovers: 0,
    }
}

fn refused(ran: &str) -> Ending {
    Ending::Refused {
        code: "backend_failed".to_owned(),
        ran: ran.to_owned(),
        retry_after_ms: None,
    }
}

fn runs(counts: &[(&str, u32)]) -> BTreeMap<String, u32> {
    let owned = |&(key, count): &(&str, u32)| (key.to_owned(), count);
    counts.iter().map(owned).collect()
}

#[test]
fn a_call_that_ran_although_all_its_callers_heard_no_is_a_lie() {
    let outcomes = [
        outcome("a", refused("no")),
        outcome("b", refused("no")),
        outcome("b", refused("maybe")),
        outcome("c", refused("no")),
    ];
    assert_eq!(lies(&runs(&[("a", 1), ("b", 1)]), &outcomes), 1);
}

#[test]
fn a_result_without_a_run_is_a_phantom() {
    let outcomes = [outcome("a", Ending::Whole), outcome("b", Ending::Whole)];
    assert_eq!(phantoms(&runs(&[("a", 1)]), &outcomes), 1);
}

#[test]
fn a_second_run_is_a_double() {
    assert_eq!(doubles(&runs(&[("a", 1), ("b", 2), ("c", 3)])), 2);
}
