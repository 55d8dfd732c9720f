//! The certificates and keys of a daemon.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use marigold_auth::{AuthError, MeshKey};
use marigold_settings::TlsSettings;
use marigold_types::Address;

use crate::peer::PeerTls;

/// A file of keys or certificates that could not be read; its content is never repeated.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("read {path}: {reason}")]
pub struct SecretsError {
    /// The file.
    pub path: PathBuf,
    /// Why it could not be read.
    pub reason: Arc<str>,
}

/// The texts of the files that `[tls]` names; it has no `Debug`, so that no key reaches a log.
#[derive(Clone)]
pub struct Secrets {
    /// The certificate of the mesh's authority, PEM.
    pub authority: Arc<str>,
    /// The daemon's certificate, PEM.
    pub certificate: Arc<str>,
    /// The daemon's key, PEM.
    pub key: Arc<str>,
    /// The secret that all daemons share, hexadecimal.
    pub mesh_key: Arc<str>,
}

impl Secrets {
    /// Reads the files that `settings` name.
    ///
    /// # Errors
    ///
    /// When a file is missing or not text.
    pub fn read(settings: &TlsSettings) -> Result<Self, SecretsError> {
        Ok(Self {
            authority: read(&settings.authority)?,
            certificate: read(&settings.certificate)?,
            key: read(&settings.key)?,
            mesh_key: read(&settings.mesh_key)?,
        })
    }

    /// Checks that the texts hold the keys and the certificate of the daemon at `address`.
    ///
    /// # Errors
    ///
    /// When a text is malformed, the certificate is of another mesh or daemon, or the key is not
    /// the certificate's.
    pub fn check(&self, address: Address) -> Result<(), AuthError> {
        MeshKey::from_file_text(&self.mesh_key)?;
        self.to_tls()?.check(address)
    }

    /// Reads the certificates and the key.
    ///
    /// # Errors
    ///
    /// When a text holds no PEM.
    pub fn to_tls(&self) -> Result<PeerTls, AuthError> {
        PeerTls::from_pem(&self.authority, &self.certificate, &self.key)
    }
}

fn read(path: &Path) -> Result<Arc<str>, SecretsError> {
    std::fs::read_to_string(path)
        .map(Arc::from)
        .map_err(|error| SecretsError {
            path: path.to_owned(),
            reason: Arc::from(error.to_string()),
        })
}
