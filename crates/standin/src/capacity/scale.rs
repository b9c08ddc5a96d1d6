//! Cost of a quiet fleet, against the numbers of agents, balancers and services.

use std::time::Duration;

use anyhow::Context;
use tokio::time;

use super::{
    Plan,
    fleet::{Fleet, Window},
    series::{Ground, Series},
};

const BALANCERS: usize = 4;
const CALM: Duration = Duration::from_secs(3);

fn on_processes(
    id: &'static str,
    what: &'static str,
    unit: &'static str,
    axis: &'static str,
) -> Series {
    Series::new(id, what, unit, axis, Ground::Processes)
}

/// Grows the number of agents before four balancers.
pub async fn agents(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const EACH: &str = "agents per balancer";
    const ALL: &str = "agents";
    let mut set = [
        on_processes("balancer-cpu-agents", "quiet balancer, time", "% of a core", EACH),
        on_processes("balancer-bytes-agents", "quiet balancer, control", "bytes/s", EACH),
        on_processes("balancer-memory-agents", "quiet balancer, memory", "MiB", ALL),
        on_processes("agent-cpu-agents", "quiet agent, time", "% of a core", ALL),
        on_processes("agent-bytes-agents", "quiet agent, control", "bytes/s", ALL),
        on_processes("agent-memory-agents", "quiet agent, memory", "MiB", ALL),
        on_processes("calls-agents", "quiet fleet, platform", "calls/s", ALL),
    ];
    let mut fleet = plan.fleet("agents").await?;
    fleet.add_services(20, 20).await?;
    fleet.add_balancers(BALANCERS)?;
    for &count in plan.agents() {
        fleet.add_agents(count)?;
        let window = quiet(&fleet, plan).await.with_context(|| format!("with {count} agents"))?;
        let each = count as f64 / BALANCERS as f64;
        let all = count as f64;
        let values = [
            (each, window.balancer.cpu),
            (each, window.balancer.control),
            (all, window.balancer.rss),
            (all, window.agent.cpu),
            (all, window.agent.control),
            (all, window.agent.rss),
            (all, window.calls),
        ];
        push(&mut set, &values);
    }
    fleet.end().await?;
    Ok(set.into())
}

/// Grows the number of balancers before twelve agents.
pub async fn balancers(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const LINKS: &str = "links between balancers, per balancer";
    const ALL: &str = "balancers";
    const AGENTS: usize = 12;
    let mut set = [
        on_processes("balancer-cpu-links", "quiet balancer, time", "% of a core", LINKS),
        on_processes("balancer-bytes-links", "quiet balancer, control", "bytes/s", LINKS),
        on_processes("links", "links of a balancer to balancers", "links", "log2 of balancers"),
        on_processes("balancer-memory-balancers", "quiet balancer, memory", "MiB", ALL),
        on_processes("agent-bytes-balancers", "quiet agent, control", "bytes/s", ALL),
        on_processes("calls-balancers", "quiet fleet, platform", "calls/s", ALL),
    ];
    let mut fleet = plan.fleet("balancers").await?;
    fleet.add_services(20, 20).await?;
    for &count in plan.balancers() {
        fleet.add_balancers(count)?;
        fleet.add_agents(AGENTS)?;
        let window =
            quiet(&fleet, plan).await.with_context(|| format!("with {count} balancers"))?;
        let links = fleet.links().await?;
        let all = count as f64;
        let values = [
            (links, window.balancer.cpu),
            (links, window.balancer.control),
            (all.log2(), links),
            (all, window.balancer.rss),
            (all, window.agent.control),
            (all, window.calls),
        ];
        push(&mut set, &values);
    }
    fleet.end().await?;
    Ok(set.into())
}

/// Grows the number of services before four balancers and ten agents.
pub async fn services(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "services";
    const AGENTS: usize = 10;
    let mut set = [
        on_processes("balancer-cpu-services", "quiet balancer, time", "% of a core", AXIS),
        on_processes("balancer-memory-services", "quiet balancer, memory", "MiB", AXIS),
        on_processes("agent-memory-services", "quiet agent, memory", "MiB", AXIS),
        on_processes("agent-cpu-services", "quiet agent, time", "% of a core", AXIS),
        on_processes("agent-bytes-services", "quiet agent, control", "bytes/s", AXIS),
        on_processes("balancer-bytes-services", "quiet balancer, control", "bytes/s", AXIS),
        on_processes("agent-start-bytes", "an agent that starts, until healthy", "bytes", AXIS),
    ];
    let mut fleet = plan.fleet("services").await?;
    fleet.add_balancers(BALANCERS)?;
    for &count in plan.services() {
        fleet.add_services(count, count).await?;
        fleet.add_agents(AGENTS)?;
        let window = quiet(&fleet, plan).await.with_context(|| format!("with {count} services"))?;
        let start = first_bytes(&mut fleet).await?;
        let x = count as f64;
        let values = [
            (x, window.balancer.cpu),
            (x, window.balancer.rss),
            (x, window.agent.rss),
            (x, window.agent.cpu),
            (x, window.agent.control),
            (x, window.balancer.control),
            (x, start),
        ];
        push(&mut set, &values);
    }
    fleet.end().await?;
    Ok(set.into())
}

/// Control bytes that an agent has used when it becomes healthy.
async fn first_bytes(fleet: &mut Fleet) -> anyhow::Result<f64> {
    let number = fleet.agents.len() - 1;
    fleet.kill_agents(&[number]).await?;
    fleet.restart_agents(&[number])?;
    fleet.settle(Plan::LIMIT).await?;
    fleet.control_bytes(fleet.agents[number].operator).await
}

async fn quiet(fleet: &Fleet, plan: &Plan) -> anyhow::Result<Window> {
    fleet.settle(Plan::LIMIT).await?;
    time::sleep(CALM).await;
    fleet.window(plan.window()).await
}

/// Adds one measurement to each series.
pub fn push(set: &mut [Series], values: &[(f64, f64)]) {
    for (series, &(x, y)) in set.iter_mut().zip(values) {
        series.push(x, y);
    }
}
