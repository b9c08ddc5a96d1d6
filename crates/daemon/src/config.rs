//! Command-line flags, their environment variables and validation.
//!
//! Flags are parsed as text and validated together, so that all invalid settings are reported at once.

use std::{
    collections::BTreeSet,
    fmt, fs,
    net::{IpAddr, SocketAddr},
    str::FromStr,
    time::Duration,
};

use bpaf::Bpaf;
use camphorwinch_core::{member::Place, object::check_name};
use thiserror::Error;

pub(crate) const ENV_NAME: &str = "CAMPHORWINCH_NAME";
pub(crate) const ENV_VM: &str = "CAMPHORWINCH_VM";
pub(crate) const ENV_ZONE: &str = "CAMPHORWINCH_ZONE";
pub(crate) const ENV_REGION: &str = "CAMPHORWINCH_REGION";
pub(crate) const ENV_PLATFORM: &str = "CAMPHORWINCH_PLATFORM";
pub(crate) const ENV_CONTROL: &str = "CAMPHORWINCH_CONTROL";
pub(crate) const ENV_OPERATOR: &str = "CAMPHORWINCH_OPERATOR";
pub(crate) const ENV_PEER: &str = "CAMPHORWINCH_PEER";
pub(crate) const ENV_FLEET_CA: &str = "CAMPHORWINCH_FLEET_CA";
pub(crate) const ENV_FLEET_CERT: &str = "CAMPHORWINCH_FLEET_CERT";
pub(crate) const ENV_FLEET_KEY: &str = "CAMPHORWINCH_FLEET_KEY";
pub(crate) const ENV_LOG: &str = "CAMPHORWINCH_LOG";
pub(crate) const ENV_LOG_LEVEL: &str = "CAMPHORWINCH_LOG_LEVEL";
pub(crate) const ENV_DATA: &str = "CAMPHORWINCH_DATA";
pub(crate) const ENV_BIND: &str = "CAMPHORWINCH_BIND";
pub(crate) const ENV_WORKERS: &str = "CAMPHORWINCH_WORKERS";
pub(crate) const ENV_POOL: &str = "CAMPHORWINCH_POOL";
pub(crate) const ENV_UPSTREAM: &str = "CAMPHORWINCH_UPSTREAM";
pub(crate) const ENV_SLOTS: &str = "CAMPHORWINCH_SLOTS";
pub(crate) const ENV_CONNECTIONS: &str = "CAMPHORWINCH_CONNECTIONS";
pub(crate) const ENV_WEIGHT: &str = "CAMPHORWINCH_WEIGHT";
pub(crate) const ENV_REPLY: &str = "CAMPHORWINCH_REPLY";
pub(crate) const ENV_DRAIN_TIMEOUT: &str = "CAMPHORWINCH_DRAIN_TIMEOUT";

const DEFAULT_WORKERS: usize = 2;
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_CONNECTIONS: u32 = 2_000;
const DEFAULT_DRAIN_TIMEOUT_S: u64 = 3_600;
const MAX_WORKERS: usize = 256;

/// Flags common to both roles.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CommonFlags {
    /// Name of this process, unique in the fleet
    #[bpaf(argument("NAME"), env(ENV_NAME), optional)]
    pub(crate) name: Option<String>,
    /// Name of the VM that this process runs on
    #[bpaf(argument("NAME"), env(ENV_VM), optional)]
    pub(crate) vm: Option<String>,
    /// Availability zone of the VM
    #[bpaf(argument("NAME"), env(ENV_ZONE), optional)]
    pub(crate) zone: Option<String>,
    /// Region of the VM, default "default"
    #[bpaf(argument("NAME"), env(ENV_REGION), optional)]
    pub(crate) region: Option<String>,
    /// URL of the object API that stores configuration and leases
    #[bpaf(argument("http://IP:PORT"), env(ENV_PLATFORM), optional)]
    pub(crate) platform: Option<String>,
    /// Address for links from other processes (TCP, mutual TLS)
    #[bpaf(argument("IP:PORT"), env(ENV_CONTROL), optional)]
    pub(crate) control: Option<String>,
    /// Address for operators (HTTP, read-only): /health, /metrics, /status, /timeline
    #[bpaf(argument("IP:PORT"), env(ENV_OPERATOR), optional)]
    pub(crate) operator: Option<String>,
    /// Control addresses of balancers to join through while the object API is unavailable, separated by commas
    #[bpaf(argument("IP:PORT,..."), env(ENV_PEER), optional)]
    pub(crate) peer: Option<String>,
    /// CA certificate of the fleet: PEM text or the path of a PEM file
    #[bpaf(argument("PEM"), env(ENV_FLEET_CA), optional, hide_usage)]
    pub(crate) fleet_ca: Option<String>,
    /// This process's certificate, signed by the CA of the fleet: PEM text or the path of a PEM file
    #[bpaf(argument("PEM"), env(ENV_FLEET_CERT), optional, hide_usage)]
    pub(crate) fleet_cert: Option<String>,
    /// Private key of the certificate: PEM text or the path of a PEM file; never logged
    #[bpaf(argument("PEM"), env(ENV_FLEET_KEY), optional, hide_usage)]
    pub(crate) fleet_key: Option<String>,
    /// Log format: text or json, default text
    #[bpaf(argument("FORM"), env(ENV_LOG), optional)]
    pub(crate) log: Option<String>,
    /// Minimum log level: error, warn, info, debug or trace, default info
    #[bpaf(argument("LEVEL"), env(ENV_LOG_LEVEL), optional)]
    pub(crate) log_level: Option<String>,
}

