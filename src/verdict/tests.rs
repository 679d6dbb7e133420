//! docs/ERRORS.md must list every reason, in the table's order, with its code,
//! status and meaning.

use std::collections::BTreeSet;

use super::*;

#[test]
fn error_page_lists_every_reason() {
    let source = include_str!("../verdict.rs");
    let page = include_str!("../../docs/ERRORS.md");
    let rows: Vec<Vec<&str>> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect())
        .collect();
    assert_eq!(rows.len(), Reason::ALL.len());
    for (row, reason) in rows.iter().zip(Reason::ALL) {
        let [code, status, ran, meaning, advice] = row[..] else {
            panic!("five columns: {row:?}");
        };
        assert_eq!(code, format!("`{}`", reason.code()));
        assert_eq!(status, reason.status().to_string());
        assert!(
            ["no", "maybe", "no or maybe"].contains(&ran),
            "{code}: {ran}"
        );
        assert!(
            source.contains(&format!("/// {meaning}\n")),
            "{code}: {meaning}"
        );
        assert!(!advice.is_empty(), "{code}");
    }
}

#[test]
fn codes_are_unique_and_statuses_are_errors() {
    let codes: BTreeSet<&str> = Reason::ALL.iter().map(|reason| reason.code()).collect();
    assert_eq!(codes.len(), Reason::ALL.len());
    assert!(
        Reason::ALL
            .iter()
            .all(|reason| (400..600).contains(&reason.status()))
    );
}

#[test]
fn combined_verdict_is_not_run_only_if_neither_try_ran() {
    let all = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Done];
    for (a, b) in all.iter().flat_map(|a| all.iter().map(move |b| (*a, *b))) {
        let both = a == Verdict::NotRun && b == Verdict::NotRun;
        assert_eq!(a.combine(b) == Verdict::NotRun, both);
        assert_eq!(a.combine(b), b.combine(a));
    }
}
