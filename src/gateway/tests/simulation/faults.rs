//! Cores that are suspended, killed or isolated from the others, and a store that
//! is down.

use super::Event;
use super::Outcome;
use super::Simulation;
use crate::clock::Millis;
use crate::gateway::message::Input;

/// What is wrong with a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process does not run; what arrives meanwhile waits.
    Suspended,
    /// The process has ended.
    Killed,
    /// No datagrams pass between it and the other cores.
    Isolated,
    /// The store does not answer it.
    StoreDown,
}

/// A fault of a core during a time, in ms.
#[derive(Debug, Clone)]
pub struct CoreFault {
    core: usize,
    fault: Fault,
    during: std::ops::Range<f64>,
}

impl Simulation {
    /// Lets a core have a fault during a time. One that is killed never runs again.
    pub fn add_fault(&mut self, core: usize, fault: Fault, during: std::ops::Range<f64>) {
        if fault == Fault::Killed {
            self.push(during.start, Event::Kill(core));
        }
        self.faults.push(CoreFault {
            core,
            fault,
            during,
        });
    }

    pub(super) fn has_fault(&self, core: usize, fault: Fault) -> bool {
        self.fault_end(core, fault).is_some()
    }

    fn fault_end(&self, core: usize, fault: Fault) -> Option<f64> {
        let mut faults = self.faults.iter();
        let found = faults.find(|found| {
            (found.core, found.fault) == (core, fault) && found.during.contains(&self.now)
        });
        found.map(|found| found.during.end)
    }

    /// Keeps an input from a core that does not run. Returns the input if it runs.
    pub(super) fn defer_input(&mut self, core: usize, input: Input) -> Option<Input> {
        if self.has_fault(core, Fault::Killed) {
            return None;
        }
        let Some(until) = self.fault_end(core, Fault::Suspended) else {
            return Some(input);
        };
        if !matches!(input, Input::Tick) {
            self.push(until, Event::Input { core, input });
        }
        None
    }

    /// Returns whether a datagram between two cores is lost.
    pub(super) fn is_datagram_lost(&self, from: usize, to: usize) -> bool {
        self.has_fault(from, Fault::Isolated) || self.has_fault(to, Fault::Isolated)
    }

    /// Ends the requests of a core that is killed: engines drop them with their
    /// connections.
    pub(super) fn kill(&mut self, core: usize) {
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            if request.core != core || request.arrived > self.now {
                continue;
            }
            if request.outcome == Outcome::Open {
                self.requests[index].outcome = Outcome::Failed;
            }
            for attempt in std::mem::take(&mut self.requests[index].live_attempts) {
                for engine in &mut self.engines {
                    engine
                        .jobs
                        .retain(|job| (job.request, job.attempt) != (index, attempt));
                }
                self.release(index, attempt);
            }
        }
    }

    /// Returns what a core hears of the store at a tick.
    pub(super) fn store_answer(&self, core: usize) -> Input {
        if self.has_fault(core, Fault::StoreDown) {
            return Input::StoreCallFailed;
        }
        Input::StoreUpdates {
            proved_at: Some(Millis(self.now as u64)),
            shown_version: Some(1),
            config_position: super::super::core::position(1),
            updates: Vec::new(),
        }
    }
}
