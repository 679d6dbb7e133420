//! Prints what an earlier release writes for other instances: one line each with a
//! name, and the bytes in hexadecimal or the text. `record.sh` builds it in a copy of
//! that release. Releases that know the eras of the store are built with
//! `--cfg knows_eras`.

use http::HeaderMap;

use skylarkhook::adapter::store;
use skylarkhook::clock::Millis;
use skylarkhook::gateway::instances::Crash;
use skylarkhook::gateway::instances::CrashRecord;
use skylarkhook::gateway::instances::CrashSuspect;
use skylarkhook::gateway::instances::Item;
use skylarkhook::gateway::instances::Member;
use skylarkhook::gateway::instances::PeerMessage;
use skylarkhook::gateway::instances::Placed;
use skylarkhook::gateway::message::PromptPart;
use skylarkhook::gateway::message::ServerNotice;
#[cfg(knows_eras)]
use skylarkhook::gateway::message::StoreEra;
use skylarkhook::gateway::relay::RelayTerms;

fn messages() -> Vec<(&'static str, PeerMessage)> {
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
    };
    let heartbeat = PeerMessage::Alive {
        name: "front-ikeja-1".to_owned(),
        addr: "10.1.0.40:7340".to_owned(),
        config_revision: 300,
        proof_age_ms: 640,
        store_answers: true,
        entries_digest: Some(0xfeed),
        period_ms: 500,
        #[cfg(knows_eras)]
        store_era: StoreEra(2),
        #[cfg(knows_eras)]
        config_version: 21,
    };
    let item = |value: Option<&[u8]>| {
        PeerMessage::Item(Item {
            key: "servers/i-1".to_owned(),
            revision: 300,
            value: value.map(<[u8]>::to_vec),
            #[cfg(knows_eras)]
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
    vec![
        ("placed", PeerMessage::Placed(placed)),
        (
            "started",
            PeerMessage::Started {
                job,
                server,
                parts: parts.clone(),
            },
        ),
        ("ended", PeerMessage::Ended { job, server, parts }),
        ("alive", heartbeat),
        ("item", item(Some(b"{}"))),
        ("item-removed", item(None)),
        (
            "suspect",
            PeerMessage::Suspect {
                server: 2,
                avoid_ms: 1_000,
            },
        ),
        ("crash-records", PeerMessage::CrashRecords(records)),
        ("server-notice", PeerMessage::ServerNotice { server: 2, notice }),
        (
            "relay-state",
            PeerMessage::RelayState {
                name: "front-ikeja-1".to_owned(),
                draining: true,
                lost_services: vec!["model-pool".to_owned()],
            },
        ),
    ]
}

fn main() {
    for (name, message) in messages() {
        let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
        let hex: String = bytes
            .unwrap()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        println!("{name} {hex}");
    }
    let terms = RelayTerms {
        waited: Millis(120),
        attempts_left: 2,
        first_attempt: 64,
        config_version: 21,
    };
    let mut headers = HeaderMap::new();
    terms.insert(&mut headers).unwrap();
    for (name, value) in &headers {
        println!("{name} {}", value.to_str().unwrap());
    }
    let member = Member {
        name: "front-ikeja-1".to_owned(),
        addr: "10.1.0.40:7340".to_owned(),
    };
    let body = store::register(&member, 7).body;
    println!("register {}", String::from_utf8_lossy(&body));
}
