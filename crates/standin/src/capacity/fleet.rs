//! A growable fleet of real processes for measurements: platform, upstream, fabric, balancers and agents.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use camphorwinch_core::object::{KEYS_OBJECT_NAME, Kind};
use futures::future::join_all;
use http::{Method, StatusCode};
use rand::{SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::time;

use super::usage::Usage;
use crate::{
    caller::Target,
    platform::Counts,
    site::{
        block::AddressBlock,
        http::HttpClient,
        objects::{self, ObjectClient},
        pki::{Authority, Leaf},
        process::{LaunchSpec, Process},
    },
};

const REGIONS: usize = 2;
/// Agents per pool, as at the design size: 5,900 agents for 680 services.
const AGENTS_PER_POOL: usize = 9;
/// Port offsets: platform, upstream, fabric or data, control, operator, upstream admin.
const PORTS: [u16; 6] = [0, 1, 2, 3, 4, 5];
const FIRST_SERVICE_PORT: u16 = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const DAEMON_BINARY: &str = "camphorwinchd";
const EMULATOR_BINARY: &str = "camphorwinch-standin";
const LEASE_POINTER: &str = "/control/lease";
const MEMBERS_POINTER: &str = "/control/members";
const BALANCER_PREFIX: &str = "entry-";
const APPLIED_POINTER: &str = "/control/applied";
const LINKS_POINTER: &str = "/control/links";
const RATE_LIMITED_BYTES_METRICS: [&str; 2] = [
    "camphorwinch_platform_bytes_total{call=\"put timeline\"}",
    "camphorwinch_platform_bytes_total{call=\"put report\"}",
];
const CONTROL_BYTES_METRIC: &str = "camphorwinch_control_bytes_total";

/// A balancer or agent process.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the daemon.
    pub name: String,
    /// Address of the VM.
    pub host: IpAddr,
    /// Address of the operator API.
    pub operator: SocketAddr,
    launch: LaunchSpec,
    process: Option<Process>,
}

/// Cumulative resource usage of a daemon at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageSample {
    /// CPU time and memory.
    pub usage: Usage,
    /// Control bytes sent and received.
    pub control: f64,
    /// Of these, bytes of rate-limited timeline and report writes.
    pub limited: f64,
}

/// Resource usage of a daemon per second of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// CPU time, in percent of a core.
    pub cpu: f64,
    /// Control bytes per second, without timeline and report writes.
    pub control: f64,
    /// Bytes per second of rate-limited timeline and report writes, which are bursty.
    pub limited: f64,
    /// Resident memory at the end, in MiB.
    pub rss: f64,
}

/// Mean usage of each class of processes in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// Mean of the balancers without a lease.
    pub plain: Rate,
    /// Mean of the balancers that hold the first lease of their zone, and so report for it.
    pub seed: Rate,
    /// Mean of all balancers.
    pub balancer: Rate,
    /// Mean of all agents.
    pub agent: Rate,
    /// Platform calls per second.
    pub calls: f64,
    /// Bytes per second in responses of the platform.
    pub response_bytes: f64,
}

/// Mean resource usage of the balancers since the start of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageSince {
    /// Seconds since the start of the window.
    pub seconds: f64,
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Control bytes sent and received.
    pub bytes: f64,
    /// Current resident memory, in MiB.
    pub rss_mib: f64,
}

/// Usage samples of all daemons at one time.
#[derive(Clone, Debug)]
pub struct FleetSample {
    at: Instant,
    balancers: Vec<UsageSample>,
    agents: Vec<UsageSample>,
    counts: Counts,
}

/// A fleet of real processes.
pub struct Fleet {
    /// HTTP client for the operator and admin APIs.
    pub http: HttpClient,
    /// Client for writing objects to the platform.
    pub objects: ObjectClient,
    /// Balancers.
    pub balancers: Vec<Daemon>,
    /// Agents.
    pub agents: Vec<Daemon>,
    /// Services.
    pub services: Vec<Target>,
    block: AddressBlock,
    authority: Authority,
    log_dir: PathBuf,
    bin: PathBuf,
    platform: SocketAddr,
    upstream: SocketAddr,
    fabric: SocketAddr,
    service_host: IpAddr,
    emulators: BTreeMap<&'static str, Process>,
    pools: usize,
    zones: usize,
}

