//! One instance's view of the fleet: failure domains, backend servers, request
//! kinds and workspaces, stored in arenas with small `Copy` keys.
//!
//! Names come from the declarations and the platform's instance list. A key
//! stays valid for the lifetime of the process: an object that is no longer listed
//! or declared keeps its entry, and gets its old key if its name returns.

use std::collections::HashMap;

use la_arena::Arena;
use la_arena::Idx;
use serde::Deserialize;
use serde::Serialize;

use crate::declaration::Declaration;
use crate::declaration::Kind;
use crate::declaration::Labels;
use crate::declaration::LimitRule;
use crate::declaration::Target;
use crate::declaration::Workspace;
use crate::id::Boot;

/// Key of a failure domain.
pub type DomainKey = Idx<Domain>;
/// Key of a backend server.
pub type BackendKey = Idx<Backend>;
/// Key of a request kind.
pub type KindKey = Idx<Kind>;
/// Key of a workspace.
pub type WorkspaceKey = Idx<Workspace>;

/// What a listed process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An instance of this serving layer, `entry` in the list.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One line of the platform's instance list, which lags behind the actual
/// state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Its name, unique in the list.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: String,
    /// Its address, `ip:port`: for callers if it is an instance, for calls if it is
    /// a backend server.
    pub addr: String,
    /// The address of an instance for peers; empty for backend servers.
    #[serde(default)]
    pub peer_addr: String,
    /// Whether it is draining.
    #[serde(default)]
    pub leaving: bool,
    /// Its labels; `model` (comma-separated) lists the models that it serves,
    /// `service` names the plain service that it runs.
    #[serde(default)]
    pub labels: Labels,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Its name.
    pub name: String,
    /// The region that operators last declared for it; empty if it was never
    /// declared. See [`Fleet::backend_label`] (`locality`).
    pub region: String,
    /// Whether its last declaration cordons it; kept if the declaration is removed.
    pub cordoned: bool,
    /// Its labels.
    pub labels: Labels,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Whether it is an engine or a plain service.
    pub target: Target,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its address, `ip:port`.
    pub addr: String,
    /// Whether it is listed as draining, or no longer listed.
    pub draining: bool,
    /// Whether operators have cordoned it.
    pub cordoned: bool,
    /// Its labels in the instance list, overridden by the operators' labels. The
    /// derived labels of [`Fleet::backend_label`] are not included.
    pub labels: Labels,
    /// The rule for its concurrency limit; if `None`, it gets no work.
    pub limit_rule: Option<LimitRule>,
    /// The boot number in its last load report; `None` before the first.
    pub boot: Option<Boot>,
}

/// This instance's view of the fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    domains: Arena<Domain>,
    backends: Arena<Backend>,
    kinds: Arena<Kind>,
    workspaces: Arena<Workspace>,
    domain_names: HashMap<String, DomainKey>,
    backend_names: HashMap<String, BackendKey>,
    kind_names: HashMap<String, KindKey>,
    workspace_names: HashMap<String, WorkspaceKey>,
    workspace_tokens: HashMap<String, WorkspaceKey>,
    declaration: Declaration,
    listings: Vec<Listing>,
    generation: u64,
}

impl Fleet {
    /// Applies a declaration: kinds, workspaces, domains, labels and limits.
    pub fn apply_declaration(&mut self, declaration: &Declaration) {
        self.generation += 1;
        self.declaration = declaration.clone();
        for domain in self.declaration.domains.clone() {
            let key = self.domain_or_insert(&domain.name);
            let known = &mut self.domains[key];
            known.region = domain.region;
            known.cordoned = domain.out;
            known.labels = domain.labels;
        }
        self.apply_kinds();
        self.apply_workspaces();
        self.update_backends();
    }

    /// Applies an instance list; a backend server that is no longer listed counts
    /// as draining.
    pub fn apply_listings(&mut self, listings: Vec<Listing>) {
        self.generation += 1;
        self.listings = listings;
        self.update_backends();
    }

    /// Returns a number that changes with every declaration and every instance
    /// list applied; values derived from them are outdated once it has changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the key of the backend server `name`.
    #[must_use]
    pub fn backend_key(&self, name: &str) -> Option<BackendKey> {
        self.backend_names.get(name).copied()
    }

    /// Returns the key of the failure domain `name`.
    #[must_use]
    pub fn domain_key(&self, name: &str) -> Option<DomainKey> {
        self.domain_names.get(name).copied()
    }

    /// Returns the key of the request kind `name` if it is currently declared.
    #[must_use]
    pub fn kind_key(&self, name: &str) -> Option<KindKey> {
        self.kind_names.get(name).copied()
    }

    /// Returns the key of the workspace `name` if it is currently declared.
    #[must_use]
    pub fn workspace_key(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspace_names.get(name).copied()
    }

    /// Returns the workspace whose token has this SHA-256 (hexadecimal).
    #[must_use]
    pub fn workspace_by_token(&self, token_sha256: &str) -> Option<WorkspaceKey> {
        self.workspace_tokens.get(token_sha256).copied()
    }

    /// Returns a backend server.
    #[must_use]
    pub fn backend(&self, key: BackendKey) -> &Backend {
        &self.backends[key]
    }

    /// Records the boot number that a backend server reported.
    pub fn set_boot(&mut self, key: BackendKey, boot: Boot) {
        self.backends[key].boot = Some(boot);
    }

    /// Returns a failure domain.
    #[must_use]
    pub fn domain(&self, key: DomainKey) -> &Domain {
        &self.domains[key]
    }

    /// Returns a request kind.
    #[must_use]
    pub fn kind(&self, key: KindKey) -> &Kind {
        &self.kinds[key]
    }

