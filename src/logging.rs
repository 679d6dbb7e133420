//! Structured log lines on standard output.
//!
//! Lines are formatted by the thread that logs and written by a separate thread
//! from a bounded queue, so that a reader that stalls never delays a request.
//! Lines over a rate limit are dropped and counted. Warnings and errors, which
//! report how failed requests ended, have a separate limit.

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

/// Maximum number of queued lines, about 10 MB.
const QUEUE_LINES: usize = 32 * 1024;
/// Rate limit of lines below warning level: ten times the rate of a busy
/// instance.
const INFO_LINES_PER_S: u64 = 2_000;
/// Rate limit of warnings and errors.
const WARN_LINES_PER_S: u64 = 1_000;

/// Counter of the lines dropped by the rate limit.
#[derive(Debug, Clone, Default)]
pub struct LeftOut {
    dropped: Arc<AtomicU64>,
}

impl LeftOut {
    /// Returns the number of lines dropped since the last call.
    #[must_use]
    pub fn take(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Starts logging; `filter` selects the lines to write, in the syntax of
/// `RUST_LOG`.
#[must_use]
pub fn start(format: LogFormat, filter: &str) -> LeftOut {
    let left_out = LeftOut::default();
    let rate_limit = LineRateLimit::new(left_out.clone());
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
        .dispatch(|dispatch| dispatch.filter(filter).filter(rate_limit).append(queue))
        .apply();
    left_out
}

/// Rate limiter for log lines.
#[derive(Debug)]
pub struct LineRateLimit {
    left_out: LeftOut,
    second: AtomicU64,
    info: AtomicU64,
    warn: AtomicU64,
}

impl LineRateLimit {
    /// Returns a limiter that counts dropped lines in `left_out`.
    #[must_use]
    pub fn new(left_out: LeftOut) -> LineRateLimit {
        LineRateLimit {
            left_out,
            second: AtomicU64::new(0),
            info: AtomicU64::new(0),
            warn: AtomicU64::new(0),
        }
    }

    /// Counts a line in this second and returns whether it may be written.
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
        self.left_out.dropped.fetch_add(1, Ordering::Relaxed);
        false
    }
}

impl Filter for LineRateLimit {
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

/// Returns the Unix time in milliseconds, logged at process start.
#[must_use]
pub fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
