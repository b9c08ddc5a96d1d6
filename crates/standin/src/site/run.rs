//! Runs a deployment: starts it, drives load, stops it and judges what was seen.

use std::{
    collections::BTreeMap,
    env, fs,
    net::IpAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail, ensure};
use camphorwinch_core::object::{Kind, Service as ServiceSpec};
use http::{Method, StatusCode};
use quinn::ClientConfig;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

use super::{
    balance,
    deployment::Deployment,
    fleet::{Fleet, Role},
    http::Http,
    journal::{self, Verdict},
    launch::{Launcher, PLATFORM},
    metrics::{self, Sample},
    objects::{self, Objects},
    outcome::Summary,
    pki::Authority,
};
use crate::{
    caller::{
        Target, client,
        load::{Load, Mix, Share},
        report::Report,
        tally::{Incident, Tally},
    },
    platform::Counts,
    upstream::Record,
};

const CALLER_HOSTS: usize = 16;
const SPARE_ENDPOINTS: usize = 32;
const READY_LIMIT: Duration = Duration::from_secs(40);
const READY_POLL: Duration = Duration::from_millis(100);
const PROGRESS: Duration = Duration::from_secs(5);
const MAX_SHOWN: usize = 20;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shape of the deployment.
    pub deployment: &'static Deployment,
    /// Length of the load.
    pub span: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of balancers.
    pub balancers: usize,
    /// Flows held open for the whole run.
    pub flows: usize,
    /// New short flows per second.
    pub opens: f64,
    /// Requests per second on the held flows.
    pub requests: f64,
    /// Folder with the programs.
    pub bin_dir: PathBuf,
}

/// What a run showed.
#[derive(Debug)]
pub struct Result {
    /// Figures.
    pub summary: Summary,
    /// What went wrong besides, such as a process that did not stop gracefully.
    pub faults: Vec<String>,
}

impl Result {
    /// Whether every promise was kept.
    pub fn kept(&self) -> bool {
        self.summary.broken().is_empty() && self.faults.is_empty()
    }
}

/// A deployment that runs.
struct Site {
    settings: Settings,
    launcher: Launcher,
    fleet: Fleet,
    http: Http,
    objects: Objects,
    authority: Authority,
    tally: Arc<Tally>,
}

/// Readings of the counters at one time.
struct Reading {
    at: Instant,
    calls: u64,
    records: BTreeMap<String, Record>,
    samples: Vec<Sample>,
}

/// Runs the deployment until its time is over or `stop` is cancelled.
pub async fn run(settings: Settings, stop: CancellationToken) -> anyhow::Result<Result> {
    let folder = folder()?;
    println!("logs and journals: {}", folder.display());
    let mut site = Site::new(settings, folder.clone())?;
    let result = site.run(stop).await?;
    if result.kept() {
        fs::remove_dir_all(&folder).with_context(|| format!("remove {}", folder.display()))?;
    } else {
        println!("logs and journals are kept in {}", folder.display());
    }
    Ok(result)
}

impl Site {
    fn new(settings: Settings, folder: PathBuf) -> anyhow::Result<Site> {
        check_programs(&settings.bin_dir)?;
        let mut launcher =
            Launcher::new(settings.deployment, settings.bin_dir.clone(), settings.seed)?;
        let mut fleet = Fleet::new(folder);
        launcher.fill(&mut fleet, settings.balancers)?;
        let http = Http::new();
        Ok(Site {
            objects: Objects::new(http.clone(), launcher.platform),
            authority: Authority::new("callers")?,
            tally: Arc::new(Tally::new()),
            settings,
            launcher,
            fleet,
            http,
        })
    }

    async fn run(&mut self, stop: CancellationToken) -> anyhow::Result<Result> {
        self.start().await?;
        self.tally = Arc::new(Tally::new());
        let before = self.read().await?;
        let load = self.start_load(stop)?;
        self.watch(load).await?;
        let after = self.read().await?;
        let fallen = self.fleet.fallen();
        let mut faults: Vec<String> =
            fallen.iter().map(|name| format!("{name} ended by itself")).collect();
        faults.extend(self.stop().await);
        let verdict = self.judge()?;
        let summary = self.summary(&before, &after, &verdict);
        self.print(&summary, &verdict, &before, &after, &faults);
        Ok(Result { summary, faults })
    }

    async fn start(&mut self) -> anyhow::Result<()> {
        self.fleet.start_all(Role::Platform)?;
        self.wait_ready(Role::Platform, "/admin/counts").await?;
        self.create_objects().await?;
        self.fleet.start_all(Role::Fabric)?;
        self.wait_ready(Role::Fabric, "/counts").await?;
        self.fleet.start_all(Role::Upstream)?;
        self.wait_ready(Role::Upstream, "/record").await?;
        self.fleet.start_all(Role::Balancer)?;
        self.wait_ready(Role::Balancer, "/health").await?;
        self.fleet.start_all(Role::Agent)?;
        self.wait_ready(Role::Agent, "/health").await?;
        Ok(())
    }

