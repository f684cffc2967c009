//! Certificates for development and tests, generated when the process starts.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
};

use super::tls::{Identity, TlsError};

/// A certificate authority that exists in memory only.
///
/// It must not be used in production, because each process that creates one gets a root of its own.
#[derive(Debug)]
pub struct DevAuthority {
    issuer: Issuer<'static, KeyPair>,
    /// The root certificate in PEM.
    root: String,
}

impl DevAuthority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    /// Returns an error if the key or the certificate cannot be generated.
    pub fn new() -> Result<Self, TlsError> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params
            .distinguished_name
            .push(DnType::CommonName, "primrosebay development");
        let key = KeyPair::generate()?;
        let root = params.self_signed(&key)?.pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            root,
        })
    }

    /// Returns a certificate for `name`, its key and the root certificate, in PEM.
    ///
    /// # Errors
    /// Returns an error if `name` is not a DNS name or the key or the certificate cannot be
    /// generated.
    pub fn issue_pem(&self, name: &str) -> Result<[String; 3], TlsError> {
        let mut params = CertificateParams::new(vec![name.to_owned()])?;
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok([certificate.pem(), key.serialize_pem(), self.root.clone()])
    }

    /// Returns an identity with a certificate for `name`.
    ///
    /// # Errors
    /// Returns an error if `name` is not a DNS name or the key or the certificate cannot be
    /// generated.
    pub fn issue(&self, name: &str) -> Result<Identity, TlsError> {
        let [certificate, key, root] = self.issue_pem(name)?;
        Identity::from_pem(certificate.as_bytes(), key.as_bytes(), root.as_bytes())
    }
}
