//! The daemon: settings, log, signals and the exit code.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use eyre::WrapErr;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use skylarkhook::config::LogFormat;
use skylarkhook::config::Override;
use skylarkhook::config::Settings;
use skylarkhook::config::SettingsError;
use skylarkhook::daemon::Daemon;

/// Exit code when the settings are wrong.
const EXIT_SETTINGS: u8 = 2;
/// Exit code when requests were cut as the shutdown took too long.
const EXIT_CUT: u8 = 3;

/// Serves callers and takes part in the fleet's control.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    note = "Settings are listed in docs/CONFIGURATION.md. SIGTERM or SIGINT: finishes all admitted requests, then exits with 0."
)]
struct Args {
    /// settings file (INI)
    #[argh(option)]
    settings: Option<PathBuf>,
    /// setting that goes over the file's, section.key=value; may be given
    /// several times
    #[argh(option)]
    set: Vec<Override>,
    /// name of this instance: [instance] name
    #[argh(option)]
    name: Option<String>,
    /// failure domain: [instance] domain
    #[argh(option)]
    domain: Option<String>,
    /// callers' address: [callers] listen
    #[argh(option)]
    listen: Option<String>,
    /// operators' address: [admin] listen
    #[argh(option)]
    admin_listen: Option<String>,
    /// other instances' address: [peer] listen
    #[argh(option)]
    peer_listen: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    check_settings: bool,
}

impl Args {
    fn settings(&self) -> Result<Settings, SettingsError> {
        let flags = [
            ("instance", "name", &self.name),
            ("instance", "domain", &self.domain),
            ("callers", "listen", &self.listen),
            ("admin", "listen", &self.admin_listen),
            ("peer", "listen", &self.peer_listen),
        ];
        let given = flags.into_iter().filter_map(|(section, key, value)| {
            Some(Override {
                section: section.to_owned(),
                key: key.to_owned(),
                value: value.clone()?,
            })
        });
        let overrides: Vec<Override> = self.set.iter().cloned().chain(given).collect();
        Settings::load(self.settings.as_deref(), &overrides)
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match args.settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check_settings {
        let file = args.settings.as_deref().unwrap_or(Path::new("flags"));
        println!("{}: the settings are right", file.display());
        return ExitCode::SUCCESS;
    }
    match serve(&settings) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: &Settings) -> eyre::Result<ExitCode> {
    start_log(settings);
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("cannot take signals")?;
    let daemon = Daemon::start(settings).wrap_err("cannot start")?;
    log::info!(
        "{} in {} serves callers on {}, operators on {}, instances on {}",
        daemon.name(),
        settings.domain,
        daemon.callers_addr(),
        daemon.admin_addr(),
        daemon.peer_addr()
    );
    let _ = signals.forever().next();
    log::info!("leaving: admitted requests are finished first");
    daemon.begin_shutdown();
    let whole = daemon.wait_stopped(settings.shutdown_time_limit);
    daemon.stop();
    if whole {
        log::info!("all admitted requests are answered");
        return Ok(ExitCode::SUCCESS);
    }
    log::error!("requests were cut: [shutdown] time_limit is over");
    Ok(ExitCode::from(EXIT_CUT))
}

fn start_log(settings: &Settings) {
    let filter = RustLogFilterBuilder::from_spec(settings.log_filter.as_str()).build();
    let stderr = match settings.log_format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stderr))
        .apply();
}
