//! What the language checks.

use std::collections::BTreeMap;

use super::super::caller::Caller;
use super::super::caller::End;
use super::ANSWER_SLACK;
use super::Args;
use super::CONTROL_BYTES_PER_S;
use super::Script;
use skylarkhook::clock::Millis;
use skylarkhook::id::RequestId;
use skylarkhook::metrics::Level;
use skylarkhook::verdict::Verdict;

impl Script {
    /// Checks that a domain or backend server got no new work lately.
    pub(super) fn quiet(&mut self, args: &Args<'_>) -> String {
        let span = Millis(args.number("ms", 1_000));
        let prefix = args.text("of", "");
        let since = self.world.now - span;
        let late: Vec<String> = self
            .world
            .arrivals
            .iter()
            .filter(|(at, name)| *at > since && name.starts_with(&prefix))
            .map(|(at, name)| format!("{name} got new work at {at}\n"))
            .collect();
        if late.is_empty() {
            return "ok\n".to_owned();
        }
        late.concat()
    }

    /// Checks how many backend servers crashed.
    pub(super) fn crashes(&mut self, args: &Args<'_>) -> String {
        let crashes: u32 = self.world.engines.values().map(|e| e.crashes).sum();
        if u64::from(crashes) <= args.number("most", 0) {
            return "ok\n".to_owned();
        }
        format!("{crashes} crashes\n")
    }

    /// Checks that leaving instances have ended, and ends their processes.
    pub(super) fn stopped(&mut self, args: &Args<'_>) -> String {
        let names = args.list("entry", "");
        let late: Vec<&String> = names
            .iter()
            .filter(|name| !self.world.nodes[*name].stopped)
            .collect();
        if !late.is_empty() {
            let shown: Vec<String> = late.iter().map(|name| self.world.status(name)).collect();
            return format!("not stopped: {late:?}\n{}\n", shown.join("\n"));
        }
        self.each(args, "entry", |world, name| world.kill(name))
    }

    pub(super) fn ready(&mut self, args: &Args<'_>) -> String {
        let names = args.list("entry", "");
        let nodes = names.iter().map(|name| &self.world.nodes[name]);
        let late: Vec<&str> = nodes
            .filter(|node| !node.control.ready())
            .map(|node| node.me.name.as_str())
            .collect();
        match late.is_empty() {
            true => "ok\n".to_owned(),
            false => format!("not ready: {late:?}\n"),
        }
    }

    /// Checks that all live instances hold the same revision, but for those of
    /// the domain `behind`, which hold a lower one.
    pub(super) fn revisions(&mut self, args: &Args<'_>) -> String {
        let behind = args.text("behind", "");
        let live = self.world.nodes.values().filter(|node| node.up);
        let held: Vec<(String, i64)> = live
            .map(|node| (node.me.name.clone(), node.metrics.level(Level::Revision)))
            .collect();
        let newest = held.iter().map(|(_, revision)| *revision).max();
        let fits = held.iter().all(|(name, revision)| {
            let lags = !behind.is_empty() && name.starts_with(&behind);
            (Some(*revision) == newest) != lags
        });
        match fits {
            true => "ok\n".to_owned(),
            false => format!("{held:?}\n"),
        }
    }

    /// Checks that no backend server runs anything.
    pub(super) fn idle(&mut self) -> String {
        let busy: Vec<String> = self
            .world
            .engines
            .values()
            .filter(|engine| !engine.streams.is_empty())
            .map(|engine| format!("{} runs {:?}\n", engine.name, engine.streams.keys()))
            .collect();
        match busy.is_empty() {
            true => "ok\n".to_owned(),
            false => busy.concat(),
        }
    }

