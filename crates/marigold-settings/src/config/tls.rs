//! Section `[tls]`.

use std::path::PathBuf;

use crate::reader::Reader;

/// The files that hold the daemon's certificate and keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TlsSettings {
    /// The certificate of the mesh's own authority, PEM.
    pub authority: PathBuf,
    /// The daemon's certificate, PEM.
    pub certificate: PathBuf,
    /// The daemon's key, PEM.
    pub key: PathBuf,
    /// The secret that all daemons share, hexadecimal.
    pub mesh_key: PathBuf,
}

impl TlsSettings {
    pub(crate) fn read(mut reader: Reader<'_>) -> Self {
        let base = Self::default();
        let file = "the path of a file";
        let settings = Self {
            authority: reader.required(
                "authority",
                base.authority,
                file,
                "the certificate of the mesh's authority (PEM)",
            ),
            certificate: reader.required(
                "certificate",
                base.certificate,
                file,
                "the daemon's certificate (PEM)",
            ),
            key: reader.required("key", base.key, file, "the daemon's key (PEM)"),
            mesh_key: reader.required(
                "mesh_key",
                base.mesh_key,
                file,
                "the secret that all daemons share",
            ),
        };
        reader.finish();
        settings
    }
}
