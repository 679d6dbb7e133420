//! Answers to operators' queries.

use std::collections::BTreeSet;

use serde_json::Value;
use serde_json::json;

use super::AdminAnswer;
use super::Cx;
use super::ExplainRequest;
use super::components::Components;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::id::Fingerprint;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Level;
use crate::routing::RoutingView;
use crate::verdict::Reason;
use crate::verdict::Refusal;

impl Components {
    /// Returns the status of this instance and of its view of the fleet.
    pub(super) fn status(&self, cx: &Cx<'_>) -> Value {
        let domains: Vec<Value> = self
            .fleet
            .domains()
            .map(|(_, domain)| json!({"name": domain.name, "region": domain.region, "out": domain.cordoned}))
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
            "leaving": self.draining(),
            "revision": cx.metrics.level(Level::Revision),
            "requests_open": self.in_flight.len(),
            "requests_waiting": self.queue.len(),
            "streams_given_up": self.orphans.len(),
            "domains": domains,
            "backends": backends,
        })
    }

    /// Returns the models of the engines in service, in the format of the
    /// OpenAI API's model list.
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

    /// Returns, for each backend server, why it would or would not be selected.
    pub(super) fn explain(&mut self, cx: &Cx<'_>, request: &ExplainRequest) -> AdminAnswer {
        let unknown = |what: &str, name: &str| {
            let text = format!("there is no {what} `{name}`");
            AdminAnswer::Refused(Refusal::not_run(Reason::NotFound, text))
        };
        let Some(kind) = self.fleet.kind_key(&request.kind) else {
            return unknown("kind", &request.kind);
        };
        let Some(workspace) = self.fleet.workspace_key(&request.workspace) else {
            return unknown("workspace", &request.workspace);
        };
        let declared_kind = self.fleet.kind(kind);
        let job = Job {
            request: RequestId(0),
            workspace,
            kind,
            target: declared_kind.target,
            model: request.model.clone(),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens.unwrap_or(declared_kind.max_tokens),
            prefix: 0,
            fingerprint: Fingerprint(0),
            importance: declared_kind.importance,
            submitted_at: cx.now,
            deadline: cx.now + declared_kind.deadline_ms,
            offset: 0,
            excluded: Vec::new(),
            exclusive: false,
        };
        let view = RoutingView {
            now: cx.now,
            fleet: &self.fleet,
            conditions: &self.conditions,
        };
        AdminAnswer::json(&self.router.explain(view, &self.capacity, &job))
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
            "out": backend.cordoned,
            "leaving": backend.draining,
            "limit_streams": limits.streams,
            "free_streams": free.streams,
        })
    }
}
