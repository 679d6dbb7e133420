//! Command line of the bench.

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use eyre::Result;
use eyre::WrapErr;

use skylarkhook_bench::demo;
use skylarkhook_bench::experiment;
use skylarkhook_bench::load::command;
use skylarkhook_bench::serve::Set;
use skylarkhook_bench::serve::SetConfig;
use skylarkhook_bench::slopes;

/// Stand-ins, load and experiments for skylarkhook.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Load(LoadArgs),
    Demo(Demo),
    Experiment(Experiment),
    Slopes(Slopes),
}

/// Runs a set of stand-ins until it is ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// INI file of the set
    #[argh(positional)]
    file: PathBuf,
}

/// Sends load and checks every answer; exit code 1 if an answer was not whole
/// or a call got no final word.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// INI file of the load
    #[argh(positional)]
    file: PathBuf,
    /// seed, instead of the file's
    #[argh(option)]
    seed: Option<u64>,
    /// file to write one line a call to, comma separated
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// Shows a whole deployment at work; exit code 1 if a promise was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Measures what control costs an instance, against what it grows with.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct Slopes {}

/// Runs an experiment, baselines beside; exit code 1 if a bound was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
struct Experiment {
    /// name; `list` shows all
    #[argh(positional)]
    name: String,
    /// seed of load and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// print the figures comma separated
    #[argh(switch)]
    csv: bool,
    /// file to write a report to, .html or .svg
    #[argh(option)]
    report: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("skylarkhook-bench: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<bool> {
    match command {
        Command::Serve(args) => serve(&args),
        Command::Load(args) => command::run(&args.file, args.seed, args.csv.as_deref()),
        Command::Demo(Demo {}) => demo::run(),
        Command::Slopes(Slopes {}) => slopes::run(),
        Command::Experiment(args) => {
            experiment::run(&args.name, args.seed, args.csv, args.report.as_deref())
        }
    }
}

fn serve(args: &Serve) -> Result<bool> {
    let cfg = SetConfig::read(&args.file)?;
    let set = Set::start(cfg).wrap_err("the stand-ins do not start")?;
    println!("key-value service {}", set.store.addr());
    println!("instance list {}", set.list.addr());
    for engine in &set.engines {
        println!("engine {} {}", engine.stats().name, engine.addr());
    }
    for service in &set.services {
        println!("service {} {}", service.stats().name, service.addr());
    }
    loop {
        thread::sleep(Duration::from_secs(3600));
    }
}
