//! Detection and retrieval of newer revisions, from the key-value service and from
//! peers.

use rand::RngExt;

use super::Call;
use super::Peer;
use super::Spread;
use super::head::HEAD_KEY;
use super::head::Head;
use super::head::Relation;
use super::message::Body;
use super::message::Message;
use super::splice::Splice;
use super::splice::TextHash;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::id::Revision;
use crate::metrics::Count;
use crate::peer::PeerMessage;
use crate::store::KeyVersion;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreOp;
use crate::store::StoreResult;

/// Minimum time between the starts of two watches.
const WATCH_INTERVAL: Millis = Millis(250);
/// Mean time until a failed watch or a failed read of a text is retried, and
/// between polls while no declarations are known.
const RETRY_INTERVAL: Millis = Millis::from_secs(2);
/// Minimum time between two pulls; an unanswered one is repeated after it, to a
/// peer chosen at random.
const PULL_INTERVAL: Millis = Millis::from_secs(1);
/// Longest delay before a missing, unreadable, older or diverged head in the store
/// is replaced. The delay is random, so that not all instances do it at the same
/// time.
const MAX_RESTORE_DELAY: Millis = Millis::from_secs(2);

impl Spread {
    /// Starts a watch of the head if `is_watcher`, and a poll when one is due.
    pub(super) fn watch_and_poll(&mut self, cx: &mut Cx<'_>, is_watcher: bool) {
        if is_watcher && !self.watching && cx.now >= self.next_watch_at {
            self.watching = true;
            self.next_watch_at = cx.now + WATCH_INTERVAL;
            let op = StoreOp::Watch {
                key: HEAD_KEY.to_owned(),
                version: self.head_version,
                wait: self.periods.watch,
            };
            self.call(cx, Call::Watch, op);
        }
        if cx.now < self.next_poll_at {
            return;
        }
        let mean = match self.current {
            Some(_) => self.periods.poll,
            None => RETRY_INTERVAL,
        };
        self.next_poll_at = cx.now + jittered(cx, mean);
        let key = HEAD_KEY.to_owned();
        self.call(cx, Call::Poll, StoreOp::Get { key });
    }

    /// Pulls the newest revision from a peer that reported a higher one.
    pub(super) fn pull(&mut self, cx: &mut Cx<'_>, peers: &[Peer]) {
        let own = self.revision();
        if cx.now < self.next_pull_at || self.highest_peer_revision <= own {
            return;
        }
        let ahead: Vec<&Peer> = peers
            .iter()
            .filter(|peer| peer.revision == self.highest_peer_revision)
            .collect();
        let peer = ahead[cx.rng.random_range(0..ahead.len())];
        self.next_pull_at = cx.now + PULL_INTERVAL;
        let message = Message::Pull {
            have: own,
            text: self.text_hash(),
        };
        cx.count(Count::DeclarationPulls);
        send(cx, &peer.name, &peer.addr, message);
    }

    pub(super) fn answer_pull(
        &self,
        cx: &mut Cx<'_>,
        from: &str,
        addr: &str,
        have: Revision,
        text: TextHash,
    ) {
        let Some(current) = &self.current else {
            return;
        };
        if current.head.newest.revision <= have {
            return;
        }
        let splice = self
            .recent_text(text)
            .and_then(|old| Splice::between(&old, &current.text));
        let body = match splice {
            Some(splice) => Body::Splice(splice),
            None => Body::Whole(current.text.to_string()),
        };
        let head = Box::new(current.head.clone());
        send(cx, from, addr, Message::Newest { head, body });
    }

    pub(super) fn on_newest(&mut self, cx: &mut Cx<'_>, head: Head, body: &Body) {
        let text = match body {
            Body::Whole(text) => Some(text.clone()),
            Body::Splice(splice) => self.apply_splice(splice),
        };
        if let Some(text) = text {
            self.adopt(cx, head, &text);
        }
    }

