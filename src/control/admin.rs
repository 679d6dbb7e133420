//! Answers to operators' questions.

use std::collections::BTreeSet;

use serde_json::Value;
use serde_json::json;

use super::AdminAnswer;
use super::Cx;
use super::duties::Duties;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::metrics::Level;
use crate::verdict::Reason;
use crate::verdict::Refusal;

impl Duties {
    /// Returns what this instance knows of itself and its fleet.
    pub(super) fn status(&self, cx: &Cx<'_>) -> Value {
        let domains: Vec<Value> = self
            .fleet
            .domains()
            .map(|(_, domain)| json!({"name": domain.name, "region": domain.region, "out": domain.out}))
            .collect();
        let backends: Vec<Value> = self
            .fleet
            .backends()
            .map(|(key, _)| self.backend_status(cx, key))
            .collect();
        json!({
            "instance": cx.me.name,
            "domain": cx.me.domain,
            "boot": cx.me.boot,
            "ready": self.ready(),
            "leaving": self.leaving,
            "revision": cx.metrics.level(Level::Revision),
            "requests_open": self.flights.len(),
            "requests_waiting": self.queue.len(),
            "streams_given_up": self.lingers.len(),
            "domains": domains,
            "backends": backends,
        })
    }

    /// Returns the models of the engines in service, in the shape of the OpenAI
    /// API.
    pub(super) fn models(&self, token_sha256: &str) -> AdminAnswer {
        if self.fleet.workspace_by_token(token_sha256).is_none() {
            let refusal = Refusal::not_run(Reason::Unauthorized, "unknown bearer token");
            return AdminAnswer::Refused(refusal);
        }
        let models: BTreeSet<&str> = self
            .fleet
            .backends()
            .filter(|(key, backend)| {
                backend.target == Target::Engine && self.fleet.in_service(*key)
            })
            .filter_map(|(_, backend)| backend.labels.get("model"))
            .flat_map(|names| names.split(','))
            .collect();
        let data: Vec<Value> = models
            .into_iter()
            .map(|id| json!({"id": id, "object": "model", "owned_by": "skylarkhook"}))
            .collect();
        AdminAnswer::Json(json!({"object": "list", "data": data}))
    }

    fn backend_status(&self, cx: &Cx<'_>, key: BackendKey) -> Value {
        let backend = self.fleet.backend(key);
        let limits = self.conditions.limits(&self.fleet, key);
        let free = self
            .capacity
            .available(cx.now, &self.fleet, &self.conditions, key);
        json!({
            "name": backend.name,
            "domain": self.fleet.domain(backend.domain).name,
            "in_service": self.fleet.in_service(key),
            "out": backend.out,
            "leaving": backend.leaving,
            "limit_streams": limits.streams,
            "free_streams": free.streams,
        })
    }
}
