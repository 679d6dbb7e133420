//! The small test language of the scenarios.
//!
//! Each directive is one command with arguments; its expected output is `ok`,
//! or the figures that `count` prints. `check` lists every broken promise.

mod checks;

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::backend::Engine;
use super::backend::Service;
use super::caller::Caller;
use super::caller::token_sha256;
use super::world::World;
use skylarkhook::clock::Millis;
use skylarkhook::control::AdminAnswer;
use skylarkhook::control::AdminQuery;
use skylarkhook::declaration::Limits;
use skylarkhook::id::RequestId;
use skylarkhook::id::Revision;
use skylarkhook::spread::ApplyRequest;

/// Time past its deadline at which a request must have its final answer: callers
/// read once a step.
const ANSWER_SLACK: Millis = super::world::STEP;

/// Bytes that control may cost an instance in a second.
const CONTROL_BYTES_PER_S: u64 = 12_000;

const KINDS: &str = r#"
[[kind]]
name = "summary"
deadline_ms = 10000
importance = 50

[[kind]]
name = "review"
deadline_ms = 30000
importance = 40

[[kind]]
name = "dispute"
deadline_ms = 120000
importance = 80

[[kind]]
name = "outcome"
target = "service"
service = "callbacks"
deadline_ms = 5000
importance = 90
idempotent = false
claim_retention_ms = 600000

[[route]]
name = "near-first"
prefer = ["locality = local", "locality = region"]
"#;

/// One command of the language.
#[derive(Debug, Clone)]
pub struct Command {
    pub directive: String,
    pub args: HashMap<String, Vec<String>>,
}

/// A world and what the script has done to it.
pub struct Script {
    pub world: World,
    next_request: u64,
    last: BTreeMap<String, u64>,
    out: Vec<String>,
    planned: Vec<(Millis, String, Caller)>,
    limits: (String, String),
    change: u64,
}

impl Script {
    pub fn new() -> Script {
        Script {
            world: World::new(7),
            next_request: 0,
            last: BTreeMap::new(),
            out: Vec::new(),
            planned: Vec::new(),
            limits: (String::new(), String::new()),
            change: 0,
        }
    }

    /// Carries out one directive and returns what it prints.
    pub fn run(&mut self, case: &Command) -> String {
        let args = Args(case);
        match case.directive.as_str() {
            "world" => self.build(&args),
            "load" => self.load(&args),
            "run" => self.pass(Millis(args.number("ms", 1_000))),
            "settle" => self.settle(),
            "kill" => self.each(&args, "entry", |world, name| world.kill(name)),
            "start" => self.start(&args),
            "pause" => self.pause(&args),
            "shutdown" => self.shutdown(&args),
            "crash" => self.each(&args, "engine", |world, name| world.crash(name)),
            "silence" => self.each(&args, "engine", |world, name| world.silence(name)),
            "old-epochs" => self.each(&args, "engine", |world, name| {
                if let Some(engine) = world.engines.get_mut(name) {
                    engine.refuses_old_epochs = false;
                }
            }),
            "leaving" => self.each(&args, "backend", |world, name| {
                world.leaving.insert(name.to_owned());
            }),
            "cut" => {
                self.world.cut(&args.text("a", ""), &args.text("b", ""));
                "ok\n".to_owned()
            }
            "heal" => {
                self.world.cuts.clear();
                "ok\n".to_owned()
            }
            "store" => self.store(&args),
            "service" => self.service(&args),
            "declare" => self.declare(&args),
            "quiet" => self.quiet(&args),
            "crashes" => self.crashes(&args),
            "stopped" => self.stopped(&args),
            "ready" => self.ready(&args),
            "revisions" => self.revisions(&args),
            "leave" => self.leave(&args),
            "idle" => self.idle(),
            "count" => self.count(&args),
            "check" => self.check(),
            other => format!("unknown directive {other}\n"),
        }
    }

