use std::path::Path;

use proptest::prelude::*;

use super::*;
use crate::clock::Millis;

/// Returns settings with all that must be given; secrets lie in `dir`.
fn complete(dir: &Path) -> String {
    let token = dir.join("token");
    let secret = dir.join("secret");
    std::fs::write(&token, "operators-token-0123456789\n").unwrap();
    std::fs::write(&secret, "peer-secret-0123456789\n").unwrap();
    format!(
        "[instance]\nname = entry-1\ndomain = ikeja\n[admin]\ntoken_file = {}\n[peer]\nsecret_file = {}\n\
         [store]\naddresses = 127.0.0.1:7000, 127.0.0.1:7001\n[list]\naddress = 127.0.0.1:7002\n",
        token.display(),
        secret.display()
    )
}

fn refused(text: &str) -> String {
    let dir = tempfile::tempdir().unwrap();
    let text = complete(dir.path()) + text;
    let error = Settings::parse("d.ini", &text, &[]).unwrap_err();
    error.to_string()
}

#[test]
fn each_default_is_allowed() {
    for setting in TABLE {
        let mut settings = Settings::default();
        if let Some(text) = setting.default {
            let read = (setting.read)(&mut settings, setting.allowed, text);
            assert_eq!(read, Ok(()), "[{}] {}", setting.section, setting.key);
        }
    }
}

#[test]
fn flags_go_over_the_file() {
    let dir = tempfile::tempdir().unwrap();
    let text = complete(dir.path()) + "[log]\nlevel = warn\n[backend]\nconnect_time_limit = 3 s\n";
    let flags = ["log.level=debug".parse().unwrap()];
    let settings = Settings::parse("d.ini", &text, &flags).unwrap();
    assert_eq!(settings.log_filter, "debug");
    assert_eq!(settings.connect_time_limit, Millis(3000));
    assert_eq!(settings.store_addresses.len(), 2);
    assert_eq!(
        settings.operators_token.expose(),
        "operators-token-0123456789"
    );
}

#[test]
fn an_error_names_file_section_key_value_and_what_is_allowed() {
    assert_eq!(
        refused("[backend]\nconnect_time_limit = 3 parsecs\n"),
        "d.ini: [backend] connect_time_limit: `3 parsecs`: its unit must be one of ms, s, min, h, d; allowed: 10 ms to 1 min"
    );
    assert_eq!(
        refused("[callers]\nlisten = localhost:80\n"),
        "d.ini: [callers] listen: `localhost:80`: it is no IP address with a port; allowed: an address such as 10.0.0.1:8080"
    );
    assert_eq!(
        refused("[callers]\nmax_open_requests = 0\n"),
        "d.ini: [callers] max_open_requests: `0`: it is too small; allowed: 1 to 100000"
    );
    assert_eq!(
        refused("[callers]\nmax_body = 99999999999999999999 MiB\n"),
        "d.ini: [callers] max_body: `99999999999999999999 MiB`: it is no number; allowed: 1 KiB to 256 MiB"
    );
}

#[test]
fn unknown_and_doubled_settings_are_errors() {
    assert_eq!(
        refused("[backend]\nconect_time_limit = 3 s\n"),
        "d.ini: [backend] conect_time_limit: unknown setting; did you mean [backend] connect_time_limit?"
    );
    assert_eq!(
        refused("[log]\nlevel = info\nlevel = warn\n"),
        "d.ini: [log] level: given twice"
    );
    let lost = Settings::parse("d.ini", "[what\n", &[]).unwrap_err();
    assert_eq!(lost.errors.len(), 1, "{lost}");
    assert!(
        lost.to_string().starts_with("d.ini: line 2, column 1"),
        "{lost}"
    );
}

#[test]
fn all_errors_are_reported_at_once() {
    let error = Settings::parse("d.ini", "[log]\nlevel = loud\n", &[]).unwrap_err();
    let missing = TABLE.iter().filter(|setting| setting.default.is_none());
    assert_eq!(error.errors.len(), missing.count() + 1);
}

#[test]
fn settings_that_clash_are_refused() {
    assert_eq!(
        refused("[callers]\nlisten = 127.0.0.1:8081\n"),
        "d.ini: [admin] listen: `127.0.0.1:8081`: [callers] listen has the same address"
    );
}