    /// Returns a workspace.
    #[must_use]
    pub fn workspace(&self, key: WorkspaceKey) -> &Workspace {
        &self.workspaces[key]
    }

    /// Returns all backend servers, including those that are no longer listed.
    pub fn backends(&self) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.backends.iter()
    }

    /// Returns all failure domains.
    pub fn domains(&self) -> impl Iterator<Item = (DomainKey, &Domain)> {
        self.domains.iter()
    }

    /// Returns the current declaration; empty before the first is applied.
    #[must_use]
    pub fn declaration(&self) -> &Declaration {
        &self.declaration
    }

    /// Returns the newest instance list.
    #[must_use]
    pub fn listings(&self) -> &[Listing] {
        &self.listings
    }

    /// Returns whether a backend server may get new work according to the instance
    /// list and the operators: neither it nor its failure domain is cordoned, and it
    /// is not draining.
    #[must_use]
    pub fn in_service(&self, key: BackendKey) -> bool {
        let backend = &self.backends[key];
        !backend.draining && !backend.cordoned && !self.domains[backend.domain].cordoned
    }

    /// Returns the value of a backend server's label for route selectors, including
    /// the derived labels `name`, `domain`, `region`, `locality` and `domain.*`;
    /// `local` is the failure domain of this instance.
    #[must_use]
    pub fn backend_label(&self, key: BackendKey, local: DomainKey, label: &str) -> Option<&str> {
        let backend = &self.backends[key];
        let domain = &self.domains[backend.domain];
        match label {
            "name" => Some(&backend.name),
            "domain" => Some(&domain.name),
            "region" => Some(&domain.region),
            "locality" => Some(self.locality(backend.domain, local)),
            _ => match label.strip_prefix("domain.") {
                Some(label) => domain.labels.get(label).map(String::as_str),
                None => backend.labels.get(label).map(String::as_str),
            },
        }
    }

    /// Returns the locality of a failure domain relative to `local`.
    fn locality(&self, domain: DomainKey, local: DomainKey) -> &'static str {
        if domain == local {
            return "local";
        }
        if self.domains[domain].region == self.domains[local].region {
            return "region";
        }
        "remote"
    }

    /// Returns the key of the failure domain `name`, and adds it if it is unknown.
    pub fn domain_or_insert(&mut self, name: &str) -> DomainKey {
        if let Some(key) = self.domain_key(name) {
            return key;
        }
        let key = self.domains.alloc(Domain {
            name: name.to_owned(),
            region: String::new(),
            cordoned: false,
            labels: Labels::new(),
        });
        self.domain_names.insert(name.to_owned(), key);
        key
    }

    fn apply_kinds(&mut self) {
        self.kind_names.clear();
        for kind in self.declaration.kinds.clone() {
            let name = kind.name.clone();
            let known = self.kinds.iter().find(|(_, known)| known.name == name);
            let key = match known.map(|(key, _)| key) {
                Some(key) => {
                    self.kinds[key] = kind;
                    key
                }
                None => self.kinds.alloc(kind),
            };
            self.kind_names.insert(name, key);
        }
    }

    fn apply_workspaces(&mut self) {
        let all: HashMap<String, WorkspaceKey> = self
            .workspaces
            .iter()
            .map(|(key, workspace)| (workspace.name.clone(), key))
            .collect();
        self.workspace_names.clear();
        self.workspace_tokens.clear();
        for workspace in self.declaration.workspaces.clone() {
            let name = workspace.name.clone();
            let token = workspace.token_sha256.clone();
            let key = match all.get(&name) {
                Some(&key) => {
                    self.workspaces[key] = workspace;
                    key
                }
                None => self.workspaces.alloc(workspace),
            };
            self.workspace_names.insert(name, key);
            self.workspace_tokens.insert(token, key);
        }
    }

    /// Updates the backend servers from the instance list and the declaration;
    /// those that are no longer listed stay, marked as draining.
    fn update_backends(&mut self) {
        for (_, backend) in self.backends.iter_mut() {
            backend.draining = true;
        }
        for listing in self.listings.clone() {
            match listing.role {
                Role::Entry => {
                    self.domain_or_insert(&listing.domain);
                }
                Role::Engine => self.update_backend(listing, Target::Engine),
                Role::Service => self.update_backend(listing, Target::Service),
            }
        }
    }

    fn update_backend(&mut self, listing: Listing, target: Target) {
        let domain = self.domain_or_insert(&listing.domain);
        let known = self.backend_key(&listing.name);
        let declared_backend = self
            .declaration
            .backends
            .iter()
            .find(|declared| declared.name == listing.name);
        let mut labels = listing.labels;
        labels.extend(
            declared_backend
                .into_iter()
                .flat_map(|declared| declared.labels.clone()),
        );
        let backend = Backend {
            name: listing.name.clone(),
            target,
            domain,
            addr: listing.addr,
            draining: listing.leaving,
            cordoned: declared_backend.is_some_and(|declared| declared.out),
            labels,
            limit_rule: None,
            boot: known.and_then(|key| self.backends[key].boot),
        };
        let key = match known {
            Some(key) => {
                self.backends[key] = backend;
                key
            }
            None => self.backends.alloc(backend),
        };
        self.backend_names.insert(listing.name, key);
        let limit_rule = self.find_limit_rule(key);
        self.backends[key].limit_rule = limit_rule;
    }

    fn find_limit_rule(&self, key: BackendKey) -> Option<LimitRule> {
        let domain = self.backends[key].domain;
        let lookup = |label: &str| self.backend_label(key, domain, label);
        self.declaration
            .limits
            .iter()
            .find(|rule| rule.matches.matches(lookup))
            .cloned()
    }
}
