//! Entries of backend servers that another writer has left in the store.

use crate::backend::Backend;
use crate::backend::Runs;
use crate::platform::Store;
use crate::platform::configuration;
use crate::process::Gateway;
use crate::process::call;

/// Returns an entry of another service with one field replaced by this JSON text.
fn entry_with(backend: &Backend, field: &str, value: &str) -> Vec<u8> {
    let mut entry: serde_json::Map<String, serde_json::Value> =
        serde_json::from_str(&backend.entry("ready")).unwrap();
    entry.insert("service".to_owned(), "odd".into());
    entry.insert(field.to_owned(), "@".into());
    let text = serde_json::to_string(&entry).unwrap();
    text.replace("\"@\"", value).into_bytes()
}

/// Guards against instances that end, or no longer follow the list of servers, after
/// one odd entry.
#[test]
fn odd_entries_of_servers_do_not_keep_an_instance_from_following_the_others() {
    let dir = tempfile::tempdir().unwrap();
    let (store, addr) = Store::start().unwrap();
    let runs = Runs::default();
    let first = Backend::start("i-1", runs.clone()).unwrap();
    store.put("op/config", configuration(3, &["k1"]).as_bytes());
    store.put("servers/i-1", first.entry("ready").as_bytes());
    let mut gateway = Gateway::start(dir.path(), "g1", addr);
    gateway.wait_ready();
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let text = format!("\"{}\"", "x".repeat(50_000));
    let mut odd: Vec<Vec<u8>> = vec![
        Vec::new(),
        vec![0xff, 0xfe, 0],
        b"null".to_vec(),
        b"{".repeat(50_000),
        nested.clone().into_bytes(),
    ];
    for field in [
        "service",
        "address",
        "zone",
        "slots",
        "state",
        "coldRemainingMs",
        "sequence",
        "born",
        "unknown",
    ] {
        for value in [
            "null",
            "-1",
            "1e999",
            "1e308",
            "4294967295",
            "18446744073709551616",
            "1.5",
            "{}",
            "\"127.0.0.1:99999\"",
            "\"127.0.0.1:0\"",
            "\"[::1]:9\"",
            "\"\"",
            &nested,
            &text,
        ] {
            odd.push(entry_with(&first, field, value));
        }
    }
    for (number, value) in odd.iter().enumerate() {
        store.put(&format!("servers/odd-{number}"), value);
    }
    for key in [
        "servers/",
        "servers/i 2",
        "servers/\u{e9}",
        "servers/\u{7f}",
        "servers/a/b",
    ] {
        store.put(key, &entry_with(&first, "unknown", "1"));
    }
    // Numbers that can be read, of servers that are used.
    for (field, value) in [
        ("slots", "4294967295"),
        ("slots", "0"),
        ("coldRemainingMs", "1e308"),
        ("sequence", "18446744073709551615"),
        ("born", "18446744073709551615"),
    ] {
        let entry = String::from_utf8(entry_with(&first, field, value)).unwrap();
        let entry = entry.replace("\"odd\"", "\"s\"");
        store.put(&format!("servers/large-{field}"), entry.as_bytes());
    }
    let second = Backend::start("i-2", runs.clone()).unwrap();
    store.put("servers/i-2", second.entry("ready").as_bytes());
    gateway.wait_line_with("backend server listed", "server", "i-2");
    store.remove("servers/i-1");
    gateway.wait_line_with("backend server gone", "server", "i-1");
    let mut answered = 0;
    for n in 0..40 {
        let id = format!("r{n}");
        let headers = [
            ("X-Skylarkhook-Request-Id", id.as_str()),
            ("X-Skylarkhook-Deadline-Ms", "3000"),
            ("Authorization", "Token k1"),
        ];
        let answer = call(gateway.callers, "POST", "/again/1", &headers, "x").unwrap();
        answered += usize::from(answer.status == 200);
    }
    assert!(answered > 0 && gateway.is_running(), "{answered}");
    // Those that name no server to use are not used.
    let log = gateway.log();
    for id in ["", "\u{7f}"] {
        let listed = format!("\"server\":\"{id}\",\"service\"");
        assert!(!log.iter().any(|line| line.contains(&listed)), "{id:?}");
    }
}
