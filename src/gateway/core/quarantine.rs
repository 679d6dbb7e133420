//! Crashes of backend servers seen by this and other instances, and the refusal
//! of requests that would cause more.

use std::sync::Arc;

use super::Core;
use super::requests::ActiveAttempt;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::instances::CrashRecord;
use crate::gateway::instances::CrashSuspect;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Output;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::server_table::ServerKey;
use crate::metrics::Count;

/// Maximum number of records in a message, so that it fits into a datagram.
const MAX_RECORDS_PER_MESSAGE: usize = 8;
/// Number of instances to which the records are repeated with each heartbeat.
const REPEAT_FANOUT: usize = 2;

/// Returns what may crash a server that runs this request.
fn suspects(submission: &Submission) -> Vec<CrashSuspect> {
    let request = CrashSuspect::Request(submission.fingerprint);
    let parts = submission.head.shared_parts.iter();
    let parts = parts.map(|&part| CrashSuspect::Part(part));
    [request].into_iter().chain(parts).collect()
}

/// A crash of a server as an attempt that it broke off shows it.
#[derive(Debug)]
pub(super) struct ObservedCrash {
    pub(super) at: Millis,
    request_id: String,
    fingerprint: u64,
    /// Shared parts of the prompt, for the log.
    prompt_parts: String,
    /// Whether the attempt had given output.
    started: bool,
    /// Whether more output had followed the first.
    continued: bool,
    /// What may have caused it.
    suspects: Vec<CrashSuspect>,
}

impl ObservedCrash {
    /// Logs that the server has not ended.
    pub(super) fn log_disproved(&self, server_id: &str) {
        log::info!(
            request = self.request_id.as_str(),
            server = server_id,
            fingerprint = format!("{:016x}", self.fingerprint).as_str();
            "answer broken off by a server that has not ended: no crash"
        );
    }
}

impl Core {
    /// Returns what a request is quarantined for and how long still, or `None`
    /// if it may be sent.
    pub(super) fn quarantine(
        &self,
        now: Millis,
        submission: &Submission,
    ) -> Option<(CrashSuspect, Millis)> {
        self.crashes.find_quarantined(now, &suspects(submission))
    }

    pub(super) fn is_quarantined(&self, now: Millis, request: &Request) -> bool {
        self.quarantine(now, &request.submission).is_some()
    }

    /// Returns whether a request that has failed must not be sent again: it is
    /// quarantined, or would be if the crashes that are not confirmed yet were
    /// recorded.
    pub(super) fn is_retry_quarantined(&self, now: Millis, request: &Request) -> bool {
        if self.is_quarantined(now, request) {
            return true;
        }
        suspects(&request.submission).into_iter().any(|suspect| {
            let crashes: Vec<(u64, Millis)> = self
                .held_crashes()
                .filter(|(_, crash)| crash.suspects.contains(&suspect))
                .map(|(server, crash)| (self.server_table.incarnation_hash(server), crash.at))
                .collect();
            !crashes.is_empty() && self.crashes.would_quarantine(suspect, &crashes)
        })
    }

    /// Describes the crash of a server that broke off an attempt. An engine that is
    /// crashed by a part of a prompt ends when it begins to answer: the parts of
    /// prompts whose answer had gone on are not suspected.
    pub(super) fn describe_crash(
        &self,
        now: Millis,
        ticket: Ticket,
        attempt: &ActiveAttempt,
    ) -> ObservedCrash {
        let submission = &self.requests[&ticket].submission;
        let mut suspects = suspects(submission);
        if attempt.output_continued {
            suspects.truncate(1);
        }
        ObservedCrash {
            at: now,
            request_id: submission.head.request_id.clone(),
            fingerprint: submission.fingerprint,
            prompt_parts: submission.head.describe_shared_parts(),
            started: attempt.first_output_seen,
            continued: attempt.output_continued,
            suspects,
        }
    }

