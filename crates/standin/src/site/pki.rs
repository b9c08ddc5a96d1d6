//! Certificates for a run: a CA, and leaves for the system's processes and for services.

use std::net::IpAddr;

use anyhow::Context;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

/// A CA that signs for the length of a run.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

/// A certificate with its key, as PEM text.
#[derive(Clone)]
pub struct Leaf {
    /// Chain.
    pub chain: String,
    /// Private key.
    pub key: String,
}

impl Authority {
    /// A new CA.
    pub fn new(name: &str) -> anyhow::Result<Authority> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().context("make the key of a CA")?;
        let pem = params.self_signed(&key).context("sign a CA")?.pem();
        Ok(Authority { issuer: Issuer::new(params, key), pem })
    }

    /// The CA's certificate as PEM text.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// A leaf for a process: it serves and connects under this name and these addresses.
    pub fn leaf(&self, name: &str, hosts: &[IpAddr]) -> anyhow::Result<Leaf> {
        let mut params = CertificateParams::new(vec![name.to_owned()])
            .with_context(|| format!("name a certificate {name}"))?;
        for &host in hosts {
            params.subject_alt_names.push(SanType::IpAddress(host));
        }
        params.distinguished_name.push(DnType::CommonName, name);
        params.use_authority_key_identifier_extension = true;
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().with_context(|| format!("make the key of {name}"))?;
        let cert = params.signed_by(&key, &self.issuer).with_context(|| format!("sign {name}"))?;
        Ok(Leaf { chain: cert.pem(), key: key.serialize_pem() })
    }
}
