//! Reading settings from an INI file and flags.

use std::collections::HashMap;
use std::fmt;
use std::path::Path;
use std::str::FromStr;

use ini::Ini;
use ini::ParseOption;

use super::Setting;
use super::Settings;
use super::TABLE;

/// Greatest length of a settings file, in bytes.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Source of the settings that are given by flags.
const FLAGS: &str = "flags";
/// Section of the settings that every process needs.
const INSTANCE_SECTION: &str = "instance";
/// Greatest edit distance of a near miss.
const NEAR_MISS_EDITS: usize = 3;

/// A setting given by a flag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Override {
    /// Section.
    pub section: String,
    /// Key in the section.
    pub key: String,
    /// Value.
    pub value: String,
}

impl FromStr for Override {
    type Err = String;

    fn from_str(text: &str) -> Result<Override, String> {
        let parts = text
            .split_once('=')
            .and_then(|(name, value)| Some((name.split_once('.')?, value)));
        let Some(((section, key), value)) = parts else {
            return Err(format!("`{text}` is not of the form section.key=value"));
        };
        Ok(Override {
            section: section.trim().to_owned(),
            key: key.trim().to_owned(),
            value: value.trim().to_owned(),
        })
    }
}

/// What is wrong with one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The file, or `flags`.
    pub source: String,
    /// Section and key in one, or the place in the file.
    pub place: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.source, self.place, self.message)
    }
}

/// All that is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// At least one error.
    pub errors: Vec<SettingError>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.errors.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// What is done with settings in a file that this release does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownSettings {
    /// They are errors.
    Refused,
    /// They are skipped in the file of a gateway. The platform renders that file,
    /// and may do so for a later release.
    SkippedInGateways,
}

impl Settings {
    /// Reads the settings from a file, if one is named, and lays the overrides
    /// over it.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong.
    pub fn load(file: Option<&Path>, overrides: &[Override]) -> Result<Settings, SettingsError> {
        let (settings, _) = Settings::load_with(file, overrides, UnknownSettings::Refused)?;
        Ok(settings)
    }

    /// Reads the settings as [`Settings::load`] does. Settings in the file that this
    /// release does not know are treated as `unknown` says; those that were skipped
    /// are returned.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong.
    pub fn load_with(
        file: Option<&Path>,
        overrides: &[Override],
        unknown: UnknownSettings,
    ) -> Result<(Settings, Vec<SettingError>), SettingsError> {
        let Some(path) = file else {
            return Settings::parse_with(FLAGS, "", overrides, unknown);
        };
        let name = path.display().to_string();
        match read_file(path) {
            Ok(text) => Settings::parse_with(&name, &text, overrides, unknown),
            Err(message) => Err(SettingsError {
                errors: vec![SettingError {
                    source: name,
                    place: "file".to_owned(),
                    message,
                }],
            }),
        }
    }

    /// Reads the settings from the text of the file `name`.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong.
    pub fn parse(
        name: &str,
        text: &str,
        overrides: &[Override],
    ) -> Result<Settings, SettingsError> {
        let (settings, _) = Settings::parse_with(name, text, overrides, UnknownSettings::Refused)?;
        Ok(settings)
    }

