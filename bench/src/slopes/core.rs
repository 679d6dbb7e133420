//! One control core of a given size, with a key-value service that always
//! answers.

use std::fmt::Write;
use std::sync::Arc;

use skylarkhook::backend::AttemptEnd;
use skylarkhook::backend::AttemptEvent;
use skylarkhook::backend::BackendAnswer;
use skylarkhook::backend::LoadReport;
use skylarkhook::backend::Prompt;
use skylarkhook::backend::RunningStream;
use skylarkhook::backend::Work;
use skylarkhook::capacity::Amount;
use skylarkhook::capacity::CoordinatorsDocument;
use skylarkhook::capacity::Grant;
use skylarkhook::capacity::Grants;
use skylarkhook::capacity::Holder;
use skylarkhook::capacity::LEASE_TTL;
use skylarkhook::capacity::LeaseRequest;
use skylarkhook::capacity::LeaseRequestItem;
use skylarkhook::capacity::Message;
use skylarkhook::clock::Millis;
use skylarkhook::condition::Condition;
use skylarkhook::control::Control;
use skylarkhook::control::Identity;
use skylarkhook::control::Input;
use skylarkhook::control::Output;
use skylarkhook::control::Submission;
use skylarkhook::declaration::Declaration;
use skylarkhook::declaration::Labels;
use skylarkhook::fleet::Listing;
use skylarkhook::fleet::Role;
use skylarkhook::id::Boot;
use skylarkhook::id::Epoch;
use skylarkhook::id::Fingerprint;
use skylarkhook::id::RequestId;
use skylarkhook::id::Revision;
use skylarkhook::membership::Heartbeat;
use skylarkhook::membership::HeartbeatId;
use skylarkhook::membership::InstanceState;
use skylarkhook::metrics::Metrics;
use skylarkhook::peer::PeerFrame;
use skylarkhook::peer::PeerMessage;
use skylarkhook::store::KeyVersion;
use skylarkhook::store::LeaseId;
use skylarkhook::store::StoreAnswer;
use skylarkhook::store::StoreOp;

/// What the cost may grow with.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Instances of the own failure domain.
    pub peers: usize,
    /// Instances in all.
    pub instances: usize,
    /// Backend servers of the own failure domain.
    pub local_backends: usize,
    /// Backend servers in all.
    pub backends: usize,
    /// Workspaces.
    pub workspaces: usize,
}

/// A control core on a virtual clock.
pub struct Core {
    sizes: Sizes,
    control: Control,
    now: Millis,
    stamp: u64,
}

impl Core {
    /// Returns a core with declarations and instance list.
    pub fn start(sizes: Sizes) -> Core {
        let me = Identity {
            name: entry(0),
            domain: "d00".to_owned(),
            boot: Boot(1),
            peer_addr: "10.0.0.1:7000".to_owned(),
            unix_time_at_start: Millis(0),
        };
        let mut core = Core {
            sizes,
            control: Control::new(me, 1, Arc::new(Metrics::new())),
            now: Millis(1),
            stamp: 0,
        };
        core.declare();
        core.list();
        core
    }

    /// Brings the declaration into force.
    pub fn declare(&mut self) {
        let declaration = declaration(self.sizes);
        self.control
            .apply_declaration(self.now, &declaration, Revision(1));
    }

    /// Takes over the instance list.
    pub fn list(&mut self) {
        let listings = listings(self.sizes);
        self.handle(Input::Listings(listings));
    }

    /// Lets the core become home and get its credits.
    pub fn settle(&mut self) {
        for round in 0..40 {
            self.tick();
            let frame = self.heartbeat(round);
            self.receive(&frame);
        }
    }

    /// Lets 100 ms pass.
    pub fn tick(&mut self) {
        self.now += Millis(100);
        self.handle(Input::Tick);
    }

    /// Decodes and takes over a frame.
    pub fn receive(&mut self, body: &[u8]) {
        if let Ok(frame) = PeerFrame::decode(body) {
            self.handle(Input::Peer(frame));
        }
    }

    /// Returns a heartbeat of one of the peers, encoded.
    pub fn heartbeat(&mut self, round: u32) -> Vec<u8> {
        self.stamp += 1;
        let index = 1 + round as usize % (self.sizes.peers - 1);
        let frame = PeerFrame {
            from: entry(index),
            boot: Boot(1),
            stamp: self.stamp,
            messages: vec![self.beat(index)],
        };
        frame.encode().unwrap_or_default()
    }

