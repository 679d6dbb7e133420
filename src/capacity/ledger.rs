//! What a home knows of one backend server: who holds how much of its limit.
//!
//! The sum over all accounts, of what each user may have in flight, never grows
//! above the limit in force. A user whose credit lapsed keeps its account until
//! a load report, taken after anything it sent under the credit must have
//! arrived, shows what is left of its streams.

use std::collections::BTreeMap;

use super::Amount;
use super::AskItem;
use super::HandedAccount;
use super::Handover;
use crate::backend::LoadReport;
use crate::backend::RunningStream;
use crate::clock::Millis;
use crate::condition::Condition;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::RequestId;

/// Life of a credit, from the sending of the ask.
pub const CREDIT_LIFE: Millis = Millis(3_000);
/// Added to the life of a credit on the home's side.
pub const LIFE_GUARD: Millis = Millis(250);
/// Longest time from a user's decision to the backend server's admission.
pub const FLIGHT_BOUND: Millis = Millis(1_000);
/// Time for which a backend server must have shown the new epoch before shares
/// of holders taken out are given to others.
pub const ECHO_WAIT: Millis = Millis(4_000);
/// Time after which they are given to others without that, if no stream of
/// theirs was seen for [`QUIET_BOUND`].
pub const GHOST_LIFE: Millis = Millis(15_000);
/// See [`GHOST_LIFE`].
pub const QUIET_BOUND: Millis = Millis(8_000);
/// Time between two recalls of one credit.
const RECALL_PERIOD: Millis = Millis(250);

/// A user's process.
pub type User = (String, Boot);

#[derive(Debug, Clone, Copy, Default)]
struct Account {
    number: u64,
    used: Amount,
    credit: Amount,
    lapse: Millis,
    largest: Amount,
    weight: u64,
    unmet: bool,
    recalled: Millis,
}

/// A holder that another took out of the document while it may still use its
/// static share.
#[derive(Debug, Clone, Copy)]
struct Ghost {
    since: Millis,
    parts: u64,
    seen: Millis,
}

/// A holder as the home knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Its name.
    pub name: String,
    /// Whether it surely heard this home of late.
    pub fresh: bool,
    /// Its static share is the limit divided by this.
    pub parts: u64,
}

/// Accounts of one backend server.
#[derive(Debug)]
pub struct Ledger {
    /// The epoch in which this instance became its home.
    pub epoch: Epoch,
    /// When it became its home.
    pub since: Millis,
    /// Whether a handover is expected.
    pub awaited: bool,
    /// No credits before this time.
    wait_until: Millis,
    /// Whether all that runs is on the accounts.
    known: bool,
    accounts: BTreeMap<User, Account>,
    ghosts: BTreeMap<String, Ghost>,
    /// Holders without contact, and since when there is contact again.
    unheard: BTreeMap<String, (u64, Option<Millis>)>,
    echoed: Option<Millis>,
    /// Time of the newest load report's figures, and its epoch.
    report: Option<(Millis, Epoch)>,
    limit: Amount,
    strays: BTreeMap<RequestId, Millis>,
}

impl Ledger {
    /// Returns the ledger of a home that gives no credits before `wait_until`
    /// and a load report after that.
    #[must_use]
    pub fn new(now: Millis, epoch: Epoch, wait_until: Millis) -> Ledger {
        Ledger {
            epoch,
            since: now,
            awaited: true,
            wait_until,
            known: false,
            accounts: BTreeMap::new(),
            ghosts: BTreeMap::new(),
            unheard: BTreeMap::new(),
            echoed: None,
            report: None,
            limit: Amount::ZERO,
            strays: BTreeMap::new(),
        }
    }

