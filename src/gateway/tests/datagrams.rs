//! Datagrams between instances of different releases. `datagrams/record.sh` has
//! recorded what earlier releases write.

use http::HeaderMap;
use http::HeaderValue;
use proptest::prelude::*;

use crate::adapter::store;
use crate::clock::Millis;
use crate::gateway::cost::CallEnd;
use crate::gateway::cost::CallReport;
use crate::gateway::datagram;
use crate::gateway::datagram::Format;
use crate::gateway::datagram::Formats;
use crate::gateway::fair_shares::WorkspaceKey;
use crate::gateway::instances::Crash;
use crate::gateway::instances::CrashRecord;
use crate::gateway::instances::CrashSuspect;
use crate::gateway::instances::Heartbeat;
use crate::gateway::instances::Item;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::Placed;
use crate::gateway::message::PromptPart;
use crate::gateway::message::ServerNotice;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StoreUpdate;
use crate::gateway::relay::RelayTerms;

/// Without eras of the store.
const RELEASE_7: &str = include_str!("datagrams/3900763.txt");
const RELEASE_8: &str = include_str!("datagrams/b3af607.txt");

/// Returns what `record.rs` records, with what release 8 knows.
fn recorded_messages() -> Vec<(&'static str, PeerMessage)> {
    let placed = Placed {
        job: 0x0102_0304_0506_0708,
        server: u64::MAX,
        parts: vec![(7, 60_000), (8, 0)],
        prompt_tokens: 133_040,
        output_tokens: 688,
        first_reserved: 70_000,
        urgency: 9,
        gap_ms: 1_000,
        due_in_ms: 2_500,
        ready_in_ms: 640,
        workspace: WorkspaceKey::default(),
    };
    let heartbeat = Heartbeat {
        member: Member {
            name: "front-ikeja-1".to_owned(),
            addr: "10.1.0.40:7340".to_owned(),
            formats: Formats::EARLIER,
        },
        config_revision: 300,
        proof_age_ms: 640,
        store_answers: true,
        entries_digest: Some(0xfeed),
        entries_revision: None,
        period_ms: 500,
        store_era: Some(StoreEra(2)),
        config_version: 21,
        calls: Vec::new(),
    };
    let item = |value: Option<&[u8]>| {
        PeerMessage::Item(Item {
            key: "servers/i-1".to_owned(),
            revision: 300,
            value: value.map(<[u8]>::to_vec),
            era: StoreEra(2),
        })
    };
    let record = |suspect, sound_age_ms| CrashRecord {
        suspect,
        crashes: vec![Crash {
            server: 5,
            age_ms: 1_200,
        }],
        sound_age_ms,
    };
    let records = vec![
        record(CrashSuspect::Request(u64::MAX), None),
        record(CrashSuspect::Part(PromptPart(0xab)), Some(70)),
    ];
    let notice = ServerNotice {
        cold_remaining: Some(Millis(900)),
        rate_limit: Some(2.5),
        leaving: true,
        pause: None,
    };
    let (job, server, parts) = (1, 2, vec![3, 4]);
    let started = PeerMessage::Started {
        job,
        server,
        parts: parts.clone(),
    };
    let suspect = PeerMessage::Suspect {
        server: 2,
        avoid_ms: 1_000,
    };
    let relay_state = PeerMessage::RelayState {
        name: "front-ikeja-1".to_owned(),
        draining: true,
        lost_services: vec!["model-pool".to_owned()],
    };
    vec![
        ("placed", PeerMessage::Placed(placed)),
        ("started", started),
        ("ended", PeerMessage::Ended { job, server, parts }),
        ("alive", PeerMessage::Alive(heartbeat)),
        ("item", item(Some(b"{}"))),
        ("item-removed", item(None)),
        ("suspect", suspect),
        ("crash-records", PeerMessage::CrashRecords(records)),
        (
            "server-notice",
            PeerMessage::ServerNotice { server, notice },
        ),
        ("relay-state", relay_state),
    ]
}

