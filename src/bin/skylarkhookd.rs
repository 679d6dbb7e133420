//! The daemon's entry point: settings, logging, signals and the exit code.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use eyre::WrapErr;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use skylarkhook::config::Override;
use skylarkhook::config::SettingError;
use skylarkhook::config::Settings;
use skylarkhook::config::SettingsError;
use skylarkhook::config::UnknownSettings;
use skylarkhook::daemon::Daemon;
use skylarkhook::gateway;
use skylarkhook::gateway::reload::SettingsSource;
use skylarkhook::logging;
use skylarkhook::logging::LeftOut;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code if the shutdown time limit expired and requests were aborted.
const EXIT_REQUESTS_ABORTED: u8 = 3;

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
    /// Reads the settings. Unknown ones are refused if the settings are only
    /// checked; otherwise a gateway skips them.
    fn settings(&self) -> Result<(Settings, Vec<SettingError>), SettingsError> {
        let unknown = match self.check_settings {
            true => UnknownSettings::Refused,
            false => UnknownSettings::SkippedInGateways,
        };
        Settings::load_with(self.settings.as_deref(), &self.overrides(), unknown)
    }

    /// Returns the settings that are given by flags.
    fn overrides(&self) -> Vec<Override> {
        let flags = [
            ("instance", "name", &self.name),
            ("instance", "domain", &self.domain),
            ("callers", "listen", &self.listen),
            ("admin", "listen", &self.admin_listen),
            ("peer", "listen", &self.peer_listen),
        ];
        let given_flags = flags.into_iter().filter_map(|(section, key, value)| {
            Some(Override {
                section: section.to_owned(),
                key: key.to_owned(),
                value: value.clone()?,
            })
        });
        self.set.iter().cloned().chain(given_flags).collect()
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let (settings, skipped) = match args.settings() {
        Ok(loaded) => loaded,
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
    let source = SettingsSource {
        file: args.settings.clone(),
        overrides: args.overrides(),
    };
    match serve(&settings, source, &skipped) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve_gateway(
    settings: &Settings,
    source: SettingsSource,
    left_out: LeftOut,
) -> eyre::Result<ExitCode> {
    log::info!(
        instance = settings.name.as_str(),
        domain = settings.domain.as_str(),
        listen = settings.gateway_listen.as_str(),
        version = env!("CARGO_PKG_VERSION"),
        unix_ms = logging::unix_now_ms();
        "gateway starts"
    );
    let all_answered = gateway::daemon::run(settings, source, left_out).wrap_err("cannot serve")?;
    Ok(exit_after_shutdown(all_answered))
}

fn serve(
    settings: &Settings,
    source: SettingsSource,
    skipped: &[SettingError],
) -> eyre::Result<ExitCode> {
    let left_out = logging::start(settings.log_format, &settings.log_filter);
    for setting in skipped {
        log::warn!(setting:% = setting; "setting skipped: this release does not know it");
    }
    if settings.is_gateway() {
        return serve_gateway(settings, source, left_out);
    }
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).wrap_err("cannot register signal handlers")?;
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
    log::info!("draining: admitted requests are finished before exit");
    daemon.begin_shutdown(settings.shutdown_time_limit);
    let all_answered = daemon.wait_stopped(settings.shutdown_time_limit);
    daemon.stop();
    if all_answered {
        log::info!("all admitted requests are answered");
    } else {
        log::error!("requests were cut: [shutdown] time_limit is over");
    }
    Ok(exit_after_shutdown(all_answered))
}

/// Writes the last log lines and returns the exit code of a graceful shutdown.
fn exit_after_shutdown(all_answered: bool) -> ExitCode {
    log::logger().flush();
    match all_answered {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_REQUESTS_ABORTED),
    }
}