    /// Returns whether it can give credits.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        self.known && now >= self.wait_until
    }

    /// Returns the time and epoch of the newest load report.
    #[must_use]
    pub fn report(&self) -> Option<(Millis, Epoch)> {
        self.report
    }

    /// Returns the sum of what all users may have in flight.
    #[must_use]
    pub fn held(&self) -> Amount {
        let accounts = self.accounts.values();
        accounts.fold(Amount::ZERO, |sum, account| sum.plus(account.hold()))
    }

    /// Sets the limit in force; returns whether it shrank below what is held.
    pub fn set_limit(&mut self, limit: Amount) -> bool {
        let shrank = !limit.covers(self.limit);
        self.limit = limit;
        shrank && !limit.covers(self.held())
    }

    /// Takes over what a user asks; false if it is out of date.
    pub fn ask(&mut self, now: Millis, user: &User, number: u64, item: &AskItem) -> bool {
        let account = self.accounts.entry(user.clone()).or_default();
        if number <= account.number {
            return false;
        }
        account.number = number;
        account.used = item.used;
        account.credit = item.credit;
        account.lapse = now + CREDIT_LIFE + LIFE_GUARD;
        account.largest = item.largest;
        account.weight = item.weight;
        account.unmet = false;
        if item.used.is_zero() && item.credit.is_zero() && item.weight == 0 {
            self.accounts.remove(user);
        }
        true
    }

    /// Notes with whom there is contact. Who had none keeps its static share
    /// until a load report shows all that it may have started.
    pub fn set_contacts(&mut self, now: Millis, contacts: Vec<Contact>) {
        self.unheard
            .retain(|name, _| contacts.iter().any(|contact| contact.name == *name));
        for contact in contacts {
            match (contact.fresh, self.unheard.get_mut(&contact.name)) {
                (true, Some((_, again))) => {
                    again.get_or_insert(now);
                }
                (true, None) => {}
                (false, _) => {
                    self.unheard.insert(contact.name, (contact.parts, None));
                }
            }
        }
    }

    /// Gives a user its credit.
    pub fn grant(&mut self, now: Millis, user: &User) -> Amount {
        let Some(account) = self.accounts.get(user).copied() else {
            return Amount::ZERO;
        };
        if !self.is_open(now) {
            return Amount::ZERO;
        }
        let limit = self.limit_for_all();
        let others = self.held_by_others(user);
        let room = limit.minus(others);
        let target = self.target(&account, limit);
        let credit = room.min(target);
        let wish = account.used.plus(account.largest);
        let Some(known) = self.accounts.get_mut(user) else {
            return Amount::ZERO;
        };
        known.credit = known.credit.max(credit);
        known.unmet = account.weight > 0 && !credit.covers(wish);
        known.lapse = now + CREDIT_LIFE + LIFE_GUARD;
        credit
    }

    /// Returns the users whose asks were not met and now can be, with the
    /// number of their last ask.
    #[must_use]
    pub fn unmet(&self, now: Millis) -> Vec<(User, u64)> {
        if !self.is_open(now) {
            return Vec::new();
        }
        let limit = self.limit_for_all();
        self.accounts
            .iter()
            .filter(|(_, account)| account.unmet && account.lapse > now)
            .filter(|(user, account)| {
                let wish = account.used.plus(account.largest);
                limit.minus(self.held_by_others(user)).covers(wish)
            })
            .map(|(user, account)| (user.clone(), account.number))
            .collect()
    }

    /// Returns whose credits should be lowered, and to what: of all with more
    /// than their part when somebody lacks, or of all when the limit shrank.
    pub fn recalls(&mut self, now: Millis, shrank: bool) -> Vec<(User, Amount)> {
        let lacking = self.accounts.values().any(|account| account.unmet);
        if !lacking && !shrank {
            return Vec::new();
        }
        let limit = self.limit_for_all();
        let mut recalls = Vec::new();
        for (user, account) in self.accounts.clone() {
            let target = match shrank {
                true => limit.part(account.weight + 1, self.weights()),
                false => self.target(&account, limit),
            };
            let due = shrank || now.since(account.recalled) >= RECALL_PERIOD;
            let spare = shrank || !account.used.covers(account.credit);
            let beyond = !target.covers(account.credit) && spare;
            if !due || !beyond || account.lapse <= now {
                continue;
            }
            if let Some(account) = self.accounts.get_mut(&user) {
                account.recalled = now;
            }
            recalls.push((user, target));
        }
        recalls
    }

    /// Takes a load report into account, whose figures are from `data`.
    pub fn take_report(&mut self, now: Millis, data: Millis, report: &LoadReport) {
        self.report = Some((data, report.epoch));
        if report.epoch >= self.epoch {
            self.echoed.get_or_insert(now);
        }
        let running = by_owner(report);
        if data >= self.wait_until + FLIGHT_BOUND {
            self.known = true;
        }
        self.settle(data, &running, report.prefill_waiting);
        self.unheard
            .retain(|_, (_, again)| again.is_none_or(|at| data < at + FLIGHT_BOUND));
        for (name, ghost) in &mut self.ghosts {
            if running.contains_key(name.as_str()) {
                ghost.seen = now;
            }
        }
    }

    /// Keeps the static share of a holder that another took out.
    pub fn add_ghost(&mut self, now: Millis, epoch: Epoch, name: &str, parts: u64) {
        self.echoed = None;
        self.epoch = self.epoch.max(epoch);
        let ghost = Ghost {
            since: now,
            parts,
            seen: now,
        };
        self.ghosts.insert(name.to_owned(), ghost);
    }

    /// Gives up the shares of holders that cannot use them any more.
    pub fn drop_ghosts(&mut self, now: Millis) {
        let echoed = self.echoed.is_some_and(|at| now.since(at) >= ECHO_WAIT);
        self.ghosts.retain(|_, ghost| {
            let quiet = now.since(ghost.seen) >= QUIET_BOUND;
            let old = now.since(ghost.since) >= GHOST_LIFE;
            !(echoed || (quiet && old))
        });
    }

    /// Returns what a successor has to know.
    #[must_use]
    pub fn hand_over(
        &self,
        now: Millis,
        epoch: Epoch,
        name: &str,
        condition: Condition,
    ) -> Handover {
        let accounts = self.accounts.iter();
        let handed = accounts.map(|((user, boot), account)| HandedAccount {
            user: user.clone(),
            boot: *boot,
            number: account.number,
            used: account.used,
            credit: account.credit,
        });
        let ghosts = self.ghosts.iter();
        Handover {
            epoch,
            backend: name.to_owned(),
            condition,
            wait: self.wait_until.since(now),
            known: self.known,
            accounts: handed.collect(),
            ghosts: ghosts
                .map(|(name, ghost)| (name.clone(), ghost.parts))
                .collect(),
        }
    }

    /// Takes over what the former home knew, once.
    pub fn take_over(&mut self, now: Millis, handover: Handover) {
        if !self.awaited {
            return;
        }
        self.awaited = false;
        self.known = handover.known;
        self.wait_until = now + handover.wait;
        for (name, parts) in handover.ghosts {
            self.add_ghost(now, handover.epoch, &name, parts);
        }
        for handed in handover.accounts {
            let account = self.accounts.entry((handed.user, handed.boot)).or_default();
            if handed.number < account.number {
                continue;
            }
            account.number = handed.number;
            account.used = account.used.max(handed.used);
            account.credit = account.credit.max(handed.credit);
            account.lapse = now + CREDIT_LIFE + LIFE_GUARD;
        }
    }

    /// Returns the streams that nobody answers for since `grace`: those of
    /// owners that `is_gone` says are gone.
    pub fn orphans(
        &mut self,
        now: Millis,
        report: &LoadReport,
        grace: Millis,
        is_gone: impl Fn(&RunningStream) -> bool,
    ) -> Vec<RequestId> {
        let gone: Vec<RequestId> = report
            .streams
            .iter()
            .filter(|stream| is_gone(stream))
            .map(|stream| stream.request)
            .collect();
        self.strays.retain(|request, _| gone.contains(request));
        let mut due = Vec::new();
        for request in gone {
            let since = *self.strays.entry(request).or_insert(now);
            if now.since(since) >= grace {
                due.push(request);
            }
        }
        due
    }

    fn held_by_others(&self, user: &User) -> Amount {
        let others = self.accounts.iter().filter(|(other, _)| *other != user);
        others.fold(Amount::ZERO, |sum, (_, account)| sum.plus(account.hold()))
    }

    /// Returns the limit less the static shares that others may be using.
    fn limit_for_all(&self) -> Amount {
        let ghosts = self
            .ghosts
            .iter()
            .map(|(name, ghost)| (name.as_str(), ghost.parts));
        let unheard = self.unheard.iter();
        let absent = unheard.map(|(name, (parts, _))| (name.as_str(), *parts));
        ghosts
            .chain(absent)
            .fold(self.limit, |limit, (name, parts)| {
                let share = self.limit.part_up(1, parts);
                limit.minus(share.minus(self.held_by(name)))
            })
    }

    fn held_by(&self, name: &str) -> Amount {
        let accounts = self.accounts.iter();
        let own = accounts.filter(|((user, _), _)| user == name);
        own.fold(Amount::ZERO, |sum, (_, account)| sum.plus(account.hold()))
    }

    fn weights(&self) -> u64 {
        let accounts = self.accounts.values();
        accounts.map(|account| account.weight + 1).sum()
    }

    /// Returns what a user should have: what it uses, and its part of what is
    /// free, by the weight of what waits.
    fn target(&self, account: &Account, limit: Amount) -> Amount {
        let used = self
            .accounts
            .values()
            .fold(Amount::ZERO, |sum, account| sum.plus(account.used));
        let part = limit.minus(used).part(account.weight + 1, self.weights());
        let wish = account.used.plus(account.largest);
        account.used.plus(part).max(wish)
    }

    /// Returns what users whose credits have not lapsed use, by name.
    fn used_by_live(&self, data: Millis) -> BTreeMap<String, Amount> {
        let mut used: BTreeMap<String, Amount> = BTreeMap::new();
        for ((name, _), account) in &self.accounts {
            if data < account.lapse + FLIGHT_BOUND {
                let sum = used.entry(name.clone()).or_default();
                *sum = sum.plus(account.used);
            }
        }
        used
    }

    /// Replaces lapsed credits by what the report shows to run.
    fn settle(&mut self, data: Millis, running: &BTreeMap<&str, Amount>, prefill: u64) {
        let live = self.used_by_live(data);
        let mut settled = Vec::new();
        for (user, account) in &mut self.accounts {
            if data < account.lapse + FLIGHT_BOUND {
                continue;
            }
            let reported = running.get(user.0.as_str()).copied().unwrap_or_default();
            let counted = live.get(&user.0).copied().unwrap_or_default();
            account.settle(reported.minus(counted), prefill);
            if account.used.is_zero() {
                settled.push(user.clone());
            }
        }
        for user in settled {
            self.accounts.remove(&user);
        }
        for (owner, amount) in running {
            let listed = self.accounts.keys().any(|(user, _)| user == owner);
            if !listed {
                let account = Account {
                    used: *amount,
                    ..Account::default()
                };
                self.accounts
                    .insert(((*owner).to_owned(), Boot::default()), account);
            }
        }
    }
}

impl Account {
    /// Replaces a lapsed credit by what is reported to run.
    fn settle(&mut self, reported: Amount, prefill: u64) {
        let held = self.hold();
        let mut left = reported;
        if left.streams > 0 {
            let grown = held.part_up(left.streams, held.streams);
            left.memory = left.memory.max(grown.memory.min(held.memory));
            left.prefill = held.prefill.min(prefill);
        }
        self.credit = Amount::ZERO;
        self.used = match left.streams {
            0 => Amount::ZERO,
            _ => left,
        };
        self.unmet = false;
        self.weight = 0;
    }

    /// Returns the most that the user may have in flight.
    fn hold(&self) -> Amount {
        self.credit.max(self.used)
    }
}

/// Returns streams and memory in use by owner.
fn by_owner(report: &LoadReport) -> BTreeMap<&str, Amount> {
    let mut running: BTreeMap<&str, Amount> = BTreeMap::new();
    for stream in &report.streams {
        let amount = running.entry(&stream.owner).or_default();
        amount.streams += 1;
        amount.memory += stream.memory_tokens;
    }
    running
}
