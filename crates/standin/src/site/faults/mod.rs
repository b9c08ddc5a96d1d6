//! Injects faults during a run, from a seed.

mod attribute;
mod configure;
mod inject;
mod pick;
mod rollout;

use std::{str::FromStr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::{task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use self::pick::Reservations;
use super::shared::Shared;

pub use self::attribute::{Attribution, attribute_incidents};

/// No fault starts in this time before the end of the load, so that all have recovered by then.
const QUIET_PERIOD: Duration = Duration::from_secs(12);
const DOUBLE_FAULT_CHANCE: f64 = 0.2;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// A process or VM is killed and restarted.
    Kill,
    /// A process is paused.
    Freeze,
    /// A balancer receives no packets, or the fabric drops, duplicates and reorders them.
    Cut,
    /// The platform is unavailable or slow.
    Outage,
    /// Responses of the platform or an upstream are lost, late or truncated.
    LostResponse,
    /// Two operators write one object concurrently.
    Race,
    /// Upstreams or a zone are drained and restored.
    Drain,
    /// A balancer or VM is replaced gracefully.
    Replace,
    /// A weight, policy, limit, certificate or key changes.
    Config,
    /// An upstream reports a wrong load, is slow or sheds load.
    WrongLoad,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 10] = [
        FaultKind::Kill,
        FaultKind::Freeze,
        FaultKind::Cut,
        FaultKind::Outage,
        FaultKind::LostResponse,
        FaultKind::Race,
        FaultKind::Drain,
        FaultKind::Replace,
        FaultKind::Config,
        FaultKind::WrongLoad,
    ];

    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            FaultKind::Kill => "kill",
            FaultKind::Freeze => "freeze",
            FaultKind::Cut => "cut",
            FaultKind::Outage => "outage",
            FaultKind::LostResponse => "lost-answer",
            FaultKind::Race => "race",
            FaultKind::Drain => "drain",
            FaultKind::Replace => "replace",
            FaultKind::Config => "config",
            FaultKind::WrongLoad => "lie",
        }
    }
}

/// Kinds selected on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultKinds(pub Vec<FaultKind>);

impl FromStr for FaultKinds {
    type Err = String;

    fn from_str(s: &str) -> Result<FaultKinds, String> {
        if s == "all" {
            return Ok(FaultKinds(FaultKind::ALL.to_vec()));
        }
        let mut kinds = Vec::new();
        for name in s.split(',') {
            let Some(kind) = FaultKind::ALL.into_iter().find(|it| it.as_str() == name) else {
                let names = FaultKind::ALL.map(FaultKind::as_str).join(", ");
                return Err(format!(
                    "unknown fault kind {name:?}; expected all, or a list of {names}"
                ));
            };
            kinds.push(kind);
        }
        Ok(FaultKinds(kinds))
    }
}

/// Which faults to inject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// Kinds to choose from.
    pub kinds: Vec<FaultKind>,
    /// Mean time between faults.
    pub mean_interval: Duration,
    /// Length of the load.
    pub load_duration: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A fault that was injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InjectedFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time at which it started.
    pub at: Duration,
    /// Time at which it ended, if it has.
    pub until: Option<Duration>,
    /// Target and parameters.
    pub text: String,
    /// Agents that were killed.
    pub killed: Vec<String>,
    /// Agents whose upstream loses or truncates responses.
    pub truncating: Vec<String>,
}

/// Faults injected so far, and guarantees found violated during them.
#[derive(Debug, Default)]
pub struct FaultLog {
    injected: Mutex<Vec<InjectedFault>>,
    violations: Mutex<Vec<String>>,
    rollouts: Mutex<Vec<Duration>>,
}

impl FaultLog {
    /// Faults injected so far, in order.
    pub fn injected(&self) -> Vec<InjectedFault> {
        self.injected.lock().clone()
    }

    /// Violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().clone()
    }

    /// Times from the acceptance of a change until all processes not under a fault applied it, sorted.
    pub fn rollouts(&self) -> Vec<Duration> {
        let mut rollouts = self.rollouts.lock().clone();
        rollouts.sort();
        rollouts
    }

    fn add(&self, injected: InjectedFault) -> usize {
        println!(
            "{:6.1} s: {} {}",
            injected.at.as_secs_f64(),
            injected.kind.as_str(),
            injected.text
        );
        let mut all = self.injected.lock();
        all.push(injected);
        all.len() - 1
    }

    fn end(&self, index: usize, at: Duration) {
        if let Some(injected) = self.injected.lock().get_mut(index) {
            injected.until = Some(at);
        }
    }

    fn report_violation(&self, text: String) {
        println!("{text}");
        self.violations.lock().push(text);
    }
}

/// Injects faults.
#[derive(Clone)]
pub struct Injector {
    shared: Arc<Shared>,
    log: Arc<FaultLog>,
    reservations: Reservations,
}

impl Injector {
    /// Creates an injector for the deployment.
    pub fn new(shared: Arc<Shared>, log: Arc<FaultLog>) -> Injector {
        Injector { shared, log, reservations: Reservations::default() }
    }

    /// Injects faults until shortly before the end of the load, and waits until all have recovered.
    pub async fn run(self, plan: FaultPlan, stop: CancellationToken) {
        let end = time::Instant::now() + plan.load_duration.saturating_sub(QUIET_PERIOD);
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let mut tasks = JoinSet::new();
        loop {
            let gap = plan.mean_interval.mul_f64(rng.random_range(0.5..1.5));
            tokio::select! {
                _ = time::sleep(gap) => {}
                _ = stop.cancelled() => break,
            }
            if time::Instant::now() >= end {
                break;
            }
            let count = if rng.random_bool(DOUBLE_FAULT_CHANCE) { 2 } else { 1 };
            for _ in 0..count {
                let Some(&kind) = plan.kinds.choose(&mut rng) else { break };
                let task_rng = StdRng::from_rng(&mut rng);
                tasks.spawn(self.clone().inject_and_log(kind, task_rng));
            }
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn inject_and_log(self, kind: FaultKind, mut rng: StdRng) {
        if let Err(error) = self.inject(kind, &mut rng).await {
            self.log.report_violation(format!("fault {}: {error:#}", kind.as_str()));
        }
    }

    fn begin<S>(&self, kind: FaultKind, text: S) -> FaultGuard<'_>
    where
        S: Into<String>,
    {
        let injected = InjectedFault {
            kind,
            at: self.shared.stats.now(),
            until: None,
            text: text.into(),
            killed: Vec::new(),
            truncating: Vec::new(),
        };
        self.record(injected)
    }

    fn record(&self, injected: InjectedFault) -> FaultGuard<'_> {
        FaultGuard { injector: self, index: self.log.add(injected) }
    }
}

/// Records the end of a fault when dropped.
struct FaultGuard<'a> {
    injector: &'a Injector,
    index: usize,
}

impl Drop for FaultGuard<'_> {
    fn drop(&mut self) {
        let injector = self.injector;
        injector.log.end(self.index, injector.shared.stats.now());
    }
}
