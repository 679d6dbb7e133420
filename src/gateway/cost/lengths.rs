//! Length of prompts' outputs, learned from the lengths that callers expect.
//!
//! What a caller expects is right in the middle but often far off. A line through
//! the logarithms of expected and actual lengths of a route's latest answers says
//! how far an expectation is to be believed: if it tells nothing, the prediction
//! is the route's usual length, whatever the caller expects.

use std::collections::HashMap;

/// Number of latest answers that count.
const MEMORY_ANSWERS: f64 = 100.0;
/// Answers that the assumption of exact expectations counts as.
const PRIOR_ANSWERS: f64 = 4.0;
/// Variance of the logarithm of the lengths under that assumption.
const PRIOR_VARIANCE: f64 = 0.25;
/// Farthest that a prediction may be from the caller's expectation, as a factor.
const MAX_CORRECTION: f64 = 16.0;

/// Learned output lengths.
#[derive(Debug, Default)]
pub struct OutputLengths {
    routes: HashMap<String, LengthLine>,
}

/// Decaying sums of the logarithms of expected (x) and actual (y) lengths.
#[derive(Debug, Clone, Default)]
struct LengthLine {
    answers: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl OutputLengths {
    /// Records the output length of a complete answer.
    pub fn record(&mut self, route: &str, expected_tokens: u64, actual_tokens: u64) {
        let x = (expected_tokens.max(1) as f64).ln();
        let y = (actual_tokens.max(1) as f64).ln();
        let line = self.routes.entry(route.to_owned()).or_default();
        let keep = ((MEMORY_ANSWERS - 1.0) / line.answers.max(1.0)).min(1.0);
        for (sum, value) in [
            (&mut line.answers, 1.0),
            (&mut line.x, x),
            (&mut line.y, y),
            (&mut line.xx, x * x),
            (&mut line.xy, x * y),
        ] {
            *sum = *sum * keep + value;
        }
    }

    /// Returns the likely output length of an answer.
    #[must_use]
    pub fn predict(&self, route: &str, expected_tokens: u64) -> f64 {
        let expected = expected_tokens.max(1) as f64;
        let Some(line) = self.routes.get(route) else {
            return expected;
        };
        let answers = line.answers;
        let (mean_x, mean_y) = (line.x / answers, line.y / answers);
        let variance = (line.xx / answers - mean_x * mean_x).max(0.0);
        let covariance = line.xy / answers - mean_x * mean_y;
        let prior = PRIOR_ANSWERS * PRIOR_VARIANCE;
        let slope = (covariance * answers + prior) / (variance * answers + prior);
        // The assumption holds the line at the expectation.
        let shift = (mean_y - mean_x) * answers / (answers + PRIOR_ANSWERS);
        let predicted = mean_x + shift + slope.clamp(0.0, 1.0) * (expected.ln() - mean_x);
        let limit = MAX_CORRECTION;
        predicted.exp().clamp(expected / limit, expected * limit)
    }

    /// Drops the routes that are not kept.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_kept(route));
    }
}
