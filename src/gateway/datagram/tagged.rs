//! Messages with numbered fields.
//!
//! A number that was used once is never used for anything else. A field that is
//! missing has the value that its comment states, or its type's default.

use prost::Message as _;
use prost::encoding::decode_varint;
use prost::encoding::encode_varint;

use super::DatagramError;
use super::Decoded;
use super::Formats;
use crate::clock::Millis;
use crate::gateway::cost::CallEnd;
use crate::gateway::cost::CallReport;
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

const PLACED: u32 = 1;
const STARTED: u32 = 2;
const ENDED: u32 = 3;
const ALIVE: u32 = 4;
const ITEM: u32 = 5;
const SUSPECT: u32 = 6;
const CRASH_RECORDS: u32 = 7;
const SERVER_NOTICE: u32 = 8;
const RELAY_STATE: u32 = 9;

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WirePlaced {
    #[prost(fixed64, tag = "1")]
    job: u64,
    #[prost(fixed64, tag = "2")]
    server: u64,
    #[prost(message, repeated, tag = "3")]
    parts: Vec<WirePart>,
    #[prost(uint64, tag = "4")]
    prompt_tokens: u64,
    #[prost(uint64, tag = "5")]
    output_tokens: u64,
    #[prost(uint64, tag = "6")]
    first_reserved: u64,
    #[prost(uint32, tag = "7")]
    urgency: u32,
    #[prost(uint64, tag = "8")]
    gap_ms: u64,
    #[prost(uint64, tag = "9")]
    due_in_ms: u64,
    #[prost(uint64, tag = "10")]
    ready_in_ms: u64,
    /// Missing: the caller has no workspace, or the sender does not state it.
    #[prost(fixed32, tag = "11")]
    workspace: u32,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WirePart {
    #[prost(fixed64, tag = "1")]
    engine: u64,
    #[prost(uint64, tag = "2")]
    reserved: u64,
}

/// The first output or the end of a request.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireJob {
    #[prost(fixed64, tag = "1")]
    job: u64,
    #[prost(fixed64, tag = "2")]
    server: u64,
    #[prost(fixed64, repeated, tag = "3")]
    parts: Vec<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireHeartbeat {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    addr: String,
    #[prost(uint64, tag = "3")]
    config_revision: u64,
    /// Missing: nothing has proved the configuration.
    #[prost(uint64, optional, tag = "4")]
    proof_age_ms: Option<u64>,
    #[prost(bool, tag = "5")]
    store_answers: bool,
    /// Missing: the sender does not watch the entries.
    #[prost(fixed64, optional, tag = "6")]
    entries_digest: Option<u64>,
    #[prost(uint64, tag = "7")]
    period_ms: u64,
    /// Missing: the sender does not know eras.
    #[prost(uint64, optional, tag = "8")]
    store_era: Option<u64>,
    /// Missing: no configuration is in force.
    #[prost(uint64, tag = "9")]
    config_version: u64,
    /// Formats of datagrams that the sender reads.
    #[prost(uint32, repeated, tag = "10")]
    formats: Vec<u32>,
    /// Missing: the sender does not state up to which change it knows the entries.
    #[prost(uint64, optional, tag = "11")]
    entries_revision: Option<u64>,
    /// Missing: the sender does not tell of its calls.
    #[prost(message, repeated, tag = "15")]
    calls: Vec<WireCall>,
}

/// How a call to a plain server ended.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireCall {
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(fixed64, tag = "2")]
    route: u64,
    #[prost(uint64, tag = "3")]
    took_ms: u64,
    /// One of the `END_` constants; a call with another one is left out.
    #[prost(uint32, tag = "4")]
    end: u32,
    /// Missing: it stands for itself only.
    #[prost(uint32, optional, tag = "5")]
    count: Option<u32>,
}