impl Fleet {
    /// Starts the platform and one upstream, and writes the keys; there are no services and daemons yet.
    pub async fn start(bin: &Path, log_dir: &Path, zones: usize) -> anyhow::Result<Fleet> {
        let mut block = AddressBlock::new()?;
        let platform = SocketAddr::new(block.host()?, block.port(PORTS[0]));
        let upstream = SocketAddr::new(block.host()?, block.port(PORTS[1]));
        let fabric = SocketAddr::new(block.host()?, block.port(PORTS[2]));
        let service_host = block.host()?;
        let http = HttpClient::new();
        let mut fleet = Fleet {
            objects: ObjectClient::new(http.clone(), platform),
            http,
            balancers: Vec::new(),
            agents: Vec::new(),
            services: Vec::new(),
            block,
            authority: Authority::new("fleet")?,
            log_dir: log_dir.to_owned(),
            bin: bin.to_owned(),
            platform,
            upstream,
            fabric,
            service_host,
            emulators: BTreeMap::new(),
            pools: 1,
            zones,
        };
        fleet.start_emulators().await?;
        let keys = objects::new_keys(&mut StdRng::seed_from_u64(1));
        fleet.objects.put(Kind::Keys, KEYS_OBJECT_NAME, &keys).await?;
        Ok(fleet)
    }

