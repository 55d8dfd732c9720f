//! Section `[tls]`.

use std::path::PathBuf;

use crate::reader::Reader;

/// Paths of the files with the daemon's certificate and keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificate of the mesh's certificate authority, PEM.
    pub authority: PathBuf,
    /// Certificate of the daemon, PEM.
    pub certificate: PathBuf,
    /// Private key of the daemon, PEM.
    pub key: PathBuf,
    /// Secret shared by all daemons, hexadecimal.
    pub mesh_key: PathBuf,
}

impl TlsSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let defaults = Self::default();
        let allowed_path = "a file path";
        let settings = Self {
            authority: reader.required(
                "authority",
                defaults.authority,
                allowed_path,
                "certificate of the mesh's certificate authority (PEM)",
            ),
            certificate: reader.required(
                "certificate",
                defaults.certificate,
                allowed_path,
                "certificate of the daemon (PEM)",
            ),
            key: reader.required(
                "key",
                defaults.key,
                allowed_path,
                "private key of the daemon (PEM)",
            ),
            mesh_key: reader.required(
                "mesh_key",
                defaults.mesh_key,
                allowed_path,
                "secret shared by all daemons (hexadecimal)",
            ),
        };
        reader.finish();
        settings
    }
}
