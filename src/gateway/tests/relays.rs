//! Requests that an instance relays because it reaches no backend server, and
//! those that it receives from others.

use super::core::Harness;
use super::core::heard;
use super::core::plan;
use super::core::refusal;
use crate::clock::Millis;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::Output;
use crate::gateway::relay;
use crate::gateway::relay::RelayTerms;
use crate::verdict::Reason;
use crate::verdict::Verdict;

const TERMS: RelayTerms = RelayTerms {
    waited: Millis(100),
    attempts_left: 1,
    first_attempt: 64,
    config_version: 1,
};

/// Returns a harness whose core is cut off from all servers of a service, as it
/// has found out, and knows these instances.
fn cut_off_harness(path: &str, instances: &[&str]) -> Harness {
    let mut harness = Harness::new();
    harness.is_cut_off = true;
    let (ticket, _) = harness.submit(path, "k");
    let _ = harness.end_attempt(ticket, AttemptEnd::Unreachable);
    let _ = harness.end_attempt(ticket, AttemptEnd::CallerGone);
    for name in instances {
        harness.hear_instance(name);
    }
    harness
}

/// Returns the address that a request is relayed to.
fn relayed_to(out: &[Output]) -> Option<&str> {
    let plan = plan(out)?;
    plan.relay.is_some().then_some(plan.addr.as_str())
}

fn refused(reason: Reason) -> AttemptEnd {
    AttemptEnd::RelayRefused {
        reason,
        retry_after: Some(Millis(70)),
    }
}

#[test]
fn a_request_is_relayed_to_instance_after_instance_until_one_serves_it() {
    let mut harness = cut_off_harness("/once/1", &["a", "b"]);
    let (ticket, out) = harness.submit("/once/1", "k");
    let first = relayed_to(&out).unwrap().to_owned();
    let out = harness.end_attempt(ticket, refused(Reason::NoBackend));
    assert_ne!(relayed_to(&out).unwrap(), first);
    let _ = harness.first_output(ticket);
    let out = harness.end_attempt(ticket, AttemptEnd::Whole);
    assert!(refusal(&out).is_none() && plan(&out).is_none());
}

#[test]
fn a_request_that_no_instance_serves_is_refused_as_not_run() {
    let mut harness = cut_off_harness("/once/1", &["a"]);
    let (ticket, _) = harness.submit("/once/1", "k");
    let out = harness.end_attempt(ticket, refused(Reason::NotFound));
    let refusal = refusal(&out).unwrap();
    assert_eq!(refusal.reason, Reason::Unavailable);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.retry_after, Some(Millis(70)));
}

#[test]
fn a_refusal_that_holds_at_every_instance_is_passed_on_at_once() {
    let mut harness = cut_off_harness("/once/1", &["a", "b"]);
    let (ticket, _) = harness.submit("/once/1", "k");
    let out = harness.end_attempt(ticket, refused(Reason::DeadlineUnreachable));
    assert_eq!(refusal(&out).unwrap().reason, Reason::DeadlineUnreachable);
}

#[test]
fn a_relayed_request_that_may_have_run_is_not_sent_again_unless_it_may_be() {
    let ends = [
        AttemptEnd::Broken,
        AttemptEnd::RelayFailed {
            reason: Reason::BackendFailed,
        },
    ];
    for end in ends {
        let mut harness = cut_off_harness("/once/1", &["a", "b"]);
        let (ticket, _) = harness.submit("/once/1", "k");
        let out = harness.end_attempt(ticket, end);
        let refusal = refusal(&out).unwrap();
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert!(!matches!(refusal.reason.status(), 408 | 421 | 429 | 503));
    }
    let mut harness = cut_off_harness("/again/1", &["a", "b"]);
    let (ticket, _) = harness.submit("/again/1", "k");
    let out = harness.end_attempt(ticket, AttemptEnd::Broken);
    assert!(relayed_to(&out).is_some(), "{out:?}");
}

#[test]
fn a_refusal_after_an_attempt_that_may_have_run_promises_nothing() {
    let reasons = [
        Reason::NoBackend,
        Reason::Unavailable,
        Reason::Quarantined,
        Reason::DeadlineUnreachable,
        Reason::QueueFull,
        Reason::SlowRequest,
    ];
    for reason in reasons {
        let mut harness = cut_off_harness("/again/1", &["a", "b"]);
        let (ticket, _) = harness.submit("/again/1", "k");
        let out = harness.end_attempt(ticket, AttemptEnd::Broken);
        assert!(relayed_to(&out).is_some());
        let out = harness.end_attempt(ticket, refused(reason));
        let refusal = refusal(&out).unwrap();
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert!(!matches!(refusal.reason.status(), 408 | 421 | 429 | 503));
    }
}

#[test]
fn instances_that_drain_or_reach_no_server_either_get_no_relayed_requests() {
    for (draining, lost_services) in [(true, vec![]), (false, vec!["plain".to_owned()])] {
        let mut harness = cut_off_harness("/once/1", &["a", "b"]);
        let _ = harness.handle(heard(PeerMessage::RelayState {
            name: "a".to_owned(),
            draining,
            lost_services,
        }));
        for _ in 0..4 {
            let (_, out) = harness.submit("/once/1", "k");
            assert_eq!(relayed_to(&out), Some("b:1"));
        }
    }
}

#[test]
fn an_instance_that_cannot_be_reached_gets_no_relayed_requests_for_a_while() {
    let mut harness = cut_off_harness("/once/1", &["a", "b"]);
    let (ticket, out) = harness.submit("/once/1", "k");
    let first = relayed_to(&out).unwrap().to_owned();
    let out = harness.end_attempt(ticket, AttemptEnd::Unreachable);
    assert!(relayed_to(&out).is_some());
    for _ in 0..4 {
        let (_, out) = harness.submit("/once/1", "k");
        assert_ne!(relayed_to(&out).unwrap(), first);
    }
}