const END_ANSWERED: u32 = 0;
const END_FAILED: u32 = 1;
const END_REFUSED: u32 = 2;
const END_LOST: u32 = 3;
const END_OPEN: u32 = 4;

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireItem {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// Missing: the item was removed.
    #[prost(bytes, optional, tag = "3")]
    value: Option<Vec<u8>>,
    #[prost(uint64, tag = "4")]
    era: u64,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireSuspect {
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(uint64, tag = "2")]
    avoid_ms: u64,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireCrashRecords {
    #[prost(message, repeated, tag = "1")]
    records: Vec<WireCrashRecord>,
}

/// Has a request or a part; a record of another kind of suspect is left out.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireCrashRecord {
    #[prost(fixed64, optional, tag = "1")]
    request: Option<u64>,
    #[prost(fixed64, optional, tag = "2")]
    part: Option<u64>,
    #[prost(message, repeated, tag = "3")]
    crashes: Vec<WireCrash>,
    /// Missing: no answer has shown that the suspect is sound.
    #[prost(uint64, optional, tag = "4")]
    sound_age_ms: Option<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireCrash {
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireServerNotice {
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(uint64, optional, tag = "2")]
    cold_remaining_ms: Option<u64>,
    #[prost(double, optional, tag = "3")]
    rate_limit: Option<f64>,
    #[prost(bool, tag = "4")]
    leaving: bool,
    #[prost(uint64, optional, tag = "5")]
    pause_ms: Option<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct WireRelayState {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bool, tag = "2")]
    draining: bool,
    #[prost(string, repeated, tag = "3")]
    lost_services: Vec<String>,
}

/// Appends a message with its kind and its length.
///
/// # Errors
///
/// Returns an error if this format has no such message.
pub(super) fn encode(message: &PeerMessage, buf: &mut Vec<u8>) -> Result<(), DatagramError> {
    match message.clone() {
        PeerMessage::Placed(placed) => append(PLACED, &WirePlaced::from(placed), buf),
        PeerMessage::Started { job, server, parts } => {
            append(STARTED, &WireJob { job, server, parts }, buf)
        }
        PeerMessage::Ended { job, server, parts } => {
            append(ENDED, &WireJob { job, server, parts }, buf)
        }
        PeerMessage::Alive(heartbeat) => append(ALIVE, &WireHeartbeat::from(heartbeat), buf),
        PeerMessage::Item(item) => append(ITEM, &WireItem::from(item), buf),
        PeerMessage::Suspect { server, avoid_ms } => {
            append(SUSPECT, &WireSuspect { server, avoid_ms }, buf)
        }
        PeerMessage::CrashRecords(records) => {
            let records = records.into_iter().map(WireCrashRecord::from).collect();
            append(CRASH_RECORDS, &WireCrashRecords { records }, buf)
        }
        PeerMessage::ServerNotice { server, notice } => {
            let wire = WireServerNotice {
                server,
                cold_remaining_ms: notice.cold_remaining.map(|left| left.0),
                rate_limit: notice.rate_limit,
                leaving: notice.leaving,
                pause_ms: notice.pause.map(|pause| pause.0),
            };
            append(SERVER_NOTICE, &wire, buf)
        }
        PeerMessage::RelayState {
            name,
            draining,
            lost_services,
        } => {
            let wire = WireRelayState {
                name,
                draining,
                lost_services,
            };
            append(RELAY_STATE, &wire, buf)
        }
        PeerMessage::Crashed { .. } => Err(DatagramError::new(
            &"single crashes are sent by earlier releases only",
        )),
    }
}

fn append(
    kind: u32,
    message: &impl prost::Message,
    buf: &mut Vec<u8>,
) -> Result<(), DatagramError> {
    encode_varint(u64::from(kind), buf);
    message
        .encode_length_delimited(buf)
        .map_err(|error| DatagramError::new(&error))
}

