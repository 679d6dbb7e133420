//! Credits of this instance, as a user of backend servers.
//!
//! A credit is used again after each request without a message. Its life is
//! counted from the sending of the ask that it answers. Asks are batched by
//! home, one a period; what waits without credit is asked for sooner.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::Amount;
use super::Ask;
use super::AskItem;
use super::Grant;
use super::Grants;
use super::Recall;
use super::Scope;
use crate::clock::Millis;
use crate::control::Cx;
use crate::fleet::BackendKey;
use crate::id::Epoch;
use crate::job::Cost;

/// Time between two asks to one home.
pub const ASK_PERIOD: Millis = Millis(1_000);
/// Time after which a credit that nobody needs is given back.
pub const IDLE_AFTER: Millis = Millis(5_000);
/// Shortest time between two asks for what waits; doubles up to the period.
const ASK_GAP: Millis = Millis(50);
/// Asks whose sending times are kept.
const SENT_ASKS: u64 = 256;
/// Time for which a job that waited counts as waiting.
const WANT_LIFE: Millis = Millis(500);
/// Dispatches whose times are kept for one backend server.
const STARTS: usize = 1_024;

/// What this instance holds and uses of one backend server.
#[derive(Debug, Default)]
pub(super) struct Book {
    pub(super) used: Amount,
    credit: Amount,
    until: Millis,
    epoch: Epoch,
    /// Number of the last ask.
    asked: u64,
    wanted: Wanted,
    active: Option<Millis>,
    gap: Millis,
    next_early: Millis,
    /// A recall is to be confirmed.
    recalled: bool,
    /// The ask that told of the newest sign of cold; an older answer does not
    /// override it.
    cold_in: u64,
    /// When news may be told again before the next period.
    next_news: Millis,
    pub(super) starts: VecDeque<(Millis, Amount)>,
}

/// What waits for a backend server.
#[derive(Debug, Clone, Copy, Default)]
struct Wanted {
    at: Option<Millis>,
    largest: Amount,
    weight: u64,
}

/// All credits of this instance.
#[derive(Debug, Default)]
pub struct Credits {
    books: BTreeMap<BackendKey, Book>,
    number: u64,
    sent: BTreeMap<u64, Millis>,
    next_ask: BTreeMap<String, Millis>,
    /// Something may have to be asked before the next period.
    urgent: bool,
    /// Credits that are not in use are given back at once.
    leaving: bool,
}

impl Credits {
    /// Returns what runs on a backend server on behalf of this instance.
    #[must_use]
    pub fn used(&self, key: BackendKey) -> Amount {
        self.books.get(&key).map_or(Amount::ZERO, |book| book.used)
    }

    /// Returns the credit for a backend server and the end of its life, if it
    /// is in force.
    #[must_use]
    pub fn in_force(&self, now: Millis, key: BackendKey) -> Option<(Amount, Millis, Epoch)> {
        let book = self.books.get(&key)?;
        (now < book.until).then_some((book.credit, book.until, book.epoch))
    }

    /// Returns the backend servers that this instance uses or wants, with what
    /// was started there of late.
    pub(super) fn books(&self) -> impl Iterator<Item = (BackendKey, &Book)> {
        self.books.iter().map(|(&key, book)| (key, book))
    }

    /// Returns one backend server's book.
    pub(super) fn book(&self, key: BackendKey) -> Option<&Book> {
        self.books.get(&key)
    }

    /// Notes that jobs of this weight wait for room on a backend server.
    pub fn want(&mut self, now: Millis, key: BackendKey, amount: Amount, weight: u64) {
        let book = self.books.entry(key).or_default();
        if book.wanted.at != Some(now) {
            book.wanted = Wanted {
                at: Some(now),
                ..Wanted::default()
            };
        }
        book.wanted.largest = book.wanted.largest.max(amount);
        book.wanted.weight += weight;
        book.active = Some(now);
        self.urgent = true;
    }

    /// Takes a stream and its tokens.
    pub fn take(&mut self, now: Millis, key: BackendKey, cost: Cost) {
        let book = self.books.entry(key).or_default();
        let amount = Amount::of_cost(cost);
        book.used = book.used.plus(amount);
        book.active = Some(now);
        if book.starts.len() == STARTS {
            book.starts.pop_front();
        }
        book.starts.push_back((now, amount));
    }

    /// Gives back what a stream took.
    pub fn release(&mut self, key: BackendKey, amount: Amount) {
        if let Some(book) = self.books.get_mut(&key) {
            book.used = book.used.minus(amount);
        }
    }

    /// Takes over a home's answer.
    pub fn on_grants(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>, grants: &Grants) {
        let Some(sent) = self.sent.get(&grants.number).copied() else {
            return;
        };
        for grant in &grants.items {
            let Some(key) = scope.fleet.backend_key(&grant.backend) else {
                continue;
            };
            let Some(book) = self.books.get_mut(&key) else {
                continue;
            };
            if book.asked != grants.number {
                continue;
            }
            book.grant(grant, sent + grants.life, grants.epoch);
            let untold = scope.conditions.has_cold_news(key);
            if untold || grants.number < book.cold_in {
                continue;
            }
            if grant.condition != scope.conditions.condition(scope.fleet, key) {
                scope
                    .conditions
                    .adopt(cx, scope.fleet, key, grant.condition);
            }
        }
    }

