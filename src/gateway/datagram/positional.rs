//! The datagrams of earlier releases: `bincode` without field names.
//!
//! The layout is frozen: nothing is added, removed or moved. Earlier releases
//! ignore what follows a message, so a heartbeat has the formats that its sender
//! reads behind it.

use serde::Deserialize;
use serde::Serialize;

use super::DatagramError;
use super::Formats;
use super::MAX_DATAGRAM_BYTES;
use crate::clock::Millis;
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

/// Variants that the release before the last one sends without their last fields.
const GROWN_VARIANTS: [u8; 2] = [3, 5];
/// Zeros in place of those fields.
const MISSING_FIELDS: [u8; 2] = [0; 2];

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum Message {
    Placed(WirePlaced),
    Started {
        job: u64,
        server: u64,
        parts: Vec<u64>,
    },
    Ended {
        job: u64,
        server: u64,
        parts: Vec<u64>,
    },
    Alive {
        name: String,
        addr: String,
        config_revision: u64,
        proof_age_ms: u64,
        store_answers: bool,
        entries_digest: Option<u64>,
        period_ms: u64,
        store_era: u64,
        config_version: u64,
    },
    Crashed {
        fingerprint: u64,
        server: u64,
    },
    Item {
        key: String,
        revision: u64,
        value: Option<Vec<u8>>,
        era: u64,
    },
    Suspect {
        server: u64,
        avoid_ms: u64,
    },
    CrashRecords(Vec<WireCrashRecord>),
    ServerNotice {
        server: u64,
        cold_remaining: Option<u64>,
        rate_limit: Option<f64>,
        leaving: bool,
        pause: Option<u64>,
    },
    RelayState {
        name: String,
        draining: bool,
        lost_services: Vec<String>,
    },
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WirePlaced {
    job: u64,
    server: u64,
    parts: Vec<(u64, u64)>,
    prompt_tokens: u64,
    output_tokens: u64,
    first_reserved: u64,
    urgency: u8,
    gap_ms: u64,
    due_in_ms: u64,
    ready_in_ms: u64,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum WireSuspect {
    Request(u64),
    Part(u64),
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireCrashRecord {
    suspect: WireSuspect,
    /// Server and age in ms of each crash.
    crashes: Vec<(u64, u64)>,
    sound_age_ms: Option<u64>,
}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded.
pub(super) fn encode(message: &PeerMessage) -> Result<Vec<u8>, DatagramError> {
    let config = bincode::config::standard();
    let wire = Message::from(message);
    let mut bytes =
        bincode::serde::encode_to_vec(wire, config).map_err(|error| DatagramError::new(&error))?;
    if let PeerMessage::Alive(heartbeat) = message {
        let formats = heartbeat.member.formats.numbers();
        let formats = bincode::serde::encode_to_vec(formats, config)
            .map_err(|error| DatagramError::new(&error))?;
        bytes.extend(formats);
    }
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if it is malformed.
pub(super) fn decode(datagram: &[u8]) -> Result<PeerMessage, DatagramError> {
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let read = bincode::serde::decode_from_slice::<Message, _>(datagram, config);
    let (wire, len, knows_eras) = match read {
        Ok((wire, len)) => (wire, len, true),
        Err(error) => {
            let variant = datagram.first().copied().unwrap_or(u8::MAX);
            if !GROWN_VARIANTS.contains(&variant) {
                return Err(DatagramError::new(&error));
            }
            let padded = [datagram, &MISSING_FIELDS].concat();
            let (wire, _) = bincode::serde::decode_from_slice(&padded, config)
                .map_err(|error| DatagramError::new(&error))?;
            (wire, datagram.len(), false)
        }
    };
    let mut message = PeerMessage::from(wire);
    if let PeerMessage::Alive(heartbeat) = &mut message {
        if !knows_eras {
            heartbeat.store_era = None;
        }
        // Nothing follows the heartbeat of an earlier release.
        let rest = &datagram[len..];
        let formats = bincode::serde::decode_from_slice::<Vec<u32>, _>(rest, config);
        heartbeat.member.formats = match formats {
            Ok((numbers, _)) => Formats::from_numbers(&numbers),
            Err(_) => Formats::EARLIER,
        };
    }
    Ok(message)
}

impl From<&PeerMessage> for Message {
    fn from(message: &PeerMessage) -> Message {
        match message.clone() {
            PeerMessage::Placed(placed) => Message::Placed(WirePlaced {
                job: placed.job,
                server: placed.server,
                parts: placed.parts,
                prompt_tokens: placed.prompt_tokens,
                output_tokens: placed.output_tokens,
                first_reserved: placed.first_reserved,
                urgency: placed.urgency,
                gap_ms: placed.gap_ms,
                due_in_ms: placed.due_in_ms,
                ready_in_ms: placed.ready_in_ms,
            }),
            PeerMessage::Started { job, server, parts } => Message::Started { job, server, parts },
            PeerMessage::Ended { job, server, parts } => Message::Ended { job, server, parts },
            PeerMessage::Alive(heartbeat) => Message::Alive {
                name: heartbeat.member.name,
                addr: heartbeat.member.addr,
                config_revision: heartbeat.config_revision,
                proof_age_ms: heartbeat.proof_age_ms,
                store_answers: heartbeat.store_answers,
                entries_digest: heartbeat.entries_digest,
                period_ms: heartbeat.period_ms,
                store_era: heartbeat.store_era.unwrap_or_default().0,
                config_version: heartbeat.config_version,
            },
            PeerMessage::Crashed {
                fingerprint,
                server,
            } => Message::Crashed {
                fingerprint,
                server,
            },
            PeerMessage::Item(item) => Message::Item {
                key: item.key,
                revision: item.revision,
                value: item.value,
                era: item.era.0,
            },
            PeerMessage::Suspect { server, avoid_ms } => Message::Suspect { server, avoid_ms },
            PeerMessage::CrashRecords(records) => {
                Message::CrashRecords(records.into_iter().map(WireCrashRecord::from).collect())
            }
            PeerMessage::ServerNotice { server, notice } => Message::ServerNotice {
                server,
                cold_remaining: notice.cold_remaining.map(|left| left.0),
                rate_limit: notice.rate_limit,
                leaving: notice.leaving,
                pause: notice.pause.map(|pause| pause.0),
            },
            PeerMessage::RelayState {
                name,
                draining,
                lost_services,
            } => Message::RelayState {
                name,
                draining,
                lost_services,
            },
        }
    }
}

impl From<Message> for PeerMessage {
    fn from(wire: Message) -> PeerMessage {
        match wire {
            Message::Placed(placed) => PeerMessage::Placed(Placed {
                job: placed.job,
                server: placed.server,
                parts: placed.parts,
                prompt_tokens: placed.prompt_tokens,
                output_tokens: placed.output_tokens,
                first_reserved: placed.first_reserved,
                urgency: placed.urgency,
                gap_ms: placed.gap_ms,
                due_in_ms: placed.due_in_ms,
                ready_in_ms: placed.ready_in_ms,
                workspace: WorkspaceKey::default(),
            }),
            Message::Started { job, server, parts } => PeerMessage::Started { job, server, parts },
            Message::Ended { job, server, parts } => PeerMessage::Ended { job, server, parts },
            Message::Alive {
                name,
                addr,
                config_revision,
                proof_age_ms,
                store_answers,
                entries_digest,
                period_ms,
                store_era,
                config_version,
            } => PeerMessage::Alive(Heartbeat {
                member: Member {
                    name,
                    addr,
                    formats: Formats::EARLIER,
                },
                config_revision,
                proof_age_ms,
                store_answers,
                entries_digest,
                entries_revision: None,
                period_ms,
                store_era: Some(StoreEra(store_era)),
                config_version,
                calls: Vec::new(),
            }),
            Message::Crashed {
                fingerprint,
                server,
            } => PeerMessage::Crashed {
                fingerprint,
                server,
            },
            Message::Item {
                key,
                revision,
                value,
                era,
            } => PeerMessage::Item(Item {
                key,
                revision,
                value,
                era: StoreEra(era),
            }),
            Message::Suspect { server, avoid_ms } => PeerMessage::Suspect { server, avoid_ms },
            Message::CrashRecords(records) => {
                PeerMessage::CrashRecords(records.into_iter().map(CrashRecord::from).collect())
            }
            Message::ServerNotice {
                server,
                cold_remaining,
                rate_limit,
                leaving,
                pause,
            } => PeerMessage::ServerNotice {
                server,
                notice: ServerNotice {
                    cold_remaining: cold_remaining.map(Millis),
                    rate_limit,
                    leaving,
                    pause: pause.map(Millis),
                },
            },
            Message::RelayState {
                name,
                draining,
                lost_services,
            } => PeerMessage::RelayState {
                name,
                draining,
                lost_services,
            },
        }
    }
}

impl From<CrashRecord> for WireCrashRecord {
    fn from(record: CrashRecord) -> WireCrashRecord {
        let crashes = record.crashes.iter();
        WireCrashRecord {
            suspect: match record.suspect {
                CrashSuspect::Request(fingerprint) => WireSuspect::Request(fingerprint),
                CrashSuspect::Part(PromptPart(part)) => WireSuspect::Part(part),
            },
            crashes: crashes.map(|crash| (crash.server, crash.age_ms)).collect(),
            sound_age_ms: record.sound_age_ms,
        }
    }
}

impl From<WireCrashRecord> for CrashRecord {
    fn from(wire: WireCrashRecord) -> CrashRecord {
        let crashes = wire.crashes.into_iter();
        CrashRecord {
            suspect: match wire.suspect {
                WireSuspect::Request(fingerprint) => CrashSuspect::Request(fingerprint),
                WireSuspect::Part(part) => CrashSuspect::Part(PromptPart(part)),
            },
            crashes: crashes
                .map(|(server, age_ms)| Crash { server, age_ms })
                .collect(),
            sound_age_ms: wire.sound_age_ms,
        }
    }
}
