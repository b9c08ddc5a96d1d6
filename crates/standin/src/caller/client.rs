//! QUIC and TLS settings of callers, and their endpoints.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, ensure};
use quinn::{
    ClientConfig, Endpoint, IdleTimeout, TransportConfig, VarInt, crypto::rustls::QuicClientConfig,
};
use rustls::RootCertStore;
use rustls_pki_types::{CertificateDer, pem::PemObject};

const IDLE_TIMEOUT_MS: u32 = 20_000;
/// Lets a caller that only waits for a response detect the loss of its agent.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
const ALPN: &[u8] = b"h3";

/// Client settings that trust the certificates in `pem`; fails if there are none.
pub fn config(pem: &str) -> anyhow::Result<ClientConfig> {
    let mut roots = RootCertStore::empty();
    for cert in CertificateDer::pem_slice_iter(pem.as_bytes()) {
        let cert = cert.context("read the trusted certificates")?;
        roots.add(cert).context("add a trusted certificate")?;
    }
    ensure!(!roots.is_empty(), "read the trusted certificates: none found");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context("set the TLS version")?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).context("set up TLS for QUIC")?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS));
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.initial_rtt(Duration::from_millis(100));
    transport
}

/// Binds `count` endpoints to free ports, spread over the addresses.
pub fn endpoints(hosts: &[IpAddr], count: usize) -> anyhow::Result<Vec<Endpoint>> {
    ensure!(!hosts.is_empty(), "bind the callers: no address to send from");
    let mut endpoints = Vec::with_capacity(count);
    for i in 0..count {
        let address = SocketAddr::new(hosts[i % hosts.len()], 0);
        let endpoint =
            Endpoint::client(address).with_context(|| format!("bind a caller to {address}"))?;
        endpoints.push(endpoint);
    }
    Ok(endpoints)
}
