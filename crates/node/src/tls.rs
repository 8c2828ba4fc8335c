//! TLS configuration of the listeners and of connections to upstreams, from PEM text instead of files, because VMs have
//! no disks.

use crate::prelude::*;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::{CryptoProvider, ring},
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _};

/// TLS configurations of a node.
#[derive(Clone, Debug, Default)]
pub struct TlsConfigs {
    /// For the callers' and administrators' listeners; without it, they use plain TCP.
    pub listeners: Option<Arc<ServerConfig>>,
    /// For upstreams with `tls = true`; without it, no connection to them is opened.
    pub upstreams: Option<Arc<ClientConfig>>,
}

/// Why PEM text can't be used. Error messages never contain the text.
#[derive(Debug)]
#[derive(Snafu)]
pub enum TlsError {
    /// The text contains no certificate or an invalid one.
    #[snafu(display("the text contains no valid certificate; pass PEM with BEGIN CERTIFICATE"))]
    Certificate,
    /// The text contains no private key or an invalid one.
    #[snafu(display("the text contains no valid private key; pass PEM with BEGIN PRIVATE KEY"))]
    Key,
    /// The key belongs to another certificate or is of an unsupported kind.
    #[snafu(display(
        "certificate and key can't be used together; pass the key of this certificate"
    ))]
    Mismatch,
}

/// TLS configuration of a listener that presents this certificate chain.
///
/// # Errors
///
/// If a text contains no certificate or key, or the key belongs to another certificate.
pub fn server_config(certificate: &str, key: &str) -> Result<Arc<ServerConfig>, TlsError> {
    let chain = certificates(certificate)?;
    let key = PrivateKeyDer::from_pem_slice(key.as_bytes())
        .ok()
        .context(KeySnafu)?;
    let config = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .ok()
        .and_then(|builder| {
            builder
                .with_no_client_auth()
                .with_single_cert(chain, key)
                .ok()
        })
        .context(MismatchSnafu)?;
    Ok(Arc::new(config))
}

/// TLS configuration of a client that trusts these root certificates and no others.
///
/// # Errors
///
/// If the text contains no valid certificate.
pub fn client_config(roots: &str) -> Result<Arc<ClientConfig>, TlsError> {
    let mut store = RootCertStore::empty();
    for root in certificates(roots)? {
        store.add(root).ok().context(CertificateSnafu)?;
    }
    let config = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .ok()
        .context(CertificateSnafu)?
        .with_root_certificates(store)
        .with_no_client_auth();
    Ok(Arc::new(config))
}

fn certificates(text: &str) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    CertificateDer::pem_slice_iter(text.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .ok()
        .filter(|chain| !chain.is_empty())
        .context(CertificateSnafu)
}

/// Passed explicitly, so that the process needs no default provider.
fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}
