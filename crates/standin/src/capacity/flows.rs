//! QUIC flows: memory of open flows, and CPU time of new ones.

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
    series::{Series, Source},
};
use crate::caller::{Target, client, flow::Flow};

const ZONES: usize = 1;
const BALANCERS: usize = 2;
const CALLER_HOSTS: usize = 4;
const ENDPOINTS: usize = 64;
const MAX_CONCURRENT_OPENS: usize = 32;
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// QUIC client endpoints that open flows to one service.
struct Callers {
    endpoints: Vec<Endpoint>,
    config: ClientConfig,
    target: Target,
    next_id: u64,
}

impl Callers {
    fn new(fleet: &mut Fleet) -> anyhow::Result<Callers> {
        let hosts = fleet.caller_addresses(CALLER_HOSTS)?;
        Ok(Callers {
            endpoints: client::endpoints(&hosts, ENDPOINTS)?,
            config: client::config(fleet.ca())?,
            target: fleet.services.first().context("failed to open flows: no service")?.clone(),
            next_id: 0,
        })
    }

    /// Opens flows with limited concurrency; returns those that succeeded.
    async fn open(&mut self, count: usize) -> Vec<Arc<Flow>> {
        let first = self.next_id;
        self.next_id += count as u64;
        let this = &*self;
        let opening = (first..self.next_id).map(|id| async move {
            let endpoint = &this.endpoints[id as usize % this.endpoints.len()];
            Flow::open(id, endpoint, &this.config, &this.target).await
        });
        let opened: Vec<_> =
            stream::iter(opening).buffer_unordered(MAX_CONCURRENT_OPENS).collect().await;
        opened.into_iter().filter_map(Result::ok).map(Arc::new).collect()
    }

    /// Opens flows at a rate and closes each immediately; returns the achieved rate per second.
    async fn open_at_rate(&mut self, rate: f64, duration: Duration) -> anyhow::Result<f64> {
        let start = Instant::now();
        let mut ticks = time::interval(Duration::from_secs_f64(1.0 / rate));
        let mut tasks = tokio::task::JoinSet::new();
        while start.elapsed() < duration {
            ticks.tick().await;
            let id = self.next_id;
            self.next_id += 1;
            let endpoint = self.endpoints[id as usize % self.endpoints.len()].clone();
            let (config, target) = (self.config.clone(), self.target.clone());
            tasks.spawn(async move {
                let flow = Flow::open(id, &endpoint, &config, &target).await;
                flow.map(|it| it.close()).is_ok()
            });
        }
        let mut opened = 0u32;
        while let Some(done) = tasks.join_next().await {
            opened += u32::from(done.context("failed to open a flow")?);
        }
        Ok(f64::from(opened) / start.elapsed().as_secs_f64())
    }
}

async fn start_fleet(plan: &Plan, agents: usize) -> anyhow::Result<(Fleet, Callers)> {
    let mut fleet = plan.fleet("flows", ZONES).await?;
    fleet.add_services(1, 1).await?;
    fleet.add_balancers(BALANCERS)?;
    fleet.add_agents(agents)?;
    fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
    fleet.start_fabric()?;
    time::sleep(SETTLE_TIME).await;
    let callers = Callers::new(&mut fleet)?;
    Ok((fleet, callers))
}

/// Measures the cost of increasing numbers of open flows at one agent.
pub async fn open(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "open flows at the agent";
    let source = Source::Processes;
    let mut set = [
        Series::new("agent-memory-flows", "agent with open flows, memory", "MiB", AXIS, source),
        Series::new("agent-cpu-flows", "agent with idle flows, time", "% of a core", AXIS, source),
        Series::new(
            "balancer-memory-flows",
            "balancer with open flows, memory",
            "MiB",
            AXIS,
            source,
        ),
    ];
    let (fleet, mut callers) = start_fleet(plan, 1).await?;
    let mut open_flows = Vec::new();
    for &count in plan.flow_counts() {
        let missing = count - open_flows.len();
        open_flows.extend(callers.open(missing).await);
        ensure!(open_flows.len() == count, "opened only {} of {count} flows", open_flows.len());
        time::sleep(SETTLE_TIME).await;
        let window = fleet.window(plan.window()).await?;
        let x = count as f64;
        push(&mut set, &[(x, window.agent.rss), (x, window.agent.cpu), (x, window.balancer.rss)]);
    }
    fleet.kill_all().await?;
    Ok(set.into())
}

/// Measures the cost of new flows at increasing rates, over four agents.
pub async fn rates(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AGENTS: usize = 4;
    let source = Source::Processes;
    let mut set = [
        Series::new(
            "agent-cpu-new",
            "agent with new flows, time",
            "% of a core",
            "new flows/s at the agent",
            source,
        ),
        Series::new(
            "balancer-cpu-new",
            "balancer with new flows, time",
            "% of a core",
            "new flows/s at the balancer",
            source,
        ),
    ];
    let (fleet, mut callers) = start_fleet(plan, AGENTS).await?;
    for &rate in plan.flow_rates() {
        let start = fleet.start_window().await?;
        let opened = callers.open_at_rate(rate, plan.window()).await?;
        let window = fleet.end_window(&start).await?;
        let values = [
            (opened / AGENTS as f64, window.agent.cpu),
            (opened / BALANCERS as f64, window.balancer.cpu),
        ];
        push(&mut set, &values);
    }
    fleet.kill_all().await?;
    Ok(set.into())
}
