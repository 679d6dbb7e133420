//! What backend servers state about themselves in their responses.

use super::Core;
use crate::clock::Millis;
use crate::gateway::message::ServerNotice;

impl Core {
    pub(super) fn on_server_notice(
        &mut self,
        now: Millis,
        server_id: &str,
        sent_at: Millis,
        notice: ServerNotice,
    ) {
        let Some(server) = self.server_table.find_by_id(server_id) else {
            return;
        };
        if let Some(remaining) = notice.cold_remaining.filter(|left| *left > Millis::ZERO) {
            self.server_table.mark_cold(server, now + remaining);
        }
        if let Some(change) = self
            .rate_limits
            .apply_notice(now, server, sent_at, notice.rate_limit)
        {
            log::info!(server = server_id, change:? = change; "rate limit of a backend server changed");
        }
    }
}
