//! Objects stored in the platform: kinds, specs and their validation.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::{IpAddr, SocketAddr},
};

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, base64::Base64, serde_as};
use thiserror::Error;

/// Maximum size of an object in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Name of the only object of kind `keys`.
pub const KEYS_OBJECT_NAME: &str = "fleet";

/// Kind of an object that the system stores in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A service: an address and the pool of upstreams behind it.
    Service,
    /// A planned change, such as a drain.
    Change,
    /// A TLS certificate with its private key.
    Certificate,
    /// The keys that seal connection IDs and authenticate packets.
    Keys,
    /// A lease of a zone, held by a balancer.
    Lease,
    /// A report on a zone's upstreams and balancers.
    Report,
    /// Events of the processes of a zone.
    Timeline,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 7] = [
        Kind::Service,
        Kind::Change,
        Kind::Certificate,
        Kind::Keys,
        Kind::Lease,
        Kind::Report,
        Kind::Timeline,
    ];
    /// Kinds of configuration: written by operators and applied by every daemon.
    pub const CONFIG: [Kind; 4] = [Kind::Service, Kind::Change, Kind::Certificate, Kind::Keys];

    /// Name of the kind in paths and objects.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Service => "service",
            Kind::Change => "change",
            Kind::Certificate => "certificate",
            Kind::Keys => "keys",
            Kind::Lease => "lease",
            Kind::Report => "report",
            Kind::Timeline => "timeline",
        }
    }

    /// Parses the name of a kind.
    pub fn parse(s: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|it| it.as_str() == s)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An object as the platform stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind, as text because the platform may store kinds unknown to this version.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Packed platform revision at the last write ([`crate::revision::Revision::packed`]); 0 before the first write.
    #[serde(default)]
    pub version: u64,
    /// Identifier of the last writer.
    #[serde(default)]
    pub writer: String,
    /// Content; its schema depends on the kind.
    pub spec: serde_json::Value,
}

/// Validation error of an object, with the path of the field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {reason}")]
pub struct SpecError {
    /// Path of the field, such as `service/ledger.spec.address`.
    pub path: String,
    /// What is invalid and what is allowed.
    pub reason: String,
}

impl SpecError {
    fn new<R>(path: &str, reason: R) -> SpecError
    where
        R: Into<String>,
    {
        SpecError { path: path.to_owned(), reason: reason.into() }
    }
}

/// Balancing policy of a service when its upstreams differ in load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Keep flows and requests where they are, and in the caller's zone, while capacity is available.
    #[default]
    Steady,
    /// Keep upstreams equally loaded, at the cost of more forwarded requests.
    Even,
}

/// Spec of a service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Address at which callers reach the service.
    #[serde_as(as = "DisplayFromStr")]
    pub address: SocketAddr,
    /// Pool of agents that may serve it.
    pub pool: String,
    /// Name of the certificate object.
    pub certificate: String,
    /// Balancing policy.
    #[serde(default)]
    pub policy: Policy,
    /// Weights of agents by name; they override the announced weights.
    #[serde(default)]
    pub weights: BTreeMap<String, f64>,
    /// Retention time of idempotency keys, in seconds.
    #[serde(default = "default_key_window")]
    pub key_window_s: u32,
    /// Allowed retries as a share of requests, 0 to 1.
    #[serde(default = "default_retry_budget")]
    pub retry_budget: f64,
    /// Maximum number of flows per agent for this service.
    #[serde(default = "default_connections")]
    pub connections: u32,
}

impl Service {
    /// Creates the spec of a service of `pool` at `address`, with defaults for optional fields.
    pub fn new(address: SocketAddr, pool: &str, certificate: &str) -> Service {
        Service {
            address,
            pool: pool.to_owned(),
            certificate: certificate.to_owned(),
            policy: Policy::default(),
            weights: BTreeMap::new(),
            key_window_s: default_key_window(),
            retry_budget: default_retry_budget(),
            connections: default_connections(),
        }
    }
}

fn default_key_window() -> u32 {
    600
}

fn default_retry_budget() -> f64 {
    0.1
}

fn default_connections() -> u32 {
    2_000
}

/// Target of a planned change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Target {
    /// One upstream, by the name of its agent.
    Upstream(String),
    /// Every process on a VM.
    Vm(String),
    /// Every process in an availability zone.
    Zone(String),
}

