//! Runs a deployment: starts it, drives load, stops it and judges what was seen.

use std::{
    collections::BTreeMap,
    env, fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use camphorwinch_core::object::{Kind, Service as ServiceSpec};
use parking_lot::Mutex as SyncMutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{sync::Mutex, task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

use super::{
    balance,
    deployment::Deployment,
    faults::{Blame, Injector, Kinds, Log, Plan, blame},
    fleet::{Fleet, Role},
    http::Http,
    journal::{self, Verdict},
    launch::{Launcher, PLATFORM},
    metrics::{self, Sample},
    objects::{self, Objects},
    outcome::Summary,
    pki::Authority,
    print,
    shared::Shared,
};
use crate::{
    caller::{
        Target, client,
        load::{Load, Mix, Share},
        tally::Tally,
    },
    platform::Counts,
    upstream::Record,
};

const CALLER_HOSTS: usize = 16;
const SPARE_ENDPOINTS: usize = 32;
/// Deaths come a hundred times as often as at a real site, so that doubts about keys must pass sooner.
pub(super) const KEY_WINDOW_S: u32 = 30;
const PROGRESS: Duration = Duration::from_secs(5);

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
    /// Faults to place.
    pub faults: Option<Kinds>,
    /// Mean time between two faults.
    pub every: Duration,
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Findings {
    /// Figures.
    pub summary: Summary,
    /// What callers were told against what was run.
    pub verdict: Verdict,
    /// What callers saw that no fault explains.
    pub blame: Blame,
    /// What went wrong besides, such as a process that did not stop gracefully.
    pub faults: Vec<String>,
    /// Mean number of busy slots by upstream.
    pub loads: BTreeMap<String, f64>,
}

impl Findings {
    /// Whether every promise was kept.
    pub fn kept(&self) -> bool {
        self.summary.broken().is_empty() && self.faults.is_empty()
    }
}

/// A deployment that runs.
struct Site {
    settings: Settings,
    shared: Arc<Shared>,
    log: Arc<Log>,
}

/// Readings of the counters at one time.
struct Reading {
    at: Instant,
    calls: u64,
    records: BTreeMap<String, Record>,
    samples: Vec<Sample>,
}

/// Runs the deployment until its time is over or `stop` is cancelled.
pub async fn run(settings: Settings, stop: CancellationToken) -> anyhow::Result<Findings> {
    let folder = folder()?;
    println!("seed {}, logs and journals in {}", settings.seed, folder.display());
    let site = Site::new(settings, folder.clone())?;
    let findings = site.run(stop).await?;
    print::findings(&findings, &site.shared.tally, &site.log, site.settings.seed);
    if findings.kept() {
        fs::remove_dir_all(&folder).with_context(|| format!("remove {}", folder.display()))?;
    } else {
        println!("logs and journals are kept in {}", folder.display());
    }
    Ok(findings)
}

impl Site {
    fn new(settings: Settings, folder: PathBuf) -> anyhow::Result<Site> {
        check_programs(&settings.bin_dir)?;
        let mut launcher =
            Launcher::new(settings.deployment, settings.bin_dir.clone(), settings.seed)?;
        let mut fleet = Fleet::new(folder);
        launcher.fill(&mut fleet, settings.balancers)?;
        println!("platform at http://{}", launcher.platform);
        let http = Http::new();
        let shared = Shared {
            deployment: settings.deployment,
            fleet: Mutex::new(fleet),
            objects: Objects::new(http.clone(), launcher.platform),
            launcher: Mutex::new(launcher),
            unrouted: SyncMutex::default(),
            retired: SyncMutex::default(),
            ended: SyncMutex::default(),
            http,
            authority: Authority::new("callers")?,
            tally: Arc::new(Tally::new()),
        };
        Ok(Site { settings, shared: Arc::new(shared), log: Arc::new(Log::default()) })
    }

    async fn run(&self, stop: CancellationToken) -> anyhow::Result<Findings> {
        self.start().await?;
        let before = self.read().await?;
        let load = self.start_load(stop.clone()).await?;
        let injector = self.start_faults(stop);
        self.watch(load).await?;
        injector.await.context("wait for the faults")?;
        let after = self.read().await?;
        let mut faults = self.log.broken();
        for name in self.shared.fleet.lock().await.fallen() {
            faults.push(format!("{name} ended by itself"));
        }
        faults.extend(self.stop().await);
        let entries = journal::read(self.shared.fleet.lock().await.folder())?;
        let verdict = journal::judge(&self.shared.tally.attempts(), &entries);
        let blame = blame(&self.shared.tally.incidents(), &self.log.placed());
        let summary = self.summary(&before, &after, &verdict, &blame);
        let loads = balance::loads(&before.records, &after.records);
        Ok(Findings { summary, verdict, blame, faults, loads })
    }

    async fn start(&self) -> anyhow::Result<()> {
        self.shared.start_all(Role::Platform).await?;
        self.create_objects().await?;
        for role in [Role::Fabric, Role::Upstream, Role::Balancer, Role::Agent] {
            self.shared.start_all(role).await?;
        }
        Ok(())
    }

    async fn create_objects(&self) -> anyhow::Result<()> {
        let objects = &self.shared.objects;
        let mut rng = StdRng::seed_from_u64(self.settings.seed);
        objects.put(Kind::Keys, objects::keys_name(), &objects::keys(&mut rng)).await?;
        let addresses = self.shared.launcher.lock().await.services.clone();
        for (service, address) in self.settings.deployment.services.iter().zip(addresses) {
            let certificate = format!("{}-cert", service.name);
            let leaf = self.shared.authority.leaf(service.name, &[])?;
            let spec = objects::certificate(&leaf);
            objects.put(Kind::Certificate, &certificate, &spec).await?;
            let spec = ServiceSpec {
                address,
                pool: service.name.to_owned(),
                certificate,
                policy: service.policy,
                weights: BTreeMap::new(),
                key_window_s: KEY_WINDOW_S,
                retry_budget: 0.1,
                connections: self.settings.deployment.connections,
            };
            objects.put(Kind::Service, service.name, &spec).await?;
        }
        Ok(())
    }

    async fn start_load(
        &self,
        stop: CancellationToken,
    ) -> anyhow::Result<JoinHandle<anyhow::Result<()>>> {
        let hosts = self.shared.launcher.lock().await.callers(CALLER_HOSTS)?;
        let load = Load {
            shares: self.shares().await,
            endpoints: client::endpoints(&hosts, self.settings.flows / 2 + SPARE_ENDPOINTS)?,
            config: client::config(self.shared.authority.pem())?,
            seed: StdRng::seed_from_u64(self.settings.seed).random(),
            span: self.settings.span,
        };
        Ok(tokio::spawn(load.run(self.shared.tally.clone(), stop)))
    }

    async fn shares(&self) -> Vec<Share> {
        let Settings { deployment, flows, opens, requests, .. } = &self.settings;
        let addresses = self.shared.launcher.lock().await.services.clone();
        let mut shares = Vec::new();
        for (service, address) in deployment.services.iter().zip(addresses) {
            let name = service.name.to_owned();
            shares.push(Share {
                target: Target { name: name.clone(), address, pool: name },
                held: (*flows as f64 * service.part).ceil() as usize,
                rate: requests * service.part,
                opens: opens * service.part,
                feeds: service.upstreams * deployment.slots as usize / 2,
                mix: Mix::new(service.shares),
            });
        }
        shares
    }

    fn start_faults(&self, stop: CancellationToken) -> JoinHandle<()> {
        let Some(kinds) = &self.settings.faults else {
            return tokio::spawn(async {});
        };
        let plan = Plan {
            kinds: kinds.0.clone(),
            every: self.settings.every,
            span: self.settings.span,
            seed: self.settings.seed,
        };
        let injector = Injector::new(self.shared.clone(), self.log.clone());
        tokio::spawn(injector.run(plan, stop))
    }

    async fn watch(&self, load: JoinHandle<anyhow::Result<()>>) -> anyhow::Result<()> {
        tokio::pin!(load);
        let mut ticks = time::interval(PROGRESS);
        ticks.tick().await;
        loop {
            tokio::select! {
                ended = &mut load => return ended.context("wait for the load")?,
                _ = ticks.tick() => print::progress(&self.shared.tally),
            }
        }
    }

    async fn read(&self) -> anyhow::Result<Reading> {
        let shared = &self.shared;
        let platform = shared.admin(PLATFORM).await?;
        let counts: Counts = shared.http.get(platform, "/admin/counts").await?;
        let names = shared.fleet.lock().await.running(Role::Upstream);
        let mut records = BTreeMap::new();
        for name in names {
            let record = shared.record(&name).await?;
            records.insert(name, record);
        }
        let (samples, silent) = metrics::read(&shared.http, &*shared.fleet.lock().await).await;
        ensure!(silent.is_empty(), "read the metrics: no answer from {}", silent.join(", "));
        Ok(Reading { at: Instant::now(), calls: counts.total, records, samples })
    }

    async fn stop(&self) -> Vec<String> {
        let order = [Role::Agent, Role::Balancer, Role::Fabric, Role::Upstream, Role::Platform];
        let mut faults = Vec::new();
        let mut fleet = self.shared.fleet.lock().await;
        for role in order {
            let late = tokio::spawn(self.shared.clone().keep_status(fleet.daemons(role)));
            for error in fleet.stop_all(role).await {
                faults.push(format!("{error:#}"));
            }
            late.abort();
        }
        faults
    }

    fn summary(
        &self,
        before: &Reading,
        after: &Reading,
        verdict: &Verdict,
        blame: &Blame,
    ) -> Summary {
        let tally = &self.shared.tally;
        let (total, flows, latency) = (tally.total(), tally.flows(), tally.latency_of_all());
        let span = after.at.duration_since(before.at).as_secs_f64();
        let loads = balance::loads(&before.records, &after.records);
        let bytes = metrics::growth(&before.samples, &after.samples, metrics::CONTROL_BYTES);
        let faulty = self.settings.faults.is_some();
        Summary {
            requests: total.requests,
            whole: total.whole,
            refused_not_run: total.refused,
            unknown: total.unknown + blame.cut_answers,
            failed: total.failed - blame.cut_answers,
            flows: flows.flows,
            broken_flows: flows.broken - blame.lost_flows,
            ran_twice: verdict.twice.len() as u64,
            false_not_run: verdict.untrue.len() as u64,
            wrong_service: total.strays + self.foreign(after),
            crossed_answers: total.crossed,
            invariant_failures: violations(&after.samples) + violations(&self.shared.ended.lock()),
            imbalance: round(balance::imbalance(&loads, &after.records)),
            new_flows_per_s: round(flows.flows as f64 / span),
            p50_ms: latency.p50_ms,
            p99_ms: latency.p99_ms,
            platform_calls_per_s: round((after.calls - before.calls) as f64 / span),
            control_bytes_per_s: round(bytes / span),
            lost_flows: faulty.then_some(blame.lost_flows),
            faults: faulty.then_some(self.log.placed().len() as u64),
        }
    }

    /// Requests that met an upstream of another service.
    fn foreign(&self, after: &Reading) -> u64 {
        let retired = self.shared.retired.lock();
        after.records.values().chain(retired.iter()).map(|it| it.foreign).sum()
    }
}

fn violations(samples: &[Sample]) -> u64 {
    let mut sum = 0.0;
    for sample in samples {
        sum += metrics::sum(&sample.text, metrics::INVARIANTS).unwrap_or(0.0);
    }
    sum as u64
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
