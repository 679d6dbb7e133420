//! A coordinator's ledger of one backend server: which user holds how much of
//! its limit.
//!
//! The sum of the accounts, each the maximum that a user may have in flight,
//! never exceeds the limit in force. A user whose lease expired keeps its
//! account until a load report shows how many of its streams still run. The
//! report must have been taken after everything that the user sent under the
//! lease has certainly arrived.

use std::collections::BTreeMap;

use super::Amount;
use super::HandedOverAccount;
use super::Handover;
use super::LeaseRequestItem;
use crate::backend::LoadReport;
use crate::backend::RunningStream;
use crate::clock::Millis;
use crate::condition::Condition;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::RequestId;

/// Lifetime of a lease, from when the user sent its lease request.
pub const LEASE_TTL: Millis = Millis(3_000);
/// Margin that the coordinator adds to the lifetime of a lease.
pub const LEASE_TTL_MARGIN: Millis = Millis(250);
/// Assumed upper bound of the time from a user's dispatch to the backend
/// server's admission.
pub const MAX_ADMISSION_DELAY: Millis = Millis(1_000);
/// Time for which a backend server must have reported the new epoch before the
/// shares of removed holders are granted to others.
pub const EPOCH_CONFIRM_TIME: Millis = Millis(4_000);
/// Time after which the share of a removed holder is granted to others without
/// such a report, if none of its streams was seen for
/// [`REMOVED_HOLDER_QUIET_TIME`].
pub const REMOVED_HOLDER_TTL: Millis = Millis(15_000);
/// Time for which no stream of a removed holder must have been seen before its
/// share is granted to others; see [`REMOVED_HOLDER_TTL`].
pub const REMOVED_HOLDER_QUIET_TIME: Millis = Millis(8_000);
/// Minimum interval between two recalls of one lease, unless the limit was
/// lowered.
const RECALL_INTERVAL: Millis = Millis(250);

/// Instance name and boot number of a user process.
pub type UserProcess = (String, Boot);

/// Capacity of one user. A user whose lease expired keeps its account until a
/// load report shows how much of its work still runs.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// Number of the user's last lease request.
    last_request: u64,
    /// Capacity that the user's attempts occupied at its last request, or the
    /// running work that a report showed.
    used: Amount,
    /// Granted lease; zero once it expired and was replaced by reported work.
    lease: Amount,
    /// Expiry of the lease on the coordinator's clock.
    expires_at: Millis,
    /// Capacity that the user's largest waiting request needs.
    largest: Amount,
    /// Sum of the weights of its waiting requests.
    weight: u64,
    /// Whether its last lease request was not met.
    unmet: bool,
    /// Time of the last recall.
    last_recall_at: Millis,
}

/// A holder that another instance removed from the document while it may still
/// use its static share.
#[derive(Debug, Clone, Copy)]
struct RemovedHolder {
    /// Time of the removal.
    since: Millis,
    /// Divisor of the limit that gives its static share.
    share_divisor: u64,
    /// Last time a load report showed a stream of it.
    last_stream_at: Millis,
}

/// Contact of the coordinator with another holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Name of the holder.
    pub name: String,
    /// Whether it certainly received a heartbeat of the coordinator recently.
    pub fresh: bool,
    /// Divisor of the limit that gives the holder's static share.
    pub share_divisor: u64,
}

/// Accounts of one backend server.
#[derive(Debug)]
pub struct Ledger {
    /// Epoch in which this instance became the coordinator, raised when a
    /// holder is removed later.
    pub epoch: Epoch,
    /// Time at which this instance became the coordinator.
    pub since: Millis,
    /// Whether no handover has been applied yet.
    pub awaits_handover: bool,
    /// Time before which no lease is granted.
    wait_until: Millis,
    /// Whether the accounts cover all running work.
    accounts_complete: bool,
    accounts: BTreeMap<UserProcess, Account>,
    removed_holders: BTreeMap<String, RemovedHolder>,
    /// Holders out of contact: the divisor of their static share, and the time
    /// at which contact resumed.
    out_of_contact: BTreeMap<String, (u64, Option<Millis>)>,
    /// Time at which a load report first showed the current epoch.
    epoch_seen_at: Option<Millis>,
    /// Time of the newest load report's figures, and its epoch.
    report: Option<(Millis, Epoch)>,
    /// Limit in force.
    limit: Amount,
    /// Streams without a live owner, or of this instance without an unanswered
    /// request, and since when.
    orphaned_since: BTreeMap<RequestId, Millis>,
}

