//! Expected: each command ends with the exit code of its page, and what went
//! wrong is one clear line.

use std::net::TcpListener;
use std::thread;

use argh::FromArgs;

use super::Args;
use super::Exit;
use super::args::Target;
use super::declare::with_out;
use super::run;
use crate::declaration::parse;

/// Returns exit code, result and error text of a command.
fn command(words: &[&str]) -> (Exit, String, String) {
    let args = Args::from_args(&["skylarkhook"], words).expect("arguments");
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(args, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (exit, text(out), text(err))
}

/// Answers admin queries in turn; returns the address and what was asked.
fn instance(answers: Vec<(u16, String)>) -> (String, thread::JoinHandle<Vec<String>>) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let addr = server.server_addr().to_string();
    let asked = thread::spawn(move || {
        let mut asked = Vec::new();
        for (status, answer) in answers {
            let mut request = server.recv().unwrap();
            let mut body = String::new();
            request.as_reader().read_to_string(&mut body).unwrap();
            asked.push(body);
            let response = tiny_http::Response::from_string(answer).with_status_code(status);
            request.respond(response).unwrap();
        }
        asked
    });
    (addr, asked)
}

fn shown(revision: u64, text: &str) -> (u16, String) {
    let shown = serde_json::json!({"json": {
        "revision": revision, "change": "c", "author": "a", "at": 1, "text": text,
    }});
    (200, shown.to_string())
}

fn applied(revision: u64) -> (u16, String) {
    let applied = serde_json::json!({"json": {
        "revision": revision, "merged": false, "unchanged": false,
    }});
    (200, applied.to_string())
}

fn held(revisions: &[(&str, u64)]) -> (u16, String) {
    let peers: Vec<_> = revisions[1..]
        .iter()
        .map(|(name, revision)| {
            serde_json::json!({"instance": name, "domain": "a", "revision": revision})
        })
        .collect();
    let held = serde_json::json!({"json": {
        "instance": revisions[0].0, "revision": revisions[0].1, "peers": peers,
    }});
    (200, held.to_string())
}

fn refusal(reason: &str, verdict: &str) -> (u16, String) {
    let refusal = serde_json::json!({"refused": {
        "reason": reason, "verdict": verdict, "retry_after": 700, "message": "because",
    }});
    (409, refusal.to_string())
}

#[test]
fn the_page_lists_every_exit_code() {
    let page = include_str!("../../docs/CLI.md");
    for exit in Exit::ALL {
        let row = format!("| {} | {} |", exit.code(), exit.help());
        assert!(page.contains(&row), "{row}");
    }
}

#[test]
fn the_page_lists_every_command() {
    let page = include_str!("../../docs/CLI.md");
    let help = Args::from_args(&["skylarkhook"], &["--help"]).unwrap_err();
    let commands = help.output.split("Commands:").nth(1).expect("commands");
    let names: Vec<&str> = commands
        .lines()
        .take_while(|line| !line.starts_with("Examples"))
        .filter_map(|line| line.strip_prefix("  "))
        .filter(|line| !line.starts_with(' '))
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    assert!(names.len() >= 13, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("| `{name}")), "{name}");
    }
}

#[test]
fn a_wrong_or_unreachable_address_gives_one_clear_line() {
    let (exit, _, err) = command(&["--admin", "nowhere", "status"]);
    assert_eq!(exit, Exit::Unreachable);
    assert_eq!(
        err,
        "`nowhere` is no address; allowed: ip:port, such as 127.0.0.1:8081\n"
    );
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = closed.local_addr().unwrap().to_string();
    drop(closed);
    for words in [
        vec!["--admin", &addr, "history"],
        vec!["--callers", &addr, "ask", "--model", "m", "x"],
        vec!["--callers", &addr, "call", "callbacks", "log-outcome", "{}"],
    ] {
        let (exit, _, err) = command(&words);
        assert_eq!(exit, Exit::Unreachable, "{err}");
        assert!(
            err.starts_with(&format!("no answer from {addr}: ")),
            "{err}"
        );
        assert_eq!(err.lines().count(), 1, "{err}");
    }
}

#[test]
fn refusals_have_their_exit_codes() {
    let unauthorized =
        r#"{"error":{"message":"m","code":"unauthorized","ran":"no","retry_after_ms":null}}"#;
    let cases = [
        ((401, unauthorized.to_owned()), Exit::Unauthorized),
        (refusal("NotFound", "NotRun"), Exit::Refused),
        (refusal("Conflict", "NotRun"), Exit::Conflict),
        (refusal("Unavailable", "MayHaveRun"), Exit::MayHaveRun),
        ((200, "<html>".to_owned()), Exit::Unreachable),
    ];
    for (answer, expected) in cases {
        let (addr, asked) = instance(vec![answer.clone()]);
        let (exit, _, err) = command(&["--admin", &addr, "get"]);
        assert_eq!(exit, expected, "{answer:?}: {err}");
        asked.join().unwrap();
    }
}