    /// Returns a heartbeat.
    pub fn beat(&self, index: usize) -> PeerMessage {
        PeerMessage::Membership(Heartbeat {
            domain: "d00".to_owned(),
            addr: format!("10.0.0.{index}:7000"),
            leaving: false,
            state: InstanceState::default(),
            id: HeartbeatId {
                number: self.stamp.max(100_000),
                tag: 7_000,
            },
            echo: HeartbeatId {
                number: 100_000,
                tag: 1,
            },
            views: Vec::new(),
        })
    }

    /// Returns a lease request with this number of items.
    pub fn lease_request(&self, items: usize) -> PeerMessage {
        let item = LeaseRequestItem {
            backend: backend(7),
            used: busy(),
            credit: busy(),
            largest: busy(),
            weight: 500,
            news: None,
        };
        PeerMessage::Capacity(Message::Ask(LeaseRequest {
            number: 100_000,
            epoch: Epoch(1_000),
            items: vec![item; items],
        }))
    }

    /// Returns an answer of so many items.
    pub fn grants(&self, items: usize) -> PeerMessage {
        let item = Grant {
            backend: backend(7),
            credit: busy(),
            condition: Condition::Warm,
        };
        PeerMessage::Capacity(Message::Grants(Grants {
            number: 100_000,
            epoch: Epoch(1_000),
            life: LEASE_TTL,
            items: vec![item; items],
        }))
    }

    /// Returns an encoded lease request of a peer for four backend servers of
    /// this home.
    pub fn ask_frame(&mut self, round: u32) -> Vec<u8> {
        self.stamp += 1;
        let index = 1 + round as usize % (self.sizes.peers - 1);
        let items = (0..4).map(|number| LeaseRequestItem {
            backend: backend(number),
            used: busy(),
            credit: busy(),
            largest: busy(),
            weight: 500,
            news: None,
        });
        let request = Message::Ask(LeaseRequest {
            number: self.stamp,
            epoch: Epoch(1),
            items: items.collect(),
        });
        let frame = PeerFrame {
            from: entry(index),
            boot: Boot(1),
            stamp: self.stamp,
            messages: vec![PeerMessage::Capacity(request)],
        };
        frame.encode().unwrap_or_default()
    }

    /// Returns the length of a load report with so many streams, as an engine
    /// sends it.
    pub fn load_report(streams: u64) -> usize {
        let report = busy_report(streams);
        serde_json::to_vec(&report).map_or(0, |bytes| bytes.len())
    }

    /// Returns the length of the document of homes.
    pub fn homes_bytes(&self) -> usize {
        let document =
            (0..self.sizes.peers).fold(CoordinatorsDocument::default(), |document, index| {
                document.with_holder(Holder {
                    name: entry(index),
                    boot: Boot(u64::MAX / 3),
                    addr: format!("10.0.0.{index}:7000"),
                })
            });
        serde_json::to_vec(&document).map_or(0, |bytes| bytes.len())
    }

    /// Takes over a load report of a backend server with so many streams.
    pub fn report(&mut self, streams: u64) {
        self.now += Millis(1);
        let report = busy_report(streams);
        self.handle(Input::Backend {
            backend: backend(0),
            answer: BackendAnswer::Load(report),
        });
    }

    /// Passes a request from its submission to its whole answer; false if it
    /// waits in the queue, as there is no credit.
    pub fn request(&mut self, number: u64) -> bool {
        self.now += Millis(1);
        let work = Work::Prompt(Prompt {
            model: "m1".to_owned(),
            text: "hello".to_owned(),
            tokens: 1_000,
            prefix: number % 100,
            max_tokens: 200,
        });
        let out = self.handle(Input::Submit(Submission {
            request: RequestId(number),
            token_sha256: "t0".to_owned(),
            kind: None,
            time_limit: None,
            importance: None,
            fingerprint: Fingerprint(number),
            work: Arc::new(work),
        }));
        let mut sent = false;
        for output in out {
            if let Output::Send(call) = output {
                sent = true;
                for event in [
                    AttemptEvent::FirstToken,
                    AttemptEvent::Ended(AttemptEnd::Whole { tokens: 200 }),
                ] {
                    let attempt = call.attempt;
                    self.handle(Input::Attempt { attempt, event });
                }
            }
        }
        sent
    }

