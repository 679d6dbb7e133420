//! A fleet of gateway processes before backend servers, on loopback.

use std::path::Path;
use std::path::PathBuf;
use std::time::Instant;

use nix::sys::signal::Signal;
use tempfile::TempDir;

use crate::backend::Backend;
use crate::backend::Runs;
use crate::links::Cut;
use crate::links::Links;
use crate::platform::Store;
use crate::platform::configuration;
use crate::process::Gateway;
use crate::process::call;

const BACKENDS: usize = 4;
const PATHS: [&str; 3] = ["/once/1", "/again/1", "/stream/1"];

pub struct Fleet {
    dir: TempDir,
    pub store: Store,
    store_addr: std::net::SocketAddr,
    links: Links,
    /// Whether instances can be cut off, for which servers look up each connection's
    /// owner.
    has_links: bool,
    pub runs: Runs,
    pub backends: Vec<Backend>,
    pub gateways: Vec<Gateway>,
    next_id: usize,
}

impl Fleet {
    /// Starts a gateway of each program and waits until all hear each other.
    pub fn start(programs: &[PathBuf]) -> Fleet {
        Fleet::start_with(programs, true)
    }

    /// Starts a fleet whose instances cannot be cut off.
    pub fn start_without_links(programs: &[PathBuf]) -> Fleet {
        Fleet::start_with(programs, false)
    }

    fn start_with(programs: &[PathBuf], has_links: bool) -> Fleet {
        let (store, store_addr) = Store::start().unwrap();
        let (runs, links) = (Runs::default(), Links::default());
        let backends: Vec<Backend> = (1..=BACKENDS)
            .map(|at| Backend::start_with_links(&format!("i-{at}"), runs.clone(), &links).unwrap())
            .collect();
        store.put("op/config", configuration(1, &["k1", "taken"]).as_bytes());
        for backend in &backends {
            let key = format!("servers/{}", backend.id);
            store.put(&key, backend.entry("ready").as_bytes());
        }
        let mut fleet = Fleet {
            dir: tempfile::tempdir().unwrap(),
            store,
            store_addr,
            links,
            has_links,
            runs,
            backends,
            gateways: Vec::new(),
            next_id: 0,
        };
        for (at, program) in programs.iter().enumerate() {
            let gateway = fleet.start_gateway(at, program);
            fleet.gateways.push(gateway);
        }
        for gateway in &fleet.gateways {
            gateway.wait_ready();
        }
        for gateway in &fleet.gateways {
            gateway.wait_metric("skylarkhook_members_live", programs.len() - 1);
        }
        fleet
    }

    fn start_gateway(&self, at: usize, program: &Path) -> Gateway {
        let name = format!("g{at}");
        let gateway = Gateway::start_program(program, self.dir.path(), &name, self.store_addr);
        if self.has_links {
            self.links.add(gateway.process_id());
        }
        gateway
    }

    /// Stops a gateway as planned and starts another program in its place; returns
    /// the exit code.
    pub fn replace(&mut self, at: usize, program: &Path) -> Option<i32> {
        self.gateways[at].signal(Signal::SIGTERM);
        let code = self.gateways[at].wait();
        self.gateways[at] = self.start_gateway(at, program);
        self.gateways[at].wait_ready();
        code
    }

    pub fn cut(&self, gateway: usize, cut: Cut) {
        self.links.cut(self.gateways[gateway].process_id(), cut);
    }

    pub fn heal(&self, gateway: usize) {
        self.links.heal(self.gateways[gateway].process_id());
    }

    /// Sends requests to all instances in turn. Returns how many each served at
    /// the first attempt.
    pub fn serve(&mut self, requests: usize) -> Vec<usize> {
        let mut served = vec![0; self.gateways.len()];
        for n in 0..requests {
            for (at, gateway) in self.gateways.iter().enumerate() {
                self.next_id += 1;
                let id = format!("r{}", self.next_id);
                let headers = [
                    ("X-Skylarkhook-Request-Id", id.as_str()),
                    ("X-Skylarkhook-Deadline-Ms", "3000"),
                    ("Authorization", "Token k1"),
                ];
                let path = PATHS[n % PATHS.len()];
                let sent_at = Instant::now();
                let answer = call(gateway.callers, "POST", path, &headers, &id).unwrap();
                match answer.status == 200 && answer.whole {
                    true => served[at] += 1,
                    false => {
                        println!("{id} {path} at instance {at}: {}", answer.body);
                        let log = gateway.log().into_iter();
                        for line in log.filter(|line| line.contains(&format!("\"{id}\""))) {
                            println!("  {line}");
                        }
                        self.runs.print_events_since(sent_at);
                    }
                }
                let ran = self.runs.of(&id);
                assert!(answer.status != 503 || ran == 0, "{answer:?}");
                assert!(path != "/once/1" || ran <= 1, "{id} ran {ran} times");
            }
        }
        served
    }
}
