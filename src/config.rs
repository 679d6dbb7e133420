//! Settings of the daemon.
//!
//! They come from an INI file, over which flags are laid. All settings stand in
//! one table ([`TABLE`]) with section, key, unit, default, allowed values and a
//! help text; the example file and docs/CONFIGURATION.md are checked against
//! it. A setting that is unknown, given twice or out of its bounds is an error
//! that names the file, section, key and value and says what is allowed; all
//! errors are reported at once.
//!
//! Secrets are read from the files that settings name, never from flags.

mod allowed;
mod load;
mod secret;
mod table;

pub use allowed::Allowed;
pub use allowed::LogFormat;
pub use load::Override;
pub use load::SettingError;
pub use load::SettingsError;
pub use load::UnknownSettings;
pub(crate) use load::place;
pub use load::read_file;
pub use secret::Secret;
pub use table::Setting;
pub use table::Settings;
pub use table::TABLE;

#[cfg(test)]
mod tests;