    async fn start_emulators(&mut self) -> anyhow::Result<()> {
        let listen = self.platform.to_string();
        self.start_emulator("platform", &["--listen", &listen, "--history", "8192"])?;
        let (listen, admin) = (self.upstream.to_string(), self.upstream_admin().to_string());
        let args = [
            "--name",
            "shared",
            "--pool",
            "shared",
            "--listen",
            &listen,
            "--admin",
            &admin,
            "--slots",
            "100000",
            "--connections",
            "1000000",
        ];
        self.start_emulator("upstream", &args)?;
        let ready = async {
            while self.counts().await.is_err() {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        time::timeout(Duration::from_secs(10), ready)
            .await
            .context("timed out waiting for the platform")
    }

    fn upstream_admin(&self) -> SocketAddr {
        SocketAddr::new(self.upstream.ip(), self.block.port(PORTS[5]))
    }

    fn start_emulator(&mut self, name: &'static str, args: &[&str]) -> anyhow::Result<()> {
        let mut all_args = vec![name.to_owned()];
        all_args.extend(args.iter().map(|it| (*it).to_owned()));
        let launch = LaunchSpec {
            name: name.to_owned(),
            program: self.bin.join(EMULATOR_BINARY),
            args: all_args,
            env: Vec::new(),
        };
        let process = Process::start(&launch, &self.log_dir)?;
        self.emulators.insert(name, process);
        Ok(())
    }

    /// Starts the fabric between callers and the current balancers, for the first service.
    pub fn start_fabric(&mut self) -> anyhow::Result<()> {
        let service = self.services.first().context("failed to start the fabric: no service")?;
        let port = service.address.port();
        let route: Vec<String> =
            self.balancers.iter().map(|it| SocketAddr::new(it.host, port).to_string()).collect();
        let route = format!("{}={}", service.address, route.join(","));
        let admin = self.fabric.to_string();
        self.start_emulator("fabric", &["--admin", &admin, "--seed", "1", "--route", &route])
    }

    /// Adds services until there are `count`, each with its own certificate, over `pools` pools.
    pub async fn add_services(&mut self, count: usize, pools: usize) -> anyhow::Result<()> {
        self.pools = pools.max(1);
        for i in self.services.len()..count {
            let name = format!("service-{i}");
            let leaf = self.authority.leaf(&name, &[])?;
            self.objects.put(Kind::Certificate, &name, &objects::certificate(&leaf)).await?;
            let port =
                self.block.port(FIRST_SERVICE_PORT) + u16::try_from(i).context("services")?;
            let address = SocketAddr::new(self.service_host, port);
            let pool = format!("pool-{}", i % self.pools);
            let target = Target { name: name.clone(), address, pool };
            self.objects.put(Kind::Service, &name, &service_spec(&target)).await?;
            self.services.push(target);
        }
        Ok(())
    }

    /// Updates the connection limit of a service; returns the new version of the object.
    pub async fn update_service(&self, index: usize, connections: u32) -> anyhow::Result<u64> {
        let target = &self.services[index % self.services.len()];
        let mut spec = service_spec(target);
        spec["connections"] = json!(connections);
        Ok(self.objects.put(Kind::Service, &target.name, &spec).await?.version)
    }

    /// Starts balancers until there are `count`.
    pub fn add_balancers(&mut self, count: usize) -> anyhow::Result<()> {
        for i in self.balancers.len()..count {
            let name = format!("{BALANCER_PREFIX}{i}");
            let host = self.block.host()?;
            let mut args = vec!["balance".to_owned()];
            args.extend(self.common_args(&name, i, host));
            args.extend(["--bind".to_owned(), "own".to_owned()]);
            args.extend(["--data".to_owned(), self.host_address(host, 2)]);
            let daemon = self.start_daemon(name, host, args)?;
            self.balancers.push(daemon);
        }
        Ok(())
    }

    /// Starts agents until there are `count`.
    pub fn add_agents(&mut self, count: usize) -> anyhow::Result<()> {
        for i in self.agents.len()..count {
            let name = format!("agent-{i}");
            let host = self.block.host()?;
            let mut args = vec!["agent".to_owned()];
            args.extend(self.common_args(&name, i, host));
            let pool = format!("pool-{}", (i / AGENTS_PER_POOL) % self.pools);
            for (flag, value) in [
                ("--pool", pool),
                ("--data", self.host_address(host, 2)),
                ("--upstream", self.upstream.to_string()),
                ("--connections", "100000".to_owned()),
                ("--reply", "own".to_owned()),
            ] {
                args.extend([flag.to_owned(), value]);
            }
            let daemon = self.start_daemon(name, host, args)?;
            self.agents.push(daemon);
        }
        Ok(())
    }

    fn start_daemon(
        &self,
        name: String,
        host: IpAddr,
        args: Vec<String>,
    ) -> anyhow::Result<Daemon> {
        let Leaf { chain, key } = self.authority.leaf(&name, &[host])?;
        let env = vec![
            ("CAMPHORWINCH_FLEET_CA".to_owned(), self.authority.pem().to_owned()),
            ("CAMPHORWINCH_FLEET_CERT".to_owned(), chain),
            ("CAMPHORWINCH_FLEET_KEY".to_owned(), key),
        ];
        let launch =
            LaunchSpec { name: name.clone(), program: self.bin.join(DAEMON_BINARY), args, env };
        let process = Some(Process::start(&launch, &self.log_dir)?);
        let operator = SocketAddr::new(host, self.block.port(PORTS[4]));
        Ok(Daemon { name, host, operator, launch, process })
    }

    fn common_args(&self, name: &str, index: usize, host: IpAddr) -> Vec<String> {
        let zone = index % self.zones;
        let mut args = Vec::new();
        for (flag, value) in [
            ("--name", name.to_owned()),
            ("--vm", format!("vm-{name}")),
            ("--zone", format!("zone-{zone}")),
            ("--region", format!("region-{}", zone % REGIONS)),
            ("--platform", format!("http://{}", self.platform)),
            ("--control", self.host_address(host, 3)),
            ("--operator", self.host_address(host, 4)),
            ("--log-level", "warn".to_owned()),
        ] {
            args.extend([flag.to_owned(), value]);
        }
        args
    }

    fn host_address(&self, host: IpAddr, port_index: usize) -> String {
        SocketAddr::new(host, self.block.port(PORTS[port_index])).to_string()
    }

    /// Allocates source addresses for callers.
    pub fn caller_addresses(&mut self, count: usize) -> anyhow::Result<Vec<IpAddr>> {
        (0..count).map(|_| self.block.host()).collect()
    }

    /// CA of the fleet and of its services, as PEM.
    pub fn ca(&self) -> &str {
        self.authority.pem()
    }

    /// All daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.balancers.iter().chain(&self.agents)
    }

    /// Waits until every daemon is healthy; returns the time that it took, or an error after `timeout`.
    pub async fn wait_until_healthy(&self, timeout: Duration) -> anyhow::Result<Duration> {
        let start = Instant::now();
        let mut pending: Vec<&Daemon> = self.daemons().collect();
        loop {
            let checks = pending.iter().map(|it| self.is_healthy(it.operator));
            let healthy = join_all(checks).await;
            let mut healthy = healthy.into_iter();
            pending.retain(|_| !healthy.next().unwrap_or(false));
            if pending.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > timeout {
                let names: Vec<&str> = pending.iter().map(|it| it.name.as_str()).collect();
                bail!("not healthy after {timeout:?}: {}", names.join(", "));
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn is_healthy(&self, operator: SocketAddr) -> bool {
        let response = self.http.call(Method::GET, operator, "/health", None).await;
        matches!(response, Ok((StatusCode::OK, _)))
    }

    /// Returns the status of a daemon.
    pub async fn status(&self, operator: SocketAddr) -> anyhow::Result<Value> {
        self.http.get(operator, "/status").await
    }

    /// Returns the counters of the platform.
    pub async fn counts(&self) -> anyhow::Result<Counts> {
        self.http.get(self.platform, "/admin/counts").await
    }

    /// Sets the faults of the platform.
    pub async fn set_faults(&self, faults: &Value) -> anyhow::Result<()> {
        self.http.put(self.platform, "/admin/faults", faults).await.map(drop)
    }

    /// Samples all daemons. The metrics are read before the CPU time at the start of a window, and after it at the end,
    /// so that the window excludes the cost of reading them.
    async fn sample(&self, at_start: bool) -> anyhow::Result<FleetSample> {
        let mut usage = Vec::new();
        if !at_start {
            usage = self.usages()?;
        }
        let control = join_all(self.daemons().map(|it| self.control_traffic(it.operator))).await;
        let counts = self.counts().await?;
        if at_start {
            usage = self.usages()?;
        }
        let mut samples = Vec::new();
        for (usage, control) in usage.into_iter().zip(control) {
            let (control, limited) = control?;
            samples.push(UsageSample { usage, control, limited });
        }
        let agents = samples.split_off(self.balancers.len());
        Ok(FleetSample { at: Instant::now(), balancers: samples, agents, counts })
    }

    fn usages(&self) -> anyhow::Result<Vec<Usage>> {
        self.daemons().map(|it| Usage::read(it.pid()?)).collect()
    }

    /// Returns the control bytes of a daemon since its start.
    pub async fn control_bytes(&self, operator: SocketAddr) -> anyhow::Result<f64> {
        Ok(self.control_traffic(operator).await?.0)
    }

    /// Returns the control bytes of a daemon since its start, and how many of them are rate-limited writes.
    async fn control_traffic(&self, operator: SocketAddr) -> anyhow::Result<(f64, f64)> {
        let text = self.http.text(operator, "/metrics").await?;
        let limited = RATE_LIMITED_BYTES_METRICS.iter().map(|it| sum_metric(&text, it)).sum();
        Ok((sum_metric(&text, CONTROL_BYTES_METRIC), limited))
    }

    /// Starts a measurement window.
    pub async fn start_window(&self) -> anyhow::Result<FleetSample> {
        self.sample(true).await
    }

    /// Ends a window; returns the mean usage of each class.
    pub async fn end_window(&self, start: &FleetSample) -> anyhow::Result<Window> {
        let end = self.sample(false).await?;
        let seconds = (end.at - start.at).as_secs_f64();
        let rates = |from: &[UsageSample], to: &[UsageSample]| -> Vec<Rate> {
            from.iter().zip(to).map(|(from, to)| rate(from, to, seconds)).collect()
        };
        let mut plain = Vec::new();
        let mut seeds = Vec::new();
        let all = rates(&start.balancers, &end.balancers);
        for (it, &rate) in self.balancers.iter().zip(&all) {
            let status = self.status(it.operator).await?;
            match status.pointer(LEASE_POINTER).and_then(Value::as_u64) {
                None => plain.push(rate),
                Some(0) => seeds.push(rate),
                Some(_) => {}
            }
        }
        Ok(Window {
            plain: mean(&plain),
            seed: mean(&seeds),
            balancer: mean(&all),
            agent: mean(&rates(&start.agents, &end.agents)),
            calls: (end.counts.total - start.counts.total) as f64 / seconds,
            response_bytes: (end.counts.bytes_out - start.counts.bytes_out) as f64 / seconds,
        })
    }

    /// Measures the mean usage of each class over a duration without load.
    pub async fn window(&self, duration: Duration) -> anyhow::Result<Window> {
        let start = self.start_window().await?;
        time::sleep(duration).await;
        self.end_window(&start).await
    }

    /// Starts a window over the balancers only, for measurements that add or restart agents.
    pub async fn start_balancer_window(&self) -> anyhow::Result<FleetSample> {
        let control = self.balancer_bytes().await?;
        let mut balancers = Vec::new();
        for (it, control) in self.balancers.iter().zip(control) {
            balancers.push(UsageSample { usage: Usage::read(it.pid()?)?, control, limited: 0.0 });
        }
        Ok(FleetSample {
            at: Instant::now(),
            balancers,
            agents: Vec::new(),
            counts: Counts::default(),
        })
    }

    /// Ends a window over the balancers only; returns their mean usage per second.
    pub async fn end_balancer_window(&self, start: &FleetSample) -> anyhow::Result<Rate> {
        let used = self.balancer_usage_since(start).await?;
        let seconds = used.seconds;
        Ok(Rate {
            cpu: 100.0 * used.cpu_s / seconds,
            control: used.bytes / seconds,
            limited: 0.0,
            rss: used.rss_mib,
        })
    }

    /// Returns the mean usage of the balancers since the start of a window.
    pub async fn balancer_usage_since(&self, start: &FleetSample) -> anyhow::Result<UsageSince> {
        let mut used = UsageSince::default();
        let n = self.balancers.len() as f64;
        for (it, from) in self.balancers.iter().zip(&start.balancers) {
            let usage = Usage::read(it.pid()?)?;
            used.cpu_s += (usage.cpu_s - from.usage.cpu_s) / n;
            used.rss_mib += usage.rss_mib / n;
        }
        used.seconds = start.at.elapsed().as_secs_f64();
        for (bytes, from) in self.balancer_bytes().await?.into_iter().zip(&start.balancers) {
            used.bytes += (bytes - from.control) / n;
        }
        Ok(used)
    }

    async fn balancer_bytes(&self) -> anyhow::Result<Vec<f64>> {
        let reads = self.balancers.iter().map(|it| self.control_bytes(it.operator));
        join_all(reads).await.into_iter().collect()
    }

    /// Returns the mean number of links to balancers, over the balancers without a lease.
    pub async fn links(&self) -> anyhow::Result<f64> {
        let mut counts = Vec::new();
        for it in &self.balancers {
            let status = self.status(it.operator).await?;
            let links = status.pointer(LINKS_POINTER).and_then(Value::as_array);
            let links =
                links.with_context(|| format!("status of {}: missing {LINKS_POINTER}", it.name))?;
            if status.pointer(LEASE_POINTER).is_some_and(Value::is_u64) {
                continue;
            }
            let to_balancer =
                |it: &&Value| it.as_str().is_some_and(|it| it.starts_with(BALANCER_PREFIX));
            counts.push(links.iter().filter(to_balancer).count());
        }
        Ok(counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64)
    }

    /// Returns the balancers that hold the first lease of their zone, with the zone number.
    pub async fn seeds(&self) -> anyhow::Result<Vec<(usize, &Daemon)>> {
        let mut seeds = Vec::new();
        for (index, it) in self.balancers.iter().enumerate() {
            let status = self.status(it.operator).await?;
            if status.pointer(LEASE_POINTER).and_then(Value::as_u64) == Some(0) {
                seeds.push((index % self.zones, it));
            }
        }
        Ok(seeds)
    }

    /// Number of zones.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// Issues a certificate of the fleet CA.
    pub fn leaf(&self, name: &str) -> anyhow::Result<Leaf> {
        self.authority.leaf(name, &[])
    }

    /// Control-plane address of a daemon.
    pub fn control(&self, it: &Daemon) -> SocketAddr {
        SocketAddr::new(it.host, self.block.port(PORTS[3]))
    }

    /// Returns the number of members in the view of a daemon.
    pub async fn members(&self, it: &Daemon) -> anyhow::Result<u64> {
        let status = self.status(it.operator).await?;
        let count = status.pointer(MEMBERS_POINTER).and_then(Value::as_u64);
        count.with_context(|| format!("status of {}: missing {MEMBERS_POINTER}", it.name))
    }

    /// Returns the revision that a daemon has applied.
    pub async fn applied(&self, operator: SocketAddr) -> anyhow::Result<u64> {
        let status = self.status(operator).await?;
        let applied = status.pointer(APPLIED_POINTER).and_then(Value::as_u64);
        applied.with_context(|| format!("status of {operator}: missing {APPLIED_POINTER}"))
    }

    /// Kills agents in parallel, by index; an error if one is not running.
    pub async fn kill_agents(&mut self, indices: &[usize]) -> anyhow::Result<()> {
        let mut kills = Vec::new();
        for &index in indices {
            let process = self.agents[index].process.take();
            kills.push(process.context("failed to kill an agent: not running")?.kill());
        }
        join_all(kills).await.into_iter().collect()
    }

    /// Restarts killed agents, by index.
    pub fn restart_agents(&mut self, indices: &[usize]) -> anyhow::Result<()> {
        for &index in indices {
            let daemon = &mut self.agents[index];
            daemon.process = Some(Process::start(&daemon.launch, &self.log_dir)?);
        }
        Ok(())
    }

    /// Kills all processes; a graceful stop is not needed, as the fleet has no state to keep.
    pub async fn kill_all(mut self) -> anyhow::Result<()> {
        let daemons = self.agents.iter_mut().chain(&mut self.balancers);
        let mut processes: Vec<Process> = daemons.filter_map(|it| it.process.take()).collect();
        processes.extend(std::mem::take(&mut self.emulators).into_values());
        join_all(processes.into_iter().map(Process::kill)).await.into_iter().collect()
    }
}

impl Daemon {
    /// Process id; an error if the daemon is not running.
    pub fn pid(&self) -> anyhow::Result<u32> {
        let process = self.process.as_ref();
        Ok(process.with_context(|| format!("{} is not running", self.name))?.pid())
    }
}

fn service_spec(target: &Target) -> Value {
    let address = target.address.to_string();
    json!({ "address": address, "pool": target.pool, "certificate": target.name, "connections": 100_000 })
}

fn rate(from: &UsageSample, to: &UsageSample, seconds: f64) -> Rate {
    let limited = (to.limited - from.limited) / seconds;
    Rate {
        cpu: 100.0 * (to.usage.cpu_s - from.usage.cpu_s) / seconds,
        control: (to.control - from.control) / seconds - limited,
        limited,
        rss: to.usage.rss_mib,
    }
}

fn mean(rates: &[Rate]) -> Rate {
    let n = rates.len().max(1) as f64;
    let sum = |of: fn(&Rate) -> f64| rates.iter().map(of).sum::<f64>() / n;
    Rate {
        cpu: sum(|it| it.cpu),
        control: sum(|it| it.control),
        limited: sum(|it| it.limited),
        rss: sum(|it| it.rss),
    }
}

/// Sums a metric over all its label sets.
pub fn sum_metric(text: &str, name: &str) -> f64 {
    let mut sum = 0.0;
    for line in text.lines() {
        let Some(rest) = line.strip_prefix(name) else {
            continue;
        };
        if !rest.starts_with(['{', ' ']) {
            continue;
        }
        let value = rest.rsplit(' ').next().and_then(|it| it.parse::<f64>().ok());
        sum += value.unwrap_or_default();
    }
    sum
}