impl Ledger {
    /// Creates a ledger that grants no lease before `wait_until`, nor before a
    /// load report taken at least [`MAX_ADMISSION_DELAY`] after it.
    #[must_use]
    pub fn new(now: Millis, epoch: Epoch, wait_until: Millis) -> Ledger {
        Ledger {
            epoch,
            since: now,
            awaits_handover: true,
            wait_until,
            accounts_complete: false,
            accounts: BTreeMap::new(),
            removed_holders: BTreeMap::new(),
            out_of_contact: BTreeMap::new(),
            epoch_seen_at: None,
            report: None,
            limit: Amount::ZERO,
            orphaned_since: BTreeMap::new(),
        }
    }

    /// Returns whether leases can be granted.
    #[must_use]
    pub fn can_grant(&self, now: Millis) -> bool {
        self.accounts_complete && now >= self.wait_until
    }

    /// Returns the time and epoch of the newest load report.
    #[must_use]
    pub fn report(&self) -> Option<(Millis, Epoch)> {
        self.report
    }

    /// Returns the sum of what all users may have in flight.
    #[must_use]
    pub fn total_reserved(&self) -> Amount {
        let accounts = self.accounts.values();
        accounts.fold(Amount::ZERO, |sum, account| sum.plus(account.reserved()))
    }

    /// Sets the limit in force; returns whether it was lowered below the
    /// reserved amount.
    pub fn set_limit(&mut self, limit: Amount) -> bool {
        let limit_lowered = !limit.covers(self.limit);
        self.limit = limit;
        limit_lowered && !limit.covers(self.total_reserved())
    }

    /// Records a user's lease request; returns false if it is older than the
    /// last one.
    pub fn record_lease_request(
        &mut self,
        now: Millis,
        user: &UserProcess,
        number: u64,
        item: &LeaseRequestItem,
    ) -> bool {
        let account = self.accounts.entry(user.clone()).or_default();
        if number <= account.last_request {
            return false;
        }
        account.last_request = number;
        account.used = item.used;
        account.lease = item.credit;
        account.expires_at = now + LEASE_TTL + LEASE_TTL_MARGIN;
        account.largest = item.largest;
        account.weight = item.weight;
        account.unmet = false;
        if item.used.is_zero() && item.credit.is_zero() && item.weight == 0 {
            self.accounts.remove(user);
        }
        true
    }

    /// Updates the contact state of the holders. The static share of a holder
    /// that was out of contact stays reserved until a load report taken
    /// [`MAX_ADMISSION_DELAY`] after contact resumed, which covers everything
    /// that the holder may have started.
    pub fn set_contacts(&mut self, now: Millis, contacts: Vec<Contact>) {
        self.out_of_contact
            .retain(|name, _| contacts.iter().any(|contact| contact.name == *name));
        for contact in contacts {
            match (contact.fresh, self.out_of_contact.get_mut(&contact.name)) {
                (true, Some((_, resumed_at))) => {
                    resumed_at.get_or_insert(now);
                }
                (true, None) => {}
                (false, _) => {
                    self.out_of_contact
                        .insert(contact.name, (contact.share_divisor, None));
                }
            }
        }
    }

