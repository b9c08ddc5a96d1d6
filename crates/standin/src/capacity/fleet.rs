//! Real processes for a measurement: platform, upstream, fabric, balancers and agents, at a size that can grow.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use camphorwinch_core::object::{KEYS_NAME, Kind};
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
        block::Block,
        http::Http,
        objects::{self, Objects},
        pki::{Authority, Leaf},
        process::{Launch, Process},
    },
};

const REGIONS: usize = 2;
/// Upstreams behind a service at the size designed for: 5,900 behind 680.
const POOL: usize = 9;
const PORTS: [u16; 6] = [0, 1, 2, 3, 4, 5];
const SERVICE_PORTS: u16 = 100;
const POLL: Duration = Duration::from_millis(50);
const DAEMON: &str = "camphorwinchd";
const STANDIN: &str = "camphorwinch-standin";
const LEASE: &str = "/control/lease";
const MEMBERS: &str = "/control/members";
const BALANCER: &str = "entry-";
const APPLIED: &str = "/control/applied";
const LINKS: &str = "/control/links";
const LIMITED: [&str; 2] = [
    "camphorwinch_platform_bytes_total{call=\"put timeline\"}",
    "camphorwinch_platform_bytes_total{call=\"put report\"}",
];
const CONTROL_BYTES: &str = "camphorwinch_control_bytes_total";

/// A balancer or an agent that runs.
#[derive(Debug)]
pub struct Daemon {
    /// Name.
    pub name: String,
    /// Address of the VM.
    pub host: IpAddr,
    /// Operator address.
    pub operator: SocketAddr,
    launch: Launch,
    process: Option<Process>,
}

/// What a daemon has used up to a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// Processor time and memory.
    pub usage: Usage,
    /// Control bytes sent and received.
    pub control: f64,
    /// Of these, writes of timeline and whole report, whose rate is limited.
    pub limited: f64,
}

/// What a daemon used for each second of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Processor time, in percent of a core.
    pub cpu: f64,
    /// Control bytes, without writes of timeline and whole report.
    pub control: f64,
    /// Bytes of writes of timeline and whole report, which come in bursts at a limited rate.
    pub limited: f64,
    /// Memory at the end, in MiB.
    pub rss: f64,
}

/// Means over the processes of each class, in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// Mean balancer that holds no lease.
    pub plain: Rate,
    /// Mean balancer that holds the first lease of its zone, and so reports for it.
    pub seed: Rate,
    /// Mean balancer of either class.
    pub balancer: Rate,
    /// Mean agent.
    pub agent: Rate,
    /// Calls of the platform, for each second.
    pub calls: f64,
    /// Bytes that the platform answered with, for each second.
    pub answers: f64,
}

/// What the mean daemon has used since a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used {
    /// Seconds since the moment.
    pub seconds: f64,
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Control bytes.
    pub bytes: f64,
    /// Memory now, in MiB.
    pub rss_mib: f64,
}

/// Readings of all daemons at one moment.
#[derive(Clone, Debug)]
pub struct Moment {
    at: Instant,
    balancers: Vec<Reading>,
    agents: Vec<Reading>,
    counts: Counts,
}

/// A fleet of real processes.
pub struct Fleet {
    /// Client for operator and admin addresses.
    pub http: Http,
    /// Writes objects.
    pub objects: Objects,
    /// Balancers.
    pub balancers: Vec<Daemon>,
    /// Agents.
    pub agents: Vec<Daemon>,
    /// Services.
    pub services: Vec<Target>,
    block: Block,
    authority: Authority,
    folder: PathBuf,
    bin: PathBuf,
    platform: SocketAddr,
    upstream: SocketAddr,
    fabric: SocketAddr,
    service_host: IpAddr,
    standins: BTreeMap<&'static str, Process>,
    pools: usize,
    zones: usize,
}