    /// Records the crash of a server and tells the other instances.
    pub(super) fn record_crash(
        &mut self,
        now: Millis,
        server: ServerKey,
        crash: &ObservedCrash,
        out: &mut Vec<Output>,
    ) {
        log::info!(
            request = crash.request_id.as_str(),
            server = self.server_table.get(server).entry.id.as_str(),
            fingerprint = format!("{:016x}", crash.fingerprint).as_str(),
            prompt_parts = crash.prompt_parts.as_str(),
            started = crash.started,
            continued = crash.continued,
            age_ms = now.since(crash.at).0;
            "crash recorded"
        );
        let server = self.server_table.incarnation_hash(server);
        for &suspect in &crash.suspects {
            let before = self.crashes.find_quarantined(now, &[suspect]);
            let crashes = self.crashes.record(crash.at, suspect, server);
            if before.is_none() && self.crashes.find_quarantined(now, &[suspect]).is_some() {
                self.log_quarantine(suspect, crashes, "this instance");
            }
        }
        self.broadcast_crash_records(now, &crash.suspects, out);
    }

    /// Records that an answer has shown a request, or only the parts of its
    /// prompt, to be sound.
    pub(super) fn record_sound(
        &mut self,
        now: Millis,
        ticket: Ticket,
        parts_only: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let mut cleared = suspects(&request.submission);
        if parts_only {
            cleared.remove(0);
        }
        cleared.retain(|&suspect| self.crashes.record_sound(now, suspect));
        if cleared.is_empty() {
            return;
        }
        for suspect in &cleared {
            log::info!(suspect:% = suspect; "crashes cleared: an answer showed the suspect to be sound");
        }
        self.broadcast_crash_records(now, &cleared, out);
    }

    /// Records that a server answered an attempt.
    pub(super) fn record_alive(&mut self, sent_at: Millis, server: ServerKey) {
        self.drop_disproved_crashes(sent_at, server);
        let server = self.server_table.incarnation_hash(server);
        self.crashes.record_alive(sent_at, server);
    }

    pub(super) fn on_crash_records(&mut self, now: Millis, records: &[CrashRecord]) {
        for record in records {
            if self.crashes.merge(now, record) {
                self.log_quarantine(record.suspect, record.crashes.len(), "another instance");
            }
        }
    }

    /// Repeats what is known about crashes to a few instances, different ones
    /// each time.
    pub(super) fn repeat_crash_records(&mut self, now: Millis, out: &mut Vec<Output>) {
        let known = self.instances.recipients();
        let records = self.crashes.take_repeats(now, MAX_RECORDS_PER_MESSAGE);
        if records.is_empty() || known.is_empty() {
            return;
        }
        let first = self.next_repeat_to % known.len();
        self.next_repeat_to = first + REPEAT_FANOUT;
        let recipients = known.iter().cycle().skip(first);
        let recipients = recipients.take(REPEAT_FANOUT.min(known.len()));
        let recipients = Arc::new(recipients.cloned().collect());
        out.push(Output::Broadcast(
            recipients,
            PeerMessage::CrashRecords(records),
        ));
    }

    fn broadcast_crash_records(
        &self,
        now: Millis,
        suspects: &[CrashSuspect],
        out: &mut Vec<Output>,
    ) {
        for chunk in suspects.chunks(MAX_RECORDS_PER_MESSAGE) {
            let records = chunk.iter();
            let records = records.filter_map(|&suspect| self.crashes.describe(now, suspect));
            self.broadcast(out, PeerMessage::CrashRecords(records.collect()));
        }
    }

    fn log_quarantine(&self, suspect: CrashSuspect, crashes: usize, reported_by: &str) {
        self.count(Count::Quarantined);
        log::warn!(
            suspect:% = suspect,
            crashes = crashes,
            reported_by = reported_by;
            "quarantined: requests with the suspect are refused"
        );
    }
}
