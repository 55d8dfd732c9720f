//! The certificate authority of a mesh.

use marigold_types::Address;
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};

use crate::{AuthError, daemon_name};

/// A certificate and its private key, both PEM.
pub struct Credentials {
    /// The certificate.
    pub certificate: String,
    /// The private key, which must be kept secret.
    pub key: String,
}

/// Issues the certificates with which daemons authenticate one another.
pub struct Authority {
    certificate: String,
    key: KeyPair,
}

impl Authority {
    /// Generates a new authority with a self-signed certificate.
    ///
    /// # Errors
    ///
    /// If the system's random number generator fails.
    pub fn generate() -> Result<Self, AuthError> {
        const STEP: &str = "generate certificate authority";
        let key = KeyPair::generate().map_err(|error| AuthError::new(STEP, &error))?;
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "marigoldproxy mesh authority");
        let certificate = params
            .self_signed(&key)
            .map_err(|error| AuthError::new(STEP, &error))?
            .pem();
        Ok(Self { certificate, key })
    }

    /// Restores an authority from the PEM encodings of its certificate and private key.
    ///
    /// # Errors
    ///
    /// If the key is not valid PEM. The error does not contain the key.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, AuthError> {
        let key = KeyPair::from_pem(key)
            .map_err(|_| AuthError::new("read authority key", &"not a PEM key"))?;
        Ok(Self {
            certificate: certificate.to_owned(),
            key,
        })
    }

    /// Returns the authority's own certificate and private key.
    #[must_use]
    pub fn to_credentials(&self) -> Credentials {
        Credentials {
            certificate: self.certificate.clone(),
            key: self.key.serialize_pem(),
        }
    }

    /// Issues the certificate of the daemon at `address`.
    ///
    /// # Errors
    ///
    /// If the authority's certificate is malformed or the system's random number generator fails.
    pub fn issue(&self, address: Address) -> Result<Credentials, AuthError> {
        const STEP: &str = "issue daemon certificate";
        let to_auth_error = |error: rcgen::Error| AuthError::new(STEP, &error);
        let issuer =
            Issuer::from_ca_cert_pem(&self.certificate, &self.key).map_err(to_auth_error)?;
        let key = KeyPair::generate().map_err(to_auth_error)?;
        let mut params =
            CertificateParams::new(vec![daemon_name(address)]).map_err(to_auth_error)?;
        params
            .distinguished_name
            .push(DnType::CommonName, address.to_string());
        let certificate = params.signed_by(&key, &issuer).map_err(to_auth_error)?;
        Ok(Credentials {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn restored_authority_issues_certificates() {
        let generated = Authority::generate().unwrap().to_credentials();
        let restored = Authority::from_pem(&generated.certificate, &generated.key).unwrap();
        let issued = restored.issue("127.0.0.1:7001".parse().unwrap()).unwrap();
        assert!(issued.certificate.contains("BEGIN CERTIFICATE"));
    }
}