impl Fleet {
    /// Starts the platform and an upstream, with keys but no services, and no daemons yet.
    pub async fn start(bin: &Path, folder: &Path, zones: usize) -> anyhow::Result<Fleet> {
        let mut block = Block::new()?;
        let platform = SocketAddr::new(block.host()?, block.port(PORTS[0]));
        let upstream = SocketAddr::new(block.host()?, block.port(PORTS[1]));
        let fabric = SocketAddr::new(block.host()?, block.port(PORTS[2]));
        let service_host = block.host()?;
        let http = Http::new();
        let mut fleet = Fleet {
            objects: Objects::new(http.clone(), platform),
            http,
            balancers: Vec::new(),
            agents: Vec::new(),
            services: Vec::new(),
            block,
            authority: Authority::new("fleet")?,
            folder: folder.to_owned(),
            bin: bin.to_owned(),
            platform,
            upstream,
            fabric,
            service_host,
            standins: BTreeMap::new(),
            pools: 1,
            zones,
        };
        fleet.start_standins().await?;
        let keys = objects::keys(&mut StdRng::seed_from_u64(1));
        fleet.objects.put(Kind::Keys, KEYS_NAME, &keys).await?;
        Ok(fleet)
    }

    async fn start_standins(&mut self) -> anyhow::Result<()> {
        let listen = self.platform.to_string();
        self.start_standin("platform", &["--listen", &listen, "--history", "8192"])?;
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
        self.start_standin("upstream", &args)?;
        let up = async {
            while self.counts().await.is_err() {
                time::sleep(POLL).await;
            }
        };
        time::timeout(Duration::from_secs(10), up).await.context("wait for the platform")
    }

    fn upstream_admin(&self) -> SocketAddr {
        SocketAddr::new(self.upstream.ip(), self.block.port(PORTS[5]))
    }

    fn start_standin(&mut self, name: &'static str, args: &[&str]) -> anyhow::Result<()> {
        let mut all = vec![name.to_owned()];
        all.extend(args.iter().map(|it| (*it).to_owned()));
        let launch = Launch {
            name: name.to_owned(),
            program: self.bin.join(STANDIN),
            args: all,
            env: Vec::new(),
        };
        let process = Process::start(&launch, &self.folder)?;
        self.standins.insert(name, process);
        Ok(())
    }

    /// Starts the fabric between callers and the balancers that run now, for the first service.
    pub fn start_fabric(&mut self) -> anyhow::Result<()> {
        let service = self.services.first().context("start the fabric: there is no service")?;
        let port = service.address.port();
        let route: Vec<String> =
            self.balancers.iter().map(|it| SocketAddr::new(it.host, port).to_string()).collect();
        let route = format!("{}={}", service.address, route.join(","));
        let admin = self.fabric.to_string();
        self.start_standin("fabric", &["--admin", &admin, "--seed", "1", "--route", &route])
    }

    /// Adds services, each with a certificate of its own; `pools` of them share the agents.
    pub async fn add_services(&mut self, count: usize, pools: usize) -> anyhow::Result<()> {
        self.pools = pools.max(1);
        for i in self.services.len()..count {
            let name = format!("service-{i}");
            let leaf = self.authority.leaf(&name, &[])?;
            self.objects.put(Kind::Certificate, &name, &objects::certificate(&leaf)).await?;
            let port = self.block.port(SERVICE_PORTS) + u16::try_from(i).context("services")?;
            let address = SocketAddr::new(self.service_host, port);
            let pool = format!("pool-{}", i % self.pools);
            let target = Target { name: name.clone(), address, pool };
            self.objects.put(Kind::Service, &name, &spec(&target)).await?;
            self.services.push(target);
        }
        Ok(())
    }

    /// Writes a service again with another setting; the object's new version.
    pub async fn touch(&self, number: usize, connections: u32) -> anyhow::Result<u64> {
        let target = &self.services[number % self.services.len()];
        let mut spec = spec(target);
        spec["connections"] = json!(connections);
        Ok(self.objects.put(Kind::Service, &target.name, &spec).await?.version)
    }

