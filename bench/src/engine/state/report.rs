//! Load reports, which lag.

use super::EngineState;
use crate::engine::stream::Stream;
use skylarkhook::backend::LoadReport;
use skylarkhook::backend::RunningStream;
use skylarkhook::clock::Millis;
use skylarkhook::id::Boot;
use skylarkhook::id::Epoch;
use skylarkhook::id::RequestId;

/// Time between two load reports.
const REPORT_PERIOD: Millis = Millis(50);
/// A load report older than this is forgotten.
const REPORT_KEPT: Millis = Millis(30_000);

impl EngineState {
    /// Returns the newest load report that is old enough.
    #[must_use]
    pub fn load(&self, now: Millis) -> LoadReport {
        let lag = self.cfg.load_lag_ms;
        let found = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        match found.or(self.reports.front()) {
            Some((at, report)) => LoadReport {
                age_ms: now.since(*at),
                ..report.clone()
            },
            None => self.report(),
        }
    }

    pub(super) fn record_report(&mut self, now: Millis) {
        let newest = self.reports.back();
        if newest.is_some_and(|(at, _)| now.since(*at) < REPORT_PERIOD) {
            return;
        }
        self.reports.push_back((now, self.report()));
        let old = |(at, _): &(Millis, LoadReport)| now.since(*at) > REPORT_KEPT;
        while self.reports.front().is_some_and(old) {
            self.reports.pop_front();
        }
    }

    fn report(&self) -> LoadReport {
        let marks = self.marks();
        let live = self.streams.values().filter(|s| s.memory_tokens > 0);
        LoadReport {
            boot: Boot(self.boot),
            epoch: Epoch(self.epoch),
            age_ms: Millis::ZERO,
            memory_used: marks.memory_tokens,
            memory_total: self.cfg.memory_tokens,
            prefill_waiting: marks.prefill_tokens,
            streams: live.map(running).collect(),
            models: self.cfg.models.clone(),
        }
    }
}

fn running(stream: &Stream) -> RunningStream {
    let request = u64::from_str_radix(&stream.request, 16).unwrap_or(0);
    RunningStream {
        request: RequestId(request),
        owner: stream.owner.clone(),
        memory_tokens: stream.memory_tokens,
    }
}
