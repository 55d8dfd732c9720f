//! TLS configuration of the connections between daemons.

use std::any::Any;
use std::sync::Arc;

use marigold_auth::{AuthError, daemon_name};
use marigold_types::Address;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig};
use ring::digest::{SHA256, digest};
use rustls::RootCertStore;
use rustls::client::danger::ServerCertVerifier;
use rustls::client::{WebPkiServerVerifier, verify_server_name};
use rustls::crypto::CryptoProvider;
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::version::TLS13;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};

use super::{LinkKind, transport};

/// TLS session tickets per connection; resumption saves sending the certificates.
const SESSION_TICKETS: usize = 1;
const STEP: &str = "read daemon certificate";

/// The credentials of a daemon for both sides of TLS. It has no `Debug` form, since it holds the
/// private key.
pub struct PeerTls {
    authority: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl PeerTls {
    /// Parses PEM texts: the certificate of the mesh's authority, and the daemon's certificate and
    /// key.
    ///
    /// # Errors
    ///
    /// If a text is not valid PEM. The error never contains the key.
    pub fn from_pem(authority: &str, certificate: &str, key: &str) -> Result<Self, AuthError> {
        let mut roots = RootCertStore::empty();
        for certificate in certificates(authority, "authority")? {
            roots
                .add(certificate)
                .map_err(|error| fault(&format!("authority: {error}")))?;
        }
        let key =
            PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(|_| fault("key: no PEM key"))?;
        Ok(Self {
            authority: Arc::new(roots),
            chain: certificates(certificate, "certificate")?,
            key,
        })
    }

    /// Checks that the credentials belong to the daemon at `address` and to this mesh.
    ///
    /// # Errors
    ///
    /// If the key does not match the certificate, another authority issued the certificate, or it
    /// was issued for another daemon.
    pub fn check(&self, address: Address) -> Result<(), AuthError> {
        self.server()?;
        let verifier =
            WebPkiServerVerifier::builder_with_provider(self.authority.clone(), provider())
                .build()
                .map_err(|error| fault(&error.to_string()))?;
        let name = daemon_name(address);
        let server =
            ServerName::try_from(name.clone()).map_err(|error| fault(&error.to_string()))?;
        let (first, rest) = self
            .chain
            .split_first()
            .ok_or_else(|| fault("certificate: none"))?;
        verifier
            .verify_server_cert(first, rest, &server, &[], UnixTime::now())
            .map_err(|error| fault(&format!("certificate for {name}: {error}")))?;
        Ok(())
    }

    /// Returns the configuration for accepting connections.
    ///
    /// # Errors
    ///
    /// If the key does not match the certificate.
    pub fn server(&self) -> Result<ServerConfig, AuthError> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.authority.clone(), provider())
                .build()
                .map_err(|error| fault(&error.to_string()))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(|error| fault(&error.to_string()))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| fault(&error.to_string()))?;
        tls.alpn_protocols = LinkKind::ALL.map(|kind| kind.protocol().to_vec()).to_vec();
        tls.send_tls13_tickets = SESSION_TICKETS;
        let quic = QuicServerConfig::try_from(tls).map_err(|error| fault(&error.to_string()))?;
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(transport::accepting());
        config.migration(false);
        Ok(config)
    }

    /// Returns the configuration for opening connections of `kind`.
    ///
    /// # Errors
    ///
    /// If the key does not match the certificate.
    pub fn client(&self, kind: LinkKind) -> Result<ClientConfig, AuthError> {
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(|error| fault(&error.to_string()))?
            .with_root_certificates(self.authority.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| fault(&error.to_string()))?;
        tls.alpn_protocols = vec![kind.protocol().to_vec()];
        let quic = QuicClientConfig::try_from(tls).map_err(|error| fault(&error.to_string()))?;
        let mut config = ClientConfig::new(Arc::new(quic));
        config.transport_config(transport::dialling(kind));
        Ok(config)
    }

    /// Returns the key of stateless resets.
    ///
    /// It is derived from the private key and thus the same after a restart, so that a peer learns
    /// at once that a connection to the previous instance is gone.
    #[must_use]
    pub fn reset_key(&self) -> ring::hmac::Key {
        let seed = digest(&SHA256, self.key.secret_der());
        ring::hmac::Key::new(ring::hmac::HMAC_SHA256, seed.as_ref())
    }
}

/// Returns whether the peer certificate of a connection belongs to the daemon at `address`.
pub(super) fn is_identity(identity: Option<Box<dyn Any>>, address: Address) -> bool {
    let Some(chain) = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok())
    else {
        return false;
    };
    let Ok(name) = ServerName::try_from(daemon_name(address)) else {
        return false;
    };
    chain
        .first()
        .and_then(|first| ParsedCertificate::try_from(first).ok())
        .is_some_and(|parsed| verify_server_name(&parsed, &name).is_ok())
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn certificates(pem: &str, which: &str) -> Result<Vec<CertificateDer<'static>>, AuthError> {
    let list: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    match list {
        Ok(list) if !list.is_empty() => Ok(list),
        Ok(_) => Err(fault(&format!("{which}: no PEM certificate"))),
        Err(error) => Err(fault(&format!("{which}: {error}"))),
    }
}

fn fault(reason: &str) -> AuthError {
    AuthError {
        step: STEP,
        reason: Arc::from(reason),
    }
}
