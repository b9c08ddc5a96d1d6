//! Cost of a quiet fleet, against the numbers of members, agents, balancers and services.

use std::time::Duration;

use anyhow::{Context, bail};
use tokio::time::{self, Instant};

use super::{
    Plan,
    decisions::made_up_agent,
    fleet::{Fleet, Window},
    inject::{self, Reporter, Zone},
    series::{Ground, Series},
};

const BALANCERS: usize = 4;
const CALM: Duration = Duration::from_secs(4);
/// Windows in which several reports and renewals of a lease happen.
const REPORT_WINDOWS: u32 = 2;
const POLL: Duration = Duration::from_millis(100);

pub(super) fn on_processes(
    id: &'static str,
    what: &'static str,
    unit: &'static str,
    axis: &'static str,
) -> Series {
    Series::new(id, what, unit, axis, Ground::Processes)
}

/// Grows the number of members that real balancers know, by made-up agents, in six zones with three balancers each.
pub async fn members(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "members (most made up)";
    const EACH_ZONE: usize = 3;
    const SERVICES: usize = 60;
    let zones = if plan.quick { 2 } else { 6 };
    let mut set = [
        on_processes("plain-cpu-members", "quiet balancer, time", "% of a core", AXIS),
        on_processes("plain-bytes-members", "quiet balancer, control", "bytes/s", AXIS),
        on_processes("plain-memory-members", "quiet balancer, memory", "MiB", AXIS),
        on_processes("seed-cpu-members", "quiet lease holder, time", "% of a core", AXIS),
        on_processes("seed-bytes-members", "quiet lease holder, control", "bytes/s", AXIS),
        on_processes("seed-limited-members", "lease holder, timeline and report", "bytes/s", AXIS),
        on_processes("seed-memory-members", "quiet lease holder, memory", "MiB", AXIS),
        on_processes("calls-members", "quiet fleet, platform", "calls/s", AXIS),
        on_processes("answers-members", "quiet fleet, platform's answers", "bytes/s", AXIS),
    ];
    let mut fleet = plan.fleet("members", zones).await?;
    fleet.add_services(SERVICES, SERVICES).await?;
    fleet.add_balancers(zones * EACH_ZONE)?;
    fleet.settle(Plan::LIMIT).await?;
    time::sleep(CALM).await;
    let reporters = start_reporters(&fleet).await?;
    let mut told = 0;
    for &count in plan.members() {
        tell(&fleet, told, count).await?;
        told = count;
        announce(&fleet, &reporters, count).await?;
        let window = quiet_for(&fleet, plan.window() * REPORT_WINDOWS)
            .await
            .with_context(|| format!("with {count} members"))?;
        let x = count as f64;
        let values = [
            (x, window.plain.cpu),
            (x, window.plain.control),
            (x, window.plain.rss),
            (x, window.seed.cpu),
            (x, window.seed.control),
            (x, window.seed.limited),
            (x, window.seed.rss),
            (x, window.calls),
            (x, window.answers),
        ];
        push(&mut set, &values);
    }
    for (_, reporter) in reporters {
        reporter.end().await?;
    }
    fleet.end().await?;
    Ok(set.into())
}

async fn start_reporters(fleet: &Fleet) -> anyhow::Result<Vec<(usize, Reporter)>> {
    let mut reporters = Vec::new();
    for (zone, seed) in fleet.seeds().await? {
        reporters.push((zone, Reporter::start(fleet, fleet.control(seed)).await?));
    }
    Ok(reporters)
}

/// Tells the fleet of agents, each homed at a balancer of its zone, and waits until every balancer knows them.
async fn tell(fleet: &Fleet, from: usize, to: usize) -> anyhow::Result<()> {
    let mut members = Vec::new();
    for i in from..to {
        let zone = i % fleet.zones();
        let home = &fleet.balancers[zone];
        members.push(made_up_agent(i, zone, &home.name));
    }
    let peer = fleet.control(&fleet.balancers[0]);
    let _told = inject::tell(fleet, peer, &members).await?;
    let start = Instant::now();
    for balancer in &fleet.balancers {
        while fleet.members(balancer).await? < (to + fleet.balancers.len()) as u64 {
            if start.elapsed() > Plan::LIMIT {
                bail!("wait until {} knows {to} made-up agents: too long", balancer.name);
            }
            time::sleep(POLL).await;
        }
    }
    Ok(())
}

async fn announce(
    fleet: &Fleet,
    reporters: &[(usize, Reporter)],
    count: usize,
) -> anyhow::Result<()> {
    let applied = fleet.applied(fleet.balancers[0].operator).await?;
    for (zone, reporter) in reporters {
        let numbers = (0..count).filter(|it| it % fleet.zones() == *zone);
        let agents = numbers.map(|it| made_up_agent(it, *zone, "").name().to_owned()).collect();
        reporter.zone.send_replace(Zone { agents, applied });
    }
    Ok(())
}

