//! docs/METRICS.md lists exactly the metrics of the registry, and durations are
//! counted under their label.

use std::collections::BTreeSet;

use super::*;

/// Returns name, type and help text of each metric in the output of `/metrics`.
fn exported(metrics: &Metrics) -> BTreeSet<String> {
    let text = metrics.encode().unwrap();
    let kinds = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    kinds
        .map(|line| {
            let (name, kind) = line.split_once(' ').unwrap();
            let help = format!("# HELP {name} ");
            let help = text.lines().find_map(|line| line.strip_prefix(&help));
            let suffix = if kind == "counter" { "_total" } else { "" };
            let help = help.unwrap().trim_end_matches('.');
            format!("| `{name}{suffix}` | {kind} | {help} |")
        })
        .collect()
}

#[test]
fn the_page_lists_every_metric() {
    let metrics = Metrics::new();
    metrics.observe(Timing::FirstToken, "short", Millis(1));
    metrics.observe(Timing::FirstOutput, "summary", Millis(1));
    metrics.observe(Timing::Queued, "summary", Millis(1));
    metrics.observe(Timing::Whole, "summary", Millis(1));
    let page = include_str!("../../docs/METRICS.md");
    let listed: BTreeSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| `skylarkhook_"))
        .map(|line| line.split(" | ").take(3).collect::<Vec<_>>().join(" | "))
        .map(|line| line.trim_end_matches(" |").to_owned() + " |")
        .collect();
    let exported = exported(&metrics);
    let missing: Vec<_> = exported.difference(&listed).collect();
    let surplus: Vec<_> = listed.difference(&exported).collect();
    assert!(
        missing.is_empty() && surplus.is_empty(),
        "missing {missing:#?}, surplus {surplus:#?}"
    );
}

#[test]
fn durations_are_counted_under_their_label() {
    let metrics = Metrics::new();
    metrics.observe(Timing::FirstToken, "short", Millis(300));
    metrics.observe(Timing::FirstToken, "huge", Millis(90_000));
    let text = metrics.encode().unwrap();
    for line in [
        r#"skylarkhook_first_token_seconds_sum{length="short"} 0.3"#,
        r#"skylarkhook_first_token_seconds_bucket{le="0.2",length="short"} 0"#,
        r#"skylarkhook_first_token_seconds_bucket{le="0.4",length="short"} 1"#,
        r#"skylarkhook_first_token_seconds_count{length="huge"} 1"#,
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}