impl Target {
    /// Whether the target includes the process with this name, VM and zone.
    pub fn matches(&self, name: &str, vm: &str, zone: &str) -> bool {
        match self {
            Target::Upstream(it) => it == name,
            Target::Vm(it) => it == vm,
            Target::Zone(it) => it == zone,
        }
    }
}

/// Action of a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Send no new work; work in progress finishes.
    Drain,
}

/// Spec of a planned change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Action to take.
    pub action: Action,
    /// Processes it applies to.
    pub target: Target,
}

/// Spec of a certificate.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Certificate {
    /// Certificate chain, PEM.
    pub chain_pem: String,
    /// Private key, PEM.
    pub key_pem: String,
}

impl fmt::Debug for Certificate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Certificate").finish_non_exhaustive()
    }
}

/// Permitted use of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyUse {
    /// Accepted, but not used for new flows.
    Open,
    /// Accepted and used for new flows.
    Seal,
}

/// One key of the fleet.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// Key epoch, carried in clear text in connection IDs.
    pub epoch: u8,
    /// Secret from which the cryptographic keys are derived.
    #[serde_as(as = "Base64")]
    pub secret: [u8; 32],
    /// Permitted use of the key.
    #[serde(rename = "use")]
    pub usage: KeyUse,
}

impl fmt::Debug for KeySpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeySpec")
            .field("epoch", &self.epoch)
            .field("usage", &self.usage)
            .finish_non_exhaustive()
    }
}

/// Spec of the fleet's keys.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Secret from which stateless reset tokens are derived; never changes for a fleet.
    #[serde_as(as = "Base64")]
    pub reset: [u8; 32],
    /// The keys; exactly one must seal.
    pub keys: Vec<KeySpec>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").field("keys", &self.keys).finish_non_exhaustive()
    }
}

/// Parsed and validated spec of a configuration object.
#[derive(Clone, Debug, PartialEq)]
pub enum Spec {
    /// A service.
    Service(Service),
    /// A planned change.
    Change(Change),
    /// A certificate.
    Certificate(Certificate),
    /// The fleet's keys.
    Keys(Keys),
}

impl Spec {
    /// Parses and validates the spec of a configuration object.
    pub fn parse(object: &Object) -> Result<Spec, SpecError> {
        let path = format!("{}/{}", object.kind, object.name);
        check_name(&object.name)
            .map_err(|reason| SpecError::new(&format!("{path}.name"), reason))?;
        let Some(kind) = Kind::parse(&object.kind) else {
            return Err(SpecError::new(
                &path,
                "unknown kind; allowed: service, change, certificate, keys",
            ));
        };
        let at = format!("{path}.spec");
        match kind {
            Kind::Service => {
                let spec: Service = from_value(&at, &object.spec)?;
                check_service(&at, &spec)?;
                Ok(Spec::Service(spec))
            }
            Kind::Change => {
                let spec: Change = from_value(&at, &object.spec)?;
                check_change(&at, &spec)?;
                Ok(Spec::Change(spec))
            }
            Kind::Certificate => {
                let spec: Certificate = from_value(&at, &object.spec)?;
                check_certificate(&at, &spec)?;
                Ok(Spec::Certificate(spec))
            }
            Kind::Keys => {
                let spec: Keys = from_value(&at, &object.spec)?;
                check_keys(&at, &object.name, &spec)?;
                Ok(Spec::Keys(spec))
            }
            Kind::Lease | Kind::Report | Kind::Timeline => {
                Err(SpecError::new(&path, "this kind is written by the system, not by operators"))
            }
        }
    }
}

fn from_value<'a, T>(path: &str, value: &'a serde_json::Value) -> Result<T, SpecError>
where
    T: Deserialize<'a>,
{
    T::deserialize(value).map_err(|e| SpecError::new(path, e.to_string()))
}

/// Validates the name of an object.
pub fn check_name(name: &str) -> Result<(), String> {
    let is_inner = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'.' || c == b'-';
    let is_edge = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit();
    let bytes = name.as_bytes();
    let valid_len = (1..=63).contains(&bytes.len());
    let ok = valid_len
        && bytes.iter().all(|&c| is_inner(c))
        && is_edge(bytes[0])
        && is_edge(bytes[bytes.len() - 1]);
    if ok {
        Ok(())
    } else {
        Err(format!(
            "{name:?} is not a valid name: use 1 to 63 of a-z, 0-9, '.', '-', with a letter or digit at both ends"
        ))
    }
}