#[test]
fn validate_names_each_place() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("f.toml");
    let file = file.to_str().unwrap();
    std::fs::write(file, "[[domain]]\nname = \"a b\"\n").unwrap();
    let (exit, out, err) = command(&["validate", file]);
    assert_eq!(exit, Exit::Invalid);
    assert!(
        out.starts_with(&format!("{file}:2:8: `a b` is no valid name")),
        "{out}"
    );
    assert_eq!(err, "1 of 1 files are not right\n");
    let (exit, ..) = command(&["validate", "no-such-file"]);
    assert_eq!(exit, Exit::Usage);
}

#[test]
fn the_examples_are_right() {
    let (exit, out, _) = command(&[
        "validate",
        "declarations/okonkwo-bello/fleet.toml",
        "declarations/muelle-vivo/fleet.toml",
    ]);
    assert_eq!((exit, out.as_str()), (Exit::Ok, "2 files are right\n"));
}

#[test]
fn apply_takes_its_base_from_the_file_and_waits() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("f.toml");
    let file = file.to_str().unwrap();
    let text = "[[domain]]\nname = \"a\"\n";
    std::fs::write(file, format!("# skylarkhook: revision 4\n{text}")).unwrap();
    let (addr, asked) = instance(vec![
        refusal("Unavailable", "MayHaveRun"),
        applied(5),
        held(&[("e1", 5), ("e2", 4)]),
        held(&[("e1", 5), ("e2", 5)]),
    ]);
    let words = ["--admin", &addr, "apply", "--wait", "--change", "x", file];
    let (exit, out, err) = command(&words);
    assert_eq!(exit, Exit::Ok, "{err}");
    assert!(
        out.starts_with("revision 5: accepted\nin force on 2 of 2 instances after "),
        "{out}"
    );
    let asked = asked.join().unwrap();
    let expected = serde_json::json!({"apply_declaration": {
        "base": 4, "text": text, "change": "x", "author": "operator",
    }});
    let first: serde_json::Value = serde_json::from_str(&asked[0]).unwrap();
    assert_eq!(first, expected);
    // Without a sure answer the same change is sent again.
    assert_eq!(asked[0], asked[1]);
}

#[test]
fn a_change_that_does_not_spread_in_time_is_said() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("f.toml");
    let file = file.to_str().unwrap();
    std::fs::write(file, "[[domain]]\nname = \"a\"\n").unwrap();
    let (addr, asked) = instance(vec![applied(1), held(&[("e1", 1), ("e2", 0)])]);
    let words = [
        "--admin",
        &addr,
        "apply",
        "--wait",
        "--wait-seconds",
        "0",
        file,
    ];
    let (exit, _, err) = command(&words);
    assert_eq!(exit, Exit::NotEverywhere);
    assert_eq!(
        err,
        "revision 1 is accepted, but in force on 1 of 2 instances only\n"
    );
    asked.join().unwrap();
}

#[test]
fn drain_keeps_the_text_and_sets_one_field() {
    let text = "# Ours.\n[[domain]]\nname = \"a\"\n\n# Theirs.\n[[domain]]\nname = \"b\" # B.\n";
    let (addr, asked) = instance(vec![shown(3, text), applied(4)]);
    let (exit, out, err) = command(&["--admin", &addr, "drain", "domain", "a"]);
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Ok, "revision 4: accepted\n"),
        "{err}"
    );
    let asked: serde_json::Value = serde_json::from_str(&asked.join().unwrap()[1]).unwrap();
    let sent = &asked["apply_declaration"];
    assert_eq!(sent["base"], 3);
    assert_eq!(
        sent["text"],
        "# Ours.\n[[domain]]\nname = \"a\"\nout = true\n\n# Theirs.\n[[domain]]\nname = \"b\" # B.\n"
    );
}

#[test]
fn a_backend_server_is_drained_and_restored() {
    let from = parse("f", "[[domain]]\nname = \"a\"\n")
        .unwrap()
        .declaration;
    let out = with_out(&from, Target::Backend, "e1", true).unwrap();
    assert!(out.backends[0].out);
    let back = with_out(&out, Target::Backend, "e1", false).unwrap();
    assert_eq!(back, from);
    let failure = with_out(&from, Target::Domain, "x", true).unwrap_err();
    assert_eq!(failure.message, "no failure domain `x` is declared");
}