    pub(super) fn on_watch(&mut self, cx: &mut Cx<'_>, result: StoreResult) {
        self.watching = false;
        match result {
            Ok(StoreAnswer::Entry(entry)) => self.on_head(cx, entry),
            _ => self.next_watch_at = cx.now + jittered(cx, RETRY_INTERVAL),
        }
    }

    pub(super) fn on_poll(&mut self, cx: &mut Cx<'_>, result: StoreResult) {
        if let Ok(StoreAnswer::Entry(entry)) = result {
            self.on_head(cx, entry);
        }
    }

    /// Handles the store's head: fetches a newer one, schedules the replacement of a
    /// missing, unreadable, older or diverged one.
    fn on_head(&mut self, cx: &mut Cx<'_>, entry: Option<StoreEntry>) {
        self.head_version = entry
            .as_ref()
            .map_or(KeyVersion::default(), |entry| entry.version);
        let head = entry.and_then(|entry| Head::decode(&entry.value));
        let Some(current) = &self.current else {
            if let Some(head) = head {
                self.fetch_text(cx, head);
            }
            return;
        };
        match (head, current) {
            (None, _) => self.schedule_restore(cx),
            (Some(head), current) => match current.head.relation(&head) {
                Relation::Same => self.restore_due_at = None,
                Relation::Behind => self.fetch_text(cx, head),
                Relation::Ahead | Relation::Diverged => self.schedule_restore(cx),
            },
        }
    }

    /// Fetches the text of `head` if its revision is above the current one.
    pub(super) fn fetch_newer(&mut self, cx: &mut Cx<'_>, head: Head) {
        if head.newest.revision > self.revision() {
            self.fetch_text(cx, head);
        }
    }

    /// Gets the text of a newer head by its diff or from the store, and adopts it.
    fn fetch_text(&mut self, cx: &mut Cx<'_>, head: Head) {
        let text = head
            .splice
            .as_ref()
            .and_then(|splice| self.apply_splice(splice));
        if let Some(text) = text.filter(|text| TextHash::of(text) == head.newest.hash) {
            self.adopt(cx, head, &text);
            return;
        }
        let in_flight = self.calls.values().any(|(_, call)| match call {
            Call::Text(other) => other.newest.is_same_revision(&head.newest),
            _ => false,
        });
        if in_flight {
            return;
        }
        let key = head.newest.text_key();
        self.call(cx, Call::Text(Box::new(head)), StoreOp::Get { key });
    }

    pub(super) fn on_text(&mut self, cx: &mut Cx<'_>, head: Head, result: StoreResult) {
        let Ok(StoreAnswer::Entry(Some(entry))) = result else {
            // The head may have changed, so it is read again before its text.
            self.next_poll_at = self.next_poll_at.min(cx.now + jittered(cx, RETRY_INTERVAL));
            return;
        };
        if let Ok(text) = String::from_utf8(entry.value) {
            self.adopt(cx, head, &text);
        }
    }

    /// Applies a diff to a text kept in memory; returns `None` if its base is not
    /// kept or the diff does not fit.
    pub(super) fn apply_splice(&self, splice: &Splice) -> Option<String> {
        let old = self.recent_text(splice.base)?;
        splice.apply(&old)
    }

    pub(super) fn schedule_restore(&mut self, cx: &mut Cx<'_>) {
        if self.restore_due_at.is_none() {
            let wait = cx.rng.random_range(0..=MAX_RESTORE_DELAY.0);
            self.restore_due_at = Some(cx.now + Millis(wait));
        }
    }
}

/// Returns a random duration between 0.5 and 1.5 times `mean`.
pub(super) fn jittered(cx: &mut Cx<'_>, mean: Millis) -> Millis {
    let half = mean.0 / 2;
    Millis(cx.rng.random_range(half..=mean.0 + half))
}

fn send(cx: &mut Cx<'_>, to: &str, addr: &str, message: Message) {
    cx.out.push(Output::Peer {
        to: to.to_owned(),
        addr: addr.to_owned(),
        message: PeerMessage::Spread(message),
    });
}
