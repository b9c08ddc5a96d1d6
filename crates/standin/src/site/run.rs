//! Runs a deployment: starts it, generates load, stops it and checks the results.

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
    faults::{Attribution, FaultKinds, FaultLog, FaultPlan, Injector, attribute_incidents},
    fleet::{Fleet, Role},
    http::HttpClient,
    journal::{self, JournalCheck},
    launch::{Launcher, PLATFORM},
    metrics::{self, ProcessMetrics},
    objects::{self, ObjectClient},
    outcome::Summary,
    pki::Authority,
    print,
    shared::Shared,
};
use crate::{
    caller::{
        Target, client,
        load::{Load, Mix, ServiceLoad},
        stats::LoadStats,
    },
    platform::Counts,
    upstream::Record,
};

const CALLER_HOSTS: usize = 16;
const SPARE_ENDPOINTS: usize = 32;
/// Short, since faults are far more frequent than in production.
pub(super) const KEY_WINDOW_S: u32 = 30;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shape of the deployment.
    pub deployment: &'static Deployment,
    /// Length of the load.
    pub load_duration: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of balancers.
    pub balancers: usize,
    /// Number of flows held open for the whole run.
    pub held_flows: usize,
    /// New short flows per second.
    pub new_flows_per_s: f64,
    /// Requests per second on the held flows.
    pub requests_per_s: f64,
    /// Folder with the programs.
    pub bin_dir: PathBuf,
    /// Fault kinds to inject, if any.
    pub faults: Option<FaultKinds>,
    /// Mean time between faults.
    pub fault_interval: Duration,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Figures of the run.
    pub summary: Summary,
    /// Reported outcomes compared with the upstreams' journals.
    pub journal: JournalCheck,
    /// Incidents by whether a fault explains them.
    pub attribution: Attribution,
    /// Other problems, such as a process that did not stop gracefully.
    pub problems: Vec<String>,
    /// Mean number of busy slots by upstream.
    pub loads: BTreeMap<String, f64>,
}

impl RunResult {
    /// Whether no guarantee was violated and no other problem occurred.
    pub fn passed(&self) -> bool {
        self.summary.violations().is_empty() && self.problems.is_empty()
    }
}

/// A deployment and its settings.
struct Site {
    settings: Settings,
    shared: Arc<Shared>,
    log: Arc<FaultLog>,
}

/// Counters at one time.
struct CounterSnapshot {
    at: Instant,
    calls: u64,
    records: BTreeMap<String, Record>,
    samples: Vec<ProcessMetrics>,
}

/// Runs the deployment until the load ends or `stop` is cancelled.
pub async fn run(settings: Settings, stop: CancellationToken) -> anyhow::Result<RunResult> {
    let folder = create_folder()?;
    println!("seed {}, logs and journals in {}", settings.seed, folder.display());
    let site = Site::new(settings, folder.clone())?;
    let result = site.run(stop).await?;
    print::result(&result, &site.shared.stats, &site.log, site.settings.seed);
    if result.passed() {
        fs::remove_dir_all(&folder).with_context(|| format!("remove {}", folder.display()))?;
    } else {
        println!("logs and journals kept in {}", folder.display());
    }
    Ok(result)
}

impl Site {
    fn new(settings: Settings, folder: PathBuf) -> anyhow::Result<Site> {
        check_programs(&settings.bin_dir)?;
        let mut launcher =
            Launcher::new(settings.deployment, settings.bin_dir.clone(), settings.seed)?;
        let mut fleet = Fleet::new(folder);
        launcher.add_all(&mut fleet, settings.balancers)?;
        println!("platform at http://{}", launcher.platform);
        let http = HttpClient::new();
        let shared = Shared {
            deployment: settings.deployment,
            fleet: Mutex::new(fleet),
            objects: ObjectClient::new(http.clone(), launcher.platform),
            launcher: Mutex::new(launcher),
            unrouted: SyncMutex::default(),
            retired_records: SyncMutex::default(),
            final_metrics: SyncMutex::default(),
            http,
            authority: Authority::new("callers")?,
            stats: Arc::new(LoadStats::new()),
        };
        Ok(Site { settings, shared: Arc::new(shared), log: Arc::new(FaultLog::default()) })
    }