    /// Starts balancers until there are `count`.
    pub fn add_balancers(&mut self, count: usize) -> anyhow::Result<()> {
        for i in self.balancers.len()..count {
            let name = format!("{BALANCER}{i}");
            let host = self.block.host()?;
            let mut args = vec!["balance".to_owned()];
            args.extend(self.common(&name, i, host));
            args.extend(["--bind".to_owned(), "own".to_owned()]);
            args.extend(["--data".to_owned(), self.at(host, 2)]);
            let daemon = self.daemon(name, host, args)?;
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
            args.extend(self.common(&name, i, host));
            let pool = format!("pool-{}", (i / POOL) % self.pools);
            for (flag, value) in [
                ("--pool", pool),
                ("--data", self.at(host, 2)),
                ("--upstream", self.upstream.to_string()),
                ("--connections", "100000".to_owned()),
                ("--reply", "own".to_owned()),
            ] {
                args.extend([flag.to_owned(), value]);
            }
            let daemon = self.daemon(name, host, args)?;
            self.agents.push(daemon);
        }
        Ok(())
    }

    fn daemon(&self, name: String, host: IpAddr, args: Vec<String>) -> anyhow::Result<Daemon> {
        let Leaf { chain, key } = self.authority.leaf(&name, &[host])?;
        let env = vec![
            ("CAMPHORWINCH_FLEET_CA".to_owned(), self.authority.pem().to_owned()),
            ("CAMPHORWINCH_FLEET_CERT".to_owned(), chain),
            ("CAMPHORWINCH_FLEET_KEY".to_owned(), key),
        ];
        let launch = Launch { name: name.clone(), program: self.bin.join(DAEMON), args, env };
        let process = Some(Process::start(&launch, &self.folder)?);
        let operator = SocketAddr::new(host, self.block.port(PORTS[4]));
        Ok(Daemon { name, host, operator, launch, process })
    }

    fn common(&self, name: &str, number: usize, host: IpAddr) -> Vec<String> {
        let zone = number % self.zones;
        let mut args = Vec::new();
        for (flag, value) in [
            ("--name", name.to_owned()),
            ("--vm", format!("vm-{name}")),
            ("--zone", format!("zone-{zone}")),
            ("--region", format!("region-{}", zone % REGIONS)),
            ("--platform", format!("http://{}", self.platform)),
            ("--control", self.at(host, 3)),
            ("--operator", self.at(host, 4)),
            ("--log-level", "warn".to_owned()),
        ] {
            args.extend([flag.to_owned(), value]);
        }
        args
    }

    fn at(&self, host: IpAddr, number: usize) -> String {
        SocketAddr::new(host, self.block.port(PORTS[number])).to_string()
    }

    /// Addresses for callers to send from.
    pub fn callers(&mut self, count: usize) -> anyhow::Result<Vec<IpAddr>> {
        (0..count).map(|_| self.block.host()).collect()
    }

    /// The CA that services' certificates are signed by, as PEM text.
    pub fn ca(&self) -> &str {
        self.authority.pem()
    }