/// Flags of a balancer.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct BalanceFlags {
    #[bpaf(external(common_flags))]
    pub(crate) common: CommonFlags,
    /// Source address of encapsulated packets to agents
    #[bpaf(argument("IP:PORT"), env(ENV_DATA), optional)]
    pub(crate) data: Option<String>,
    /// Where to listen for callers: "service" for each service's own address, "own" for the IP of --data with the
    /// service's port, behind a fabric that rewrites the destination; default service
    #[bpaf(argument("MODE"), env(ENV_BIND), optional)]
    pub(crate) bind: Option<String>,
    /// Number of packet worker threads, 1 to 256, default 2
    #[bpaf(argument("N"), env(ENV_WORKERS), optional)]
    pub(crate) workers: Option<String>,
}

/// Flags of an agent.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct AgentFlags {
    #[bpaf(external(common_flags))]
    pub(crate) common: CommonFlags,
    /// Pool of the upstream, as referenced by services
    #[bpaf(argument("NAME"), env(ENV_POOL), optional)]
    pub(crate) pool: Option<String>,
    /// IPv4 address for encapsulated packets from balancers and agents
    #[bpaf(argument("IP:PORT"), env(ENV_DATA), optional)]
    pub(crate) data: Option<String>,
    /// Address of the upstream (HTTP/1.1)
    #[bpaf(argument("IP:PORT"), env(ENV_UPSTREAM), optional)]
    pub(crate) upstream: Option<String>,
    /// Maximum number of concurrent requests to the upstream, default 8
    #[bpaf(argument("N"), env(ENV_SLOTS), optional)]
    pub(crate) slots: Option<String>,
    /// Maximum number of open flows, default 2000
    #[bpaf(argument("N"), env(ENV_CONNECTIONS), optional)]
    pub(crate) connections: Option<String>,
    /// Share of new flows relative to the pool's other agents, 0 to 1000, default 1
    #[bpaf(argument("W"), env(ENV_WEIGHT), optional)]
    pub(crate) weight: Option<String>,
    /// Source address of responses: "service" for the service's address, "own" for the --data address, behind a fabric
    /// that restores the service's address; default service
    #[bpaf(argument("MODE"), env(ENV_REPLY), optional)]
    pub(crate) reply: Option<String>,
    /// Longest wait for requests in progress when stopping, in seconds, default 3600
    #[bpaf(argument("SECONDS"), env(ENV_DRAIN_TIMEOUT), optional)]
    pub(crate) drain_timeout: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingError {
    flag: &'static str,
    value: Option<String>,
    allowed: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => {
                write!(f, "--{}: {value:?} is not allowed; allowed: {}", self.flag, self.allowed)
            }
            None => write!(f, "--{}: missing; allowed: {}", self.flag, self.allowed),
        }
    }
}

/// All invalid settings of a command line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) struct ConfigError(Vec<SettingError>);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} faulty setting(s)", self.0.len())?;
        for error in &self.0 {
            write!(f, "\n  {error}")?;
        }
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogFormat {
    Text,
    Json,
}

/// Address that a process uses in packets to and from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AddressMode {
    /// The service's own address.
    Service,
    /// The process's own address.
    Own,
}

/// Certificate, key and CA of a process, as PEM text.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct FleetPem {
    pub(crate) ca: String,
    pub(crate) cert: String,
    pub(crate) key: String,
}

