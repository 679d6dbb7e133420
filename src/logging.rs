//! Structured log lines on the standard output stream.
//!
//! Lines are formatted where they arise and written by a thread of their own,
//! from a queue of fixed length: a reader that does not read never delays a
//! request. Beyond a budget of lines a second, informational ones are left out
//! and counted; warnings and errors, which name how failed requests ended, have
//! a budget of their own.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use logforth::Diagnostic;
use logforth::Filter;
use logforth::append::Async;
use logforth::append::Stdout;
use logforth::filter::FilterResult;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use logforth::record::FilterCriteria;
use logforth::record::Level;
use logforth::record::Record;

use crate::config::LogFormat;

/// Lines that wait for a slow reader, at most; about 10 MB.
const QUEUE_LINES: usize = 32 * 1024;
/// Informational lines a second: ten times those of a busy instance.
const INFO_LINES_PER_S: u64 = 2_000;
/// Warnings and errors a second.
const WARN_LINES_PER_S: u64 = 1_000;

/// Lines that were left out, by cause.
#[derive(Debug, Clone, Default)]
pub struct LeftOut {
    over_budget: Arc<AtomicU64>,
}

impl LeftOut {
    /// Returns how many lines were left out since the last call.
    #[must_use]
    pub fn take(&self) -> u64 {
        self.over_budget.swap(0, Ordering::Relaxed)
    }
}

/// Starts the log of this process; `filter` says which lines are written.
#[must_use]
pub fn start(format: LogFormat, filter: &str) -> LeftOut {
    let left_out = LeftOut::default();
    let budget = Budget::new(left_out.clone());
    let filter = RustLogFilterBuilder::from_spec(filter).build();
    let stdout = match format {
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default()),
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
    };
    let queue = logforth::append::asynchronous::AsyncBuilder::new("log")
        .buffered_lines_limit(Some(QUEUE_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    let queue: Async = queue;
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).filter(budget).append(queue))
        .apply();
    left_out
}

/// Limits lines a second.
#[derive(Debug)]
pub struct Budget {
    left_out: LeftOut,
    second: AtomicU64,
    info: AtomicU64,
    warn: AtomicU64,
}

impl Budget {
    /// Returns a budget that counts what it leaves out.
    #[must_use]
    pub fn new(left_out: LeftOut) -> Budget {
        Budget {
            left_out,
            second: AtomicU64::new(0),
            info: AtomicU64::new(0),
            warn: AtomicU64::new(0),
        }
    }

    /// Returns whether one more line may be written in this second.
    #[must_use]
    pub fn allows(&self, second: u64, urgent: bool) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.info.store(0, Ordering::Relaxed);
            self.warn.store(0, Ordering::Relaxed);
        }
        let (written, limit) = match urgent {
            true => (&self.warn, WARN_LINES_PER_S),
            false => (&self.info, INFO_LINES_PER_S),
        };
        if written.fetch_add(1, Ordering::Relaxed) < limit {
            return true;
        }
        self.left_out.over_budget.fetch_add(1, Ordering::Relaxed);
        false
    }
}

impl Filter for Budget {
    fn enabled(&self, _: &FilterCriteria<'_>, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        FilterResult::Neutral
    }

    fn matches(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let second = record
            .time()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_secs());
        match self.allows(second, record.level() >= Level::Warn) {
            true => FilterResult::Neutral,
            false => FilterResult::Reject,
        }
    }
}

/// Returns the time of day, for lines that name a process's start.
#[must_use]
pub fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