    /// All daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.balancers.iter().chain(&self.agents)
    }

    /// Waits until every daemon says that it is healthy; how long that took.
    pub async fn settle(&self, limit: Duration) -> anyhow::Result<Duration> {
        let start = Instant::now();
        let mut waiting: Vec<&Daemon> = self.daemons().collect();
        loop {
            let checks = waiting.iter().map(|it| self.healthy(it.operator));
            let healthy = join_all(checks).await;
            let mut healthy = healthy.into_iter();
            waiting.retain(|_| !healthy.next().unwrap_or(false));
            if waiting.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                let names: Vec<&str> = waiting.iter().map(|it| it.name.as_str()).collect();
                bail!("wait for health: not healthy after {limit:?}: {}", names.join(", "));
            }
            time::sleep(POLL).await;
        }
    }

    async fn healthy(&self, operator: SocketAddr) -> bool {
        let answer = self.http.call(Method::GET, operator, "/health", None).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    }

    /// The status of a daemon.
    pub async fn status(&self, operator: SocketAddr) -> anyhow::Result<Value> {
        self.http.get(operator, "/status").await
    }

    /// The platform's counts.
    pub async fn counts(&self) -> anyhow::Result<Counts> {
        self.http.get(self.platform, "/admin/counts").await
    }

    /// Sets the platform's faults.
    pub async fn set_faults(&self, faults: &Value) -> anyhow::Result<()> {
        self.http.put(self.platform, "/admin/faults", faults).await.map(drop)
    }

    /// Readings of all daemons. At the start of a window the metrics are read before the processor time, at its end
    /// after it, so that reading is not measured.
    async fn moment(&self, start: bool) -> anyhow::Result<Moment> {
        let mut usage = Vec::new();
        if !start {
            usage = self.usages()?;
        }
        let control = join_all(self.daemons().map(|it| self.traffic(it.operator))).await;
        let counts = self.counts().await?;
        if start {
            usage = self.usages()?;
        }
        let mut readings = Vec::new();
        for (usage, control) in usage.into_iter().zip(control) {
            let (control, limited) = control?;
            readings.push(Reading { usage, control, limited });
        }
        let agents = readings.split_off(self.balancers.len());
        Ok(Moment { at: Instant::now(), balancers: readings, agents, counts })
    }

    fn usages(&self) -> anyhow::Result<Vec<Usage>> {
        self.daemons().map(|it| Usage::read(it.pid()?)).collect()
    }

    /// Control bytes of a daemon since its start.
    pub async fn control_bytes(&self, operator: SocketAddr) -> anyhow::Result<f64> {
        Ok(self.traffic(operator).await?.0)
    }

    /// Control bytes of a daemon since its start, and how many of them are writes at a limited rate.
    async fn traffic(&self, operator: SocketAddr) -> anyhow::Result<(f64, f64)> {
        let text = self.http.text(operator, "/metrics").await?;
        let limited = LIMITED.iter().map(|it| metric(&text, it)).sum();
        Ok((metric(&text, CONTROL_BYTES), limited))
    }

    /// Starts a window.
    pub async fn open(&self) -> anyhow::Result<Moment> {
        self.moment(true).await
    }

    /// Ends a window: what each class used on average.
    pub async fn close(&self, start: &Moment) -> anyhow::Result<Window> {
        let end = self.moment(false).await?;
        let seconds = (end.at - start.at).as_secs_f64();
        let rates = |from: &[Reading], to: &[Reading]| -> Vec<Rate> {
            from.iter().zip(to).map(|(from, to)| rate(from, to, seconds)).collect()
        };
        let mut plain = Vec::new();
        let mut seeds = Vec::new();
        let all = rates(&start.balancers, &end.balancers);
        for (it, &rate) in self.balancers.iter().zip(&all) {
            let status = self.status(it.operator).await?;
            match status.pointer(LEASE).and_then(Value::as_u64) {
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
            answers: (end.counts.bytes_out - start.counts.bytes_out) as f64 / seconds,
        })
    }

    /// What each role uses on average while nothing is asked of it.
    pub async fn window(&self, length: Duration) -> anyhow::Result<Window> {
        let start = self.open().await?;
        time::sleep(length).await;
        self.close(&start).await
    }

    /// Starts a window over the balancers alone, as agents come and go.
    pub async fn open_balancers(&self) -> anyhow::Result<Moment> {
        let control = self.balancer_bytes().await?;
        let mut balancers = Vec::new();
        for (it, control) in self.balancers.iter().zip(control) {
            balancers.push(Reading { usage: Usage::read(it.pid()?)?, control, limited: 0.0 });
        }
        Ok(Moment { at: Instant::now(), balancers, agents: Vec::new(), counts: Counts::default() })
    }

    /// Ends a window over the balancers alone: what the mean one used for each second.
    pub async fn close_balancers(&self, start: &Moment) -> anyhow::Result<Rate> {
        let used = self.used_by_balancers(start).await?;
        let seconds = used.seconds;
        Ok(Rate {
            cpu: 100.0 * used.cpu_s / seconds,
            control: used.bytes / seconds,
            limited: 0.0,
            rss: used.rss_mib,
        })
    }

    /// What the mean balancer has used since the start of a window.
    pub async fn used_by_balancers(&self, start: &Moment) -> anyhow::Result<Used> {
        let mut used = Used::default();
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

    /// Mean number of links to other balancers, of balancers that hold no lease.
    pub async fn links(&self) -> anyhow::Result<f64> {
        let mut counts = Vec::new();
        for it in &self.balancers {
            let status = self.status(it.operator).await?;
            let links = status.pointer(LINKS).and_then(Value::as_array);
            let links = links.with_context(|| format!("status of {}: no {LINKS}", it.name))?;
            if status.pointer(LEASE).is_some_and(Value::is_u64) {
                continue;
            }
            let to_balancer = |it: &&Value| it.as_str().is_some_and(|it| it.starts_with(BALANCER));
            counts.push(links.iter().filter(to_balancer).count());
        }
        Ok(counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64)
    }

    /// The balancers that hold the first lease of their zone, with the number of the zone.
    pub async fn seeds(&self) -> anyhow::Result<Vec<(usize, &Daemon)>> {
        let mut seeds = Vec::new();
        for (number, it) in self.balancers.iter().enumerate() {
            let status = self.status(it.operator).await?;
            if status.pointer(LEASE).and_then(Value::as_u64) == Some(0) {
                seeds.push((number % self.zones, it));
            }
        }
        Ok(seeds)
    }

    /// Number of zones.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// A certificate of the fleet.
    pub fn leaf(&self, name: &str) -> anyhow::Result<Leaf> {
        self.authority.leaf(name, &[])
    }

    /// Control address of a daemon.
    pub fn control(&self, it: &Daemon) -> SocketAddr {
        SocketAddr::new(it.host, self.block.port(PORTS[3]))
    }

    /// Number of members that a daemon knows.
    pub async fn members(&self, it: &Daemon) -> anyhow::Result<u64> {
        let status = self.status(it.operator).await?;
        let count = status.pointer(MEMBERS).and_then(Value::as_u64);
        count.with_context(|| format!("status of {}: no {MEMBERS}", it.name))
    }

    /// Revision that a daemon has in force.
    pub async fn applied(&self, operator: SocketAddr) -> anyhow::Result<u64> {
        let status = self.status(operator).await?;
        let applied = status.pointer(APPLIED).and_then(Value::as_u64);
        applied.with_context(|| format!("status of {operator}: no {APPLIED}"))
    }

    /// Kills some agents at once, by their numbers.
    pub async fn kill_agents(&mut self, numbers: &[usize]) -> anyhow::Result<()> {
        let mut kills = Vec::new();
        for &number in numbers {
            let process = self.agents[number].process.take();
            kills.push(process.context("kill an agent: it does not run")?.kill());
        }
        join_all(kills).await.into_iter().collect()
    }

    /// Starts agents again that were killed, by their numbers.
    pub fn restart_agents(&mut self, numbers: &[usize]) -> anyhow::Result<()> {
        for &number in numbers {
            let daemon = &mut self.agents[number];
            daemon.process = Some(Process::start(&daemon.launch, &self.folder)?);
        }
        Ok(())
    }

    /// Kills everything: these fleets hold nothing that a graceful stop would save.
    pub async fn end(mut self) -> anyhow::Result<()> {
        let daemons = self.agents.iter_mut().chain(&mut self.balancers);
        let mut processes: Vec<Process> = daemons.filter_map(|it| it.process.take()).collect();
        processes.extend(std::mem::take(&mut self.standins).into_values());
        join_all(processes.into_iter().map(Process::kill)).await.into_iter().collect()
    }
}

impl Daemon {
    /// Process id.
    pub fn pid(&self) -> anyhow::Result<u32> {
        let process = self.process.as_ref();
        Ok(process.with_context(|| format!("{} does not run", self.name))?.pid())
    }
}

fn spec(target: &Target) -> Value {
    let address = target.address.to_string();
    json!({ "address": address, "pool": target.pool, "certificate": target.name, "connections": 100_000 })
}

fn rate(from: &Reading, to: &Reading, seconds: f64) -> Rate {
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

/// Sum of a metric over its labels.
pub fn metric(text: &str, name: &str) -> f64 {
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