    /// Lowers a credit as its home asks, and confirms that with the next ask.
    /// What runs goes on, but nothing new starts above the credit.
    pub fn on_recall(&mut self, scope: &Scope<'_>, recall: &Recall) {
        let key = scope.fleet.backend_key(&recall.backend);
        if let Some(book) = key.and_then(|key| self.books.get_mut(&key)) {
            book.credit = book.credit.min(recall.keep);
            book.recalled = true;
            self.urgent = true;
        }
    }

    /// Gives credits back as soon as they are not in use.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.urgent = true;
    }

    /// Returns whether [`Credits::due`] can be spared until the next tick.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        !self.urgent
    }

    /// Returns the asks that are due, by home; `home_of` names the home of a
    /// backend server.
    pub fn due(
        &mut self,
        now: Millis,
        scope: &mut Scope<'_>,
        mut home_of: impl FnMut(BackendKey) -> Option<(String, Epoch)>,
    ) -> Vec<(String, Ask)> {
        self.urgent = false;
        let mut asks: BTreeMap<String, Ask> = BTreeMap::new();
        let mut periodic: Vec<String> = Vec::new();
        for (&key, book) in &mut self.books {
            let Some((home, epoch)) = home_of(key) else {
                continue;
            };
            let due = self.next_ask.get(&home).is_none_or(|next| *next <= now);
            if due && !periodic.contains(&home) {
                periodic.push(home.clone());
            }
            if self.leaving {
                book.credit = book.credit.min(book.used);
                book.active = None;
            }
            let give_back = book.gives_back(now);
            let keeps = !book.is_idle(now) || give_back;
            let news = scope.conditions.has_cold_news(key);
            let early = book.is_early(now) || book.tells_early(now, news);
            let asks_now = early || (due && keeps);
            if !asks_now {
                continue;
            }
            let ask = asks.entry(home).or_insert_with(|| {
                self.number += 1;
                Ask {
                    number: self.number,
                    epoch,
                    items: Vec::new(),
                }
            });
            let name = &scope.fleet.backend(key).name;
            let news = scope.conditions.take_news(key);
            if news.is_some_and(|news| news.cold) {
                book.cold_in = ask.number;
            }
            let item = book.ask(now, ask.number, name);
            ask.items.push(AskItem { news, ..item });
        }
        for home in periodic {
            self.next_ask.insert(home, now + ASK_PERIOD);
        }
        for ask in asks.values() {
            self.sent.insert(ask.number, now);
        }
        let oldest = self.number.saturating_sub(SENT_ASKS);
        self.sent.retain(|number, _| *number > oldest);
        asks.into_iter().collect()
    }
}

impl Book {
    /// Returns whether nothing runs or waited here of late and no credit is
    /// held.
    fn is_idle(&self, now: Millis) -> bool {
        let lately = self.active.is_some_and(|at| now.since(at) < IDLE_AFTER);
        self.used.is_zero() && !lately && (self.credit.is_zero() || now >= self.until)
    }

    /// Returns whether a credit is held that nobody needs.
    fn gives_back(&self, now: Millis) -> bool {
        let lately = self.active.is_some_and(|at| now.since(at) < IDLE_AFTER);
        self.used.is_zero() && !lately && !self.credit.is_zero()
    }

    /// Returns whether what waits can't be started and is worth an ask now, or
    /// a recall is to be confirmed.
    fn is_early(&mut self, now: Millis) -> bool {
        if std::mem::take(&mut self.recalled) {
            return true;
        }
        let waits = self.wanted.is_fresh(now) && !self.free(now).covers(self.wanted.largest);
        if !waits || now < self.next_early {
            return false;
        }
        self.gap = (self.gap * 2).clamp(ASK_GAP, ASK_PERIOD);
        self.next_early = now + self.gap;
        true
    }

    /// Returns whether a sign of cold is to be told before the next period.
    fn tells_early(&mut self, now: Millis, news: bool) -> bool {
        if !news || now < self.next_news {
            return false;
        }
        self.next_news = now + ASK_GAP;
        true
    }

    fn free(&self, now: Millis) -> Amount {
        match now < self.until {
            true => self.credit.minus(self.used),
            false => Amount::ZERO,
        }
    }

    fn ask(&mut self, now: Millis, number: u64, name: &str) -> AskItem {
        self.asked = number;
        if now >= self.until || self.gives_back(now) {
            self.credit = Amount::ZERO;
        }
        let waits = self.wanted.is_fresh(now);
        AskItem {
            backend: name.to_owned(),
            used: self.used,
            credit: self.credit,
            largest: if waits {
                self.wanted.largest
            } else {
                Amount::ZERO
            },
            weight: if waits { self.wanted.weight } else { 0 },
            news: None,
        }
    }

    fn grant(&mut self, grant: &Grant, until: Millis, epoch: Epoch) {
        if !self.credit.covers(grant.credit) {
            self.gap = ASK_GAP;
        }
        self.credit = grant.credit;
        self.until = until;
        self.epoch = epoch;
    }
}

impl Wanted {
    fn is_fresh(&self, now: Millis) -> bool {
        self.at.is_some_and(|at| now.since(at) < WANT_LIFE)
    }
}
