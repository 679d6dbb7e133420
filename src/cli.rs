//! The command line for operators and callers.
//!
//! Every command ends with an exit code of one table ([`Exit`]) and, if it
//! failed, one clear line on the standard error stream.

mod args;
mod call;
mod client;
mod declare;
mod exit;
mod show;
#[cfg(test)]
mod tests;

pub use args::Args;
pub use exit::Exit;

use std::io::Write;

use self::args::Command;
use self::args::Output;
use self::client::Admin;
use self::exit::Failure;

/// Runs one command; its result goes to `out`, what failed to `err`.
pub fn run(args: Args, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let mut cli = Cli {
        admin: args.admin,
        callers: args.callers,
        token_file: args.token_file,
        output: args.output,
        out,
    };
    match cli.command(args.command) {
        Ok(()) => Exit::Ok,
        Err(failure) => {
            let _ = writeln!(err, "{}", failure.message);
            failure.exit
        }
    }
}

/// Options that hold for all commands, and where the result goes.
struct Cli<'a> {
    admin: Vec<String>,
    callers: String,
    token_file: Option<String>,
    output: Output,
    out: &'a mut dyn Write,
}

impl Cli<'_> {
    fn command(&mut self, command: Command) -> Result<(), Failure> {
        match command {
            Command::Ask(args) => self.ask(&args),
            Command::Call(args) => self.call(&args),
            Command::Status(_) => self.status(),
            Command::Timeline(args) => self.timeline(&args),
            Command::Explain(args) => self.explain(args),
            Command::Validate(args) => self.validate(&args),
            Command::Diff(args) => self.diff(&args),
            Command::Apply(args) => self.apply(&args),
            Command::Get(args) => self.get(&args),
            Command::History(_) => self.history(),
            Command::Rollback(args) => self.rollback(&args),
            Command::Drain(args) => self.set_out(&args.target, &args.name, true, &args.wait()),
            Command::Restore(args) => self.set_out(&args.target, &args.name, false, &args.wait()),
        }
    }

    /// Returns the operators' edge of the first instance named.
    fn admin(&self) -> Result<Admin, Failure> {
        let addr = self.admin.first().map_or(args::DEFAULT_ADMIN, |addr| addr);
        Admin::new(addr, self.token_file.as_deref())
    }

    /// Returns the operators' edges of all instances named.
    fn admins(&self) -> Result<Vec<Admin>, Failure> {
        if self.admin.is_empty() {
            return Ok(vec![self.admin()?]);
        }
        self.admin
            .iter()
            .map(|addr| Admin::new(addr, self.token_file.as_deref()))
            .collect()
    }

    fn line(&mut self, text: impl std::fmt::Display) -> Result<(), Failure> {
        writeln!(self.out, "{text}").map_err(|error| Failure::output(&error))
    }

    fn json(&mut self, value: &impl serde::Serialize) -> Result<(), Failure> {
        let text = serde_json::to_string_pretty(value).unwrap_or_default();
        self.line(text)
    }
}
