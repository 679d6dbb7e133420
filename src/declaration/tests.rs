use proptest::prelude::*;

use super::*;

const TOKEN: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Returns a small document that is right.
fn whole() -> String {
    format!(
        r#"[[domain]]
name = "ikeja"
region = "lagos"

[[limit]]
match = "model"
warm = {{ streams = 8, memory_tokens = 1000 }}
cold = {{ streams = 1, memory_tokens = 100 }}

[[kind]]
name = "summary"
deadline_ms = 5000
importance = 50

[[route]]
name = "all"
match = "kind = summary"
prefer = ["locality = local", ""]

[[workspace]]
name = "bank"
token_sha256 = "{TOKEN}"
"#
    )
}

/// Returns the problems of the small document after one replacement.
fn problems(from: &str, to: &str) -> Vec<String> {
    let text = whole();
    assert!(text.contains(from), "{from}");
    let found = match parse("f.toml", &text.replacen(from, to, 1)) {
        Ok(document) => document.warnings,
        Err(problems) => problems,
    };
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn a_document_is_read_and_written_again() {
    let document = parse("f.toml", &whole()).unwrap();
    assert_eq!(document.warnings, []);
    let again = parse("f.toml", &text(&document.declaration)).unwrap();
    assert_eq!(again.declaration, document.declaration);
}

#[test]
fn a_wrong_shape_names_the_place_and_a_hint() {
    assert_eq!(
        problems("importance = 50", "importnce = 50"),
        [
            "f.toml:13:1: unknown field `importnce`, expected one of `name`, `target`, `service`, `operations`, `deadline_ms`, `importance`, `idempotent`, `max_tokens`, `claim_retention_ms`, `labels`\n  hint: did you mean `importance`?"
        ]
    );
    assert_eq!(
        problems("streams = 8", "streams = -8"),
        ["f.toml:7:20: invalid value: integer `-8`, expected u32"]
    );
    assert_eq!(
        problems("\"model\"", "\"model in\""),
        ["f.toml:6:9: at character 8: expected a list such as `(a, b)`"]
    );
}

#[test]
fn each_mistake_is_found_at_its_place() {
    let cases = [
        (
            "streams = 8",
            "streams = 0",
            "f.toml:7:20: streams must be 1 to 100000",
        ),
        (
            "streams = 1",
            "streams = 9",
            "f.toml:8:20: cold streams 9 is above warm streams 8",
        ),
        (
            "memory_tokens = 100 ",
            "memory_tokens = 0 ",
            "f.toml:8:39: warning: cold memory_tokens is not limited but warm memory_tokens is",
        ),
        (
            "deadline_ms = 5000",
            "deadline_ms = 0",
            "f.toml:12:15: deadline_ms must be 1 to 604800000",
        ),
        (
            "importance = 50",
            "importance = 101",
            "f.toml:13:14: importance must be 0 to 100",
        ),
        (
            "importance = 50",
            "importance = 50\ntarget = \"service\"",
            "f.toml:10:1: kind `summary` names no service",
        ),
        (
            "importance = 50",
            "importance = 50\nservice = \"calls\"",
            "f.toml:10:1: kind `summary` is served by engines but names a service",
        ),
        (
            "kind = summary",
            "kind = sumary",
            "f.toml:17:9: there is no kind `sumary`",
        ),
        (
            "kind = summary",
            "tier = gold",
            "f.toml:17:9: no kind or workspace has the label `tier`",
        ),
        (
            "kind = summary",
            "length = tiny",
            "f.toml:17:9: there is no length `tiny`",
        ),
        (
            "\"locality = local\"",
            "\"domain = lekki\"",
            "f.toml:18:11: there is no domain `lekki`",
        ),
        (
            "\"locality = local\"",
            "\"locality = near\"",
            "f.toml:18:11: there is no locality `near`",
        ),
        (
            "[\"locality = local\", \"\"]",
            "[]",
            "f.toml:18:10: route `all` prefers nothing",
        ),
        (
            "name = \"bank\"",
            "name = \"bank\"\nweight = 0",
            "f.toml:22:10: weight must be 1 to 10000",
        ),
        (
            TOKEN,
            "abc",
            "f.toml:22:16: the token's SHA-256 must be 64 hexadecimal digits in lower case",
        ),
        (
            "\"ikeja\"",
            "\"ike ja\"",
            "f.toml:2:8: `ike ja` is no valid name",
        ),
    ];
    for (from, to, expected) in cases {
        let found = problems(from, to);
        let mut firsts = found.iter().filter_map(|problem| problem.lines().next());
        assert!(firsts.any(|first| first == expected), "{to}: {found:#?}");
    }
}

#[test]
fn rules_behind_a_catch_all_are_errors() {
    let more = "\n[[limit]]\nmatch = \"model, gpu = h100\"\nwarm = { streams = 8 }\ncold = { streams = 1 }\n";
    let found = parse("f.toml", &(whole() + more)).unwrap_err();
    assert_eq!(
        found[0].to_string(),
        "f.toml:24:1: this limit can never match: number 1 takes all that it could\n  hint: the first match counts: put the narrower one first"
    );
}

#[test]
fn what_is_probably_not_meant_is_a_warning() {
    assert_eq!(
        problems("\"model\"", "\"modle\""),
        ["f.toml:6:9: warning: no label `modle` is declared\n  hint: did you mean `model`?"]
    );
    let kind = "[[kind]]\nname = \"x\"\ndeadline_ms = 1\nimportance = 1\n\n[[route]]";
    assert_eq!(problems("[[route]]", kind).len(), 1);
}

#[test]
fn a_name_or_an_operation_stands_once() {
    let twice = format!("{}\n[[domain]]\nname = \"ikeja\"\n", whole());
    let found = parse("f.toml", &twice).unwrap_err();
    assert!(found[0].message.contains("stands twice"), "{found:?}");
    let kind = |name: &str| {
        format!(
            "\n[[kind]]\nname = \"{name}\"\ntarget = \"service\"\nservice = \"calls\"\noperations = [\"log\"]\ndeadline_ms = 1\nimportance = 1\n"
        )
    };
    let found = parse("f.toml", &(whole() + &kind("a") + &kind("b"))).unwrap_err();
    let texts: Vec<String> = found.iter().map(ToString::to_string).collect();
    let expected = "operation `log` of service `calls` belong to kind `a`";
    assert!(
        texts.iter().any(|text| text.contains(expected)),
        "{texts:?}"
    );
}

#[test]
fn a_document_beyond_the_bound_is_refused() {
    let long = "#".repeat(MAX_DOCUMENT_BYTES + 1);
    assert!(parse("f.toml", &long).is_err());
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in "(\\PC|\n|\"|=|\\[|\\]){0,200}") {
        let _ = parse("f.toml", &text);
    }

    #[test]
    fn any_damage_is_read_or_refused(at in 0..500_usize, with in "\\PC{0,5}") {
        let mut text = whole();
        let at = at % text.len();
        text.replace_range(at..=at, &with);
        if let Err(problems) = parse("f.toml", &text) {
            let lines = text.lines().count() + 1;
            prop_assert!(problems.iter().all(|problem| (1..=lines).contains(&problem.line)));
        }
    }
}

