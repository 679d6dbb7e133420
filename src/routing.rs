//! Routing: which backend servers may serve a job, and in which order.

use crate::declaration::Route;
use crate::fleet::BackendKey;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::job::Job;

/// Applies the operators' routes on one instance.
#[derive(Debug)]
pub struct Router {
    local: DomainKey,
}

impl Router {
    /// Returns the router of an instance in the failure domain `local`.
    #[must_use]
    pub fn new(local: DomainKey) -> Router {
        Router { local }
    }

    /// Returns the backend servers that may serve the job, best first.
    #[must_use]
    pub fn candidates(&self, fleet: &Fleet, job: &Job) -> Vec<BackendKey> {
        let Some(route) = self.route(fleet, job) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for selector in &route.prefer {
            for (key, _) in fleet.backends() {
                let allowed = serves(fleet, key, job)
                    && !found.contains(&key)
                    && !job.excluded.contains(&key)
                    && selector.matches(|label| fleet.backend_label(key, self.local, label));
                if allowed {
                    found.push(key);
                }
            }
        }
        found
    }

    /// Returns the first route that matches the job.
    fn route<'a>(&self, fleet: &'a Fleet, job: &Job) -> Option<&'a Route> {
        let kind = fleet.kind(job.kind);
        let workspace = fleet.workspace(job.workspace);
        let lookup = |label: &str| match label {
            "kind" => Some(kind.name.as_str()),
            "workspace" => Some(workspace.name.as_str()),
            "model" => Some(job.model.as_str()),
            "length" => Some(job.length().as_str()),
            _ => kind
                .labels
                .get(label)
                .or_else(|| workspace.labels.get(label))
                .map(String::as_str),
        };
        let routes = &fleet.declaration().routes;
        routes.iter().find(|route| route.matches.matches(lookup))
    }
}

/// Returns whether a backend server is in service and has the job's model.
fn serves(fleet: &Fleet, key: BackendKey, job: &Job) -> bool {
    let backend = fleet.backend(key);
    let label = match backend.target {
        crate::declaration::Target::Engine => "model",
        crate::declaration::Target::Service => "service",
    };
    let offered = backend.labels.get(label).map_or("", String::as_str);
    backend.target == job.target
        && fleet.in_service(key)
        && offered.split(',').any(|name| name.trim() == job.model)
}