    /// Handles an input and answers all calls of the key-value service.
    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = self.control.handle(self.now, input);
        let mut from = 0;
        while from < out.len() {
            let Some(next) = self.answer(&out[from]) else {
                from += 1;
                continue;
            };
            from += 1;
            let more = self.control.handle(self.now, next);
            out.extend(more);
        }
        out
    }

    fn answer(&self, output: &Output) -> Option<Input> {
        let Output::Store { ticket, op } = output else {
            return self.load_of(output);
        };
        let lease = LeaseId("lease-1".to_owned());
        let answer = match op {
            StoreOp::Get { .. } => StoreAnswer::Entry(None),
            StoreOp::Grant { .. } | StoreOp::Renew { .. } => StoreAnswer::Lease(lease),
            StoreOp::Create { .. } | StoreOp::Swap { .. } => StoreAnswer::Written(KeyVersion(1)),
            StoreOp::Watch { .. } | StoreOp::Delete { .. } | StoreOp::Revoke { .. } => {
                return None;
            }
        };
        Some(Input::Store {
            ticket: *ticket,
            result: Ok(answer),
        })
    }

    /// Answers a question for a load report with an empty one.
    fn load_of(&self, output: &Output) -> Option<Input> {
        let Output::Order { backend, order, .. } = output else {
            return None;
        };
        if !matches!(order, skylarkhook::backend::BackendOrder::Load) {
            return None;
        }
        Some(Input::Backend {
            backend: backend.clone(),
            answer: BackendAnswer::Load(LoadReport {
                boot: Boot(1),
                epoch: Epoch(1),
                age_ms: Millis(0),
                memory_used: 0,
                memory_total: 1_000_000,
                prefill_waiting: 0,
                streams: Vec::new(),
                models: Vec::new(),
            }),
        })
    }
}

fn busy_report(streams: u64) -> LoadReport {
    let streams = (0..streams).map(|number| RunningStream {
        request: RequestId(u64::MAX / 3 + number),
        owner: entry(1),
        memory_tokens: 2_000,
    });
    LoadReport {
        boot: Boot(1),
        epoch: Epoch(1),
        age_ms: Millis(100),
        memory_used: 0,
        memory_total: 1_000_000,
        prefill_waiting: 0,
        streams: streams.collect(),
        models: Vec::new(),
    }
}

fn busy() -> Amount {
    Amount {
        streams: 12,
        memory: 60_000,
        prefill: 20_000,
    }
}

fn entry(index: usize) -> String {
    format!("d00-entry-{index:03}")
}

fn backend(index: usize) -> String {
    format!("d00-engine-{index:04}")
}

fn listings(sizes: Sizes) -> Vec<Listing> {
    let entries = (0..sizes.instances).map(|index| Listing {
        name: entry(index),
        role: Role::Entry,
        domain: domain(index, sizes.peers),
        addr: format!("10.0.0.{index}:6000"),
        peer_addr: format!("10.0.0.{index}:7000"),
        leaving: false,
        labels: Labels::new(),
    });
    let backends = (0..sizes.backends).map(|index| Listing {
        name: backend(index),
        role: Role::Engine,
        domain: domain(index, sizes.local_backends),
        addr: format!("10.0.1.{index}:8000"),
        peer_addr: String::new(),
        leaving: false,
        labels: [("model".to_owned(), "m1".to_owned())].into(),
    });
    entries.chain(backends).collect()
}

fn domain(index: usize, each: usize) -> String {
    format!("d{:02}", index / each)
}

fn declaration(sizes: Sizes) -> Declaration {
    let mut text = String::from(
        "[[limit]]\nwarm = { streams = 64 }\ncold = { streams = 64 }\n\
         [[kind]]\nname = \"summary\"\ndeadline_ms = 60000\nimportance = 50\n\
         [[route]]\nname = \"all\"\nprefer = [\"locality = local\", \"\"]\n",
    );
    for index in 0..sizes.workspaces {
        let _ = writeln!(
            text,
            "[[workspace]]\nname = \"w{index}\"\ntoken_sha256 = \"t{index}\""
        );
    }
    toml::from_str(&text).unwrap_or_default()
}
