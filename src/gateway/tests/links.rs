//! Failures of backend servers told apart from the loss of the link to them.

use std::ops::Range;

use super::core::Harness;
use super::core::SERVERS;
use super::core::plan;
use super::core::refusal;
use super::simulation::Cut;
use super::simulation::Outcome;
use super::simulation::Phase;
use super::simulation::Policy;
use super::simulation::Simulation;
use crate::clock::Millis;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::ProbeEnd;
use crate::gateway::message::StoreUpdate;
use crate::verdict::Reason;

/// Returns a harness whose core knows another instance.
fn harness_with_peer() -> Harness {
    let mut harness = Harness::new();
    harness.hear_instance("other");
    harness
}

/// Returns whether the outputs tell other instances of a failed server.
fn reports_failure(out: &[Output]) -> bool {
    out.iter().any(|output| match output {
        Output::Broadcast(_, message) => matches!(
            message,
            PeerMessage::Suspect { .. } | PeerMessage::CrashRecords(_)
        ),
        _ => false,
    })
}

#[test]
fn a_failed_server_is_reported_once_another_one_is_reached() {
    for end in [AttemptEnd::Unreachable, AttemptEnd::Broken] {
        let mut harness = harness_with_peer();
        let (ticket, _) = harness.submit("/again/1", "k");
        assert!(reports_failure(&harness.end_attempt(ticket, end)));
        assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS - 1);
    }
}

#[test]
fn an_instance_that_reaches_no_server_reports_and_avoids_none() {
    for end in [AttemptEnd::Unreachable, AttemptEnd::Broken] {
        let mut harness = harness_with_peer();
        harness.is_cut_off = true;
        for _ in 0..3 {
            let (ticket, _) = harness.submit("/again/1", "k");
            for _ in 0..SERVERS {
                assert!(!reports_failure(&harness.end_attempt(ticket, end)));
            }
            let later = harness.now + 1_000;
            assert!(!reports_failure(&harness.tick_until(later)));
        }
        harness.is_cut_off = false;
        let later = harness.now + 500;
        let _ = harness.tick_until(later);
        assert_eq!(harness.receiving_servers("/once/1").len(), SERVERS);
    }
}

#[test]
fn connections_that_a_cut_breaks_quarantine_no_request() {
    let mut harness = harness_with_peer();
    harness.is_cut_off = true;
    // All requests of the harness have the same content.
    for _ in 0..4 {
        let (ticket, _) = harness.submit("/again/1", "k");
        let _ = harness.end_attempt(ticket, AttemptEnd::Broken);
        let _ = harness.end_attempt(ticket, AttemptEnd::Broken);
        let later = harness.now + 100;
        let _ = harness.tick_until(later);
    }
    harness.is_cut_off = false;
    let later = harness.now + 500;
    let _ = harness.tick_until(later);
    let (_, out) = harness.submit("/again/1", "k");
    assert!(plan(&out).is_some(), "{:?}", refusal(&out));
}

#[test]
fn servers_that_crash_a_request_are_counted_while_others_are_reached() {
    let mut harness = harness_with_peer();
    for _ in 0..2 {
        let (ticket, _) = harness.submit("/again/1", "k");
        let _ = harness.crash_server(ticket);
        let _ = harness.crash_server(ticket);
    }
    let (_, out) = harness.submit("/again/1", "k");
    assert_eq!(refusal(&out).unwrap().reason, Reason::Quarantined);
}

/// Breaks off one request on two servers and another on a third. Returns the three
/// servers and those that are probed.
fn break_off_on_three_servers(harness: &mut Harness) -> [Vec<String>; 2] {
    let (mut servers, mut probed) = (Vec::new(), Vec::new());
    for attempts in [2, 1] {
        let (ticket, _) = harness.submit("/again/1", "k");
        for _ in 0..attempts {
            let (server, out) = harness.break_off(ticket);
            servers.push(server);
            probed.extend(out.into_iter().filter_map(|output| match output {
                Output::Probe { server_id, .. } => Some(server_id),
                _ => None,
            }));
            harness.now += 60;
        }
    }
    [servers, probed]
}

fn is_quarantined(harness: &mut Harness) -> bool {
    let (_, out) = harness.submit("/again/1", "k");
    refusal(&out).is_some_and(|refusal| refusal.reason == Reason::Quarantined)
}

#[test]
fn connections_that_a_cut_breaks_which_ends_before_the_probes_quarantine_no_request() {
    let mut harness = harness_with_peer();
    harness.answers_probes = false;
    let [_, probed] = break_off_on_three_servers(&mut harness);
    assert!(!probed.is_empty());
    harness.answers_probes = true;
    for server_id in probed {
        let end = ProbeEnd::Answered;
        let _ = harness.handle(Input::ProbeEnded { server_id, end });
    }
    assert!(!is_quarantined(&mut harness));
}

