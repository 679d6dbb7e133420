//! What a setting may be, and how its text is read.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use super::Secret;
use crate::clock::Millis;
use crate::gateway::settings::CallPlacement;
use crate::gateway::settings::OutputLengthSource;

/// Longest name of an instance or a failure domain, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Largest ratio.
const MAX_RATIO: u64 = 1_000;
/// Error of a binary fraction that stands for a whole number of thousandths.
const RATIO_TOLERANCE: f64 = 1e-6;

/// Units of spans, with their length in milliseconds.
const SPAN_UNITS: &[(&str, u64)] = &[
    ("ms", 1),
    ("s", 1000),
    ("min", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

/// Units of sizes, with their length in bytes.
const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("KiB", 1024),
    ("MiB", 1024 * 1024),
    ("GiB", 1024 * 1024 * 1024),
];

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For a person.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Values that a setting may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowed {
    /// Letters, digits, `-`, `_` and `.`.
    Name,
    /// One IP address and port.
    Address {
        /// Whether it may be left empty.
        optional: bool,
    },
    /// A comma list of IP addresses and ports.
    Addresses,
    /// Path of a file whose first line is a secret.
    SecretFile,
    /// A span of time, bounds in milliseconds.
    Span { min: u64, max: u64 },
    /// A number of bytes.
    Size { min: u64, max: u64 },
    /// A plain number.
    Number { min: u64, max: u64 },
    /// A limit that need not be whole; it is rounded down.
    Limit { min: u64, max: u64 },
    /// A ratio, with up to three decimals; kept in thousandths, rounded down.
    Ratio,
    /// `fewest_calls`, `least_outstanding`, `two_choices` or `learned_cost`.
    CallPlacement,
    /// `caller` or `learned`.
    OutputLengthSource,
    /// `text` or `json`.
    LogFormat,
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`, also by module.
    LogFilter,
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Allowed::Name => write!(
                f,
                "1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"
            ),
            Allowed::Address { optional: false } => f.write_str("an address such as 10.0.0.1:8080"),
            Allowed::Address { optional: true } => {
                f.write_str("an address such as 10.0.0.1:8080, or nothing")
            }
            Allowed::Addresses => {
                f.write_str("addresses such as 10.0.0.1:8080, 10.0.0.2:8080")
            }
            Allowed::SecretFile => f.write_str("path of a file whose first line is the secret"),
            Allowed::Span { min, max } => write!(
                f,
                "{} to {}",
                with_unit(min, SPAN_UNITS),
                with_unit(max, SPAN_UNITS)
            ),
            Allowed::Size { min, max } => write!(
                f,
                "{} to {}",
                with_unit(min, SIZE_UNITS),
                with_unit(max, SIZE_UNITS)
            ),
            Allowed::Number { min, max } | Allowed::Limit { min, max } => {
                write!(f, "{min} to {max}")
            }
            Allowed::Ratio => write!(f, "0 to {MAX_RATIO}, such as 0.2"),
            Allowed::CallPlacement => {
                f.write_str("fewest_calls, least_outstanding, two_choices or learned_cost")
            }
            Allowed::OutputLengthSource => f.write_str("caller or learned"),
            Allowed::LogFormat => f.write_str("text or json"),
            Allowed::LogFilter => {
                f.write_str("off, error, warn, info, debug or trace, or a list such as info,skylarkhook::peer=debug")
            }
        }
    }
}

impl Allowed {
    /// Returns the unit of the values, empty if they have none.
    #[must_use]
    pub const fn unit(self) -> &'static str {
        match self {
            Allowed::Span { .. } => "time: ms, s, min, h or d",
            Allowed::Size { .. } => "size: B, KiB, MiB or GiB",
            _ => "",
        }
    }

    pub(super) fn name(self, text: &str) -> Result<String, String> {
        let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(fits) {
            return Err("it is no name".to_owned());
        }
        Ok(text.to_owned())
    }

    pub(super) fn address(self, text: &str) -> Result<String, String> {
        if text.is_empty() && self == (Allowed::Address { optional: true }) {
            return Ok(String::new());
        }
        match text.parse::<SocketAddr>() {
            Ok(addr) => Ok(addr.to_string()),
            Err(_) => Err("it is no IP address with a port".to_owned()),
        }
    }

    pub(super) fn addresses(self, text: &str) -> Result<Vec<String>, String> {
        text.split(',')
            .map(|part| Allowed::Address { optional: false }.address(part.trim()))
            .collect()
    }

    pub(super) fn secret(self, text: &str) -> Result<Secret, String> {
        if text.is_empty() {
            return Err("it is empty".to_owned());
        }
        Secret::read(Path::new(text))
    }

    pub(super) fn span(self, text: &str) -> Result<Millis, String> {
        let value = number_with_unit(text, SPAN_UNITS)?;
        self.check(value).map(Millis)
    }

    pub(super) fn size(self, text: &str) -> Result<u64, String> {
        let value = number_with_unit(text, SIZE_UNITS)?;
        self.check(value)
    }

    pub(super) fn number(self, text: &str) -> Result<u64, String> {
        let value = text.parse().map_err(|_| "it is no number".to_owned())?;
        self.check(value)
    }

    pub(super) fn limit(self, text: &str) -> Result<u64, String> {
        let value = decimal(text)?;
        self.check(value as u64)
    }

    pub(super) fn ratio(self, text: &str) -> Result<u64, String> {
        let value = decimal(text)?;
        if value > MAX_RATIO as f64 {
            return Err("it is too large".to_owned());
        }
        Ok((value * 1000.0 + RATIO_TOLERANCE) as u64)
    }

    pub(super) fn call_placement(self, text: &str) -> Result<CallPlacement, String> {
        match text {
            "fewest_calls" => Ok(CallPlacement::FewestCalls),
            "least_outstanding" => Ok(CallPlacement::LeastOutstanding),
            "two_choices" => Ok(CallPlacement::TwoChoices),
            "learned_cost" => Ok(CallPlacement::LearnedCost),
            _ => Err("it is no way of choosing".to_owned()),
        }
    }

    pub(super) fn output_lengths(self, text: &str) -> Result<OutputLengthSource, String> {
        match text {
            "caller" => Ok(OutputLengthSource::Caller),
            "learned" => Ok(OutputLengthSource::Learned),
            _ => Err("it is no source".to_owned()),
        }
    }

    pub(super) fn log_format(self, text: &str) -> Result<LogFormat, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err("it is no log format".to_owned()),
        }
    }

    pub(super) fn log_filter(self, text: &str) -> Result<String, String> {
        let level = |text: &str| text.parse::<log::LevelFilter>().is_ok();
        let fits = |part: &str| match part.split_once('=') {
            Some((module, word)) => !module.trim().is_empty() && level(word.trim()),
            None => level(part),
        };
        if !text.split(',').all(|part| fits(part.trim())) {
            return Err("it is no log filter".to_owned());
        }
        Ok(text.to_owned())
    }

    fn check(self, value: u64) -> Result<u64, String> {
        let (Allowed::Span { min, max }
        | Allowed::Size { min, max }
        | Allowed::Number { min, max }
        | Allowed::Limit { min, max }) = self
        else {
            return Ok(value);
        };
        if value < min {
            return Err("it is too small".to_owned());
        }
        if value > max {
            return Err("it is too large".to_owned());
        }
        Ok(value)
    }
}

/// Reads a number that need not be whole, such as `38.5`.
fn decimal(text: &str) -> Result<f64, String> {
    let is_plain = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    let number = text.parse().ok().filter(|_| is_plain);
    number.ok_or_else(|| "it is no number".to_owned())
}

/// Reads a number with a unit, such as `2 s` or `1.5 s`, as a multiple of the
/// smallest, rounded down.
fn number_with_unit(text: &str, units: &[(&str, u64)]) -> Result<u64, String> {
    let is_of_number = |c: &char| c.is_ascii_digit() || *c == '.';
    let digits = text.chars().take_while(is_of_number).count();
    let (number, unit) = text.split_at(digits);
    let fraction = decimal(number)?;
    let unit = unit.trim();
    let factor = units.iter().find(|(name, _)| *name == unit);
    let Some((_, factor)) = factor else {
        let names: Vec<&str> = units.iter().map(|(name, _)| *name).collect();
        return Err(format!("its unit must be one of {}", names.join(", ")));
    };
    match number.parse::<u64>() {
        Ok(whole) => whole
            .checked_mul(*factor)
            .ok_or_else(|| "it is too large".to_owned()),
        Err(_) if number.contains('.') => Ok((fraction * *factor as f64) as u64),
        Err(_) => Err("it is no number".to_owned()),
    }
}

/// Writes a number with the largest unit that divides it.
fn with_unit(value: u64, units: &[(&str, u64)]) -> String {
    let fits = |(_, factor): &&(&str, u64)| value > 0 && value % factor == 0;
    match units.iter().rev().find(fits) {
        Some((name, factor)) => format!("{} {name}", value / factor),
        None => format!("{value} {}", units.first().map_or("", |(name, _)| name)),
    }
}
