//! Certificates and TLS configuration of the links.

use std::path::PathBuf;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};

/// The ALPN protocol of the links. It prevents a connection to another QUIC service on the network.
const ALPN: &[u8] = b"primrosebay-peer";

/// Why a certificate, key or root cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("the file {0} cannot be read: {1}")]
    Read(PathBuf, std::io::Error),
    /// The data is not valid PEM.
    #[error("the {0} is not valid PEM")]
    Pem(&'static str),
    /// The PEM data has no item of the expected kind.
    #[error("the PEM data has no {0}")]
    Missing(&'static str),
    /// The certificate, key or roots are not valid or do not match.
    #[error("the certificate, key or root cannot be used: {0}")]
    Unusable(String),
    /// A development certificate cannot be generated.
    #[error("the development certificate cannot be generated: {0}")]
    Generate(#[from] rcgen::Error),
}

/// The PEM files of an identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdentityFiles {
    /// The certificate of this instance, followed by the intermediate certificates.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// The root certificates that peers' certificates must chain up to.
    pub roots: PathBuf,
}

/// A certificate with its key, and the root certificates that verify peers.
#[derive(Debug, PartialEq, Eq)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Vec<CertificateDer<'static>>,
}

impl Clone for Identity {
    fn clone(&self) -> Self {
        Self {
            chain: self.chain.clone(),
            key: self.key.clone_key(),
            roots: self.roots.clone(),
        }
    }
}

impl Identity {
    /// Reads an identity from files.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or its contents cannot be used.
    pub fn load(files: &IdentityFiles) -> Result<Self, TlsError> {
        let read = |path: &PathBuf| {
            std::fs::read(path).map_err(|error| TlsError::Read(path.clone(), error))
        };
        Self::from_pem(
            &read(&files.certificate)?,
            &read(&files.key)?,
            &read(&files.roots)?,
        )
    }

    /// Decodes an identity from PEM.
    ///
    /// # Errors
    /// Returns an error if the data is not PEM or lacks an item, or if the key does not belong to
    /// the certificate.
    pub fn from_pem(certificate: &[u8], key: &[u8], roots: &[u8]) -> Result<Self, TlsError> {
        let identity = Self {
            chain: parse_certificates(certificate, "certificate")?,
            key: rustls_pemfile::private_key(&mut &*key)
                .map_err(|_| TlsError::Pem("key"))?
                .ok_or(TlsError::Missing("key"))?,
            roots: parse_certificates(roots, "root")?,
        };
        // Building the configuration checks that the key belongs to the certificate. This rejects
        // files that are being replaced one after the other.
        identity.server_crypto()?;
        Ok(identity)
    }

    /// Returns whether both identities trust the same roots.
    #[must_use]
    pub fn same_roots(&self, other: &Self) -> bool {
        self.roots == other.roots
    }

    /// Returns the TLS configuration for accepting connections.
    pub(super) fn server_crypto(&self) -> Result<QuicServerConfig, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.root_store()?, provider.clone())
                .build()
                .map_err(unusable)?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        QuicServerConfig::try_from(config).map_err(unusable)
    }

    /// Returns the TLS configuration for opening connections with this identity.
    ///
    /// # Errors
    /// Returns an error if the certificate, key or roots cannot be used.
    pub fn client_crypto(&self) -> Result<QuicClientConfig, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?
            .with_root_certificates(self.root_store()?)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        QuicClientConfig::try_from(config).map_err(unusable)
    }

    fn root_store(&self) -> Result<Arc<RootCertStore>, TlsError> {
        let mut store = RootCertStore::empty();
        for root in &self.roots {
            store.add(root.clone()).map_err(unusable)?;
        }
        Ok(Arc::new(store))
    }
}

/// Returns whether the certificate of the connection's peer is valid for `name`.
pub(super) fn is_valid_for(connection: &quinn::Connection, name: &str) -> bool {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let Some(leaf) = chain.as_ref().and_then(|chain| chain.first()) else {
        return false;
    };
    let (Ok(certificate), Ok(name)) = (
        ParsedCertificate::try_from(leaf),
        ServerName::try_from(name),
    ) else {
        return false;
    };
    rustls::client::verify_server_name(&certificate, &name).is_ok()
}

/// Decodes the certificates of PEM data; `kind` names them in errors.
fn parse_certificates(
    pem: &[u8],
    kind: &'static str,
) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let parsed: Result<Vec<_>, _> = rustls_pemfile::certs(&mut &*pem).collect();
    let parsed = parsed.map_err(|_| TlsError::Pem(kind))?;
    if parsed.is_empty() {
        return Err(TlsError::Missing(kind));
    }
    Ok(parsed)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the function is passed to map_err"
)]
fn unusable(error: impl ToString) -> TlsError {
    TlsError::Unusable(error.to_string())
}