    /// Reads the settings from the text of the file `name`, as
    /// [`Settings::load_with`] does.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong.
    pub fn parse_with(
        name: &str,
        text: &str,
        overrides: &[Override],
        unknown: UnknownSettings,
    ) -> Result<(Settings, Vec<SettingError>), SettingsError> {
        let mut loader = Loader {
            settings: Settings::default(),
            given: HashMap::new(),
            unknown: Vec::new(),
            errors: Vec::new(),
        };
        if loader.read_ini(name, text) {
            loader.read_overrides(overrides);
            loader.complete(name, unknown);
        }
        loader.finish()
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns why it cannot be read.
pub fn read_file(path: &Path) -> Result<String, String> {
    let data = std::fs::metadata(path).map_err(|error| format!("cannot be read: {error}"))?;
    if data.len() > MAX_FILE_BYTES {
        return Err(format!("is longer than {MAX_FILE_BYTES} bytes"));
    }
    std::fs::read_to_string(path).map_err(|error| format!("cannot be read: {error}"))
}

/// A value together with where it comes from.
struct Given {
    source: String,
    value: String,
}

struct Loader {
    settings: Settings,
    given: HashMap<usize, Given>,
    /// Settings in the file that this release does not know.
    unknown: Vec<SettingError>,
    errors: Vec<SettingError>,
}

impl Loader {
    /// Returns whether the text is an INI file at all.
    fn read_ini(&mut self, name: &str, text: &str) -> bool {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = match Ini::load_from_str_opt(text, options) {
            Ok(ini) => ini,
            Err(error) => {
                let place = format!("line {}, column {}", error.line, error.col);
                self.error(name, place, error.msg.to_string());
                return false;
            }
        };
        for (section, properties) in &ini {
            let section = section.unwrap_or_default().trim();
            for (key, value) in properties {
                self.give(name, section, key.trim(), value.trim());
            }
        }
        true
    }

    fn read_overrides(&mut self, overrides: &[Override]) {
        for given in overrides {
            if let Some(index) = index_of(&given.section, &given.key) {
                self.given.remove(&index);
            }
        }
        for given in overrides {
            self.give(FLAGS, &given.section, &given.key, &given.value);
        }
    }

    fn give(&mut self, source: &str, section: &str, key: &str, value: &str) {
        // A line without `=` is read as the start of the next line's key.
        let shown = shorten(&key.replace('\n', " "));
        let place = format!("[{section}] {shown}");
        let Some(index) = index_of(section, key) else {
            let error = SettingError {
                source: source.to_owned(),
                place,
                message: format!("unknown setting{}", hint(section, key)),
            };
            match source {
                FLAGS => self.errors.push(error),
                _ => self.unknown.push(error),
            }
            return;
        };
        if self.given.contains_key(&index) {
            self.error(source, place, "given twice".to_owned());
            return;
        }
        let given = Given {
            source: source.to_owned(),
            value: value.to_owned(),
        };
        self.given.insert(index, given);
    }

    fn complete(&mut self, name: &str, unknown: UnknownSettings) {
        let is_gateway = self.is_gateway();
        if !is_gateway || unknown == UnknownSettings::Refused {
            self.errors.append(&mut self.unknown);
        }
        for (index, setting) in TABLE.iter().enumerate() {
            match self.given.remove(&index) {
                Some(given) => self.apply(setting, &given),
                None if is_gateway && setting.section != INSTANCE_SECTION => {}
                None if setting.default.is_none() => {
                    let message = format!("missing; allowed: {}", setting.allowed);
                    self.error(name, place(setting), message);
                }
                None => {}
            }
        }
        if self.errors.is_empty() {
            self.check_together(name);
        }
    }

    /// Returns whether the settings are those of a gateway, which has no other
    /// listener than its own.
    fn is_gateway(&self) -> bool {
        let given = index_of("gateway", "listen").and_then(|index| self.given.get(&index));
        given.is_some_and(|given| !given.value.is_empty())
    }

    fn finish(self) -> Result<(Settings, Vec<SettingError>), SettingsError> {
        if !self.errors.is_empty() {
            return Err(SettingsError {
                errors: self.errors,
            });
        }
        Ok((self.settings, self.unknown))
    }

    fn apply(&mut self, setting: &Setting, given: &Given) {
        let read = (setting.read)(&mut self.settings, setting.allowed, &given.value);
        let Err(reason) = read else {
            return;
        };
        let value = shorten(&given.value);
        let allowed = setting.allowed;
        let message = format!("`{value}`: {reason}; allowed: {allowed}");
        self.error(&given.source, place(setting), message);
    }

    /// Checks what holds between several settings.
    fn check_together(&mut self, name: &str) {
        if self.settings.is_gateway() && self.settings.gateway_store.is_empty() {
            let message = "missing; a gateway needs the address of the platform's store";
            self.error(name, "[gateway] store".to_owned(), message.to_owned());
        }
        let listeners = [
            ("[callers] listen", self.settings.callers_listen.clone()),
            ("[admin] listen", self.settings.admin_listen.clone()),
            ("[peer] listen", self.settings.peer_listen.clone()),
        ];
        for (i, (place, addr)) in listeners.iter().enumerate() {
            let taken = listeners[..i].iter().find(|(_, other)| other == addr);
            if let Some((other, _)) = taken.filter(|_| !addr.ends_with(":0")) {
                let message = format!("`{addr}`: {other} has the same address");
                self.error(name, (*place).to_owned(), message);
            }
        }
    }

    fn error(&mut self, source: &str, place: String, message: String) {
        self.errors.push(SettingError {
            source: source.to_owned(),
            place,
            message,
        });
    }
}

impl Settings {
    /// Returns whether the process forwards HTTP requests unchanged.
    #[must_use]
    pub fn is_gateway(&self) -> bool {
        !self.gateway_listen.is_empty()
    }

    /// Returns the address that other instances are told.
    #[must_use]
    pub fn advertised_peer_addr(&self) -> &str {
        if self.peer_advertise.is_empty() {
            return &self.peer_listen;
        }
        &self.peer_advertise
    }
}

/// Returns the section and key of a setting in one.
pub(crate) fn place(setting: &Setting) -> String {
    format!("[{}] {}", setting.section, setting.key)
}

fn index_of(section: &str, key: &str) -> Option<usize> {
    TABLE
        .iter()
        .position(|setting| setting.section == section && setting.key == key)
}

/// Returns `; did you mean …?` if a setting of a similar name exists.
fn hint(section: &str, key: &str) -> String {
    let near = TABLE
        .iter()
        .map(|setting| (distance(setting, section, key), setting))
        .min_by_key(|(distance, _)| *distance);
    match near {
        Some((edits, setting)) if edits <= NEAR_MISS_EDITS => {
            format!("; did you mean {}?", place(setting))
        }
        _ => String::new(),
    }
}

/// Returns how far a name lies from a setting's; a wrong section alone counts
/// as one edit.
fn distance(setting: &Setting, section: &str, key: &str) -> usize {
    let sections = usize::from(setting.section != section);
    if key.len() > setting.key.len() + NEAR_MISS_EDITS {
        return usize::MAX;
    }
    strsim::levenshtein(setting.key, key) + sections
}

/// Longest part of a value that an error shows, in characters.
const MAX_SHOWN: usize = 80;

fn shorten(value: &str) -> String {
    let mut shown: String = value.chars().take(MAX_SHOWN).collect();
    if shown.len() < value.len() {
        shown.push('…');
    }
    shown
}
