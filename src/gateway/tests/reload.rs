//! Settings files that change while the process runs.

use super::core::Harness;
use crate::clock::Millis;
use crate::config::Settings;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::reload::Reload;
use crate::gateway::reload::Reloader;
use crate::gateway::reload::SettingsSource;
use crate::gateway::settings::Bounds;

const FILE: &str = "[instance]\nname = a\ndomain = d\n[gateway]\nlisten = 127.0.0.1:80\n\
    status_listen = 127.0.0.1:81\npeer_listen = 127.0.0.1:82\nstore = 127.0.0.1:83\n";

fn reloader() -> Reloader {
    let settings = Settings::parse("file", FILE, &[]).unwrap();
    Reloader::new(SettingsSource::default(), settings)
}

/// Evaluates two readings in a row that show the same text.
fn read_twice(reloader: &mut Reloader, text: &str) -> Reload {
    assert_eq!(reloader.evaluate(Ok(text.to_owned())), Reload::Nothing);
    reloader.evaluate(Ok(text.to_owned()))
}

fn changed(now: &[&str], at_next_start: &[&str]) -> Reload {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    Reload::Changed {
        now: names(now),
        at_next_start: names(at_next_start),
    }
}

#[test]
fn limits_and_the_address_of_the_store_take_effect_at_once() {
    let mut reloader = reloader();
    assert_eq!(read_twice(&mut reloader, FILE), Reload::Nothing);
    let text = FILE.replace(
        "store = 127.0.0.1:83",
        "store = 127.0.0.1:93\nretry_extra = 7",
    );
    let expected = changed(&["[gateway] store", "[gateway] retry_extra"], &[]);
    assert_eq!(read_twice(&mut reloader, &text), expected);
    assert_eq!(reloader.in_force().gateway_store, "127.0.0.1:93");
    assert_eq!(reloader.in_force().gateway_retry_extra, 7);
    // A change is reported once.
    assert_eq!(reloader.evaluate(Ok(text)), Reload::Nothing);
}

#[test]
fn names_and_listeners_take_effect_at_the_next_start() {
    let mut reloader = reloader();
    let text = FILE.replace("name = a", "name = b").replace(":80", ":90");
    let expected = changed(&[], &["[instance] name", "[gateway] listen"]);
    assert_eq!(read_twice(&mut reloader, &text), expected);
}

#[test]
fn a_file_that_is_being_written_changes_nothing() {
    let mut reloader = reloader();
    for end in (0..FILE.len()).step_by(7) {
        let text = FILE[..end].to_owned();
        assert_eq!(reloader.evaluate(Ok(text)), Reload::Nothing);
    }
    assert_eq!(read_twice(&mut reloader, FILE), Reload::Nothing);
}

#[test]
fn wrong_settings_change_nothing() {
    let mut reloader = reloader();
    let wrong = FILE.replace(
        "store = 127.0.0.1:83",
        "store = 127.0.0.1:93\nretry_extra = many",
    );
    let Reload::Refused(cause) = read_twice(&mut reloader, &wrong) else {
        panic!("accepted");
    };
    assert!(cause.contains("retry_extra"), "{cause}");
    assert_eq!(reloader.in_force().gateway_store, "127.0.0.1:83");
    // The cause is reported once.
    assert_eq!(reloader.evaluate(Ok(wrong)), Reload::Nothing);
    for text in ["", "[instance]\nname = a\ndomain = d\n"] {
        let refused = read_twice(&mut reloader, text);
        assert!(matches!(refused, Reload::Refused(_)), "{refused:?}");
    }
    let missing = || Err("cannot be read".to_owned());
    assert_eq!(reloader.evaluate(missing()), Reload::Nothing);
    assert!(matches!(reloader.evaluate(missing()), Reload::Refused(_)));
    // The former settings are back.
    assert_eq!(read_twice(&mut reloader, FILE), Reload::Nothing);
}

#[test]
fn changed_bounds_apply_to_the_next_request() {
    let mut harness = Harness::new();
    // The proof that the keys are current is too old.
    harness.now += 6_000;
    let (_, out) = harness.submit("/again/x", "k");
    assert!(
        out.iter()
            .any(|output| matches!(output, Output::Refuse(..))),
        "{out:?}"
    );
    let _ = harness.handle(Input::Bounds(Bounds {
        key_revoke_limit: Millis(60_000),
        ..Bounds::default()
    }));
    let (_, out) = harness.submit("/again/x", "k");
    assert!(
        out.iter().any(|output| matches!(output, Output::Send(..))),
        "{out:?}"
    );
}
