//! Certificate authority and certificates for a run.

use std::net::IpAddr;

use anyhow::Context;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

/// A certificate authority.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

/// A certificate and its key in PEM.
#[derive(Clone)]
pub struct Leaf {
    /// Certificate chain.
    pub chain: String,
    /// Private key.
    pub key: String,
}

impl Authority {
    /// Creates a CA with a new key.
    pub fn new(name: &str) -> anyhow::Result<Authority> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().context("make the key of a CA")?;
        let pem = params.self_signed(&key).context("sign a CA")?.pem();
        Ok(Authority { issuer: Issuer::new(params, key), pem })
    }

    /// The CA's certificate in PEM.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Issues a server and client certificate for this name and these addresses.
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