#[test]
fn requests_are_spread_over_instances() {
    let mut harness = cut_off_harness("/once/1", &["a", "b", "c"]);
    let mut received: Vec<String> = (0..6)
        .map(|_| {
            let (_, out) = harness.submit("/once/1", "k");
            relayed_to(&out).unwrap().to_owned()
        })
        .collect();
    received.sort();
    assert_eq!(received, ["a:1", "a:1", "b:1", "b:1", "c:1", "c:1"]);
}

#[test]
fn a_stalled_call_is_relayed_when_the_link_to_its_server_is_lost() {
    let mut harness = Harness::new();
    harness.hear_instance("a");
    let (stalled, _) = harness.submit("/again/1", "k");
    harness.is_cut_off = true;
    let (ticket, _) = harness.submit("/again/2", "k");
    let out = harness.end_attempt(ticket, AttemptEnd::Unreachable);
    assert!(relayed_to(&out).is_none());
    let out = harness.tick_until(10_350);
    let is_relay = |output: &Output| match output {
        Output::Send(ticket, plan) => *ticket == stalled && plan.relay.is_some(),
        _ => false,
    };
    assert!(out.iter().any(is_relay), "{out:?}");
}

#[test]
fn a_received_request_is_served_here_or_refused_and_never_relayed() {
    let mut harness = cut_off_harness("/once/1", &["a", "b"]);
    let (_, out) = harness.submit_relayed("/once/1", "k", Some(TERMS));
    assert_eq!(refusal(&out).unwrap().reason, Reason::NoBackend);
    assert_eq!(refusal(&out).unwrap().verdict, Verdict::NotRun);
    let mut harness = Harness::new();
    harness.hear_instance("a");
    let (_, out) = harness.submit_relayed("/once/1", "k", Some(TERMS));
    let plan = plan(&out).unwrap();
    assert!(plan.relay.is_none());
    assert_eq!(plan.attempt.0, TERMS.first_attempt);
}

#[test]
fn a_received_request_is_tried_as_often_as_the_first_instance_allows() {
    let mut harness = Harness::new();
    let (ticket, _) = harness.submit_relayed("/again/1", "k", Some(TERMS));
    let out = harness.end_attempt(ticket, AttemptEnd::Broken);
    assert!(plan(&out).is_none(), "{out:?}");
    let (ticket, _) = harness.submit("/again/2", "k");
    let out = harness.end_attempt(ticket, AttemptEnd::Broken);
    assert!(plan(&out).is_some(), "{out:?}");
}

#[test]
fn a_request_of_an_instance_with_a_newer_configuration_is_refused() {
    let mut harness = Harness::new();
    let terms = RelayTerms {
        config_version: 2,
        ..TERMS
    };
    let (_, out) = harness.submit_relayed("/once/1", "k", Some(terms));
    assert_eq!(refusal(&out).unwrap().reason, Reason::Unavailable);
}

#[test]
fn a_route_or_key_that_only_the_relaying_instance_knows_yet_is_not_refused_as_unknown() {
    let mut harness = Harness::new();
    let terms = RelayTerms {
        config_version: 2,
        ..TERMS
    };
    for (path, key) in [("/added/1", "k"), ("/once/1", "added")] {
        let (_, out) = harness.submit_relayed(path, key, Some(terms));
        assert_eq!(refusal(&out).unwrap().reason, Reason::Unavailable);
    }
}

#[test]
fn requests_are_sent_to_servers_again_once_one_is_reached() {
    let mut harness = cut_off_harness("/once/1", &["a"]);
    harness.is_cut_off = false;
    let _ = harness.tick_until(10_500);
    let (_, out) = harness.submit("/once/1", "k");
    assert!(plan(&out).is_some() && relayed_to(&out).is_none());
}

#[test]
fn errors_of_other_instances_keep_their_verdict() {
    let decode = |body: &str| relay::decode_error(body.as_bytes(), Some(Millis(70)));
    let not_run = decode(r#"{"error":"no_backend","ran":"no","message":"m"}"#);
    assert_eq!(not_run, refused(Reason::NoBackend));
    let may_have_run = decode(r#"{"error":"backend_failed","ran":"maybe","message":"m"}"#);
    let reason = Reason::BackendFailed;
    assert_eq!(may_have_run, AttemptEnd::RelayFailed { reason });
    for body in ["", "{}", r#"{"error":"else","ran":"no"}"#, "<html>"] {
        assert_eq!(decode(body), AttemptEnd::Broken);
    }
}

#[test]
fn other_instances_are_told_of_the_loss_and_of_the_return_of_the_link() {
    let states = |out: &[Output]| -> Vec<Vec<String>> {
        let messages = out.iter().filter_map(|output| match output {
            Output::Broadcast(_, PeerMessage::RelayState { lost_services, .. }) => {
                Some(lost_services.clone())
            }
            _ => None,
        });
        messages.collect()
    };
    let mut harness = Harness::new();
    harness.hear_instance("a");
    harness.is_cut_off = true;
    let (ticket, _) = harness.submit("/once/1", "k");
    let out = harness.end_attempt(ticket, AttemptEnd::Unreachable);
    let lost = vec!["engines".to_owned(), "plain".to_owned()];
    assert_eq!(states(&out).last(), Some(&lost));
    harness.is_cut_off = false;
    let out = harness.tick_until(10_600);
    assert_eq!(states(&out).last(), Some(&Vec::new()));
}
