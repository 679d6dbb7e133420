//! The command line's arguments.

use std::str::FromStr;

use argh::FromArgs;

/// Operators' address when none is named.
pub(super) const DEFAULT_ADMIN: &str = "127.0.0.1:8081";
/// Callers' address when none is named.
const DEFAULT_CALLERS: &str = "127.0.0.1:8080";

/// How results are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Output {
    /// For a person.
    #[default]
    Text,
    /// As JSON.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Output, String> {
        match text {
            "text" => Ok(Output::Text),
            "json" => Ok(Output::Json),
            _ => Err(format!("`{text}`: allowed: text or json")),
        }
    }
}

/// Speaks to skylarkhook as a caller or an operator.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    example = "Ask for a summary:\n  {command_name} --callers 127.0.0.1:8080 --token-file bank.token ask --kind summary --model m7 'Call history: ...'",
    example = "Change the declarations and wait until all instances have them in force:\n  {command_name} --admin 127.0.0.1:8081 --token-file ops.token apply --wait fleet.toml",
    note = "Exit codes are listed in docs/CLI.md."
)]
pub struct Args {
    /// operators' address of an instance, ip:port; may be given several times
    /// (default: 127.0.0.1:8081)
    #[argh(option)]
    pub admin: Vec<String>,
    /// callers' address of an instance, ip:port
    #[argh(option, default = "DEFAULT_CALLERS.to_owned()")]
    pub callers: String,
    /// file whose first line is the operators' token, or for `ask` and `call`
    /// the workspace's
    #[argh(option)]
    pub token_file: Option<String>,
    /// text or json
    #[argh(option, default = "Output::Text")]
    pub output: Output,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Asks a model.
    Ask(Ask),
    /// Calls a plain service.
    Call(Call),
    /// Shows an instance's view.
    Status(Status),
    /// Shows events.
    Timeline(Timeline),
    /// Explains routing.
    Explain(Explain),
    /// Checks files.
    Validate(Validate),
    /// Compares a file with what is in force.
    Diff(Diff),
    /// Puts a file in force.
    Apply(Apply),
    /// Shows the declarations.
    Get(Get),
    /// Shows the revisions.
    History(History),
    /// Puts an older revision in force again.
    Rollback(Rollback),
    /// Takes out of service.
    Drain(Drain),
    /// Brings back into service.
    Restore(Restore),
}

/// ask a model and stream its answer
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct Ask {
    /// model
    #[argh(option)]
    pub model: String,
    /// request kind
    #[argh(option)]
    pub kind: Option<String>,
    /// output tokens allowed
    #[argh(option)]
    pub max_tokens: Option<u32>,
    /// seconds without a byte after which the answer is given up (default: 120)
    #[argh(option, default = "120")]
    pub silence_seconds: u64,
    /// the prompt; `-` reads it from the standard input
    #[argh(positional)]
    pub prompt: String,
}

/// call an operation of a plain service
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub struct Call {
    /// idempotency key: the same call sent again runs at most once
    #[argh(option)]
    pub key: Option<String>,
    /// service
    #[argh(positional)]
    pub service: String,
    /// operation
    #[argh(positional)]
    pub operation: String,
    /// body; `-` reads it from the standard input
    #[argh(positional, default = "String::new()")]
    pub body: String,
}

/// show what an instance knows of itself and its fleet
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// show events of all instances named by --admin, in causal order
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
    /// only events about this request (16 hexadecimal digits)
    #[argh(option)]
    pub request: Option<String>,
    /// only events about this backend server
    #[argh(option)]
    pub backend: Option<String>,
    /// only events about this failure domain
    #[argh(option)]
    pub domain: Option<String>,
    /// events an instance gives at most (default: 1000)
    #[argh(option, default = "1000")]
    pub limit: usize,
}

/// explain why each backend server would or would not be taken
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// workspace
    #[argh(option)]
    pub workspace: String,
    /// request kind
    #[argh(option)]
    pub kind: String,
    /// model, or a plain service's name
    #[argh(option)]
    pub model: String,
    /// prompt length in tokens (default: 1000)
    #[argh(option, default = "1000")]
    pub prompt_tokens: u64,
    /// output tokens allowed
    #[argh(option)]
    pub max_tokens: Option<u32>,
}

/// check declaration files without asking any instance
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "validate")]
pub struct Validate {
    /// files
    #[argh(positional)]
    pub files: Vec<String>,
}

/// show what a file would change against the declarations in force
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// compare with this file and ask no instance
    #[argh(option)]
    pub from: Option<String>,
    /// file
    #[argh(positional)]
    pub file: String,
}

/// put a file in force; safe to repeat, and from two places
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// wait until all instances have it in force
    #[argh(switch)]
    pub wait: bool,
    /// seconds to wait at most (default: 30)
    #[argh(option, default = "30")]
    pub wait_seconds: u64,
    /// revision that the file was made from (default: the one that its first
    /// line names, as `get` writes it, else 0: an empty document)
    #[argh(option)]
    pub base: Option<u64>,
    /// names the change: the same one again is the same change (default: drawn)
    #[argh(option)]
    pub change: Option<String>,
    /// who makes the change (default: operator)
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
    /// file
    #[argh(positional)]
    pub file: String,
}

/// show the declarations in force, or an older revision
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// revision (default: the newest)
    #[argh(option)]
    pub revision: Option<u64>,
}

/// show the revisions that are kept
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// put an older revision in force again, as a new revision
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct Rollback {
    /// wait until all instances have it in force
    #[argh(switch)]
    pub wait: bool,
    /// revision
    #[argh(positional)]
    pub revision: u64,
}

/// What is taken out or brought back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A failure domain.
    Domain,
    /// A backend server.
    Backend,
}

impl FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Target, String> {
        match text {
            "domain" => Ok(Target::Domain),
            "backend" => Ok(Target::Backend),
            _ => Err(format!("`{text}`: allowed: domain or backend")),
        }
    }
}

/// take a failure domain or a backend server out of service: it gets no new
/// work, what runs is finished
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// wait until all instances have it in force
    #[argh(switch)]
    pub wait: bool,
    /// domain or backend
    #[argh(positional)]
    pub target: Target,
    /// its name
    #[argh(positional)]
    pub name: String,
}

/// bring a failure domain or a backend server back into service
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "restore")]
pub struct Restore {
    /// wait until all instances have it in force
    #[argh(switch)]
    pub wait: bool,
    /// domain or backend
    #[argh(positional)]
    pub target: Target,
    /// its name
    #[argh(positional)]
    pub name: String,
}

/// Seconds that `--wait` waits where nothing else is said.
const WAIT_SECONDS: u64 = 30;

/// For how long a command waits for a change to be in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Wait {
    pub(super) seconds: Option<u64>,
}

impl Wait {
    pub(super) fn new(wait: bool, seconds: u64) -> Wait {
        Wait {
            seconds: wait.then_some(seconds),
        }
    }
}

impl Apply {
    pub(super) fn wait(&self) -> Wait {
        Wait::new(self.wait, self.wait_seconds)
    }
}

macro_rules! waits {
    ($($type:ident),*) => {
        $(impl $type {
            pub(super) fn wait(&self) -> Wait {
                Wait::new(self.wait, WAIT_SECONDS)
            }
        })*
    };
}

waits!(Rollback, Drain, Restore);
