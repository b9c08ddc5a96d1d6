//! Mutual TLS between the processes of a fleet, with the fleet's own CA.

use std::sync::Arc;

use anyhow::Context;
use rustls::{
    CertificateError, ClientConfig, DigitallySignedStruct, Error, RootCertStore, ServerConfig,
    SignatureScheme,
    client::{
        WebPkiServerVerifier,
        danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
    },
    crypto::{CryptoProvider, ring},
    server::WebPkiClientVerifier,
    version::TLS13,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime, pem::PemObject};
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};

use crate::config::FleetPem;

/// Server name sent in the handshake. It is not verified: any certificate signed by the fleet's CA is accepted.
const SERVER_NAME: &str = "fleet.camphorwinch";

/// TLS configuration for links to other processes.
#[derive(Clone)]
pub(crate) struct Tls {
    /// Configuration for inbound links.
    pub(crate) server: Arc<ServerConfig>,
    /// Configuration for outbound links.
    pub(crate) client: Arc<ClientConfig>,
}

impl Tls {
    /// Builds the configuration from PEM text.
    pub(crate) fn new(pem: &FleetPem) -> anyhow::Result<Tls> {
        let provider = Arc::new(ring::default_provider());
        let roots = roots(&pem.ca).context("read --fleet-ca")?;
        let chain = certificates(&pem.cert).context("read --fleet-cert")?;
        let key = PrivateKeyDer::from_pem_slice(pem.key.as_bytes()).context("read --fleet-key")?;
        let server = server_config(&provider, &roots, chain.clone(), key.clone_key())?;
        let client = client_config(&provider, &roots, chain, key)?;
        Ok(Tls { server: Arc::new(server), client: Arc::new(client) })
    }

    /// Performs the server side of the handshake.
    pub(crate) async fn accept(&self, stream: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        let acceptor = TlsAcceptor::from(Arc::clone(&self.server));
        Ok(TlsStream::Server(acceptor.accept(stream).await?))
    }

    /// Performs the client side of the handshake.
    pub(crate) async fn connect(&self, stream: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        let connector = TlsConnector::from(Arc::clone(&self.client));
        let name = ServerName::try_from(SERVER_NAME).expect("the name is a valid constant");
        Ok(TlsStream::Client(connector.connect(name, stream).await?))
    }
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> anyhow::Result<ServerConfig> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .context("verify clients with --fleet-ca")?;
    ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .context("use --fleet-cert with --fleet-key")
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> anyhow::Result<ClientConfig> {
    let inner = WebPkiServerVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .context("verify servers with --fleet-ca")?;
    ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(FleetVerifier { inner }))
        .with_client_auth_cert(chain, key)
        .context("use --fleet-cert with --fleet-key")
}

fn roots(pem: &str) -> anyhow::Result<Arc<RootCertStore>> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(pem)? {
        roots.add(certificate)?;
    }
    Ok(Arc::new(roots))
}

fn certificates(pem: &str) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    let mut chain = Vec::new();
    for certificate in CertificateDer::pem_slice_iter(pem.as_bytes()) {
        chain.push(certificate?);
    }
    Ok(chain)
}

/// Verifies that a server certificate is signed by the fleet's CA, and ignores its name.
#[derive(Debug)]
struct FleetVerifier {
    inner: Arc<WebPkiServerVerifier>,
}

impl ServerCertVerifier for FleetVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        name: &ServerName<'_>,
        ocsp: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        match self.inner.verify_server_cert(end_entity, intermediates, name, ocsp, now) {
            // The name is checked last, after the chain and the validity period.
            Err(Error::InvalidCertificate(
                CertificateError::NotValidForName | CertificateError::NotValidForNameContext { .. },
            )) => Ok(ServerCertVerified::assertion()),
            other => other,
        }
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner.verify_tls12_signature(message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner.verify_tls13_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.inner.supported_verify_schemes()
    }
}
