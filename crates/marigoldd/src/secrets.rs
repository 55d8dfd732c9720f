//! The certificates and keys of a daemon.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use marigold_settings::TlsSettings;

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
}

fn read(path: &Path) -> Result<Arc<str>, SecretsError> {
    std::fs::read_to_string(path)
        .map(Arc::from)
        .map_err(|error| SecretsError {
            path: path.to_owned(),
            reason: Arc::from(error.to_string()),
        })
}