/// Grows the number of agents before four balancers of one zone.
pub async fn agents(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const EACH: &str = "agents per balancer";
    const ALL: &str = "agents of the zone";
    let mut set = [
        on_processes("plain-cpu-agents", "quiet balancer, time", "% of a core", EACH),
        on_processes("plain-bytes-agents", "quiet balancer, control", "bytes/s", EACH),
        on_processes("plain-memory-agents", "quiet balancer, memory", "MiB", EACH),
        on_processes("seed-cpu-agents", "quiet lease holder, time", "% of a core", ALL),
        on_processes("seed-bytes-agents", "quiet lease holder, control", "bytes/s", ALL),
        on_processes("agent-cpu-agents", "quiet agent, time", "% of a core", ALL),
        on_processes("agent-bytes-agents", "quiet agent, control", "bytes/s", ALL),
        on_processes("agent-memory-agents", "quiet agent, memory", "MiB", ALL),
        on_processes("calls-agents", "quiet fleet, platform", "calls/s", ALL),
    ];
    let mut fleet = plan.fleet("agents", 1).await?;
    fleet.add_services(20, 20).await?;
    fleet.add_balancers(BALANCERS)?;
    for &count in plan.agents() {
        fleet.add_agents(count)?;
        let window = quiet(&fleet, plan).await.with_context(|| format!("with {count} agents"))?;
        let each = count as f64 / BALANCERS as f64;
        let all = count as f64;
        let values = [
            (each, window.plain.cpu),
            (each, window.plain.control),
            (each, window.plain.rss),
            (all, window.seed.cpu),
            (all, window.seed.control),
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

/// Grows the number of balancers of one zone, without agents.
pub async fn balancers(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const ALL: &str = "balancers of the zone";
    let mut set = [
        on_processes("plain-cpu-balancers", "quiet balancer, time", "% of a core", ALL),
        on_processes("plain-bytes-balancers", "quiet balancer, control", "bytes/s", ALL),
        on_processes("plain-memory-balancers", "quiet balancer, memory", "MiB", ALL),
        on_processes("plain-links-balancers", "links between balancers", "links", ALL),
        on_processes("seed-cpu-balancers", "quiet lease holder, time", "% of a core", ALL),
        on_processes("seed-bytes-balancers", "quiet lease holder, control", "bytes/s", ALL),
        on_processes("seed-memory-balancers", "quiet lease holder, memory", "MiB", ALL),
        on_processes("calls-balancers", "quiet fleet, platform", "calls/s", ALL),
        on_processes("answers-balancers", "quiet fleet, platform's answers", "bytes/s", ALL),
    ];
    let mut fleet = plan.fleet("balancers", 1).await?;
    fleet.add_services(20, 20).await?;
    for &count in plan.balancers() {
        fleet.add_balancers(count)?;
        let window =
            quiet(&fleet, plan).await.with_context(|| format!("with {count} balancers"))?;
        let x = count as f64;
        let values = [
            (x, window.plain.cpu),
            (x, window.plain.control),
            (x, window.plain.rss),
            (x, fleet.links().await?),
            (x, window.seed.cpu),
            (x, window.seed.control),
            (x, window.seed.rss),
            (x, window.calls),
            (x, window.answers),
        ];
        push(&mut set, &values);
    }
    fleet.end().await?;
    Ok(set.into())
}

/// Grows the number of services before four balancers and ten agents of one zone.
pub async fn services(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "services";
    const AGENTS: usize = 10;
    let mut set = [
        on_processes("plain-cpu-services", "quiet balancer, time", "% of a core", AXIS),
        on_processes("plain-bytes-services", "quiet balancer, control", "bytes/s", AXIS),
        on_processes("plain-memory-services", "quiet balancer, memory", "MiB", AXIS),
        on_processes("agent-cpu-services", "quiet agent, time", "% of a core", AXIS),
        on_processes("agent-bytes-services", "quiet agent, control", "bytes/s", AXIS),
        on_processes("agent-memory-services", "quiet agent, memory", "MiB", AXIS),
        on_processes("agent-start-bytes", "an agent that starts, until healthy", "bytes", AXIS),
    ];
    let mut fleet = plan.fleet("services", 1).await?;
    fleet.add_balancers(BALANCERS)?;
    for &count in plan.services() {
        fleet.add_services(count, count).await?;
        fleet.add_agents(AGENTS)?;
        let window = quiet(&fleet, plan).await.with_context(|| format!("with {count} services"))?;
        let start = first_bytes(&mut fleet).await?;
        let x = count as f64;
        let values = [
            (x, window.plain.cpu),
            (x, window.plain.control),
            (x, window.plain.rss),
            (x, window.agent.cpu),
            (x, window.agent.control),
            (x, window.agent.rss),
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
    quiet_for(fleet, plan.window()).await
}

async fn quiet_for(fleet: &Fleet, length: Duration) -> anyhow::Result<Window> {
    fleet.settle(Plan::LIMIT).await?;
    time::sleep(CALM).await;
    fleet.window(length).await
}

/// Adds one measurement to each series.
pub fn push(set: &mut [Series], values: &[(f64, f64)]) {
    for (series, &(x, y)) in set.iter_mut().zip(values) {
        series.push(x, y);
    }
}
