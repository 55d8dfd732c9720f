//! Reads and checks the certificates and keys of a daemon.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use marigold_auth::{AuthError, MeshKey};
use marigold_settings::TlsSettings;
use marigold_types::Address;

use crate::peer::PeerTls;

/// A key or certificate file could not be read; the error never contains file content.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("read {path}: {reason}")]
pub struct SecretsError {
    /// The path from the settings.
    pub path: PathBuf,
    /// The error text of the operating system.
    pub reason: Arc<str>,
}

/// The contents of the files in the section `[tls]`; has no `Debug`, so that no key can be logged.
#[derive(Clone)]
pub struct Secrets {
    /// The certificate of the mesh's certificate authority, in PEM.
    pub authority: Arc<str>,
    /// The daemon's certificate, in PEM.
    pub certificate: Arc<str>,
    /// The daemon's private key, in PEM.
    pub key: Arc<str>,
    /// The secret shared by all daemons, in hexadecimal.
    pub mesh_key: Arc<str>,
}

impl Secrets {
    /// Reads the files named in `settings`.
    ///
    /// # Errors
    ///
    /// When a file cannot be read or is not UTF-8.
    pub fn read(settings: &TlsSettings) -> Result<Self, SecretsError> {
        Ok(Self {
            authority: read(&settings.authority)?,
            certificate: read(&settings.certificate)?,
            key: read(&settings.key)?,
            mesh_key: read(&settings.mesh_key)?,
        })
    }

    /// Checks that the files contain valid keys and a certificate for the daemon at `address`.
    ///
    /// # Errors
    ///
    /// When a file is malformed, the certificate belongs to another mesh or daemon, or the key does
    /// not match the certificate.
    pub fn check(&self, address: Address) -> Result<(), AuthError> {
        MeshKey::from_file_text(&self.mesh_key)?;
        self.to_tls()?.check(address)
    }

    /// Parses the certificates and the private key.
    ///
    /// # Errors
    ///
    /// When a file is not valid PEM.
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
