//! Secrets, which never show in logs or debug output.

use std::fmt;
use std::path::Path;

/// Least length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;
/// Greatest length of a secret, in bytes.
const MAX_SECRET_BYTES: usize = 4096;

/// A secret text.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Returns a secret of this text.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }

    /// Reads the secret in the first line of a file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the file; never its content.
    pub fn read(path: &Path) -> Result<Secret, String> {
        let bytes = std::fs::read(path).map_err(|error| format!("cannot read it: {error}"))?;
        if bytes.len() > MAX_SECRET_BYTES {
            return Err(format!("it is longer than {MAX_SECRET_BYTES} bytes"));
        }
        let text = String::from_utf8(bytes).map_err(|_| "it is not UTF-8".to_owned())?;
        let secret = text.lines().next().unwrap_or_default().trim();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(format!(
                "its first line is shorter than {MIN_SECRET_BYTES} bytes"
            ));
        }
        Ok(Secret::new(secret))
    }

    /// Returns the text itself.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether no secret is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