impl fmt::Debug for FleetPem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetPem").finish_non_exhaustive()
    }
}

/// Validated settings common to both roles.
#[derive(Clone, Debug)]
pub(crate) struct CommonConfig {
    pub(crate) name: String,
    pub(crate) place: Place,
    pub(crate) platform: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) operator: SocketAddr,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) fleet: FleetPem,
    pub(crate) log: LogFormat,
    pub(crate) log_level: String,
}

/// Validated settings of a balancer.
#[derive(Clone, Debug)]
pub(crate) struct BalanceConfig {
    pub(crate) common: CommonConfig,
    pub(crate) data: SocketAddr,
    pub(crate) bind: AddressMode,
    pub(crate) workers: usize,
}

/// Validated settings of an agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentConfig {
    pub(crate) common: CommonConfig,
    pub(crate) pool: String,
    pub(crate) data: SocketAddr,
    pub(crate) upstream: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) weight: f64,
    pub(crate) reply: AddressMode,
    pub(crate) drain_timeout: Duration,
}

impl BalanceConfig {
    /// Validates the flags of a balancer; the error lists all invalid ones.
    pub(crate) fn new(flags: &BalanceFlags) -> Result<BalanceConfig, ConfigError> {
        let mut validator = Validator::default();
        let common = validator.common(&flags.common);
        let data = validator.address("data", flags.data.as_deref());
        let bind = validator.address_mode("bind", flags.bind.as_deref());
        let workers =
            validator.number("workers", flags.workers.as_deref(), DEFAULT_WORKERS, 1, MAX_WORKERS);
        validator.finish(BalanceConfig { common, data, bind, workers })
    }
}

impl AgentConfig {
    /// Validates the flags of an agent; the error lists all invalid ones.
    pub(crate) fn new(flags: &AgentFlags) -> Result<AgentConfig, ConfigError> {
        let mut validator = Validator::default();
        let common = validator.common(&flags.common);
        let pool = validator.name("pool", flags.pool.as_deref());
        let data = validator.ipv4_address("data", flags.data.as_deref());
        let upstream = validator.address("upstream", flags.upstream.as_deref());
        let slots = validator.number("slots", flags.slots.as_deref(), DEFAULT_SLOTS, 1, 1_000_000);
        let connections = validator.number(
            "connections",
            flags.connections.as_deref(),
            DEFAULT_CONNECTIONS,
            1,
            10_000_000,
        );
        let weight = validator.number("weight", flags.weight.as_deref(), 1.0, 0.0, 1_000.0);
        let reply = validator.address_mode("reply", flags.reply.as_deref());
        let drain_timeout_s = validator.number(
            "drain-timeout",
            flags.drain_timeout.as_deref(),
            DEFAULT_DRAIN_TIMEOUT_S,
            0,
            7 * 86_400,
        );
        let drain_timeout = Duration::from_secs(drain_timeout_s);
        validator.finish(AgentConfig {
            common,
            pool,
            data,
            upstream,
            slots,
            connections,
            weight,
            reply,
            drain_timeout,
        })
    }
}

/// Collects the errors of settings. An invalid setting yields a placeholder that is never used.
#[derive(Default)]
struct Validator {
    errors: Vec<SettingError>,
}

impl Validator {
    fn finish<T>(self, value: T) -> Result<T, ConfigError> {
        if self.errors.is_empty() { Ok(value) } else { Err(ConfigError(self.errors)) }
    }

    fn reject(&mut self, flag: &'static str, value: Option<&str>, allowed: impl Into<String>) {
        self.errors.push(SettingError {
            flag,
            value: value.map(str::to_owned),
            allowed: allowed.into(),
        });
    }

    fn common(&mut self, flags: &CommonFlags) -> CommonConfig {
        let name = self.name("name", flags.name.as_deref());
        let vm = self.name("vm", flags.vm.as_deref());
        let zone = self.name("zone", flags.zone.as_deref());
        let region = self.name("region", Some(flags.region.as_deref().unwrap_or("default")));
        let platform = self.platform(flags.platform.as_deref());
        let control = self.address("control", flags.control.as_deref());
        let operator = self.address("operator", flags.operator.as_deref());
        let peers = self.peers(flags.peer.as_deref());
        let fleet = FleetPem {
            ca: self.pem("fleet-ca", flags.fleet_ca.as_deref(), "CERTIFICATE-----"),
            cert: self.pem("fleet-cert", flags.fleet_cert.as_deref(), "CERTIFICATE-----"),
            key: self.pem("fleet-key", flags.fleet_key.as_deref(), "PRIVATE KEY-----"),
        };
        let log = self.log_format(flags.log.as_deref());
        let log_level = self.log_level(flags.log_level.as_deref());
        let place = Place { vm, zone, region };
        CommonConfig { name, place, platform, control, operator, peers, fleet, log, log_level }
    }