    /// Grants a user its lease and returns the amount.
    pub fn grant(&mut self, now: Millis, user: &UserProcess) -> Amount {
        let Some(account) = self.accounts.get(user).copied() else {
            return Amount::ZERO;
        };
        if !self.can_grant(now) {
            return Amount::ZERO;
        }
        let limit = self.grantable_limit();
        let others = self.reserved_by_others(user);
        let room = limit.minus(others);
        let target = self.fair_share(&account, limit);
        let lease = room.min(target);
        let requested = account.used.plus(account.largest);
        let Some(stored) = self.accounts.get_mut(user) else {
            return Amount::ZERO;
        };
        // The user may still use its larger lease until it confirms this one.
        stored.lease = stored.lease.max(lease);
        stored.unmet = account.weight > 0 && !lease.covers(requested);
        stored.expires_at = now + LEASE_TTL + LEASE_TTL_MARGIN;
        lease
    }

    /// Returns the users whose lease requests were not met but can be now, with
    /// the number of their last lease request.
    #[must_use]
    pub fn newly_satisfiable(&self, now: Millis) -> Vec<(UserProcess, u64)> {
        if !self.can_grant(now) {
            return Vec::new();
        }
        let limit = self.grantable_limit();
        self.accounts
            .iter()
            .filter(|(_, account)| account.unmet && account.expires_at > now)
            .filter(|(user, account)| {
                let requested = account.used.plus(account.largest);
                limit.minus(self.reserved_by_others(user)).covers(requested)
            })
            .map(|(user, account)| (user.clone(), account.last_request))
            .collect()
    }

    /// Returns the leases to lower and their new amounts: those above their
    /// fair share and not fully used, if any user's request is unmet, or, if the
    /// limit was lowered, those above their weighted part of it. Records the
    /// time of the recall.
    pub fn recalls(&mut self, now: Millis, limit_lowered: bool) -> Vec<(UserProcess, Amount)> {
        let any_unmet = self.accounts.values().any(|account| account.unmet);
        if !any_unmet && !limit_lowered {
            return Vec::new();
        }
        let limit = self.grantable_limit();
        let mut recalls = Vec::new();
        for (user, account) in self.accounts.clone() {
            let target = match limit_lowered {
                true => limit.fraction_floor(account.weight + 1, self.total_weight()),
                false => self.fair_share(&account, limit),
            };
            let due = limit_lowered || now.since(account.last_recall_at) >= RECALL_INTERVAL;
            let has_spare = limit_lowered || !account.used.covers(account.lease);
            let above_target = !target.covers(account.lease) && has_spare;
            if !due || !above_target || account.expires_at <= now {
                continue;
            }
            if let Some(account) = self.accounts.get_mut(&user) {
                account.last_recall_at = now;
            }
            recalls.push((user, target));
        }
        recalls
    }

    /// Applies a load report whose figures were taken at `taken_at`.
    pub fn apply_report(&mut self, now: Millis, taken_at: Millis, report: &LoadReport) {
        self.report = Some((taken_at, report.epoch));
        if report.epoch >= self.epoch {
            self.epoch_seen_at.get_or_insert(now);
        }
        let running = running_by_owner(report);
        if taken_at >= self.wait_until + MAX_ADMISSION_DELAY {
            self.accounts_complete = true;
        }
        self.settle_expired(taken_at, &running, report.prefill_waiting);
        self.out_of_contact.retain(|_, (_, resumed_at)| {
            resumed_at.is_none_or(|at| taken_at < at + MAX_ADMISSION_DELAY)
        });
        for (name, holder) in &mut self.removed_holders {
            if running.contains_key(name.as_str()) {
                holder.last_stream_at = now;
            }
        }
    }

    /// Reserves the static share of a holder that another instance removed.
    pub fn add_removed_holder(
        &mut self,
        now: Millis,
        epoch: Epoch,
        name: &str,
        share_divisor: u64,
    ) {
        self.epoch_seen_at = None;
        self.epoch = self.epoch.max(epoch);
        let holder = RemovedHolder {
            since: now,
            share_divisor,
            last_stream_at: now,
        };
        self.removed_holders.insert(name.to_owned(), holder);
    }