    async fn run(&self, stop: CancellationToken) -> anyhow::Result<RunResult> {
        self.start().await?;
        let before = self.snapshot().await?;
        let load = self.start_load(stop.clone()).await?;
        let injector = self.start_faults(stop);
        self.wait_for_load(load).await?;
        injector.await.context("wait for the faults")?;
        let after = self.snapshot().await?;
        let mut problems = self.log.violations();
        for name in self.shared.fleet.lock().await.exited() {
            problems.push(format!("{name} exited unexpectedly"));
        }
        problems.extend(self.stop().await);
        let entries = journal::read(self.shared.fleet.lock().await.folder())?;
        let journal = journal::check(&self.shared.stats.attempts(), &entries);
        let attribution = attribute_incidents(&self.shared.stats.incidents(), &self.log.injected());
        let summary = self.summary(&before, &after, &journal, &attribution);
        let loads = balance::loads(&before.records, &after.records);
        Ok(RunResult { summary, journal, attribution, problems, loads })
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
        objects.put(Kind::Keys, objects::keys_name(), &objects::new_keys(&mut rng)).await?;
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
            services: self.service_loads().await,
            endpoints: client::endpoints(&hosts, self.settings.held_flows / 2 + SPARE_ENDPOINTS)?,
            config: client::config(self.shared.authority.pem())?,
            seed: StdRng::seed_from_u64(self.settings.seed).random(),
            duration: self.settings.load_duration,
        };
        Ok(tokio::spawn(load.run(self.shared.stats.clone(), stop)))
    }

    async fn service_loads(&self) -> Vec<ServiceLoad> {
        let Settings { deployment, held_flows, new_flows_per_s, requests_per_s, .. } =
            &self.settings;
        let addresses = self.shared.launcher.lock().await.services.clone();
        let mut loads = Vec::new();
        for (service, address) in deployment.services.iter().zip(addresses) {
            let name = service.name.to_owned();
            loads.push(ServiceLoad {
                target: Target { name: name.clone(), address, pool: name },
                held_flows: (*held_flows as f64 * service.load_share).ceil() as usize,
                requests_per_s: requests_per_s * service.load_share,
                new_flows_per_s: new_flows_per_s * service.load_share,
                max_feeds: service.upstreams * deployment.slots as usize / 2,
                mix: Mix::new(service.shares),
            });
        }
        loads
    }

    fn start_faults(&self, stop: CancellationToken) -> JoinHandle<()> {
        let Some(kinds) = &self.settings.faults else {
            return tokio::spawn(async {});
        };
        let plan = FaultPlan {
            kinds: kinds.0.clone(),
            mean_interval: self.settings.fault_interval,
            load_duration: self.settings.load_duration,
            seed: self.settings.seed,
        };
        let injector = Injector::new(self.shared.clone(), self.log.clone());
        tokio::spawn(injector.run(plan, stop))
    }

    async fn wait_for_load(&self, load: JoinHandle<anyhow::Result<()>>) -> anyhow::Result<()> {
        tokio::pin!(load);
        let mut progress = time::interval(PROGRESS_INTERVAL);
        progress.tick().await;
        loop {
            tokio::select! {
                ended = &mut load => return ended.context("wait for the load")?,
                _ = progress.tick() => print::progress(&self.shared.stats),
            }
        }
    }

    async fn snapshot(&self) -> anyhow::Result<CounterSnapshot> {
        let shared = &self.shared;
        let platform = shared.admin(PLATFORM).await?;
        let counts: Counts = shared.http.get(platform, "/admin/counts").await?;
        let names = shared.fleet.lock().await.running(Role::Upstream);
        let mut records = BTreeMap::new();
        for name in names {
            let record = shared.record(&name).await?;
            records.insert(name, record);
        }
        let (samples, unreachable) = metrics::read(&shared.http, &*shared.fleet.lock().await).await;
        ensure!(
            unreachable.is_empty(),
            "read the metrics: no response from {}",
            unreachable.join(", ")
        );
        Ok(CounterSnapshot { at: Instant::now(), calls: counts.total, records, samples })
    }

    async fn stop(&self) -> Vec<String> {
        let order = [Role::Agent, Role::Balancer, Role::Fabric, Role::Upstream, Role::Platform];
        let mut problems = Vec::new();
        let mut fleet = self.shared.fleet.lock().await;
        for role in order {
            let dump = tokio::spawn(self.shared.clone().dump_slow_stops(fleet.daemons(role)));
            for error in fleet.stop_all(role).await {
                problems.push(format!("{error:#}"));
            }
            dump.abort();
        }
        problems
    }

    fn summary(
        &self,
        before: &CounterSnapshot,
        after: &CounterSnapshot,
        journal: &JournalCheck,
        attribution: &Attribution,
    ) -> Summary {
        let stats = &self.shared.stats;
        let (total, flows, latency) = (stats.total(), stats.flows(), stats.overall_latency());
        let elapsed_s = after.at.duration_since(before.at).as_secs_f64();
        let loads = balance::loads(&before.records, &after.records);
        let bytes = metrics::mean_increase(&before.samples, &after.samples, metrics::CONTROL_BYTES);
        let with_faults = self.settings.faults.is_some();
        Summary {
            requests: total.requests,
            whole: total.whole,
            refused_not_run: total.refused,
            unknown: total.unknown + attribution.truncated_responses,
            failed: total.failed - attribution.truncated_responses,
            flows: flows.flows,
            broken_flows: flows.broken - attribution.lost_flows,
            ran_twice: journal.ran_twice.len() as u64,
            false_not_run: journal.false_not_run.len() as u64,
            wrong_service: total.strays + self.wrong_service_requests(after),
            crossed_answers: total.crossed,
            invariant_failures: invariant_failures(&after.samples)
                + invariant_failures(&self.shared.final_metrics.lock()),
            imbalance: round_to_thousandths(balance::imbalance(&loads, &after.records)),
            new_flows_per_s: round_to_thousandths(flows.flows as f64 / elapsed_s),
            p50_ms: latency.p50_ms,
            p99_ms: latency.p99_ms,
            platform_calls_per_s: round_to_thousandths(
                (after.calls - before.calls) as f64 / elapsed_s,
            ),
            control_bytes_per_s: round_to_thousandths(bytes / elapsed_s),
            lost_flows: with_faults.then_some(attribution.lost_flows),
            faults: with_faults.then_some(self.log.injected().len() as u64),
        }
    }

    /// Requests received by upstreams of another service.
    fn wrong_service_requests(&self, after: &CounterSnapshot) -> u64 {
        let retired = self.shared.retired_records.lock();
        after.records.values().chain(retired.iter()).map(|it| it.foreign).sum()
    }
}

fn invariant_failures(samples: &[ProcessMetrics]) -> u64 {
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

fn create_folder() -> anyhow::Result<PathBuf> {
    let name = format!("camphorwinch-site-{:08x}", rand::rng().random::<u32>());
    let folder = env::temp_dir().join(name);
    fs::create_dir(&folder).with_context(|| format!("create the folder {}", folder.display()))?;
    Ok(folder)
}

fn round_to_thousandths(figure: f64) -> f64 {
    (figure * 1_000.0).round() / 1_000.0
}