fn recorded<'a>(release: &'a str, name: &str) -> &'a str {
    let lines = release.lines().filter_map(|line| line.split_once(' '));
    let mut values = lines.filter(|(found, _)| *found == name);
    values.next().map(|(_, value)| value).unwrap()
}

fn recorded_bytes(release: &str, name: &str) -> Vec<u8> {
    let hex = recorded(release, name).as_bytes().chunks(2);
    hex.map(|byte| u8::from_str_radix(std::str::from_utf8(byte).unwrap(), 16).unwrap())
        .collect()
}

/// Decodes a datagram with one message.
fn decode(bytes: &[u8]) -> PeerMessage {
    let decoded = datagram::decode(bytes).unwrap();
    assert!(decoded.unknown_kinds.is_empty());
    assert_eq!(decoded.messages.len(), 1);
    decoded.messages.into_iter().next().unwrap()
}

/// Takes out of a message what release 7 does not know.
fn without_eras(message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Alive(heartbeat) => PeerMessage::Alive(Heartbeat {
            store_era: None,
            config_version: 0,
            ..heartbeat
        }),
        PeerMessage::Item(item) => PeerMessage::Item(Item {
            era: StoreEra(0),
            ..item
        }),
        other => other,
    }
}

#[test]
fn datagrams_of_earlier_releases_are_understood() {
    for (name, message) in recorded_messages() {
        assert_eq!(decode(&recorded_bytes(RELEASE_8, name)), message, "{name}");
        let of_7 = decode(&recorded_bytes(RELEASE_7, name));
        assert_eq!(of_7, without_eras(message), "{name}");
    }
}

#[test]
fn earlier_releases_get_the_datagrams_that_they_write() {
    for (name, message) in recorded_messages() {
        let sent = datagram::encode(&message, Format::Positional).unwrap();
        let of_8 = recorded_bytes(RELEASE_8, name);
        // They ignore what follows a message.
        assert!(sent.starts_with(&of_8), "{name}: {sent:02x?}");
        assert_eq!(sent.len() > of_8.len(), name == "alive", "{name}");
        assert!(sent.starts_with(&recorded_bytes(RELEASE_7, name)), "{name}");
    }
}

#[test]
fn a_heartbeat_in_either_format_states_the_formats_that_its_sender_reads() {
    let (_, message) = recorded_messages().remove(3);
    let PeerMessage::Alive(mut heartbeat) = message else {
        unreachable!("the fourth message is a heartbeat");
    };
    heartbeat.member.formats = Formats::OWN;
    let message = PeerMessage::Alive(heartbeat);
    for format in [Format::Positional, Format::Tagged] {
        let sent = datagram::encode(&message, format).unwrap();
        assert_eq!(decode(&sent), message, "{format:?}");
    }
}

/// Returns a heartbeat that tells of one call for each way in which it can end.
fn heartbeat_with_calls() -> Heartbeat {
    let (_, message) = recorded_messages().remove(3);
    let PeerMessage::Alive(heartbeat) = message else {
        unreachable!("the fourth message is a heartbeat");
    };
    let ends = [
        CallEnd::Answered,
        CallEnd::Failed,
        CallEnd::Refused,
        CallEnd::Lost,
        CallEnd::Open,
    ];
    let calls = ends.into_iter().zip(1..).map(|(end, count)| CallReport {
        server: u64::MAX,
        route: 7,
        took: Millis(640),
        end,
        count,
    });
    Heartbeat {
        calls: calls.collect(),
        ..heartbeat
    }
}

