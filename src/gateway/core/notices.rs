//! What backend servers state about themselves in their responses.

use super::Core;
use crate::clock::Millis;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Output;
use crate::gateway::message::ServerNotice;
use crate::gateway::rate_limits::Change;
use crate::gateway::rate_limits::Source;
use crate::gateway::rate_limits::rate_share;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::id_hash;
use crate::metrics::Count;

/// Longest pause that is granted to a server.
const MAX_PAUSE: Millis = Millis::from_secs(600);

impl Core {
    /// Applies what a response to a request sent at `sent_at` stated, and tells
    /// the other instances of a rate limit.
    pub(super) fn on_server_notice(
        &mut self,
        now: Millis,
        server_id: &str,
        sent_at: Millis,
        notice: ServerNotice,
        out: &mut Vec<Output>,
    ) {
        let Some(server) = self.server_table.find_by_id(server_id) else {
            return;
        };
        if let Some(pause) = notice.pause {
            self.pause_server(now, server, pause);
        }
        let is_known_to_leave = self.leaving_servers.contains(&server);
        let change = self.apply_notice(now, server, Source::Response(sent_at), notice);
        let is_due = self.rate_limits.take_announcement(now, server);
        if change.is_some() || is_due || (notice.leaving && !is_known_to_leave) {
            let message = PeerMessage::ServerNotice {
                server: id_hash(server_id),
                // A pause is asked of one instance only.
                notice: ServerNotice {
                    pause: None,
                    ..notice
                },
            };
            self.broadcast(out, message);
        }
    }

    fn pause_server(&mut self, now: Millis, server: ServerKey, pause: Millis) {
        let id = self.server_table.get(server).entry.id.as_str();
        let pause_ms = pause.min(MAX_PAUSE);
        let until = self.paused_servers.entry(server).or_default();
        *until = (*until).max(now + pause_ms);
        log::info!(
            server = id,
            asked_ms = pause.0,
            pause_ms = pause_ms.0;
            "backend server asked for a pause: it gets no requests of this instance"
        );
        self.count(Count::Pauses);
    }

    /// Returns the time until the end of the pause that a server asked for.
    pub(super) fn pause_left(&self, now: Millis, server: ServerKey) -> Millis {
        let until = self.paused_servers.get(&server);
        until.map_or(Millis::ZERO, |until| until.since(now))
    }

    /// Applies what a server stated to another instance.
    pub(super) fn on_peer_notice(&mut self, now: Millis, server: u64, notice: ServerNotice) {
        if let Some(server) = self.server_table.find_by_id_hash(server) {
            self.apply_notice(now, server, Source::Peer, notice);
        }
    }

    fn apply_notice(
        &mut self,
        now: Millis,
        server: ServerKey,
        source: Source,
        notice: ServerNotice,
    ) -> Option<Change> {
        if let Some(remaining) = notice.cold_remaining.filter(|left| *left > Millis::ZERO) {
            self.server_table.mark_cold(server, now + remaining);
        }
        if notice.leaving && self.leaving_servers.insert(server) {
            self.count(Count::ServersLeaving);
            log::info!(
                server = self.server_table.get(server).entry.id.as_str(),
                source:? = source;
                "backend server says that it is leaving: it gets no more requests"
            );
        }
        let change = self
            .rate_limits
            .apply_notice(now, server, source, notice.rate_limit)?;
        if matches!(change, Change::Limited(_)) {
            self.count(Count::RateLimits);
        }
        log::info!(
            server = self.server_table.get(server).entry.id.as_str(),
            change:? = change,
            share_per_s = self.rate_share(server),
            source:? = source;
            "rate limit of a backend server changed"
        );
        Some(change)
    }

    /// Drops rate limits that were not reported for long.
    pub(super) fn expire_rate_limits(&mut self, now: Millis) {
        for server in self.rate_limits.expire(now) {
            let id = self.server_table.get(server).entry.id.as_str();
            log::info!(server = id; "rate limit of a backend server dropped: not reported for long");
        }
    }

    /// Returns this instance's share of a server's rate limit, in requests per
    /// second; 0 if the server names none.
    fn rate_share(&self, server: ServerKey) -> f64 {
        let Some(per_s) = self.rate_limits.per_s(server) else {
            return 0.0;
        };
        let seed = id_hash(&self.server_table.get(server).entry.id);
        let rank = self.instances.rank_among_known(&self.local.name, seed);
        rate_share(per_s, self.instances.known_count(), rank)
    }

    /// Returns the time until this instance may send a request to a server, as
    /// far as the server's rate limit is concerned.
    pub(super) fn rate_limit_wait(&self, now: Millis, server: ServerKey) -> Millis {
        match self.rate_limits.per_s(server) {
            None => Millis::ZERO,
            Some(_) => self.rate_limits.wait(now, server, self.rate_share(server)),
        }
    }

    /// Records that a request is sent to a server.
    pub(super) fn record_sent(&mut self, now: Millis, server: ServerKey) {
        let share = self.rate_share(server);
        self.rate_limits.record_sent(now, server, share);
    }
}