/// Decodes the messages of a datagram.
///
/// # Errors
///
/// Returns an error if the datagram is malformed.
pub(super) fn decode(mut buf: &[u8]) -> Result<Decoded, DatagramError> {
    let mut decoded = Decoded::default();
    while !buf.is_empty() {
        let kind = decode_varint(&mut buf).map_err(|error| DatagramError::new(&error))?;
        let len = decode_varint(&mut buf).map_err(|error| DatagramError::new(&error))?;
        let split = usize::try_from(len).ok();
        let Some((body, rest)) = split.and_then(|len| buf.split_at_checked(len)) else {
            return Err(DatagramError::new(&"a message is longer than its datagram"));
        };
        buf = rest;
        let kind = u32::try_from(kind).map_err(|error| DatagramError::new(&error))?;
        match decode_message(kind, body).map_err(|error| DatagramError::new(&error))? {
            Some(message) => decoded.messages.push(message),
            None => decoded.unknown_kinds.push(kind),
        }
    }
    Ok(decoded)
}

/// Decodes a message; returns `None` if its kind is not known.
fn decode_message(kind: u32, body: &[u8]) -> Result<Option<PeerMessage>, prost::DecodeError> {
    let message = match kind {
        PLACED => PeerMessage::Placed(WirePlaced::decode(body)?.into()),
        STARTED => {
            let WireJob { job, server, parts } = WireJob::decode(body)?;
            PeerMessage::Started { job, server, parts }
        }
        ENDED => {
            let WireJob { job, server, parts } = WireJob::decode(body)?;
            PeerMessage::Ended { job, server, parts }
        }
        ALIVE => PeerMessage::Alive(WireHeartbeat::decode(body)?.into()),
        ITEM => PeerMessage::Item(WireItem::decode(body)?.into()),
        SUSPECT => {
            let WireSuspect { server, avoid_ms } = WireSuspect::decode(body)?;
            PeerMessage::Suspect { server, avoid_ms }
        }
        CRASH_RECORDS => {
            let WireCrashRecords { records } = WireCrashRecords::decode(body)?;
            let records = records.into_iter().filter_map(WireCrashRecord::into_record);
            PeerMessage::CrashRecords(records.collect())
        }
        SERVER_NOTICE => {
            let wire = WireServerNotice::decode(body)?;
            PeerMessage::ServerNotice {
                server: wire.server,
                notice: ServerNotice {
                    cold_remaining: wire.cold_remaining_ms.map(Millis),
                    rate_limit: wire.rate_limit,
                    leaving: wire.leaving,
                    pause: wire.pause_ms.map(Millis),
                },
            }
        }
        RELAY_STATE => {
            let wire = WireRelayState::decode(body)?;
            PeerMessage::RelayState {
                name: wire.name,
                draining: wire.draining,
                lost_services: wire.lost_services,
            }
        }
        _ => return Ok(None),
    };
    Ok(Some(message))
}

impl From<Placed> for WirePlaced {
    fn from(placed: Placed) -> WirePlaced {
        let parts = placed.parts.into_iter();
        WirePlaced {
            job: placed.job,
            server: placed.server,
            parts: parts
                .map(|(engine, reserved)| WirePart { engine, reserved })
                .collect(),
            prompt_tokens: placed.prompt_tokens,
            output_tokens: placed.output_tokens,
            first_reserved: placed.first_reserved,
            urgency: u32::from(placed.urgency),
            gap_ms: placed.gap_ms,
            due_in_ms: placed.due_in_ms,
            ready_in_ms: placed.ready_in_ms,
            workspace: placed.workspace.0,
        }
    }
}

impl From<WirePlaced> for Placed {
    fn from(wire: WirePlaced) -> Placed {
        let parts = wire.parts.into_iter();
        Placed {
            job: wire.job,
            server: wire.server,
            parts: parts.map(|part| (part.engine, part.reserved)).collect(),
            prompt_tokens: wire.prompt_tokens,
            output_tokens: wire.output_tokens,
            first_reserved: wire.first_reserved,
            urgency: u8::try_from(wire.urgency).unwrap_or(u8::MAX),
            gap_ms: wire.gap_ms,
            due_in_ms: wire.due_in_ms,
            ready_in_ms: wire.ready_in_ms,
            workspace: WorkspaceKey(wire.workspace),
        }
    }
}

