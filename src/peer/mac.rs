//! Authentication of frames by HMAC-SHA256 with a secret that all instances share.

use std::fmt;
use std::io;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// The HMAC-SHA256 key derived from the secret that all instances share.
#[derive(Clone)]
pub struct FrameKey {
    mac: Hmac<Sha256>,
}

impl FrameKey {
    /// Returns the key for a secret.
    ///
    /// # Errors
    ///
    /// Returns an error if the secret is empty.
    pub fn new(secret: &[u8]) -> io::Result<FrameKey> {
        if secret.is_empty() {
            let text = "the shared secret of the instances is empty";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
        }
        let mac = Hmac::new_from_slice(secret).map_err(io::Error::other)?;
        Ok(FrameKey { mac })
    }

    /// Returns the message authentication code of `body` in base64.
    #[must_use]
    pub fn sign(&self, body: &[u8]) -> String {
        let code = self.mac.clone().chain_update(body).finalize();
        STANDARD.encode(code.into_bytes())
    }

    /// Returns whether `code` is the message authentication code of `body`; the
    /// comparison takes constant time.
    #[must_use]
    pub fn verify(&self, body: &[u8], code: &[u8]) -> bool {
        let Ok(code) = STANDARD.decode(code) else {
            return false;
        };
        let mac = self.mac.clone().chain_update(body);
        mac.verify_slice(&code).is_ok()
    }
}

impl fmt::Debug for FrameKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrameKey").finish_non_exhaustive()
    }
}
