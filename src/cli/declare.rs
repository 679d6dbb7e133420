//! Commands on the declarations.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::Cli;
use super::args::Apply;
use super::args::Diff;
use super::args::Get;
use super::args::Output;
use super::args::Rollback;
use super::args::Target;
use super::args::Validate;
use super::args::Wait;
use super::client::Admin;
use super::exit::Exit;
use super::exit::Failure;
use crate::control::AdminQuery;
use crate::declaration::Declaration;
use crate::declaration::Document;
use crate::declaration::Labels;
use crate::declaration::Overlay;
use crate::declaration::diff;
use crate::declaration::parse;
use crate::declaration::rewrite;
use crate::fleet::Listing;
use crate::id::Revision;
use crate::spread::Applied;
use crate::spread::ApplyRequest;
use crate::spread::HeldRevisions;
use crate::spread::RevisionDocument;

/// Start of the line by which a file names the revision it was made from.
const MARK: &str = "# skylarkhook: revision ";
/// Time between two looks at who holds a revision.
const LOOK: Duration = Duration::from_millis(100);
/// Times that a change is sent again when no sure answer came.
const TRIES: u32 = 5;
/// Time between two tries.
const RETRY: Duration = Duration::from_secs(1);

impl Cli<'_> {
    pub(super) fn validate(&mut self, args: &Validate) -> Result<(), Failure> {
        if args.files.is_empty() {
            return Err(Failure::usage("validate: name at least one file"));
        }
        let mut wrong = 0;
        for file in &args.files {
            let text = read_file(file)?;
            let problems = match parse(file, &text) {
                Ok(document) => document.warnings,
                Err(problems) => {
                    wrong += 1;
                    problems
                }
            };
            for problem in &problems {
                self.line(problem)?;
            }
        }
        if wrong > 0 {
            let text = format!("{wrong} of {} files are not right", args.files.len());
            return Err(Failure::new(Exit::Invalid, text));
        }
        self.line(format_args!("{} files are right", args.files.len()))
    }

    pub(super) fn diff(&mut self, args: &Diff) -> Result<(), Failure> {
        let to = document(&args.file, &read_file(&args.file)?)?.declaration;
        let (from, listings, local) = match &args.from {
            Some(file) => {
                let from = document(file, &read_file(file)?)?.declaration;
                (from, Vec::new(), String::new())
            }
            None => self.in_force()?,
        };
        let diff = diff(&from, &to, &listings, &local);
        match self.output {
            Output::Text => self.line(diff.to_string().trim_end()),
            Output::Json => self.json(&diff),
        }
    }

    /// Returns the declarations in force, the fleet, and the instance's domain.
    fn in_force(&self) -> Result<(Declaration, Vec<Listing>, String), Failure> {
        let admin = self.admin()?;
        let shown = newest(&admin)?;
        let listings = admin.ask(&AdminQuery::Listings)?;
        let status: serde_json::Value = admin.ask(&AdminQuery::Status)?;
        let local = status["domain"].as_str().unwrap_or_default().to_owned();
        let from = document("in force", &shown.text)?.declaration;
        Ok((from, listings, local))
    }

    pub(super) fn apply(&mut self, args: &Apply) -> Result<(), Failure> {
        let text = read_file(&args.file)?;
        document(&args.file, &text)?;
        let (marked, text) = unmark(&text);
        let request = ApplyRequest {
            base: Revision(args.base.or(marked).unwrap_or(0)),
            text: text.to_owned(),
            change: args.change.clone().unwrap_or_else(draw_change),
            author: args.author.clone(),
        };
        let applied = self.send(request)?;
        self.report(&applied, args.wait())
    }

    pub(super) fn get(&mut self, args: &Get) -> Result<(), Failure> {
        let revision = args.revision.map(Revision);
        let query = AdminQuery::GetDeclaration { revision };
        let shown: RevisionDocument = self.admin()?.ask(&query)?;
        match self.output {
            Output::Json => self.json(&shown),
            Output::Text => {
                self.line(format_args!("{MARK}{}", shown.revision.0))?;
                self.line(shown.text.trim_end())
            }
        }
    }

    pub(super) fn history(&mut self) -> Result<(), Failure> {
        let all: Vec<RevisionDocument> = self.admin()?.ask(&AdminQuery::History)?;
        if self.output == Output::Json {
            return self.json(&all);
        }
        self.line("revision  accepted at (unix ms)  change            author")?;
        for shown in all {
            self.line(format_args!(
                "{:>8}  {:>21}  {:<16}  {}",
                shown.revision.0, shown.at.0, shown.change, shown.author
            ))?;
        }
        Ok(())
    }

    pub(super) fn rollback(&mut self, args: &Rollback) -> Result<(), Failure> {
        let admin = self.admin()?;
        let base = newest(&admin)?.revision;
        let revision = Some(Revision(args.revision));
        let old: RevisionDocument = admin.ask(&AdminQuery::GetDeclaration { revision })?;
        let applied = self.send(ApplyRequest {
            base,
            text: old.text,
            change: format!("rollback-{}-{}", args.revision, draw_change()),
            author: "operator".to_owned(),
        })?;
        self.report(&applied, args.wait())
    }

    /// Takes a failure domain or a backend server out, or brings it back.
    pub(super) fn set_out(
        &mut self,
        target: &Target,
        name: &str,
        out: bool,
        wait: &Wait,
    ) -> Result<(), Failure> {
        let shown = newest(&self.admin()?)?;
        let from = document("in force", &shown.text)?.declaration;
        let to = with_out(&from, *target, name, out)?;
        let verb = if out { "drain" } else { "restore" };
        let applied = self.send(ApplyRequest {
            base: shown.revision,
            text: rewrite(&shown.text, &from, &to),
            change: format!("{verb}-{}", draw_change()),
            author: "operator".to_owned(),
        })?;
        self.report(&applied, *wait)
    }

    /// Sends a change; where no sure answer comes, the same change again.
    fn send(&self, request: ApplyRequest) -> Result<Applied, Failure> {
        let admins = self.admins()?;
        let query = AdminQuery::ApplyDeclaration(request);
        let mut tries = 0;
        loop {
            let admin = &admins[tries as usize % admins.len()];
            tries += 1;
            match admin.ask(&query) {
                Err(failure) if failure.exit == Exit::MayHaveRun && tries < TRIES => {
                    thread::sleep(RETRY);
                }
                outcome => return outcome,
            }
        }
    }

    fn report(&mut self, applied: &Applied, wait: Wait) -> Result<(), Failure> {
        let revision = applied.revision.0;
        let how = match (applied.unchanged, applied.merged) {
            (true, _) => "nothing to change",
            (_, true) => "accepted, merged with changes made since",
            _ => "accepted",
        };
        let spread = match wait.seconds {
            Some(seconds) => Some(self.await_spread(applied.revision, seconds)?),
            None => None,
        };
        if self.output == Output::Json {
            let spread = spread.map(|spread| json!({"instances": spread.holders, "ms": spread.ms}));
            return self.json(&json!({"applied": applied, "in_force": spread}));
        }
        self.line(format_args!("revision {revision}: {how}"))?;
        match spread {
            Some(spread) => self.line(format_args!(
                "in force on {} of {} instances after {} ms",
                spread.holders, spread.all, spread.ms
            )),
            None => Ok(()),
        }
    }

    /// Waits until all instances that the named ones hear of hold a revision.
    fn await_spread(&self, revision: Revision, seconds: u64) -> Result<Spread, Failure> {
        let start = Instant::now();
        let admins = self.admins()?;
        loop {
            let (holders, all) = count_holders(&admins, revision)?;
            let ms = start.elapsed().as_millis();
            if holders == all {
                return Ok(Spread { holders, all, ms });
            }
            if start.elapsed() >= Duration::from_secs(seconds) {
                let text = format!(
                    "revision {} is accepted, but in force on {holders} of {all} instances only",
                    revision.0
                );
                return Err(Failure::new(Exit::NotEverywhere, text));
            }
            thread::sleep(LOOK);
        }
    }
}