    /// Releases reserved shares of removed holders that can no longer use them.
    pub fn drop_removed_holders(&mut self, now: Millis) {
        let epoch_confirmed = self
            .epoch_seen_at
            .is_some_and(|at| now.since(at) >= EPOCH_CONFIRM_TIME);
        self.removed_holders.retain(|_, holder| {
            let quiet = now.since(holder.last_stream_at) >= REMOVED_HOLDER_QUIET_TIME;
            let old = now.since(holder.since) >= REMOVED_HOLDER_TTL;
            !(epoch_confirmed || (quiet && old))
        });
    }

    /// Returns the state that the next coordinator needs.
    #[must_use]
    pub fn to_handover(
        &self,
        now: Millis,
        epoch: Epoch,
        name: &str,
        condition: Condition,
    ) -> Handover {
        let accounts = self.accounts.iter();
        let handed = accounts.map(|((user, boot), account)| HandedOverAccount {
            user: user.clone(),
            boot: *boot,
            number: account.last_request,
            used: account.used,
            credit: account.lease,
        });
        let removed = self.removed_holders.iter();
        Handover {
            epoch,
            backend: name.to_owned(),
            condition,
            wait: self.wait_until.since(now),
            known: self.accounts_complete,
            accounts: handed.collect(),
            ghosts: removed
                .map(|(name, holder)| (name.clone(), holder.share_divisor))
                .collect(),
        }
    }

    /// Applies the former coordinator's state; further handovers are ignored.
    pub fn apply_handover(&mut self, now: Millis, handover: Handover) {
        if !self.awaits_handover {
            return;
        }
        self.awaits_handover = false;
        self.accounts_complete = handover.known;
        self.wait_until = now + handover.wait;
        for (name, share_divisor) in handover.ghosts {
            self.add_removed_holder(now, handover.epoch, &name, share_divisor);
        }
        for handed in handover.accounts {
            let account = self.accounts.entry((handed.user, handed.boot)).or_default();
            if handed.number < account.last_request {
                continue;
            }
            account.last_request = handed.number;
            account.used = account.used.max(handed.used);
            account.lease = account.lease.max(handed.credit);
            account.expires_at = now + LEASE_TTL + LEASE_TTL_MARGIN;
        }
    }

    /// Returns the streams that have been orphaned for at least `grace`;
    /// `is_orphaned` returns whether a stream has no live owner, or belongs to
    /// this instance without an unanswered request.
    pub fn orphans(
        &mut self,
        now: Millis,
        report: &LoadReport,
        grace: Millis,
        is_orphaned: impl Fn(&RunningStream) -> bool,
    ) -> Vec<RequestId> {
        let orphaned: Vec<RequestId> = report
            .streams
            .iter()
            .filter(|stream| is_orphaned(stream))
            .map(|stream| stream.request)
            .collect();
        self.orphaned_since
            .retain(|request, _| orphaned.contains(request));
        let mut due = Vec::new();
        for request in orphaned {
            let since = *self.orphaned_since.entry(request).or_insert(now);
            if now.since(since) >= grace {
                due.push(request);
            }
        }
        due
    }

    fn reserved_by_others(&self, user: &UserProcess) -> Amount {
        let others = self.accounts.iter().filter(|(other, _)| *other != user);
        others.fold(Amount::ZERO, |sum, (_, account)| {
            sum.plus(account.reserved())
        })
    }

    /// Returns the limit less the part of the static shares that other holders
    /// may be using and that their accounts do not reserve already.
    fn grantable_limit(&self) -> Amount {
        let removed = self
            .removed_holders
            .iter()
            .map(|(name, holder)| (name.as_str(), holder.share_divisor));
        let out_of_contact = self.out_of_contact.iter();
        let out_of_contact =
            out_of_contact.map(|(name, (share_divisor, _))| (name.as_str(), *share_divisor));
        removed
            .chain(out_of_contact)
            .fold(self.limit, |limit, (name, share_divisor)| {
                let share = self.limit.fraction_ceil(1, share_divisor);
                limit.minus(share.minus(self.reserved_by(name)))
            })
    }