impl From<Heartbeat> for WireHeartbeat {
    fn from(heartbeat: Heartbeat) -> WireHeartbeat {
        WireHeartbeat {
            name: heartbeat.member.name,
            addr: heartbeat.member.addr,
            config_revision: heartbeat.config_revision,
            proof_age_ms: Some(heartbeat.proof_age_ms),
            store_answers: heartbeat.store_answers,
            entries_digest: heartbeat.entries_digest,
            entries_revision: heartbeat.entries_revision,
            period_ms: heartbeat.period_ms,
            store_era: heartbeat.store_era.map(|era| era.0),
            config_version: heartbeat.config_version,
            formats: heartbeat.member.formats.numbers(),
            calls: heartbeat.calls.into_iter().map(WireCall::from).collect(),
        }
    }
}

impl From<WireHeartbeat> for Heartbeat {
    fn from(wire: WireHeartbeat) -> Heartbeat {
        Heartbeat {
            member: Member {
                name: wire.name,
                addr: wire.addr,
                formats: Formats::from_numbers(&wire.formats),
            },
            config_revision: wire.config_revision,
            proof_age_ms: wire.proof_age_ms.unwrap_or(Millis::NEVER.0),
            store_answers: wire.store_answers,
            entries_digest: wire.entries_digest,
            entries_revision: wire.entries_revision,
            period_ms: wire.period_ms,
            store_era: wire.store_era.map(StoreEra),
            config_version: wire.config_version,
            calls: wire
                .calls
                .into_iter()
                .filter_map(WireCall::into_report)
                .collect(),
        }
    }
}

impl From<CallReport> for WireCall {
    fn from(report: CallReport) -> WireCall {
        WireCall {
            server: report.server,
            route: report.route,
            took_ms: report.took.0,
            end: match report.end {
                CallEnd::Answered => END_ANSWERED,
                CallEnd::Failed => END_FAILED,
                CallEnd::Refused => END_REFUSED,
                CallEnd::Lost => END_LOST,
                CallEnd::Open => END_OPEN,
            },
            count: (report.count != 1).then_some(report.count),
        }
    }
}

impl WireCall {
    fn into_report(self) -> Option<CallReport> {
        let end = match self.end {
            END_ANSWERED => CallEnd::Answered,
            END_FAILED => CallEnd::Failed,
            END_REFUSED => CallEnd::Refused,
            END_LOST => CallEnd::Lost,
            END_OPEN => CallEnd::Open,
            _ => return None,
        };
        Some(CallReport {
            server: self.server,
            route: self.route,
            took: Millis(self.took_ms),
            end,
            count: self.count.unwrap_or(1),
        })
    }
}

impl From<Item> for WireItem {
    fn from(item: Item) -> WireItem {
        WireItem {
            key: item.key,
            revision: item.revision,
            value: item.value,
            era: item.era.0,
        }
    }
}

impl From<WireItem> for Item {
    fn from(wire: WireItem) -> Item {
        Item {
            key: wire.key,
            revision: wire.revision,
            value: wire.value,
            era: StoreEra(wire.era),
        }
    }
}

impl From<CrashRecord> for WireCrashRecord {
    fn from(record: CrashRecord) -> WireCrashRecord {
        let (request, part) = match record.suspect {
            CrashSuspect::Request(fingerprint) => (Some(fingerprint), None),
            CrashSuspect::Part(PromptPart(part)) => (None, Some(part)),
        };
        let crashes = record.crashes.into_iter();
        WireCrashRecord {
            request,
            part,
            crashes: crashes
                .map(|Crash { server, age_ms }| WireCrash { server, age_ms })
                .collect(),
            sound_age_ms: record.sound_age_ms,
        }
    }
}

impl WireCrashRecord {
    fn into_record(self) -> Option<CrashRecord> {
        let suspect = match (self.request, self.part) {
            (Some(fingerprint), _) => CrashSuspect::Request(fingerprint),
            (None, Some(part)) => CrashSuspect::Part(PromptPart(part)),
            (None, None) => return None,
        };
        let crashes = self.crashes.into_iter();
        Some(CrashRecord {
            suspect,
            crashes: crashes
                .map(|WireCrash { server, age_ms }| Crash { server, age_ms })
                .collect(),
            sound_age_ms: self.sound_age_ms,
        })
    }
}