    async fn wait_ready(&mut self, role: Role, path: &str) -> anyhow::Result<()> {
        let start = Instant::now();
        let names = self.fleet.running(role);
        for name in &names {
            while !self.is_ready(name, path).await? {
                let fallen = self.fleet.fallen();
                ensure!(fallen.is_empty(), "start: ended by themselves: {}", fallen.join(", "));
                if start.elapsed() > READY_LIMIT {
                    bail!("start {name}: not ready after {READY_LIMIT:?}");
                }
                time::sleep(READY_POLL).await;
            }
        }
        println!("{} {role:?} ready after {:.1?}", names.len(), start.elapsed());
        Ok(())
    }

    async fn is_ready(&self, name: &str, path: &str) -> anyhow::Result<bool> {
        let address = self.fleet.get(name)?.admin;
        let answer = self.http.call(Method::GET, address, path, None).await;
        Ok(answer.is_ok_and(|it| it.0 == StatusCode::OK))
    }

    async fn create_objects(&self) -> anyhow::Result<()> {
        let mut rng = StdRng::seed_from_u64(self.settings.seed);
        self.objects.put(Kind::Keys, objects::keys_name(), &objects::keys(&mut rng)).await?;
        for (service, &address) in
            self.settings.deployment.services.iter().zip(&self.launcher.services)
        {
            let name = service.name;
            let certificate = format!("{name}-cert");
            let leaf = self.authority.leaf(name, &[])?;
            self.objects
                .put(Kind::Certificate, &certificate, &objects::certificate(&leaf))
                .await?;
            let spec = ServiceSpec {
                address,
                pool: name.to_owned(),
                certificate,
                policy: service.policy,
                weights: BTreeMap::new(),
                key_window_s: 600,
                retry_budget: 0.1,
                connections: self.settings.deployment.connections,
            };
            self.objects.put(Kind::Service, name, &spec).await?;
        }
        Ok(())
    }

    fn start_load(
        &mut self,
        stop: CancellationToken,
    ) -> anyhow::Result<JoinHandle<anyhow::Result<()>>> {
        let hosts: Vec<IpAddr> = self.launcher.callers(CALLER_HOSTS)?;
        let config: ClientConfig = client::config(self.authority.pem())?;
        let load = Load {
            shares: self.shares(),
            endpoints: client::endpoints(&hosts, self.settings.flows / 2 + SPARE_ENDPOINTS)?,
            config,
            seed: StdRng::seed_from_u64(self.settings.seed).random(),
            span: self.settings.span,
        };
        Ok(tokio::spawn(load.run(self.tally.clone(), stop)))
    }

    fn shares(&self) -> Vec<Share> {
        let Settings { deployment, flows, opens, requests, .. } = &self.settings;
        let mut shares = Vec::new();
        for (service, &address) in deployment.services.iter().zip(&self.launcher.services) {
            let target = Target {
                name: service.name.to_owned(),
                address,
                pool: service.name.to_owned(),
            };
            shares.push(Share {
                target,
                held: (*flows as f64 * service.part).ceil() as usize,
                rate: requests * service.part,
                opens: opens * service.part,
                feeds: service.upstreams * deployment.slots as usize / 2,
                mix: Mix::new(service.shares),
            });
        }
        shares
    }

    async fn watch(&mut self, load: JoinHandle<anyhow::Result<()>>) -> anyhow::Result<()> {
        tokio::pin!(load);
        let mut ticks = time::interval(PROGRESS);
        ticks.tick().await;
        loop {
            tokio::select! {
                ended = &mut load => return ended.context("wait for the load")?,
                _ = ticks.tick() => self.progress(),
            }
        }
    }

    fn progress(&self) {
        let total = self.tally.total();
        let flows = self.tally.flows();
        println!(
            "{:6.1} s: {} flows held, {} opened, {} broken; {} requests, {} whole, {} refused, \
             {} unknown, {} failed",
            self.tally.now().as_secs_f64(),
            flows.held,
            flows.flows,
            flows.broken,
            total.requests,
            total.whole,
            total.refused,
            total.unknown,
            total.failed
        );
    }

    async fn read(&self) -> anyhow::Result<Reading> {
        let platform = self.fleet.get(PLATFORM)?.admin;
        let counts: Counts = self.http.get(platform, "/admin/counts").await?;
        let mut records = BTreeMap::new();
        for name in self.fleet.running(Role::Upstream) {
            let address = self.fleet.get(&name)?.admin;
            records.insert(name, self.http.get::<Record>(address, "/record").await?);
        }
        let (samples, silent) = metrics::read(&self.http, &self.fleet).await;
        ensure!(silent.is_empty(), "read the metrics: no answer from {}", silent.join(", "));
        Ok(Reading { at: Instant::now(), calls: counts.total, records, samples })
    }