#[test]
fn secrets_show_nowhere() {
    let dir = tempfile::tempdir().unwrap();
    let settings = Settings::parse("d.ini", &complete(dir.path()), &[]).unwrap();
    let shown = format!("{settings:?}");
    assert!(!shown.contains("0123456789"), "{shown}");
    std::fs::write(dir.path().join("token"), "short-token").unwrap();
    let text = format!(
        "[admin]\ntoken_file = {}\n",
        dir.path().join("token").display()
    );
    let error = Settings::parse("d.ini", &text, &[])
        .unwrap_err()
        .to_string();
    assert!(error.contains("shorter than 16 bytes"), "{error}");
    assert!(!error.contains("short-token"), "{error}");
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in "(\\PC|\n|=|\\[|\\]){0,200}") {
        let error = Settings::parse("d.ini", &text, &[]).unwrap_err();
        prop_assert!(!error.errors.is_empty());
    }

    #[test]
    fn any_value_is_read_or_refused(index in 0..TABLE.len(), value in "\\PC{0,40}") {
        let setting = &TABLE[index];
        let mut settings = Settings::default();
        let _ = (setting.read)(&mut settings, setting.allowed, &value);
    }

    #[test]
    fn any_override_is_read_or_refused(text in "\\PC{0,40}") {
        if let Ok(given) = text.parse::<Override>() {
            prop_assert!(text.contains(&given.value));
        }
    }
}

#[test]
fn the_page_lists_every_setting() {
    let page = include_str!("../../docs/CONFIGURATION.md");
    let mut missing = Vec::new();
    for setting in TABLE {
        let default = match setting.default {
            None => "must be given".to_owned(),
            Some("") => "empty".to_owned(),
            Some(text) => format!("`{text}`"),
        };
        let row = format!(
            "| `[{}] {}` | {default} | {} | {}. |",
            setting.section, setting.key, setting.allowed, setting.help
        );
        if !page.contains(&row) {
            missing.push(row);
        }
    }
    let rows = page.lines().filter(|line| line.starts_with("| `["));
    assert_eq!(missing, Vec::<String>::new(), "{}", missing.join("\n"));
    assert_eq!(rows.count(), TABLE.len());
}

/// The example file shows every setting: those that must be given set, all
/// others as a comment with their default.
#[test]
fn the_example_file_is_right_and_complete() {
    let dir = tempfile::tempdir().unwrap();
    let example = include_str!("../../examples/skylarkhookd.ini");
    let secrets = complete(dir.path());
    let given: Vec<Override> = secrets
        .lines()
        .filter(|line| line.contains("_file ="))
        .zip(["admin", "peer"])
        .map(|(line, section)| format!("{section}.{line}").parse().unwrap())
        .collect();
    let settings = Settings::parse("skylarkhookd.ini", example, &given).unwrap();
    let defaults = Settings {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        operators_token: settings.operators_token.clone(),
        peer_secret: settings.peer_secret.clone(),
        store_addresses: settings.store_addresses.clone(),
        list_address: settings.list_address.clone(),
        ..Settings::default()
    };
    assert_eq!(settings, defaults);
    // With the comment signs taken away it is right as well.
    let all = example.replace("\n;", "\n");
    assert_eq!(
        Settings::parse("skylarkhookd.ini", &all, &given),
        Ok(defaults)
    );
    for setting in TABLE {
        let section = format!("\n[{}]\n", setting.section);
        let part = example.split(&section).nth(1).unwrap_or_default();
        let part = part.split("\n[").next().unwrap_or_default();
        assert!(part.contains(setting.help), "{}", setting.help);
        let line = match setting.default {
            Some(text) => format!("\n;{} = {text}", setting.key),
            None => format!("\n{} = ", setting.key),
        };
        assert!(format!("\n{part}").contains(line.trim_end()), "{line}");
    }
}

/// Settings of a gateway with one that a later release may know.
const GATEWAY_WITH_UNKNOWN: &str = "[instance]\nname = g\ndomain = a\n[gateway]\n\
    listen = 127.0.0.1:0\nstore = 127.0.0.1:7000\nlater_limit = 3 s\n";

#[test]
fn a_gateway_skips_settings_of_later_releases_and_says_so() {
    let load = |unknown| Settings::parse_with("d.ini", GATEWAY_WITH_UNKNOWN, &[], unknown);
    let (settings, skipped) = load(UnknownSettings::SkippedInGateways).unwrap();
    assert_eq!(settings.gateway_store, "127.0.0.1:7000");
    let message = "d.ini: [gateway] later_limit: unknown setting";
    assert_eq!(skipped.len(), 1);
    assert!(
        skipped[0].to_string().starts_with(message),
        "{}",
        skipped[0]
    );
    // A check of the settings finds what may be a typing error.
    let refused = load(UnknownSettings::Refused).unwrap_err();
    assert_eq!(refused.errors, skipped);
}

#[test]
fn unknown_settings_are_skipped_neither_in_flags_nor_outside_of_gateways() {
    let flags = ["gateway.later_limit=3 s".parse().unwrap()];
    let skip = UnknownSettings::SkippedInGateways;
    let of_flag = Settings::parse_with("d.ini", GATEWAY_WITH_UNKNOWN, &flags, skip);
    assert_eq!(of_flag.unwrap_err().errors[0].source, "flags");
    let dir = tempfile::tempdir().unwrap();
    let text = complete(dir.path()) + "[backend]\nlater_limit = 3 s\n";
    let of_instance = Settings::parse_with("d.ini", &text, &[], skip);
    assert_eq!(of_instance.unwrap_err().errors.len(), 1);
}
