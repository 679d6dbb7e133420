//! Learning of newer revisions: from the key-value service and from peers.

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

/// Least time between two watches.
const WATCH_SPACING: Millis = Millis(250);
/// Mean time until a watch or a first look that failed is tried again.
const RETRY: Millis = Millis::from_secs(2);
/// Time until another peer is asked.
const PULL_SPACING: Millis = Millis::from_secs(1);
/// Longest wait before an older head in the store is replaced; drawn at random
/// so that not all instances do it at once.
const RESTORE_SPREAD: Millis = Millis::from_secs(2);

impl Spread {
    /// Looks at the head: by a watch, and slowly by itself.
    pub(super) fn look(&mut self, cx: &mut Cx<'_>, watcher: bool) {
        if watcher && !self.watching && cx.now >= self.watch_at {
            self.watching = true;
            self.watch_at = cx.now + WATCH_SPACING;
            let op = StoreOp::Watch {
                key: HEAD_KEY.to_owned(),
                version: self.store_version,
                wait: self.periods.watch,
            };
            self.call(cx, Call::Watch, op);
        }
        if cx.now < self.poll_at {
            return;
        }
        let mean = match self.current {
            Some(_) => self.periods.poll,
            None => RETRY,
        };
        self.poll_at = cx.now + around(cx, mean);
        let key = HEAD_KEY.to_owned();
        self.call(cx, Call::Poll, StoreOp::Get { key });
    }

    /// Asks a peer that told of a higher revision.
    pub(super) fn pull(&mut self, cx: &mut Cx<'_>, peers: &[Peer]) {
        let own = self.revision();
        if cx.now < self.pull_at || self.heard <= own {
            return;
        }
        let ahead: Vec<&Peer> = peers
            .iter()
            .filter(|peer| peer.revision == self.heard)
            .collect();
        let peer = ahead[cx.rng.random_range(0..ahead.len())];
        self.pull_at = cx.now + PULL_SPACING;
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
            Body::Splice(splice) => self.spliced(splice),
        };
        if let Some(text) = text {
            self.adopt(cx, head, &text);
        }
    }

    pub(super) fn on_watch(&mut self, cx: &mut Cx<'_>, result: StoreResult) {
        self.watching = false;
        match result {
            Ok(StoreAnswer::Entry(entry)) => self.on_head(cx, entry),
            _ => self.watch_at = cx.now + around(cx, RETRY),
        }
    }

    pub(super) fn on_poll(&mut self, cx: &mut Cx<'_>, result: StoreResult) {
        if let Ok(StoreAnswer::Entry(entry)) = result {
            self.on_head(cx, entry);
        }
    }

    /// Takes over what the store holds as head.
    fn on_head(&mut self, cx: &mut Cx<'_>, entry: Option<StoreEntry>) {
        self.store_version = entry
            .as_ref()
            .map_or(KeyVersion::default(), |entry| entry.version);
        let head = entry.and_then(|entry| Head::decode(&entry.value));
        let Some(current) = &self.current else {
            if let Some(head) = head {
                self.fetch(cx, head);
            }
            return;
        };
        match (head, current) {
            (None, _) => self.restore_soon(cx),
            (Some(head), current) => match current.head.relation(&head) {
                Relation::Same => self.restore_at = None,
                Relation::Behind => self.fetch(cx, head),
                Relation::Ahead | Relation::Diverged => self.restore_soon(cx),
            },
        }
    }

    /// Takes over a head that is newer than the one in force.
    pub(super) fn fetch_newer(&mut self, cx: &mut Cx<'_>, head: Head) {
        if head.newest.revision > self.revision() {
            self.fetch(cx, head);
        }
    }

    /// Gets the text of a newer head: by its difference, or from the store.
    fn fetch(&mut self, cx: &mut Cx<'_>, head: Head) {
        let text = head.splice.as_ref().and_then(|splice| self.spliced(splice));
        if let Some(text) = text.filter(|text| TextHash::of(text) == head.newest.hash) {
            self.adopt(cx, head, &text);
            return;
        }
        let under_way = self.calls.values().any(|(_, call)| match call {
            Call::Text(other) => other.newest.is(&head.newest),
            _ => false,
        });
        if under_way {
            return;
        }
        let key = head.newest.text_key();
        self.call(cx, Call::Text(Box::new(head)), StoreOp::Get { key });
    }

    pub(super) fn on_text(&mut self, cx: &mut Cx<'_>, head: Head, result: StoreResult) {
        let Ok(StoreAnswer::Entry(Some(entry))) = result else {
            // The head has to be seen again before its text is asked for.
            self.poll_at = self.poll_at.min(cx.now + around(cx, RETRY));
            return;
        };
        if let Ok(text) = String::from_utf8(entry.value) {
            self.adopt(cx, head, &text);
        }
    }

    /// Returns the text that a difference makes of one kept in memory.
    pub(super) fn spliced(&self, splice: &Splice) -> Option<String> {
        let old = self.recent_text(splice.base)?;
        splice.apply(&old)
    }

    pub(super) fn restore_soon(&mut self, cx: &mut Cx<'_>) {
        if self.restore_at.is_none() {
            let wait = cx.rng.random_range(0..=RESTORE_SPREAD.0);
            self.restore_at = Some(cx.now + Millis(wait));
        }
    }
}

/// Returns a span drawn at random between half and one and a half of `mean`.
pub(super) fn around(cx: &mut Cx<'_>, mean: Millis) -> Millis {
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