    async fn stop(&mut self) -> Vec<String> {
        let order =
            [Role::Agent, Role::Balancer, Role::Fabric, Role::Upstream, Role::Platform];
        let mut faults = Vec::new();
        for role in order {
            for error in self.fleet.stop_all(role).await {
                faults.push(format!("{error:#}"));
            }
        }
        faults
    }

    fn judge(&self) -> anyhow::Result<Verdict> {
        let entries = journal::read(self.fleet.folder())?;
        Ok(journal::judge(&self.tally.attempts(), &entries))
    }

    fn summary(&self, before: &Reading, after: &Reading, verdict: &Verdict) -> Summary {
        let total = self.tally.total();
        let flows = self.tally.flows();
        let latency = self.tally.latency_of_all();
        let span = after.at.duration_since(before.at).as_secs_f64();
        let foreign: u64 = after.records.values().map(|it| it.foreign).sum();
        let loads = balance::loads(&before.records, &after.records);
        let bytes = metrics::growth(&before.samples, &after.samples, metrics::CONTROL_BYTES);
        let violations: f64 = after
            .samples
            .iter()
            .filter_map(|it| metrics::sum(&it.text, metrics::INVARIANTS))
            .sum();
        Summary {
            requests: total.requests,
            whole: total.whole,
            refused_not_run: total.refused,
            unknown: total.unknown,
            failed: total.failed,
            flows: flows.flows,
            broken_flows: flows.broken,
            ran_twice: verdict.twice.len() as u64,
            false_not_run: verdict.untrue.len() as u64,
            wrong_service: total.strays + foreign,
            crossed_answers: total.crossed,
            invariant_failures: violations as u64,
            imbalance: round(balance::imbalance(&loads, &after.records)),
            new_flows_per_s: round(flows.flows as f64 / span),
            p50_ms: latency.p50_ms,
            p99_ms: latency.p99_ms,
            platform_calls_per_s: round((after.calls - before.calls) as f64 / span),
            control_bytes_per_s: round(bytes / span),
            lost_flows: None,
            faults: None,
        }
    }

    fn print(
        &self,
        summary: &Summary,
        verdict: &Verdict,
        before: &Reading,
        after: &Reading,
        faults: &[String],
    ) {
        self.progress();
        print_kinds(&Report::new(&self.tally, self.tally.now()));
        for (name, load) in balance::loads(&before.records, &after.records) {
            println!("{name:<24} {load:>8.3} slots busy");
        }
        println!("{} runs of requests that are not idempotent", verdict.runs);
        print_some("ran twice", &verdict.twice);
        print_some("not run, but was", &verdict.untrue);
        let incidents: Vec<String> =
            self.tally.incidents().iter().map(Incident::to_string).collect();
        print_some("incident", &incidents);
        print_some("fault", faults);
        for (name, count) in summary.broken() {
            println!("BROKEN PROMISE: {name} = {count} (seed {})", self.settings.seed);
        }
    }
}

fn print_kinds(report: &Report) {
    println!(
        "{:<10} {:>9} {:>9} {:>8} {:>8} {:>7} {:>9} {:>9}",
        "kind", "requests", "whole", "refused", "unknown", "failed", "p50 ms", "p99 ms"
    );
    for (kind, counts) in &report.kinds {
        let latency = report.latencies.get(kind).copied().unwrap_or_default();
        println!(
            "{:<10} {:>9} {:>9} {:>8} {:>8} {:>7} {:>9.2} {:>9.2}",
            kind.as_str(),
            counts.requests,
            counts.whole,
            counts.refused,
            counts.unknown,
            counts.failed,
            latency.p50_ms,
            latency.p99_ms
        );
    }
    let flows = report.flows;
    println!(
        "flows: {} opened, {} at most, {} closed gracefully by the far side, {} refused, \
         {} not opened, {} broken",
        flows.flows, flows.peak, flows.graceful, flows.refused, flows.unopened, flows.broken
    );
}

fn print_some(title: &str, lines: &[String]) {
    for line in lines.iter().take(MAX_SHOWN) {
        println!("{title}: {line}");
    }
    if lines.len() > MAX_SHOWN {
        println!("{title}: {} more", lines.len() - MAX_SHOWN);
    }
}

fn check_programs(folder: &Path) -> anyhow::Result<()> {
    for name in ["camphorwinchd", "camphorwinch-standin"] {
        let path = folder.join(name);
        ensure!(path.is_file(), "find the programs: {} is missing", path.display());
    }
    Ok(())
}

fn folder() -> anyhow::Result<PathBuf> {
    let name = format!("camphorwinch-site-{:08x}", rand::rng().random::<u32>());
    let folder = env::temp_dir().join(name);
    fs::create_dir(&folder).with_context(|| format!("make the folder {}", folder.display()))?;
    Ok(folder)
}

fn round(figure: f64) -> f64 {
    (figure * 1_000.0).round() / 1_000.0
}
