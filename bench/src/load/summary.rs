//! What many outcomes come to: counts by ending, percentiles by length.

use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::LoadConfig;
use crate::load::Outcome;
use skylarkhook::job::LengthClass;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Times in milliseconds.
#[derive(Debug, Clone)]
pub struct Times(Histogram<u64>);

impl Times {
    /// Gathers times.
    #[must_use]
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Times {
        // Digits between 0 and 5 are always accepted.
        let mut histogram = Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!());
        for time in times {
            // The histogram grows with its values.
            let _ = histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
        Times(histogram)
    }

    /// Returns the number of times.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns a percentile in milliseconds; 0 if there are no times.
    #[must_use]
    pub fn percentile(&self, percent: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_percentile(percent) as f64 / 1000.0
    }
}

impl fmt::Display for Times {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for percent in [50.0, 95.0, 99.0] {
            write!(f, "{:>9.1}", self.percentile(percent))?;
        }
        Ok(())
    }
}

/// The outcomes of one run.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Outcomes, by class name and ending.
    pub endings: BTreeMap<(String, String), u64>,
    /// Calls in all.
    pub calls: u64,
    /// Whole answers.
    pub whole: u64,
    /// Answers that claim to be whole and are not.
    pub wrong: u64,
    /// Calls without a final word.
    pub broken: u64,
    /// Time to the first token by length class, of whole answers.
    pub first: BTreeMap<LengthClass, Times>,
    /// Time between tokens, of whole answers.
    pub gaps: Times,
    /// Times that the balancer went on to another instance.
    pub failovers: u64,
}

impl Summary {
    /// Sums up outcomes.
    #[must_use]
    pub fn of(cfg: &LoadConfig, outcomes: &[Outcome]) -> Summary {
        let mut endings = BTreeMap::new();
        for outcome in outcomes {
            let class = cfg.classes[outcome.class].name.clone();
            *endings.entry((class, outcome.ending.label())).or_default() += 1;
        }
        let count = |wanted: &dyn Fn(&Outcome) -> bool| {
            outcomes.iter().filter(|outcome| wanted(outcome)).count() as u64
        };
        let lengths = [LengthClass::Short, LengthClass::Long, LengthClass::Huge];
        let whole = || outcomes.iter().filter(|outcome| outcome.whole());
        Summary {
            endings,
            calls: outcomes.len() as u64,
            whole: count(&Outcome::whole),
            wrong: count(&|o| o.ending == super::Ending::Wrong),
            broken: count(&|o| matches!(o.ending, super::Ending::Broken(_))),
            first: lengths
                .map(|length| (length, first_times(outcomes, length)))
                .into(),
            gaps: Times::of(whole().flat_map(|outcome| outcome.gaps.iter().copied())),
            failovers: outcomes.iter().map(|o| u64::from(o.failovers)).sum(),
        }
    }

    /// Returns the share of calls that got their whole answer.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.whole as f64 / self.calls.max(1) as f64
    }

    /// Returns a percentile of first-token times, in milliseconds.
    #[must_use]
    pub fn first(&self, length: LengthClass, percent: f64) -> f64 {
        self.first
            .get(&length)
            .map_or(0.0, |times| times.percentile(percent))
    }

    /// Returns the tables for a terminal.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_table(&mut text);
        text
    }

    fn write_table(&self, text: &mut String) -> fmt::Result {
        writeln!(text, "  {:<12} {:>7}  outcome", "class", "calls")?;
        for ((class, ending), count) in &self.endings {
            writeln!(text, "  {class:<12} {count:>7}  {ending}")?;
        }
        let head = ["p50", "p95", "p99"]
            .map(|name| format!("{name:>9}"))
            .concat();
        writeln!(text, "  {:<12} {:>7} {head}", "time in ms", "whole")?;
        for (length, times) in self.first.iter().filter(|(_, times)| times.count() > 0) {
            let name = format!("first {}", length.as_str());
            writeln!(text, "  {name:<12} {:>7} {times}", times.count())?;
        }
        writeln!(
            text,
            "  {:<12} {:>7} {}",
            "between",
            self.gaps.count(),
            self.gaps
        )
    }
}

/// Returns the first-token times of whole answers to prompts of one length.
#[must_use]
pub fn first_times(outcomes: &[Outcome], length: LengthClass) -> Times {
    let of_length = outcomes
        .iter()
        .filter(|outcome| outcome.whole() && outcome.length() == Some(length));
    Times::of(of_length.filter_map(|outcome| outcome.first))
}

/// Returns one line an outcome, comma separated, under a head line.
#[must_use]
pub fn csv(cfg: &LoadConfig, outcomes: &[Outcome]) -> String {
    let mut text = String::from(
        "number,copy,class,prompt_tokens,at_ms,ending,first_ms,total_ms,tokens,failovers\n",
    );
    for outcome in outcomes {
        let first = outcome.first.map(|time| time.as_secs_f64() * 1000.0);
        let first = first.map(|ms| format!("{ms:.1}")).unwrap_or_default();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{},{},{},{},{},\"{}\",{first},{:.1},{},{}",
            outcome.number,
            outcome.copy,
            cfg.classes[outcome.class].name,
            outcome.prompt_tokens,
            outcome.at.0,
            outcome.ending.label().replace('"', "'"),
            outcome.total.as_secs_f64() * 1000.0,
            outcome.tokens,
            outcome.failovers,
        );
    }
    text
}
