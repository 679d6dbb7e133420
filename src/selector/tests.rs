use proptest::prelude::*;

use super::Selector;

fn holds(text: &str) -> bool {
    let selector: Selector = text.parse().expect("a selector");
    selector.matches(|key| match key {
        "tier" => Some("hot"),
        "model" => Some("m7"),
        _ => None,
    })
}

#[test]
fn operators_follow_kubernetes() {
    let expected = [
        ("", true),
        ("tier = hot", true),
        ("tier=cold", false),
        ("tier != cold, model", true),
        ("tier in (cold, hot)", true),
        ("tier notin (cold,hot)", false),
        ("gpu notin (h100)", true),
        ("gpu != h100", true),
        ("gpu", false),
        ("!gpu", true),
        ("index = 1", false),
    ];
    for (text, value) in expected {
        assert_eq!(holds(text), value, "{text}");
    }
}

#[test]
fn an_error_says_what_was_expected() {
    let cases = [
        ("gpu in", "at character 6: expected a list such as `(a, b)`"),
        (
            "gpu h100",
            "at character 4: expected an operator, a comma or the end",
        ),
        ("gpu = ", "at character 6: expected a label key or value"),
    ];
    for (text, expected) in cases {
        let error = text.parse::<Selector>().unwrap_err();
        assert_eq!(error.to_string(), expected, "{text}");
    }
}

#[test]
fn an_error_names_the_place() {
    let error = "tier = hot, gpu in h100".parse::<Selector>().unwrap_err();
    assert!(error.offset >= 12, "{error}");
}

proptest! {
    #[test]
    fn any_text_is_parsed_or_refused(text in ".{0,60}") {
        if let Ok(selector) = text.parse::<Selector>() {
            let again: Selector = selector.to_string().parse().expect("its own text");
            prop_assert_eq!(again, selector);
        }
    }
}
