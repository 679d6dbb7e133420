//! The command-line client for operators and callers.

use std::process::ExitCode;

use argh::FromArgs;

use skylarkhook::cli::Args;
use skylarkhook::cli::Exit;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().skip(1).map(String::as_str).collect();
    let args = match Args::from_args(&["skylarkhook"], &words) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!("{}", early.output.trim_end());
            return ExitCode::from(Exit::Usage.code());
        }
    };
    let exit = skylarkhook::cli::run(args, &mut std::io::stdout(), &mut std::io::stderr());
    ExitCode::from(exit.code())
}
