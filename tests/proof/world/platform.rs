//! The platform: the instance list and the key-value service.

use super::super::store::Served;
use super::MODEL;
use super::PLATFORM;
use super::TO_PLATFORM;
use super::Watch;
use super::World;
use skylarkhook::clock::Millis;
use skylarkhook::control::Input;
use skylarkhook::control::Ticket;
use skylarkhook::fleet::Listing;
use skylarkhook::fleet::Role;
use skylarkhook::id::Boot;
use skylarkhook::store::StoreAnswer;
use skylarkhook::store::StoreFailure;
use skylarkhook::store::StoreOp;

impl World {
    pub(super) fn list(&mut self) {
        if self.list_down {
            return;
        }
        let names: Vec<(String, Boot, String)> = self
            .nodes
            .values()
            .map(|node| (node.me.name.clone(), node.me.boot, node.me.domain.clone()))
            .collect();
        let listings = self.listings();
        for (name, boot, domain) in names {
            if !self.is_cut(&domain, PLATFORM) {
                let input = Input::Listings(listings.clone());
                self.tell(TO_PLATFORM, &name, boot, input);
            }
        }
    }

    pub(super) fn listings(&self) -> Vec<Listing> {
        let mut listings = Vec::new();
        let mut add = |name: &str, domain: &str, role, label: &str, value: &str| {
            if self.unlisted.contains(name) {
                return;
            }
            listings.push(Listing {
                name: name.to_owned(),
                role,
                domain: domain.to_owned(),
                addr: name.to_owned(),
                peer_addr: name.to_owned(),
                leaving: self.leaving.contains(name),
                labels: [(label.to_owned(), value.to_owned())].into(),
            });
        };
        for node in self.nodes.values().filter(|node| node.up) {
            add(&node.me.name, &node.me.domain, Role::Entry, "role", "entry");
        }
        for engine in self.engines.values() {
            add(&engine.name, &engine.domain, Role::Engine, "model", MODEL);
        }
        for (name, (domain, _)) in &self.services {
            add(name, domain, Role::Service, "service", "callbacks");
        }
        listings
    }

    pub(super) fn serve(&mut self, from: &str, boot: Boot, ticket: Ticket, op: StoreOp) {
        if self.is_cut(&self.domain_of(from), PLATFORM) {
            let result = Err(match op {
                StoreOp::Get { .. } | StoreOp::Watch { .. } => {
                    StoreFailure::NotRun { retry_after: None }
                }
                _ => StoreFailure::MayHaveRun,
            });
            let span = Millis(1_000);
            return self.tell(span, from, boot, Input::Store { ticket, result });
        }
        match self.store.serve(self.now, &op) {
            Served::Now(result) => {
                self.tell(TO_PLATFORM, from, boot, Input::Store { ticket, result });
            }
            Served::Later => {
                let StoreOp::Watch { key, version, wait } = op else {
                    return;
                };
                self.watches.push(Watch {
                    from: from.to_owned(),
                    boot,
                    ticket,
                    key,
                    version,
                    until: self.now + wait,
                });
            }
        }
    }

    pub(super) fn end_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let changed = self.store.watched(&watch.key, watch.version);
            let cut = self.is_cut(&self.domain_of(&watch.from), PLATFORM) || self.store.down;
            let result = match changed {
                _ if cut => Err(StoreFailure::NotRun { retry_after: None }),
                Some(answer) => Ok(answer),
                None if self.now >= watch.until => {
                    match self.store.serve(
                        self.now,
                        &StoreOp::Get {
                            key: watch.key.clone(),
                        },
                    ) {
                        Served::Now(result) => result,
                        Served::Later => Ok(StoreAnswer::Entry(None)),
                    }
                }
                None => {
                    self.watches.push(watch);
                    continue;
                }
            };
            let ticket = watch.ticket;
            let input = Input::Store { ticket, result };
            self.tell(TO_PLATFORM, &watch.from, watch.boot, input);
        }
    }
}
