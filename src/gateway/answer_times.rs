//! How long the latest answers took, by route.
//!
//! Intended for instances that shut down while engines are busy: whether a
//! request can be finished in the time that is left depends on how long streams
//! last at present, which the forecast of their first output does not tell.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::clock::Millis;

/// Number of a route's latest answers that count.
const LATEST_ANSWERS: usize = 32;
/// Percentage of these answers that took no longer than the usual time.
const USUAL_PERCENT: usize = 90;

/// Durations of the latest answers of each route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<String, VecDeque<Millis>>,
}

impl AnswerTimes {
    /// Records how long a request took from its arrival to its end.
    pub fn record(&mut self, route: &str, time: Millis) {
        let times = self.routes.entry(route.to_owned()).or_default();
        if times.len() == LATEST_ANSWERS {
            times.pop_front();
        }
        times.push_back(time);
    }

    /// Returns the time within which most answers of a route are complete; zero
    /// if there were none.
    #[must_use]
    pub fn usual(&self, route: &str) -> Millis {
        let Some(times) = self.routes.get(route) else {
            return Millis::ZERO;
        };
        let mut sorted: Vec<Millis> = times.iter().copied().collect();
        sorted.sort_unstable();
        let rank = sorted.len() * USUAL_PERCENT / 100;
        let last = sorted.len().saturating_sub(1);
        sorted.get(rank.min(last)).copied().unwrap_or_default()
    }

    /// Drops the routes that are not kept.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_kept(route));
    }
}