fn check_service(at: &str, it: &Service) -> Result<(), SpecError> {
    if it.address.port() == 0 {
        return Err(SpecError::new(&format!("{at}.address"), "the port must be 1 to 65535"));
    }
    check_name(&it.pool).map_err(|e| SpecError::new(&format!("{at}.pool"), e))?;
    check_name(&it.certificate).map_err(|e| SpecError::new(&format!("{at}.certificate"), e))?;
    for (name, &weight) in &it.weights {
        if !weight.is_finite() || !(0.0..=1_000.0).contains(&weight) {
            return Err(SpecError::new(
                &format!("{at}.weights.{name}"),
                "the weight must be 0 to 1000",
            ));
        }
    }
    if !(0.0..=1.0).contains(&it.retry_budget) {
        return Err(SpecError::new(
            &format!("{at}.retry_budget"),
            "the retry budget must be 0 to 1",
        ));
    }
    if it.connections == 0 {
        return Err(SpecError::new(&format!("{at}.connections"), "must be at least 1"));
    }
    Ok(())
}

fn check_change(at: &str, it: &Change) -> Result<(), SpecError> {
    let (field, name) = match &it.target {
        Target::Upstream(name) => ("upstream", name),
        Target::Vm(name) => ("vm", name),
        Target::Zone(name) => ("zone", name),
    };
    check_name(name).map_err(|e| SpecError::new(&format!("{at}.target.{field}"), e))
}

fn check_certificate(at: &str, it: &Certificate) -> Result<(), SpecError> {
    if !it.chain_pem.contains("-----BEGIN CERTIFICATE-----") {
        return Err(SpecError::new(&format!("{at}.chain_pem"), "contains no PEM certificate"));
    }
    if !it.key_pem.contains("PRIVATE KEY-----") {
        return Err(SpecError::new(&format!("{at}.key_pem"), "contains no PEM private key"));
    }
    Ok(())
}

fn check_keys(at: &str, name: &str, it: &Keys) -> Result<(), SpecError> {
    if name != KEYS_OBJECT_NAME {
        return Err(SpecError::new(
            at,
            format!("the only object of this kind is named {KEYS_OBJECT_NAME:?}"),
        ));
    }
    let mut epochs = BTreeSet::new();
    for key in &it.keys {
        if !epochs.insert(key.epoch) {
            return Err(SpecError::new(
                &format!("{at}.keys"),
                format!("epoch {} is listed twice", key.epoch),
            ));
        }
    }
    let sealing = it.keys.iter().filter(|key| key.usage == KeyUse::Seal).count();
    if sealing != 1 {
        return Err(SpecError::new(
            &format!("{at}.keys"),
            format!("exactly one key must have use \"seal\", found {sealing}"),
        ));
    }
    Ok(())
}

/// ID of a service in connection IDs and packets: the first four bytes of the SHA-256 of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceId(pub u32);

impl ServiceId {
    /// Returns the ID of the service with this name.
    pub fn new(name: &str) -> ServiceId {
        use sha2::Digest;
        let digest = sha2::Sha256::digest(name.as_bytes());
        ServiceId(u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]))
    }
}

/// Checks that no two services have the same address or ID.
pub fn check_services<'a, I>(services: I) -> Result<(), SpecError>
where
    I: IntoIterator<Item = (&'a str, &'a Service)>,
{
    let mut addresses: BTreeMap<(IpAddr, u16), &str> = BTreeMap::new();
    let mut ids: BTreeMap<ServiceId, &str> = BTreeMap::new();
    for (name, it) in services {
        let at = format!("service/{name}");
        if let Some(other) = addresses.insert((it.address.ip(), it.address.port()), name) {
            return Err(SpecError::new(
                &format!("{at}.spec.address"),
                format!("{} is also the address of {other:?}", it.address),
            ));
        }
        if let Some(other) = ids.insert(ServiceId::new(name), name) {
            return Err(SpecError::new(
                &format!("{at}.name"),
                format!("has the same service ID as {other:?}; choose another name"),
            ));
        }
    }
    Ok(())
}
