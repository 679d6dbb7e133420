//! Expected: both programs end with the exit codes of docs/CLI.md and say in one
//! line each what is wrong.

use std::process::Command;
use std::process::Output;

const DAEMON: &str = env!("CARGO_BIN_EXE_skylarkhookd");
const CLI: &str = env!("CARGO_BIN_EXE_skylarkhook");

fn run(program: &str, words: &[&str]) -> Output {
    let output = Command::new(program).args(words).output();
    output.expect("the program runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn wrong_settings_end_the_daemon_with_2() {
    let output = run(DAEMON, &["--check-settings", "--set", "callers.listen=x"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    let expected = "flags: [callers] listen: `x`: it is no IP address with a port; allowed: ";
    assert!(text.contains(expected), "{text}");
    assert!(text.contains("flags: [instance] name: missing"), "{text}");
}

#[test]
fn right_settings_pass_the_check() {
    let dir = tempfile::tempdir().expect("a directory");
    let secret = dir.path().join("secret");
    std::fs::write(&secret, "a-secret-of-some-length\n").expect("written");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/skylarkhookd.ini");
    let token_file = format!("admin.token_file={}", secret.display());
    let secret_file = format!("peer.secret_file={}", secret.display());
    let flags = [
        "--settings",
        example,
        "--set",
        &token_file,
        "--set",
        &secret_file,
        "--check-settings",
    ];
    let output = run(DAEMON, &flags);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn the_command_line_ends_with_the_codes_of_its_page() {
    let cases = [
        (vec!["--help"], 0),
        (vec!["no-such-command"], 2),
        (vec!["--admin", "nowhere", "status"], 3),
        (vec!["validate", "no-such-file"], 2),
    ];
    for (words, code) in cases {
        let output = run(CLI, &words);
        assert_eq!(output.status.code(), Some(code), "{words:?}");
    }
}