#[test]
fn heartbeats_tell_of_calls_to_releases_that_know_them() {
    let heartbeat = heartbeat_with_calls();
    let message = PeerMessage::Alive(heartbeat.clone());
    let sent = datagram::encode(&message, Format::Tagged).unwrap();
    assert_eq!(decode(&sent), message);
    let without_calls = PeerMessage::Alive(Heartbeat {
        calls: Vec::new(),
        ..heartbeat
    });
    let size = datagram::encode(&without_calls, Format::Tagged)
        .unwrap()
        .len();
    // Five calls; heartbeats carry six at most.
    assert!(sent.len() - size <= 5 * 30, "{} and {size}", sent.len());
    let to_earlier = datagram::encode(&message, Format::Positional).unwrap();
    assert_eq!(decode(&to_earlier), without_calls);
}

#[test]
fn a_call_that_ended_in_a_later_way_is_left_out() {
    let mut heartbeat = heartbeat_with_calls();
    heartbeat.calls.truncate(2);
    let sent = datagram::encode(&PeerMessage::Alive(heartbeat.clone()), Format::Tagged).unwrap();
    // The second call is the one that has an end other than the first constant.
    let at = sent.windows(2).rposition(|pair| pair == [0x20, 1]).unwrap();
    let mut later = sent;
    later[at + 1] = 99;
    heartbeat.calls.truncate(1);
    assert_eq!(decode(&later), PeerMessage::Alive(heartbeat));
}

#[test]
fn tagged_datagrams_carry_every_message() {
    for (name, message) in recorded_messages() {
        let sent = datagram::encode(&message, Format::Tagged).unwrap();
        assert_eq!(decode(&sent), message, "{name}");
    }
}

#[test]
fn a_placement_states_the_workspace_in_a_few_bytes() {
    let (_, message) = recorded_messages().remove(0);
    let PeerMessage::Placed(placed) = message else {
        unreachable!("the first message is a placement");
    };
    let stated = PeerMessage::Placed(Placed {
        workspace: WorkspaceKey(0xfeed_0001),
        ..placed.clone()
    });
    let sent = datagram::encode(&stated, Format::Tagged).unwrap();
    assert_eq!(decode(&sent), stated);
    let unstated = PeerMessage::Placed(placed);
    let without = datagram::encode(&unstated, Format::Tagged).unwrap();
    assert!(sent.len() <= without.len() + 5);
    // Earlier releases neither write nor read it.
    let sent = datagram::encode(&stated, Format::Positional).unwrap();
    assert_eq!(decode(&sent), unstated);
}

#[test]
fn earlier_releases_are_told_the_digest_of_the_entries_without_its_revision() {
    let (_, message) = recorded_messages().remove(3);
    let PeerMessage::Alive(unstated) = message else {
        unreachable!("the fourth message is a heartbeat");
    };
    let stated = PeerMessage::Alive(Heartbeat {
        entries_revision: Some(299),
        ..unstated.clone()
    });
    let sent = datagram::encode(&stated, Format::Tagged).unwrap();
    assert_eq!(decode(&sent), stated);
    let sent = datagram::encode(&stated, Format::Positional).unwrap();
    assert_eq!(decode(&sent), PeerMessage::Alive(unstated));
}

#[test]
fn the_end_of_a_request_takes_little_more_with_tags() {
    let hashes = [u64::MAX, 1 << 63, 3 << 61];
    let message = PeerMessage::Ended {
        job: hashes[0],
        server: hashes[1],
        parts: hashes.to_vec(),
    };
    let sizes = [Format::Positional, Format::Tagged]
        .map(|format| datagram::encode(&message, format).unwrap().len());
    // The mark, a length, and a tag for each of three fields.
    assert!(sizes[1] <= sizes[0] + 5, "{sizes:?}");
}

#[test]
fn fields_and_kinds_of_later_releases_are_skipped() {
    let (_, message) = recorded_messages().remove(6);
    let known = datagram::encode(&message, Format::Tagged).unwrap();
    // Field 100, a text, behind the known ones.
    let field = [0xa2, 0x06, 0x03, b'n', b'e', b'w'];
    let mut grown = known.clone();
    grown[2] += field.len() as u8;
    grown.extend(field);
    assert_eq!(decode(&grown), message);
    // A message of kind 200 between two known ones.
    let mut batch = known.clone();
    batch.extend([0xc8, 0x01, 0x03, 1, 2, 3]);
    batch.extend(&known[1..]);
    let decoded = datagram::decode(&batch).unwrap();
    assert_eq!(decoded.messages, [message.clone(), message]);
    assert_eq!(decoded.unknown_kinds, [200]);
}

