//! Faults during a run: which, when and where, placed from the seed.

mod act;
mod blame;
mod configure;
mod pick;
mod rollout;

use std::{str::FromStr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::{task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use self::pick::Busy;
use super::shared::Shared;

pub use self::blame::{Blame, blame};

/// Time at the end of a run in which no fault starts, so that all have healed before the load ends.
const QUIET: Duration = Duration::from_secs(12);
const TWICE_CHANCE: f64 = 0.2;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A process or VM dies and comes back.
    Kill,
    /// A process is paused.
    Freeze,
    /// A balancer gets no packets, or the fabric loses, repeats and reorders them.
    Cut,
    /// The platform is down or slow.
    Outage,
    /// Answers of the platform or an upstream are lost, late or cut.
    LostAnswer,
    /// Two operators write one object at once.
    Race,
    /// An upstream, several, or a zone is drained and comes back.
    Drain,
    /// A VM is replaced as planned.
    Replace,
    /// Weights, policy, certificates or keys change.
    Config,
    /// An upstream's load endpoint lies, or it is slow or sheds.
    Lie,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 10] = [
        Kind::Kill,
        Kind::Freeze,
        Kind::Cut,
        Kind::Outage,
        Kind::LostAnswer,
        Kind::Race,
        Kind::Drain,
        Kind::Replace,
        Kind::Config,
        Kind::Lie,
    ];

    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Kill => "kill",
            Kind::Freeze => "freeze",
            Kind::Cut => "cut",
            Kind::Outage => "outage",
            Kind::LostAnswer => "lost-answer",
            Kind::Race => "race",
            Kind::Drain => "drain",
            Kind::Replace => "replace",
            Kind::Config => "config",
            Kind::Lie => "lie",
        }
    }
}

/// Kinds chosen on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kinds(pub Vec<Kind>);

impl FromStr for Kinds {
    type Err = String;

    fn from_str(s: &str) -> Result<Kinds, String> {
        if s == "all" {
            return Ok(Kinds(Kind::ALL.to_vec()));
        }
        let mut kinds = Vec::new();
        for name in s.split(',') {
            let Some(kind) = Kind::ALL.into_iter().find(|it| it.as_str() == name) else {
                let names = Kind::ALL.map(Kind::as_str).join(", ");
                return Err(format!("{name:?} is no kind of fault; there are {names}, and all"));
            };
            kinds.push(kind);
        }
        Ok(Kinds(kinds))
    }
}

/// Which faults to place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Kinds to choose from.
    pub kinds: Vec<Kind>,
    /// Mean time between two.
    pub every: Duration,
    /// Length of the load.
    pub span: Duration,
    /// Seed.
    pub seed: u64,
}

/// A fault that was placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    /// Kind.
    pub kind: Kind,
    /// When it began.
    pub at: Duration,
    /// When it was over; the end of the run if it is not yet.
    pub until: Option<Duration>,
    /// What it was.
    pub text: String,
    /// Agents whose VM or process died.
    pub killed: Vec<String>,
    /// Agents whose upstream loses or cuts answers.
    pub cut: Vec<String>,
}

/// Faults placed so far, and promises found broken while placing them.
#[derive(Debug, Default)]
pub struct Log {
    placed: Mutex<Vec<Placed>>,
    broken: Mutex<Vec<String>>,
    rollouts: Mutex<Vec<Duration>>,
}

impl Log {
    /// Faults placed so far, in their order.
    pub fn placed(&self) -> Vec<Placed> {
        self.placed.lock().clone()
    }

    /// Promises found broken.
    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().clone()
    }

    /// How long changes took from accepted to in force in every process that was not under a fault, shortest first.
    pub fn rollouts(&self) -> Vec<Duration> {
        let mut rollouts = self.rollouts.lock().clone();
        rollouts.sort();
        rollouts
    }

    fn add(&self, placed: Placed) -> usize {
        println!("{:6.1} s: {} {}", placed.at.as_secs_f64(), placed.kind.as_str(), placed.text);
        let mut all = self.placed.lock();
        all.push(placed);
        all.len() - 1
    }

    fn end(&self, index: usize, at: Duration) {
        if let Some(placed) = self.placed.lock().get_mut(index) {
            placed.until = Some(at);
        }
    }

    fn complain(&self, text: String) {
        println!("{text}");
        self.broken.lock().push(text);
    }
}

/// Places faults.
#[derive(Clone)]
pub struct Injector {
    shared: Arc<Shared>,
    log: Arc<Log>,
    busy: Busy,
}

impl Injector {
    /// An injector into the deployment.
    pub fn new(shared: Arc<Shared>, log: Arc<Log>) -> Injector {
        Injector { shared, log, busy: Busy::default() }
    }

    /// Places faults until the run is nearly over, and waits until all have healed.
    pub async fn run(self, plan: Plan, stop: CancellationToken) {
        let end = time::Instant::now() + plan.span.saturating_sub(QUIET);
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let mut tasks = JoinSet::new();
        loop {
            let gap = plan.every.mul_f64(rng.random_range(0.5..1.5));
            tokio::select! {
                _ = time::sleep(gap) => {}
                _ = stop.cancelled() => break,
            }
            if time::Instant::now() >= end {
                break;
            }
            let count = if rng.random_bool(TWICE_CHANCE) { 2 } else { 1 };
            for _ in 0..count {
                let Some(&kind) = plan.kinds.choose(&mut rng) else { break };
                let own = StdRng::from_rng(&mut rng);
                tasks.spawn(self.clone().place(kind, own));
            }
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn place(self, kind: Kind, mut rng: StdRng) {
        if let Err(error) = self.act(kind, &mut rng).await {
            self.log.complain(format!("fault {}: {error:#}", kind.as_str()));
        }
    }

    fn begin<S>(&self, kind: Kind, text: S) -> Mark<'_>
    where
        S: Into<String>,
    {
        let placed = Placed {
            kind,
            at: self.shared.tally.now(),
            until: None,
            text: text.into(),
            killed: Vec::new(),
            cut: Vec::new(),
        };
        self.mark(placed)
    }

    fn mark(&self, placed: Placed) -> Mark<'_> {
        Mark { injector: self, index: self.log.add(placed) }
    }
}

/// Notes the end of a fault when dropped.
struct Mark<'a> {
    injector: &'a Injector,
    index: usize,
}

impl Drop for Mark<'_> {
    fn drop(&mut self) {
        let injector = self.injector;
        injector.log.end(self.index, injector.shared.tally.now());
    }
}