/// Returns the small document after replacements, read.
fn changed(edits: &[(&str, &str)]) -> (String, Declaration) {
    let mut new = String::from("# Kept.\n") + &whole();
    for (from, to) in edits {
        assert!(new.contains(from), "{from}");
        new = new.replacen(from, to, 1);
    }
    let declaration = parse("f.toml", &new).unwrap().declaration;
    (new, declaration)
}

const MORE: &str = "\n[[route]]\nname = \"first\"\nmatch = \"kind = summary, length = long\"\nprefer = [\"\"]\n\n[[route]]\nname = \"all\"";

#[test]
fn changes_to_different_objects_merge_and_keep_the_layout() {
    let (_, base) = changed(&[]);
    let (text, ours) = changed(&[("importance = 50", "importance = 51 # why")]);
    let (_, theirs) = changed(&[("streams = 8", "streams = 9")]);
    let (merged, document) = merge(&base, (&text, &ours), &theirs).unwrap();
    assert!(merged.starts_with("# Kept.\n"), "{merged}");
    assert!(merged.contains("importance = 51 # why"), "{merged}");
    assert_eq!(document.declaration.limits[0].warm.streams, 9);
    assert_eq!(document.declaration.kinds[0].importance, 51);
}

#[test]
fn changes_to_one_object_conflict_unless_they_are_the_same() {
    let (_, base) = changed(&[]);
    let (text, ours) = changed(&[("importance = 50", "importance = 51")]);
    let (_, theirs) = changed(&[("importance = 50", "importance = 52")]);
    let error = merge(&base, (&text, &ours), &theirs).unwrap_err();
    assert_eq!(error.to_string(), "both changed [[kind]] `summary`");
    let (merged, _) = merge(&base, (&text, &ours), &ours).unwrap();
    assert_eq!(merged, text);
}

#[test]
fn a_new_route_keeps_its_place() {
    let (_, base) = changed(&[]);
    let (text, ours) = changed(&[("importance = 50", "importance = 51")]);
    let (_, theirs) = changed(&[("\n[[route]]\nname = \"all\"", MORE)]);
    let (merged, document) = merge(&base, (&text, &ours), &theirs).unwrap();
    let names: Vec<&str> = document
        .declaration
        .routes
        .iter()
        .map(|one| one.name.as_str())
        .collect();
    assert_eq!(names, ["first", "all"], "{merged}");
    let (_, back) = merge(&theirs, (&merged, &document.declaration), &base).unwrap();
    assert_eq!(back.declaration, ours);
}