#[test]
fn formats_of_later_releases_leave_the_newest_known_one() {
    assert_eq!(Formats::from_numbers(&[2, 3, 9]), Formats::OWN);
    assert_eq!(Formats::from_numbers(&[]), Formats::EARLIER);
    assert_eq!(Formats::from_numbers(&[1]), Formats::EARLIER);
    assert_eq!(Formats::OWN.numbers(), [1, 2]);
}

#[test]
fn entries_of_earlier_releases_are_of_instances_that_read_the_earlier_format() {
    for release in [RELEASE_7, RELEASE_8] {
        let call: serde_json::Value = serde_json::from_str(recorded(release, "register")).unwrap();
        let update = decode_entry(call["puts"][0]["value"].as_str().unwrap());
        let (_, message) = recorded_messages().remove(3);
        let PeerMessage::Alive(heartbeat) = message else {
            unreachable!("the fourth message is a heartbeat");
        };
        assert_eq!(update, StoreUpdate::Instance(heartbeat.member));
    }
}

#[test]
fn the_entry_of_an_instance_states_the_formats_that_it_reads() {
    let member = Member {
        name: "front-ikeja-1".to_owned(),
        addr: "10.1.0.40:7340".to_owned(),
        formats: Formats::OWN,
    };
    let call: serde_json::Value =
        serde_json::from_slice(&store::register(&member, 7).body).unwrap();
    let value = call["puts"][0]["value"].as_str().unwrap();
    assert_eq!(decode_entry(value), StoreUpdate::Instance(member));
}

/// Decodes an instance's entry from the base64 text in which it is written.
fn decode_entry(value: &str) -> StoreUpdate {
    use base64::Engine as _;

    let value = base64::engine::general_purpose::STANDARD.decode(value);
    let change = store::Change {
        key: "instances/front-ikeja-1".to_owned(),
        revision: 1,
        value: Some(value.unwrap().into()),
    };
    store::decode_change(&change).unwrap().unwrap()
}

#[test]
fn relay_headers_of_other_releases_are_understood() {
    let terms = RelayTerms {
        waited: Millis(120),
        attempts_left: 2,
        first_attempt: 64,
        config_version: 21,
    };
    let recorded_7 = recorded(RELEASE_7, "skylarkhook-relay").to_owned();
    let recorded_8 = recorded(RELEASE_8, "skylarkhook-relay").to_owned();
    let of_later = recorded_8.replace('}', r#","later":[1]}"#);
    for text in [recorded_7, recorded_8.clone(), of_later] {
        let mut headers = HeaderMap::new();
        headers.insert("skylarkhook-relay", HeaderValue::from_str(&text).unwrap());
        assert_eq!(RelayTerms::remove(&mut headers), Some(terms), "{text}");
    }
    let mut headers = HeaderMap::new();
    terms.insert(&mut headers).unwrap();
    assert_eq!(headers["skylarkhook-relay"], recorded_8.as_str());
}

proptest! {
    #[test]
    fn malformed_datagrams_are_refused_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = datagram::decode(&bytes);
        let mut tagged = vec![0xf2];
        tagged.extend(&bytes);
        let _ = datagram::decode(&tagged);
    }

    #[test]
    fn truncated_tagged_datagrams_give_no_other_message(index in 0..10_usize, cut in 1..200_usize) {
        let (_, message) = recorded_messages().remove(index);
        let sent = datagram::encode(&message, Format::Tagged).unwrap();
        let kept = sent.len().saturating_sub(cut).max(1);
        let decoded = datagram::decode(&sent[..kept]);
        prop_assert!(decoded.is_err() || decoded.unwrap().messages.is_empty());
    }
}
