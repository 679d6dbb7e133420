//! Cores that are cut off from all engines, and the requests that they relay to
//! other cores.

use super::Event;
use super::NETWORK_DELAY_MS;
use super::Simulation;
use super::engine_of;
use crate::clock::Millis;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::AttemptPlan;
use crate::gateway::message::Input;
use crate::gateway::message::ProbeEnd;
use crate::gateway::message::Ticket;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Time after which connecting is given up.
const CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Time limit of a probe.
const PROBE_TIMEOUT_MS: f64 = 500.0;
/// Time after which a connection without acknowledgements breaks.
const ACK_TIMEOUT_MS: f64 = 1_800.0;
/// Attempt numbers that each receiving core of a request uses.
const ATTEMPTS_PER_RELAY: u32 = 64;

/// How the links of a core to all engines are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections hang.
    Hang,
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Open connections go on, new ones are refused.
    RefuseNew,
    /// Connections stay open, new ones too, and nothing more arrives on them.
    Silent,
}

impl Simulation {
    /// Cuts a core off from all engines.
    pub fn add_cut(&mut self, core: usize, cut: Cut, from: f64, until: f64) {
        self.push(from, Event::CutBegins { core, cut });
        self.push(until, Event::CutEnds(core));
    }

    pub(super) fn begin_cut(&mut self, core: usize, cut: Cut) {
        self.cuts[core] = Some(cut);
        match cut {
            Cut::Hang => self.push(self.now + ACK_TIMEOUT_MS, Event::ConnectionsBreak(core)),
            Cut::Reset => self.break_connections(core),
            Cut::RefuseNew | Cut::Silent => {}
        }
    }

    pub(super) fn break_connections(&mut self, core: usize) {
        for request in 0..self.requests.len() {
            for attempt in self.requests[request].live_attempts.clone() {
                if self.core_of(request, attempt) == core {
                    self.end_attempt(request, attempt, AttemptEnd::Broken);
                }
            }
        }
    }

    /// Ends an attempt that a cut-off core makes. If connections hang, every other
    /// request has an open one.
    pub(super) fn send_into_cut(&mut self, request: usize, plan: &AttemptPlan, cut: Cut) {
        let attempt = plan.attempt.0;
        let (delay, end) = match cut {
            Cut::Silent => return self.push_deadlines(request, plan),
            Cut::Hang if request.is_multiple_of(2) => (ACK_TIMEOUT_MS, AttemptEnd::Broken),
            Cut::Hang => (CONNECT_TIMEOUT_MS, AttemptEnd::Unreachable),
            Cut::Reset | Cut::RefuseNew => (0.0, AttemptEnd::Unreachable),
        };
        let end = Event::AttemptEnds {
            request,
            attempt,
            end,
        };
        self.push(self.now + delay, end);
    }

    pub(super) fn probe(&mut self, core: usize, server_id: String, addr: &str) {
        let is_up = self.now >= self.engines[engine_of(addr)].down_until;
        let (delay, end) = match self.cuts[core] {
            Some(Cut::Hang) => (CONNECT_TIMEOUT_MS, ProbeEnd::Unreachable),
            Some(Cut::Silent) => (PROBE_TIMEOUT_MS, ProbeEnd::Unanswered),
            Some(Cut::Reset | Cut::RefuseNew) => (2.0 * NETWORK_DELAY_MS, ProbeEnd::Unreachable),
            None if is_up => (2.0 * NETWORK_DELAY_MS, ProbeEnd::Answered),
            None => (2.0 * NETWORK_DELAY_MS, ProbeEnd::Unreachable),
        };
        let input = Input::ProbeEnded { server_id, end };
        self.push(self.now + delay, Event::Input { core, input });
    }

    /// Returns the core that made an attempt.
    pub(super) fn core_of(&self, request: usize, attempt: u32) -> usize {
        let first = self.requests[request].core;
        let Some(relay) = (attempt / ATTEMPTS_PER_RELAY).checked_sub(1) else {
            return first;
        };
        let cores = 0..self.cores.len();
        let mut receivers = cores.filter(|&core| self.relays.get(&(request, core)) == Some(&relay));
        receivers.next().unwrap_or(first)
    }

    /// Returns the number of the attempt that relayed a request to a core.
    pub(super) fn relay_of(&self, request: usize, core: usize) -> Option<u32> {
        self.relays.get(&(request, core)).copied()
    }

    pub(super) fn relay(&mut self, core: usize, request: usize, plan: &AttemptPlan) {
        assert_eq!(core, self.requests[request].core, "relayed twice");
        let to: usize = plan.addr[1..].parse().unwrap();
        assert_ne!(to, core, "relayed to the sender");
        self.relays.insert((request, to), plan.attempt.0);
        let mut submission = self.submission(request);
        submission.relay = plan.relay;
        submission.arrived = Millis(self.requests[request].arrived as u64);
        let input = Input::Submit(Ticket(request as u64), submission);
        self.push(
            self.now + NETWORK_DELAY_MS,
            Event::Input { core: to, input },
        );
    }

    /// Returns a receiving core's refusal to the core that relayed the request.
    pub(super) fn refuse_relayed(&mut self, core: usize, request: usize, refusal: &Refusal) {
        let number = self.relays[&(request, core)];
        let reason = refusal.reason;
        let end = match refusal.verdict {
            Verdict::NotRun => AttemptEnd::RelayRefused {
                reason,
                retry_after: refusal.retry_after,
            },
            _ => AttemptEnd::RelayFailed { reason },
        };
        let first = self.requests[request].core;
        self.push_attempt_end(first, request, number, end);
    }
}