    fn build(&mut self, args: &Args<'_>) -> String {
        let domains = args.list("domains", "ikeja,lekki,yaba");
        let streams = args.number("streams", 4);
        let cold = args.number("cold", 2);
        let memory = args.number("memory", 0);
        let warm = limits(streams, memory);
        let cold = limits(cold, memory);
        for domain in &domains {
            for index in 1..=args.number("entries", 2) {
                self.world.add_node(&format!("{domain}-e{index}"), domain);
            }
            for index in 1..=args.number("engines", 3) {
                let name = format!("{domain}-m{index}");
                let engine = Engine::new(&name, domain, warm, cold);
                self.world.engines.insert(name, engine);
            }
            let service = (domain.clone(), Service::default());
            self.world.services.insert(format!("{domain}-s1"), service);
        }
        self.limits = (limits_text(warm), limits_text(cold));
        self.world.run(Millis(2_000));
        self.apply(&[]);
        self.world.run(Millis(6_000));
        "ok\n".to_owned()
    }

    /// Applies the script's declaration with some domains taken out.
    fn apply(&mut self, out: &[String]) {
        self.out = out.to_vec();
        let text = self.declaration();
        let Some(node) = self.first_live() else {
            return;
        };
        self.change += 1;
        let request = ApplyRequest {
            base: Revision(self.world.revision(&node)),
            text,
            change: format!("change-{}", self.change),
            author: "script".to_owned(),
        };
        let ticket = self.world.ask(&node, AdminQuery::ApplyDeclaration(request));
        self.world.run(Millis(200));
        if let Some(AdminAnswer::Refused(refusal)) = self.world.admin_answers.remove(&ticket) {
            panic!("the declaration is refused: {refusal:?}");
        }
    }

    fn first_live(&self) -> Option<String> {
        let nodes = self.world.nodes.values();
        let live = nodes.filter(|node| node.up && !node.stopped);
        live.map(|node| node.me.name.clone()).next()
    }

    fn declaration(&self) -> String {
        let mut text = String::new();
        let mut domains: Vec<&str> = self
            .world
            .nodes
            .values()
            .map(|node| node.me.domain.as_str())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        for domain in domains {
            let out = self.out.iter().any(|name| name == domain);
            text += &format!("[[domain]]\nname = \"{domain}\"\nregion = \"r\"\nout = {out}\n\n");
        }
        let (warm, cold) = &self.limits;
        text += &format!(
            "[[limit]]\nwarm = {warm}\ncold = {cold}\nramp_successes = 3\nramp_steps = 1\n"
        );
        text += KINDS;
        for workspace in ["w0", "w1", "w2"] {
            let token = token_sha256(workspace);
            text +=
                &format!("\n[[workspace]]\nname = \"{workspace}\"\ntoken_sha256 = \"{token}\"\n");
        }
        text
    }

    /// Plans requests: `n`, one `every` so many ms, at `via` in turn.
    fn load(&mut self, args: &Args<'_>) -> String {
        let mut entries = args.list("via", "all");
        if entries == ["all"] {
            entries = self.world.nodes.keys().cloned().collect();
        }
        let every = args.number("every", 50);
        let kind = args.text("kind", "summary");
        let tokens = args.number("tokens", 1_000);
        let output = u32::try_from(args.number("out", 40)).expect("a number of tokens");
        for index in 0..args.number("n", 1) {
            self.next_request += 1;
            let request = self.next_request;
            let workspace = format!("w{}", index % 3);
            let caller = match kind.as_str() {
                "outcome" => {
                    let default = format!("k{request}");
                    Caller::call(request, "w0", &args.text("key", &default))
                }
                "poison" => Caller::poison(request, "w0"),
                kind => Caller::prompt(request, kind, &workspace, tokens, output),
            };
            let at = self.world.now + Millis(every * index);
            let via = entries[index as usize % entries.len()].clone();
            self.planned.push((at, via, caller));
        }
        self.planned
            .sort_by_key(|(at, _, caller)| (*at, caller.request()));
        "ok\n".to_owned()
    }

    fn pass(&mut self, span: Millis) -> String {
        let end = self.world.now + span;
        while self.world.now < end {
            while self.planned.first().is_some_and(|p| p.0 <= self.world.now) {
                let (_, via, caller) = self.planned.remove(0);
                let via = self.live(&via);
                self.world.submit(&via, caller);
            }
            self.world.run(super::world::STEP);
        }
        "ok\n".to_owned()
    }