    /// Prints whether the figures since the last count are as asked for.
    pub(super) fn count(&mut self, args: &Args<'_>) -> String {
        let kind = args.text("kind", "");
        let from = self.last.get(&kind).copied().unwrap_or_default();
        self.last.insert(kind.clone(), self.next_request);
        let callers: Vec<&Caller> = self
            .world
            .callers
            .range(RequestId(from + 1)..)
            .map(|(_, caller)| caller)
            .filter(|caller| kind.is_empty() || caller.kind == kind)
            .collect();
        let whole = callers
            .iter()
            .filter(|c| matches!(c.ended, Some((_, End::Whole))));
        let (whole, all) = (whole.count(), callers.len());
        let least = args.number("whole", 100);
        if whole * 100 >= all * least as usize && all > 0 {
            return "ok\n".to_owned();
        }
        let mut ends: BTreeMap<String, u32> = BTreeMap::new();
        for caller in callers {
            let end = match &caller.ended {
                Some((_, End::Refused(refusal))) => {
                    format!("{} ran={}", refusal.reason, refusal.verdict.as_str())
                }
                other => format!("{:?}", other.as_ref().map(|(_, end)| end)),
            };
            *ends.entry(end).or_default() += 1;
        }
        format!("{whole} of {all} whole\n{ends:#?}\n")
    }

    /// Lists every promise that is broken.
    pub fn check(&self) -> String {
        let mut broken = Vec::new();
        for (request, caller) in &self.world.callers {
            self.check_caller(*request, caller, &mut broken);
        }
        for engine in self.world.engines.values() {
            if engine.excess > 0 {
                broken.push(format!(
                    "{}: {} above its limit",
                    engine.name, engine.excess
                ));
                broken.extend(engine.trace.iter().cloned());
            }
        }
        for (name, (_, service)) in &self.world.services {
            let doubled = service.runs.iter().filter(|(_, runs)| **runs > 1);
            broken.extend(doubled.map(|(key, runs)| format!("{name}: {key} ran {runs} times")));
        }
        self.check_keys(&mut broken);
        self.check_control(&mut broken);
        if broken.is_empty() {
            return "ok\n".to_owned();
        }
        broken.join("\n") + "\n"
    }

    pub(super) fn check_caller(
        &self,
        request: RequestId,
        caller: &Caller,
        broken: &mut Vec<String>,
    ) {
        let limit = match caller.kind.as_str() {
            "summary" | "poison" => Millis(10_000),
            "review" => Millis(30_000),
            "dispute" => Millis(120_000),
            _ => Millis(5_000),
        };
        let from = self.awake(caller, caller.submitted);
        let due = self.awake(caller, from + limit) + ANSWER_SLACK;
        match &caller.ended {
            None if self.world.now > due => broken.push(format!("{request}: no answer")),
            Some((at, _)) if *at > due => {
                broken.push(format!("{request}: answered at {at}, due {due}"));
            }
            _ => {}
        }
        let whole = matches!(caller.ended, Some((_, End::Whole)));
        if whole && !caller.is_right() {
            broken.push(format!("{request}: not whole: {}", caller.text));
        }
        if !caller.is_prefix() {
            broken.push(format!(
                "{request}: tokens doubled or missing: {}",
                caller.text
            ));
        }
        if let Some((_, End::Refused(refusal))) = &caller.ended
            && refusal.verdict == Verdict::NotRun
            && self.world.ran.contains(&request)
        {
            broken.push(format!("{request}: told not run, but it ran: {refusal:?}"));
        }
    }

    /// Returns `at`, or when the caller's instance wakes if it is paused then:
    /// it takes requests and gives answers only when it wakes.
    pub(super) fn awake(&self, caller: &Caller, at: Millis) -> Millis {
        let pauses = &self.world.nodes[&caller.node].pauses;
        let pause = pauses.iter().find(|(from, to)| *from <= at && at <= *to);
        pause.map_or(at, |(_, to)| *to)
    }

    /// Frames to other instances cost an instance no more than control may.
    pub(super) fn check_control(&self, broken: &mut Vec<String>) {
        for node in self.world.nodes.values() {
            let seconds = self.world.now.since(node.started).0.div_ceil(1_000).max(1);
            let rate = node.bytes_sent / seconds;
            if rate > CONTROL_BYTES_PER_S {
                broken.push(format!("{} sent {rate} bytes a second", node.me.name));
            }
        }
    }

    /// A key may have run on several backend servers: all runs count.
    pub(super) fn check_keys(&self, broken: &mut Vec<String>) {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, service) in self.world.services.values() {
            for (key, count) in &service.runs {
                *runs.entry(key).or_default() += count;
            }
        }
        let doubled = runs.iter().filter(|(_, count)| **count > 1);
        broken.extend(doubled.map(|(key, count)| format!("{key} ran {count} times in all")));
    }
}