#[test]
fn changes_that_are_wrong_together_are_refused() {
    let (_, base) = changed(&[]);
    let kind = "[[kind]]\nname = \"review\"\ndeadline_ms = 1\nimportance = 1\n\n[[route]]";
    let (_, with_kind) = changed(&[("[[route]]", kind)]);
    let (text, routed) = changed(&[
        ("[[route]]", kind),
        ("kind = summary", "kind in (summary, review)"),
    ]);
    let error = merge(&with_kind, (&text, &routed), &base).unwrap_err();
    assert!(matches!(error, MergeError::Invalid(_)), "{error}");
    assert!(
        error.to_string().contains("there is no kind `review`"),
        "{error}"
    );
}

#[test]
fn blocks_keep_their_text_and_comments() {
    let text = "# Head.\n\n# About a.\n[[domain]]\nname = \"a\" # Here.\n\n[[backend]]\nname = \"x\"\n\n[[domain]]\nname = \"b\"\n";
    let from = parse("f.toml", text).unwrap().declaration;
    let mut to = from.clone();
    to.domains[1].out = true;
    to.domains.push(Domain {
        name: "c".to_owned(),
        ..to.domains[1].clone()
    });
    to.backends.clear();
    let expected = "# Head.\n\n# About a.\n[[domain]]\nname = \"a\" # Here.\n\n[[domain]]\nname = \"b\"\nout = true\n\n[[domain]]\nname = \"c\"\nout = true\n";
    assert_eq!(rewrite(text, &from, &to), expected);
}

#[test]
fn a_text_in_another_style_is_written_anew() {
    let text = "domain = [{ name = \"a\" }, { name = \"b\" }]\n";
    let from = parse("f.toml", text).unwrap().declaration;
    let mut to = from.clone();
    to.domains[0].out = true;
    let new = rewrite(text, &from, &to);
    assert_eq!(parse("f.toml", &new).unwrap().declaration, to);
}

fn listed(name: &str) -> crate::fleet::Listing {
    crate::fleet::Listing {
        name: name.to_owned(),
        role: crate::fleet::Role::Engine,
        domain: "ikeja".to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        peer_addr: String::new(),
        leaving: false,
        labels: Labels::from([("model".to_owned(), "m".to_owned())]),
    }
}

#[test]
fn a_diff_shows_objects_and_routing() {
    let (_, base) = changed(&[]);
    let out = "[[backend]]\nname = \"e2\"\nout = true\n\n[[limit]]";
    let (_, new) = changed(&[("[[limit]]", out), ("importance = 50", "importance = 51")]);
    let shown = diff(&base, &new, &[listed("e1"), listed("e2")], "ikeja").to_string();
    let expected = "+ [[backend]] e2\n~ [[kind]] summary\n    importance: 50 -> 51\nrouting: 3 of 3 sampled requests go elsewhere\n  kind=summary workspace=bank model=m length=short\n    from route all: e1 e2\n    to   route all: e1\n";
    assert!(shown.starts_with(expected), "{shown}");
    assert_eq!(diff(&base, &base, &[listed("e1")], "ikeja").objects, []);
}

proptest! {
    /// Two changes that do not touch the same object both survive a merge, on
    /// whichever side they stand.
    #[test]
    fn merged_changes_both_survive(a in 0..4_usize, b in 0..4_usize) {
        let edits = [
            ("importance = 50", "importance = 60"),
            ("streams = 8", "streams = 9"),
            ("region = \"lagos\"", "region = \"west\""),
            ("\"locality = local\", ", ""),
        ];
        let (_, base) = changed(&[]);
        let (ours_text, ours) = changed(&edits[a..=a]);
        let (_, theirs) = changed(&edits[b..=b]);
        let (_, document) = merge(&base, (&ours_text, &ours), &theirs).unwrap();
        let (_, both) = changed(if a == b { &edits[a..=a] } else { &[] });
        if a == b {
            prop_assert_eq!(document.declaration, both);
        } else {
            let (_, expected) = changed(&[edits[a], edits[b]]);
            prop_assert_eq!(document.declaration, expected);
        }
    }
}

/// Returns the fields of a table as the reader knows them.
fn fields_of(table: &str) -> Vec<String> {
    let text = match table.split_once('.') {
        Some((table, part)) => format!("[[{table}]]\n{part} = {{ unknown-field = 1 }}\n"),
        None => format!("[[{table}]]\nunknown-field = 1\n"),
    };
    let problems = parse("f.toml", &text).unwrap_err();
    let names = problems[0].message.split('`').skip(1).step_by(2);
    names.skip(1).map(str::to_owned).collect()
}

#[test]
fn the_page_lists_every_field() {
    let page = include_str!("../../docs/CONFIGURATION.md");
    let mut rows = 0;
    for table in [
        "domain",
        "backend",
        "limit",
        "limit.warm",
        "kind",
        "route",
        "workspace",
    ] {
        let fields = fields_of(table);
        assert!(fields.len() >= 3, "{table}: {fields:?}");
        rows += fields.len();
        for field in fields {
            let row = format!("| `{table}` | `{field}` | ");
            assert!(page.contains(&row), "{row}");
        }
    }
    let listed = page
        .lines()
        .filter(|line| line.starts_with("| `") && !line.starts_with("| `["));
    assert_eq!(listed.count(), rows);
}