/// How far a revision has spread.
struct Spread {
    holders: usize,
    all: usize,
    ms: u128,
}

/// Returns how many of the instances heard of hold a revision, and all.
fn count_holders(admins: &[Admin], revision: Revision) -> Result<(usize, usize), Failure> {
    let mut seen = std::collections::BTreeMap::new();
    for admin in admins {
        let held: HeldRevisions = admin.ask(&AdminQuery::Held)?;
        let peers = held.peers.into_iter();
        let all = peers.map(|peer| (peer.instance, peer.revision));
        for (name, revision) in all.chain([(held.instance, held.revision)]) {
            let known = seen.entry(name).or_insert(revision);
            *known = revision.max(*known);
        }
    }
    let holders = seen.values().filter(|known| **known >= revision).count();
    Ok((holders, seen.len()))
}

fn newest(admin: &Admin) -> Result<RevisionDocument, Failure> {
    admin.ask(&AdminQuery::GetDeclaration { revision: None })
}

fn read_file(file: &str) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|error| Failure::usage(format!("{file}: {error}")))
}

fn document(file: &str, text: &str) -> Result<Document, Failure> {
    parse(file, text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Failure::new(Exit::Invalid, lines.join("\n"))
    })
}

/// Returns the revision that the first line names, and the text without it.
fn unmark(text: &str) -> (Option<u64>, &str) {
    let Some(rest) = text.strip_prefix(MARK) else {
        return (None, text);
    };
    let (number, body) = rest.split_once('\n').unwrap_or((rest, ""));
    match number.trim().parse() {
        Ok(number) => (Some(number), body),
        Err(_) => (None, text),
    }
}

fn draw_change() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Returns the declarations with one object taken out or brought back.
pub(super) fn with_out(
    from: &Declaration,
    target: Target,
    name: &str,
    out: bool,
) -> Result<Declaration, Failure> {
    let mut to = from.clone();
    match target {
        Target::Domain => {
            let found = to.domains.iter_mut().find(|domain| domain.name == name);
            let Some(domain) = found else {
                let text = format!("no failure domain `{name}` is declared");
                return Err(Failure::new(Exit::Refused, text));
            };
            domain.out = out;
        }
        Target::Backend => set_backend_out(&mut to, name, out),
    }
    Ok(to)
}

fn set_backend_out(to: &mut Declaration, name: &str, out: bool) {
    match to.backends.iter_mut().find(|one| one.name == name) {
        Some(overlay) => overlay.out = out,
        None if out => to.backends.push(Overlay {
            name: name.to_owned(),
            out,
            labels: Labels::new(),
        }),
        None => {}
    }
    to.backends
        .retain(|one| one.name != name || one.out || !one.labels.is_empty());
}