#[test]
fn sound_servers_that_break_answers_off_quarantine_no_request() {
    let mut harness = harness_with_peer();
    let _ = break_off_on_three_servers(&mut harness);
    assert!(!is_quarantined(&mut harness));
}

#[test]
fn crashes_of_servers_that_are_listed_no_longer_count_though_their_addresses_answer() {
    let mut harness = harness_with_peer();
    harness.answers_probes = false;
    let [servers, probed] = break_off_on_three_servers(&mut harness);
    let gone = servers.into_iter().map(StoreUpdate::ServerRemoved);
    harness.apply_store_updates(gone.collect());
    for server_id in probed {
        let end = ProbeEnd::Answered;
        let _ = harness.handle(Input::ProbeEnded { server_id, end });
    }
    assert!(is_quarantined(&mut harness));
}

#[test]
fn a_crash_that_a_later_answer_disproves_is_not_recorded_once_the_link_is_confirmed() {
    let mut harness = harness_with_peer();
    harness.answers_probes = false;
    let [servers, probed] = break_off_on_three_servers(&mut harness);
    let later = harness.now + 500;
    let _ = harness.tick_until(later);
    let (ticket, out) = harness.submit("/again/2", "k");
    assert!(plan(&out).is_some());
    let _ = harness.first_output(ticket);
    let _ = harness.end_attempt(ticket, AttemptEnd::Whole);
    harness.crashed.extend(servers);
    harness.answers_probes = true;
    for server_id in probed {
        let end = match harness.crashed.contains(&server_id) {
            true => ProbeEnd::Unreachable,
            false => ProbeEnd::Answered,
        };
        let _ = harness.handle(Input::ProbeEnded { server_id, end });
    }
    assert!(!is_quarantined(&mut harness));
}

#[test]
fn a_request_is_not_retried_after_crashes_that_are_not_confirmed_yet() {
    let mut harness = harness_with_peer();
    harness.answers_probes = false;
    let (first, _) = harness.submit("/again/1", "k");
    assert!(plan(&harness.end_attempt(first, AttemptEnd::Broken)).is_some());
    let _ = harness.end_attempt(first, AttemptEnd::Broken);
    let (second, out) = harness.submit("/again/1", "k");
    assert!(plan(&out).is_some());
    assert!(plan(&harness.end_attempt(second, AttemptEnd::Broken)).is_none());
}

#[test]
fn servers_that_are_all_silent_are_probed() {
    let mut harness = harness_with_peer();
    harness.deadline = Millis(10_000);
    let (ticket, _) = harness.submit("/short/1", "k");
    let is_probe = |output: &Output| matches!(output, Output::Probe { .. });
    assert!(!harness.tick_until(10_400).iter().any(is_probe));
    assert!(harness.tick_until(10_700).iter().any(is_probe));
    let _ = harness.first_output(ticket);
    assert!(!harness.tick_until(11_000).iter().any(is_probe));
}

/// Returns how many requests that arrived in a span were served, and how many
/// there were, by cores below `cut_off` and by the others.
fn served(simulation: &Simulation, span: &Range<f64>, cut_off: usize) -> [(usize, usize); 2] {
    let mut counts = [(0, 0); 2];
    for request in &simulation.requests {
        if !span.contains(&request.arrived) {
            continue;
        }
        let (served, all) = &mut counts[usize::from(request.core >= cut_off)];
        *all += 1;
        *served += usize::from(matches!(request.outcome, Outcome::InTime | Outcome::Late));
    }
    counts
}

#[test]
fn cores_that_are_cut_off_from_all_engines_serve_like_the_others_and_after_it() {
    const CUT_OFF: usize = 3;
    for cut in [Cut::Hang, Cut::Reset, Cut::RefuseNew, Cut::Silent] {
        let mut simulation = Simulation::new(Policy::Cores, 6, 18);
        let phase = Phase {
            until_ms: 40_000.0,
            factors: [1.0; 3],
        };
        simulation.add_workload(7, 1.0, &[phase]);
        for core in 0..CUT_OFF {
            simulation.add_cut(core, cut, 8_000.0, 20_000.0);
        }
        simulation.run(60_000.0);
        for span in [11_000.0..20_000.0, 23_000.0..40_000.0] {
            let [(cut_off, of_cut_off), (sound, of_sound)] = served(&simulation, &span, CUT_OFF);
            let shares = (cut_off * of_sound * 3, sound * of_cut_off * 2);
            let detail = format!("{cut:?}, {span:?}: {cut_off}/{of_cut_off} {sound}/{of_sound}");
            assert!(shares.0 >= shares.1, "{detail}");
            let failed = of_cut_off + of_sound - cut_off - sound;
            assert!(failed <= 10 + (of_cut_off + of_sound) / 50, "{detail}");
        }
    }
}