    /// Returns the instance, or the next live one, as a balancer would.
    fn live(&self, via: &str) -> String {
        let usable = |name: &&String| {
            let node = &self.world.nodes[*name];
            node.up && !node.stopped && node.control.ready()
        };
        let after = self
            .world
            .nodes
            .range(via.to_owned()..)
            .map(|(name, _)| name);
        let before = self.world.nodes.keys();
        after
            .chain(before)
            .find(usable)
            .cloned()
            .unwrap_or_else(|| via.to_owned())
    }

    /// Runs until all planned requests are sent and all callers have an end.
    fn settle(&mut self) -> String {
        for _ in 0..3_000 {
            let open = self.world.callers.values().any(|c| c.ended.is_none());
            if self.planned.is_empty() && !open {
                break;
            }
            self.pass(Millis(100));
        }
        self.pass(Millis(10_000))
    }

    fn each(
        &mut self,
        args: &Args<'_>,
        key: &str,
        mut work: impl FnMut(&mut World, &str),
    ) -> String {
        for name in args.list(key, "") {
            work(&mut self.world, &name);
        }
        "ok\n".to_owned()
    }

    fn start(&mut self, args: &Args<'_>) -> String {
        self.each(args, "entry", |world, name| {
            let domain = world.nodes[name].me.domain.clone();
            world.add_node(name, &domain);
        })
    }

    fn pause(&mut self, args: &Args<'_>) -> String {
        let span = Millis(args.number("ms", 1_000));
        self.each(args, "entry", |world, name| {
            let now = world.now;
            if let Some(node) = world.nodes.get_mut(name) {
                node.paused_until = now + span;
                node.pauses.push((now, now + span));
            }
        })
    }

    fn shutdown(&mut self, args: &Args<'_>) -> String {
        self.each(args, "entry", |world, name| {
            world.order_shutdown(name);
        })
    }

    fn store(&mut self, args: &Args<'_>) -> String {
        let store = &mut self.world.store;
        match args.text("do", "").as_str() {
            "down" => store.down = true,
            "up" => store.down = false,
            "snapshot" => store.take_snapshot(),
            "restore" => store.restore(),
            "lose" => store.lose_answers = u32::try_from(args.number("n", 1)).unwrap_or(1),
            other => return format!("unknown order {other}\n"),
        }
        "ok\n".to_owned()
    }

    fn service(&mut self, args: &Args<'_>) -> String {
        let lose = u32::try_from(args.number("lose", 0)).unwrap_or(0);
        let down = args.text("down", "no") == "yes";
        self.each(args, "name", |world, name| {
            if let Some((_, service)) = world.services.get_mut(name) {
                service.lose_answers = lose;
                service.down = down;
            }
        })
    }

    fn declare(&mut self, args: &Args<'_>) -> String {
        let out = args.list("out", "");
        self.apply(&out);
        "ok\n".to_owned()
    }

    /// Lets the callers of the first open requests leave.
    fn leave(&mut self, args: &Args<'_>) -> String {
        let open = self.world.callers.iter();
        let open: Vec<RequestId> = open
            .filter(|(_, caller)| caller.ended.is_none())
            .map(|(&request, _)| request)
            .take(args.number("n", 1) as usize)
            .collect();
        for request in open {
            self.world.leave(request);
        }
        "ok\n".to_owned()
    }
}

struct Args<'a>(&'a Command);

impl Args<'_> {
    fn text(&self, key: &str, default: &str) -> String {
        let values = self.0.args.get(key);
        let joined = values.map(|values| values.join(","));
        joined.unwrap_or_else(|| default.to_owned())
    }

    fn number(&self, key: &str, default: u64) -> u64 {
        self.text(key, &default.to_string())
            .parse()
            .unwrap_or_else(|_| panic!("{key} takes a number"))
    }

    fn list(&self, key: &str, default: &str) -> Vec<String> {
        self.text(key, default)
            .split(',')
            .filter(|name| !name.is_empty())
            .map(|name| name.trim().to_owned())
            .collect()
    }
}

fn limits(streams: u64, memory_tokens: u64) -> Limits {
    Limits {
        streams: u32::try_from(streams).expect("a number of streams"),
        memory_tokens,
        prefill_tokens: 0,
    }
}

fn limits_text(limits: Limits) -> String {
    let (streams, memory) = (limits.streams, limits.memory_tokens);
    format!("{{ streams = {streams}, memory_tokens = {memory} }}")
}
