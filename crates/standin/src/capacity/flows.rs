//! Real QUIC connections: memory of open flows, and processor time of new ones.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use futures::{StreamExt, stream};
use quinn::{ClientConfig, Endpoint};
use tokio::time;

use super::{
    Plan,
    fleet::Fleet,
    scale::push,
    series::{Ground, Series},
};
use crate::caller::{Target, client, flow::Flow};

const ZONES: usize = 1;
const BALANCERS: usize = 2;
const HOSTS: usize = 4;
const ENDPOINTS: usize = 64;
const AT_ONCE: usize = 32;
const CALM: Duration = Duration::from_secs(2);

/// Callers with their endpoints.
struct Callers {
    endpoints: Vec<Endpoint>,
    config: ClientConfig,
    target: Target,
    next: u64,
}

impl Callers {
    fn new(fleet: &mut Fleet) -> anyhow::Result<Callers> {
        let hosts = fleet.callers(HOSTS)?;
        Ok(Callers {
            endpoints: client::endpoints(&hosts, ENDPOINTS)?,
            config: client::config(fleet.ca())?,
            target: fleet.services.first().context("open flows: there is no service")?.clone(),
            next: 0,
        })
    }

    /// Opens flows, a few at once; those that were opened.
    async fn open(&mut self, count: usize) -> Vec<Arc<Flow>> {
        let first = self.next;
        self.next += count as u64;
        let this = &*self;
        let opening = (first..self.next).map(|id| async move {
            let endpoint = &this.endpoints[id as usize % this.endpoints.len()];
            Flow::open(id, endpoint, &this.config, &this.target).await
        });
        let opened: Vec<_> = stream::iter(opening).buffer_unordered(AT_ONCE).collect().await;
        opened.into_iter().filter_map(Result::ok).map(Arc::new).collect()
    }

    /// Opens flows at a rate and closes each at once; how many were opened for each second.
    async fn open_at(&mut self, rate: f64, length: Duration) -> anyhow::Result<f64> {
        let start = Instant::now();
        let mut ticks = time::interval(Duration::from_secs_f64(1.0 / rate));
        let mut tasks = tokio::task::JoinSet::new();
        while start.elapsed() < length {
            ticks.tick().await;
            let id = self.next;
            self.next += 1;
            let endpoint = self.endpoints[id as usize % self.endpoints.len()].clone();
            let (config, target) = (self.config.clone(), self.target.clone());
            tasks.spawn(async move {
                let flow = Flow::open(id, &endpoint, &config, &target).await;
                flow.map(|it| it.close()).is_ok()
            });
        }
        let mut opened = 0u32;
        while let Some(done) = tasks.join_next().await {
            opened += u32::from(done.context("open a flow")?);
        }
        Ok(f64::from(opened) / start.elapsed().as_secs_f64())
    }
}

async fn fleet(plan: &Plan, agents: usize) -> anyhow::Result<(Fleet, Callers)> {
    let mut fleet = plan.fleet("flows", ZONES).await?;
    fleet.add_services(1, 1).await?;
    fleet.add_balancers(BALANCERS)?;
    fleet.add_agents(agents)?;
    fleet.settle(Plan::LIMIT).await?;
    fleet.start_fabric()?;
    time::sleep(CALM).await;
    let callers = Callers::new(&mut fleet)?;
    Ok((fleet, callers))
}

/// Holds a growing number of flows at one agent.
pub async fn open(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "open flows at the agent";
    let ground = Ground::Processes;
    let mut set = [
        Series::new("agent-memory-flows", "agent with open flows, memory", "MiB", AXIS, ground),
        Series::new("agent-cpu-flows", "agent with idle flows, time", "% of a core", AXIS, ground),
        Series::new(
            "balancer-memory-flows",
            "balancer with open flows, memory",
            "MiB",
            AXIS,
            ground,
        ),
    ];
    let (fleet, mut callers) = fleet(plan, 1).await?;
    let mut held = Vec::new();
    for &count in plan.flows() {
        let missing = count - held.len();
        held.extend(callers.open(missing).await);
        ensure!(held.len() == count, "open flows: only {} of {count} opened", held.len());
        time::sleep(CALM).await;
        let window = fleet.window(plan.window()).await?;
        let x = count as f64;
        push(&mut set, &[(x, window.agent.rss), (x, window.agent.cpu), (x, window.balancer.rss)]);
    }
    fleet.end().await?;
    Ok(set.into())
}

/// Opens flows at growing rates, at four agents.
pub async fn rates(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AGENTS: usize = 4;
    let ground = Ground::Processes;
    let mut set = [
        Series::new(
            "agent-cpu-new",
            "agent with new flows, time",
            "% of a core",
            "new flows/s at the agent",
            ground,
        ),
        Series::new(
            "balancer-cpu-new",
            "balancer with new flows, time",
            "% of a core",
            "new flows/s at the balancer",
            ground,
        ),
    ];
    let (fleet, mut callers) = fleet(plan, AGENTS).await?;
    for &rate in plan.flow_rates() {
        let start = fleet.open().await?;
        let opened = callers.open_at(rate, plan.window()).await?;
        let window = fleet.close(&start).await?;
        let values = [
            (opened / AGENTS as f64, window.agent.cpu),
            (opened / BALANCERS as f64, window.balancer.cpu),
        ];
        push(&mut set, &values);
    }
    fleet.end().await?;
    Ok(set.into())
}
