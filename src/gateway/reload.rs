//! Settings that change while the process runs.
//!
//! The platform writes the settings file anew, with or without a signal. The
//! file is read regularly; a change counts once two readings in a row show it,
//! as a file may be read while it is written. Limits and the address of the
//! store take effect at once; what the process is bound to, such as its name
//! and its listeners, at the next start. Settings that are wrong change nothing.

use std::path::PathBuf;

use crate::config;
use crate::config::Override;
use crate::config::Setting;
use crate::config::Settings;
use crate::config::SettingsError;
use crate::config::UnknownSettings;

/// Settings that take effect while the process runs.
const RELOADABLE: [(&str, &str); 8] = [
    ("gateway", "store"),
    ("gateway", "revoke_limit"),
    ("gateway", "config_limit"),
    ("gateway", "retry_ratio"),
    ("gateway", "retry_extra"),
    ("gateway", "memory_free_limit"),
    ("gateway", "server_write_interval"),
    ("shutdown", "time_limit"),
];

/// Where the settings of the process come from.
#[derive(Debug, Clone, Default)]
pub struct SettingsSource {
    /// The settings file, if there is one.
    pub file: Option<PathBuf>,
    /// Settings given by flags, which go over the file's.
    pub overrides: Vec<Override>,
}

/// Result of reading the settings file.
type Reading = Result<String, String>;

/// What a reading of the settings file changes.
#[derive(Debug, PartialEq, Eq)]
pub enum Reload {
    /// Nothing is new, or it is not certain yet that the file is complete.
    Nothing,
    /// The file cannot be read, or a setting is wrong; the former settings stay.
    Refused(String),
    /// Some settings have changed.
    Changed {
        /// Those that take effect now.
        now: Vec<String>,
        /// Those that take effect at the next start.
        at_next_start: Vec<String>,
    },
}

/// Reads the settings again while the process runs.
#[derive(Debug)]
pub struct Reloader {
    source: SettingsSource,
    /// The settings that were last read without an error.
    settings: Settings,
    /// The last reading of the file.
    seen: Option<Reading>,
    /// The last reading that was evaluated.
    evaluated: Option<Reading>,
}

impl Reloader {
    /// Starts with the settings that the process was started with.
    #[must_use]
    pub fn new(source: SettingsSource, settings: Settings) -> Reloader {
        Reloader {
            source,
            settings,
            seen: None,
            evaluated: None,
        }
    }

    /// Returns the settings in force. Those that only take effect at a start may
    /// be newer than what the process uses.
    #[must_use]
    pub fn in_force(&self) -> &Settings {
        &self.settings
    }

    /// Reads the file; returns the settings if some of them take effect now.
    pub fn check(&mut self) -> Option<&Settings> {
        let path = self.source.file.as_ref()?;
        let reading = config::read_file(path);
        match self.evaluate(reading) {
            Reload::Nothing => None,
            Reload::Refused(cause) => {
                log::warn!(cause = cause.as_str(); "changed settings refused; the former ones stay");
                None
            }
            Reload::Changed { now, at_next_start } => {
                log::info!(
                    now = now.join(", ").as_str(),
                    at_next_start = at_next_start.join(", ").as_str();
                    "settings changed"
                );
                (!now.is_empty()).then_some(&self.settings)
            }
        }
    }

    /// Evaluates a reading of the file.
    pub fn evaluate(&mut self, reading: Reading) -> Reload {
        let is_settled = self.seen.as_ref() == Some(&reading);
        if !is_settled {
            self.seen = Some(reading);
            return Reload::Nothing;
        }
        if self.evaluated.as_ref() == Some(&reading) {
            return Reload::Nothing;
        }
        self.evaluated = Some(reading.clone());
        let read = reading.and_then(|text| self.parse(&text).map_err(|error| error.to_string()));
        let settings = match read {
            Ok(settings) if settings.is_gateway() => settings,
            Ok(_) => return Reload::Refused("a gateway needs [gateway] listen".to_owned()),
            Err(cause) => return Reload::Refused(cause),
        };
        let changed = self.settings.changed(&settings);
        self.settings = settings;
        if changed.is_empty() {
            return Reload::Nothing;
        }
        let (now, at_next_start): (Vec<&Setting>, Vec<&Setting>) = changed
            .into_iter()
            .partition(|setting| is_reloadable(setting));
        let names = |settings: Vec<&Setting>| settings.into_iter().map(config::place).collect();
        Reload::Changed {
            now: names(now),
            at_next_start: names(at_next_start),
        }
    }

    fn parse(&self, text: &str) -> Result<Settings, SettingsError> {
        let name = self.source.file.as_ref();
        let name = name.map_or(String::new(), |path| path.display().to_string());
        let unknown = UnknownSettings::SkippedInGateways;
        let (settings, _) = Settings::parse_with(&name, text, &self.source.overrides, unknown)?;
        Ok(settings)
    }
}

fn is_reloadable(setting: &Setting) -> bool {
    RELOADABLE.contains(&(setting.section, setting.key))
}