    fn name(&mut self, flag: &'static str, value: Option<&str>) -> String {
        let text = value.unwrap_or_default();
        if check_name(text).is_err() {
            self.reject(
                flag,
                value,
                "1 to 63 of a-z, 0-9, '.', '-', with a letter or digit at both ends",
            );
        }
        text.to_owned()
    }

    fn address(&mut self, flag: &'static str, value: Option<&str>) -> SocketAddr {
        let parsed = value.and_then(|it| SocketAddr::from_str(it).ok()).filter(|it| it.port() != 0);
        if parsed.is_none() {
            self.reject(flag, value, "IP:PORT with a port of 1 to 65535, such as 127.0.0.1:7001");
        }
        parsed.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Parses an IPv4 address: connection IDs have no space for an IPv6 one.
    fn ipv4_address(&mut self, flag: &'static str, value: Option<&str>) -> SocketAddr {
        let address = self.address(flag, value);
        if !matches!(address.ip(), IpAddr::V4(_)) {
            self.reject(
                flag,
                value,
                "an IPv4 address and port: connection IDs have no space for IPv6",
            );
        }
        address
    }

    fn platform(&mut self, value: Option<&str>) -> SocketAddr {
        let rest =
            value.and_then(|it| it.strip_prefix("http://")).map(|it| it.trim_end_matches('/'));
        let parsed = rest.and_then(|it| SocketAddr::from_str(it).ok());
        if parsed.is_none() {
            self.reject("platform", value, "http://IP:PORT");
        }
        parsed.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    fn peers(&mut self, value: Option<&str>) -> Vec<SocketAddr> {
        let mut peers = BTreeSet::new();
        for part in value.unwrap_or_default().split(',') {
            if part.is_empty() {
                continue;
            }
            match SocketAddr::from_str(part) {
                Ok(it) => {
                    peers.insert(it);
                }
                Err(_) => self.reject("peer", Some(part), "IP:PORT, several separated by commas"),
            }
        }
        peers.into_iter().collect()
    }

    /// Reads PEM text or a PEM file. Errors omit the value, which may be a secret.
    fn pem(&mut self, flag: &'static str, value: Option<&str>, marker: &str) -> String {
        let text = match value {
            Some(it) if it.contains("-----BEGIN") => it.to_owned(),
            Some(path) => fs::read_to_string(path).unwrap_or_default(),
            None => String::new(),
        };
        if !text.contains(marker) {
            let shown = value.map(|_| "(not shown)");
            self.reject(
                flag,
                shown,
                format!("PEM text with \"{marker}\", or the path of a PEM file"),
            );
        }
        text
    }

    fn address_mode(&mut self, flag: &'static str, value: Option<&str>) -> AddressMode {
        match value {
            None | Some("service") => AddressMode::Service,
            Some("own") => AddressMode::Own,
            Some(_) => {
                self.reject(flag, value, "service, own");
                AddressMode::Service
            }
        }
    }

    fn log_format(&mut self, value: Option<&str>) -> LogFormat {
        match value {
            None | Some("text") => LogFormat::Text,
            Some("json") => LogFormat::Json,
            Some(_) => {
                self.reject("log", value, "text, json");
                LogFormat::Text
            }
        }
    }

    fn log_level(&mut self, value: Option<&str>) -> String {
        let level = value.unwrap_or("info");
        if !["error", "warn", "info", "debug", "trace"].contains(&level) {
            self.reject("log-level", value, "error, warn, info, debug, trace");
        }
        level.to_owned()
    }

    fn number<T>(
        &mut self,
        flag: &'static str,
        value: Option<&str>,
        default: T,
        min: T,
        max: T,
    ) -> T
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        let Some(text) = value else {
            return default;
        };
        match text.parse::<T>() {
            Ok(it) if it >= min && it <= max => it,
            Ok(_) | Err(_) => {
                self.reject(flag, value, format!("a number from {min} to {max}"));
                default
            }
        }
    }
}

#[cfg(test)]
mod tests;