    fn reserved_by(&self, name: &str) -> Amount {
        let accounts = self.accounts.iter();
        let own = accounts.filter(|((user, _), _)| user == name);
        own.fold(Amount::ZERO, |sum, (_, account)| {
            sum.plus(account.reserved())
        })
    }

    fn total_weight(&self) -> u64 {
        let accounts = self.accounts.values();
        accounts.map(|account| account.weight + 1).sum()
    }

    /// Returns a user's fair share: the capacity it uses plus its part of the
    /// free capacity, by the weight of its waiting requests, but at least what
    /// it uses plus its largest waiting request. Each user's weight counts one
    /// more, so that none has weight zero.
    fn fair_share(&self, account: &Account, limit: Amount) -> Amount {
        let used = self
            .accounts
            .values()
            .fold(Amount::ZERO, |sum, account| sum.plus(account.used));
        let part = limit
            .minus(used)
            .fraction_floor(account.weight + 1, self.total_weight());
        let requested = account.used.plus(account.largest);
        account.used.plus(part).max(requested)
    }

    /// Returns the capacity used under leases that had not expired
    /// [`MAX_ADMISSION_DELAY`] before `taken_at`, by instance name.
    fn used_under_unsettled_leases(&self, taken_at: Millis) -> BTreeMap<String, Amount> {
        let mut used: BTreeMap<String, Amount> = BTreeMap::new();
        for ((name, _), account) in &self.accounts {
            if taken_at < account.expires_at + MAX_ADMISSION_DELAY {
                let sum = used.entry(name.clone()).or_default();
                *sum = sum.plus(account.used);
            }
        }
        used
    }

    /// Replaces the amounts of expired leases by the running work that the load
    /// report shows. Removes accounts without running work and opens accounts
    /// for owners that have none.
    fn settle_expired(&mut self, taken_at: Millis, running: &BTreeMap<&str, Amount>, prefill: u64) {
        let unsettled = self.used_under_unsettled_leases(taken_at);
        let mut settled = Vec::new();
        for (user, account) in &mut self.accounts {
            if taken_at < account.expires_at + MAX_ADMISSION_DELAY {
                continue;
            }
            let reported = running.get(user.0.as_str()).copied().unwrap_or_default();
            let already_counted = unsettled.get(&user.0).copied().unwrap_or_default();
            account.settle(reported.minus(already_counted), prefill);
            if account.used.is_zero() {
                settled.push(user.clone());
            }
        }
        for user in settled {
            self.accounts.remove(&user);
        }
        for (owner, amount) in running {
            let has_account = self.accounts.keys().any(|(user, _)| user == owner);
            if !has_account {
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
    /// Replaces the amount of an expired lease by the reported running work.
    /// Memory is at least the running streams' share of the reserved amount;
    /// prefill is at most the reported backlog.
    fn settle(&mut self, reported: Amount, prefill: u64) {
        let reserved = self.reserved();
        let mut remaining = reported;
        if remaining.streams > 0 {
            let reserved_part = reserved.fraction_ceil(remaining.streams, reserved.streams);
            remaining.memory = remaining
                .memory
                .max(reserved_part.memory.min(reserved.memory));
            remaining.prefill = reserved.prefill.min(prefill);
        }
        self.lease = Amount::ZERO;
        self.used = match remaining.streams {
            0 => Amount::ZERO,
            _ => remaining,
        };
        self.unmet = false;
        self.weight = 0;
    }

    /// Returns the maximum that the user may have in flight.
    fn reserved(&self) -> Amount {
        self.lease.max(self.used)
    }
}

/// Sums up streams and memory in use by owner.
fn running_by_owner(report: &LoadReport) -> BTreeMap<&str, Amount> {
    let mut running: BTreeMap<&str, Amount> = BTreeMap::new();
    for stream in &report.streams {
        let amount = running.entry(&stream.owner).or_default();
        amount.streams += 1;
        amount.memory += stream.memory_tokens;
    }
    running
}
