//! The mesh's own certificate authority.

use marigold_types::Address;
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};

use crate::{AuthError, daemon_name};

/// A certificate with its secret key, both as PEM.
pub struct Credentials {
    /// The certificate, which is public.
    pub certificate: String,
    /// The key, which is secret.
    pub key: String,
}

/// Issues the certificates by which daemons know one another.
pub struct Authority {
    certificate: String,
    key: KeyPair,
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    ///
    /// When the system gives no randomness.
    pub fn generate() -> Result<Self, AuthError> {
        const STEP: &str = "make certificate authority";
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

    /// Reads an authority from its PEM texts.
    ///
    /// # Errors
    ///
    /// When a text is not PEM; the key is not repeated.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, AuthError> {
        let key = KeyPair::from_pem(key)
            .map_err(|_| AuthError::new("read authority key", &"not a PEM key"))?;
        Ok(Self {
            certificate: certificate.to_owned(),
            key,
        })
    }

    /// Returns the authority's own certificate and key.
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
    /// When the authority's certificate is malformed or the system gives no randomness.
    pub fn issue(&self, address: Address) -> Result<Credentials, AuthError> {
        const STEP: &str = "issue daemon certificate";
        let wrap = |error: rcgen::Error| AuthError::new(STEP, &error);
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, &self.key).map_err(wrap)?;
        let key = KeyPair::generate().map_err(wrap)?;
        let mut params = CertificateParams::new(vec![daemon_name(address)]).map_err(wrap)?;
        params
            .distinguished_name
            .push(DnType::CommonName, address.to_string());
        let certificate = params.signed_by(&key, &issuer).map_err(wrap)?;
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
    fn issues_after_reload() {
        let made = Authority::generate().unwrap().to_credentials();
        let again = Authority::from_pem(&made.certificate, &made.key).unwrap();
        let issued = again.issue("127.0.0.1:7001".parse().unwrap()).unwrap();
        assert!(issued.certificate.contains("BEGIN CERTIFICATE"));
    }
}
