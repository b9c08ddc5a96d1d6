//! Cost of an idle fleet against the numbers of members, agents, balancers and services.

use std::time::Duration;

use anyhow::{Context, bail};
use tokio::time::{self, Instant};

use super::{
    Plan,
    decisions::simulated_agent,
    fleet::{Fleet, Window},
    inject::{self, Reporter, Zone},
    series::{Series, Source},
};

const BALANCERS: usize = 4;
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Multiple of the window, long enough for several reports and lease renewals.
const REPORT_WINDOWS: u32 = 2;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) fn process_series(
    id: &'static str,
    what: &'static str,
    unit: &'static str,
    axis: &'static str,
) -> Series {
    Series::new(id, what, unit, axis, Source::Processes)
}

/// Measures the cost of increasing numbers of simulated members, with three balancers in each zone.
pub async fn members(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "members (most made up)";
    const BALANCERS_PER_ZONE: usize = 3;
    const SERVICES: usize = 60;
    let zones = if plan.quick { 2 } else { 6 };
    let mut set = [
        process_series("plain-cpu-members", "quiet balancer, time", "% of a core", AXIS),
        process_series("plain-bytes-members", "quiet balancer, control", "bytes/s", AXIS),
        process_series("plain-memory-members", "quiet balancer, memory", "MiB", AXIS),
        process_series("seed-cpu-members", "quiet lease holder, time", "% of a core", AXIS),
        process_series("seed-bytes-members", "quiet lease holder, control", "bytes/s", AXIS),
        process_series(
            "seed-limited-members",
            "lease holder, timeline and report",
            "bytes/s",
            AXIS,
        ),
        process_series("seed-memory-members", "quiet lease holder, memory", "MiB", AXIS),
        process_series("calls-members", "quiet fleet, platform", "calls/s", AXIS),
        process_series("answers-members", "quiet fleet, platform's answers", "bytes/s", AXIS),
    ];
    let mut fleet = plan.fleet("members", zones).await?;
    fleet.add_services(SERVICES, SERVICES).await?;
    fleet.add_balancers(zones * BALANCERS_PER_ZONE)?;
    fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
    time::sleep(SETTLE_TIME).await;
    let reporters = start_reporters(&fleet).await?;
    let mut added = 0;
    for &count in plan.member_counts() {
        add_simulated_agents(&fleet, added, count).await?;
        added = count;
        set_reported_agents(&fleet, &reporters, count).await?;
        let window = idle_window_for(&fleet, plan.window() * REPORT_WINDOWS)
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
            (x, window.response_bytes),
        ];
        push(&mut set, &values);
    }
    for (_, reporter) in reporters {
        reporter.end().await?;
    }
    fleet.kill_all().await?;
    Ok(set.into())
}

async fn start_reporters(fleet: &Fleet) -> anyhow::Result<Vec<(usize, Reporter)>> {
    let mut reporters = Vec::new();
    for (zone, seed) in fleet.seeds().await? {
        reporters.push((zone, Reporter::start(fleet, fleet.control(seed)).await?));
    }
    Ok(reporters)
}

/// Adds simulated agents, each homed at a balancer of its zone, and waits until every balancer has their records.
async fn add_simulated_agents(fleet: &Fleet, from: usize, to: usize) -> anyhow::Result<()> {
    let mut members = Vec::new();
    for i in from..to {
        let zone = i % fleet.zones();
        let home = &fleet.balancers[zone];
        members.push(simulated_agent(i, zone, &home.name));
    }
    let peer = fleet.control(&fleet.balancers[0]);
    let _link = inject::announce_members(fleet, peer, &members).await?;
    let start = Instant::now();
    for balancer in &fleet.balancers {
        while fleet.members(balancer).await? < (to + fleet.balancers.len()) as u64 {
            if start.elapsed() > Plan::HEALTH_TIMEOUT {
                bail!("timed out waiting for {} to receive {to} simulated agents", balancer.name);
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn set_reported_agents(
    fleet: &Fleet,
    reporters: &[(usize, Reporter)],
    count: usize,
) -> anyhow::Result<()> {
    let applied = fleet.applied(fleet.balancers[0].operator).await?;
    for (zone, reporter) in reporters {
        let numbers = (0..count).filter(|it| it % fleet.zones() == *zone);
        let agents = numbers.map(|it| simulated_agent(it, *zone, "").name().to_owned()).collect();
        reporter.zone.send_replace(Zone { agents, applied });
    }
    Ok(())
}

/// Measures the cost of increasing numbers of agents, with four balancers in one zone.
pub async fn agents(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const PER_BALANCER: &str = "agents per balancer";
    const IN_ZONE: &str = "agents of the zone";
    let mut set = [
        process_series("plain-cpu-agents", "quiet balancer, time", "% of a core", PER_BALANCER),
        process_series("plain-bytes-agents", "quiet balancer, control", "bytes/s", PER_BALANCER),
        process_series("plain-memory-agents", "quiet balancer, memory", "MiB", PER_BALANCER),
        process_series("seed-cpu-agents", "quiet lease holder, time", "% of a core", IN_ZONE),
        process_series("seed-bytes-agents", "quiet lease holder, control", "bytes/s", IN_ZONE),
        process_series("agent-cpu-agents", "quiet agent, time", "% of a core", IN_ZONE),
        process_series("agent-bytes-agents", "quiet agent, control", "bytes/s", IN_ZONE),
        process_series("agent-memory-agents", "quiet agent, memory", "MiB", IN_ZONE),
        process_series("calls-agents", "quiet fleet, platform", "calls/s", IN_ZONE),
    ];
    let mut fleet = plan.fleet("agents", 1).await?;
    fleet.add_services(20, 20).await?;
    fleet.add_balancers(BALANCERS)?;
    for &count in plan.agent_counts() {
        fleet.add_agents(count)?;
        let window =
            idle_window(&fleet, plan).await.with_context(|| format!("with {count} agents"))?;
        let per_balancer = count as f64 / BALANCERS as f64;
        let in_zone = count as f64;
        let values = [
            (per_balancer, window.plain.cpu),
            (per_balancer, window.plain.control),
            (per_balancer, window.plain.rss),
            (in_zone, window.seed.cpu),
            (in_zone, window.seed.control),
            (in_zone, window.agent.cpu),
            (in_zone, window.agent.control),
            (in_zone, window.agent.rss),
            (in_zone, window.calls),
        ];
        push(&mut set, &values);
    }
    fleet.kill_all().await?;
    Ok(set.into())
}

/// Measures the cost of increasing numbers of balancers in one zone, without agents.
pub async fn balancers(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const IN_ZONE: &str = "balancers of the zone";
    let mut set = [
        process_series("plain-cpu-balancers", "quiet balancer, time", "% of a core", IN_ZONE),
        process_series("plain-bytes-balancers", "quiet balancer, control", "bytes/s", IN_ZONE),
        process_series("plain-memory-balancers", "quiet balancer, memory", "MiB", IN_ZONE),
        process_series("plain-links-balancers", "links between balancers", "links", IN_ZONE),
        process_series("seed-cpu-balancers", "quiet lease holder, time", "% of a core", IN_ZONE),
        process_series("seed-bytes-balancers", "quiet lease holder, control", "bytes/s", IN_ZONE),
        process_series("seed-memory-balancers", "quiet lease holder, memory", "MiB", IN_ZONE),
        process_series("calls-balancers", "quiet fleet, platform", "calls/s", IN_ZONE),
        process_series("answers-balancers", "quiet fleet, platform's answers", "bytes/s", IN_ZONE),
    ];
    let mut fleet = plan.fleet("balancers", 1).await?;
    fleet.add_services(20, 20).await?;
    for &count in plan.balancer_counts() {
        fleet.add_balancers(count)?;
        let window =
            idle_window(&fleet, plan).await.with_context(|| format!("with {count} balancers"))?;
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
            (x, window.response_bytes),
        ];
        push(&mut set, &values);
    }
    fleet.kill_all().await?;
    Ok(set.into())
}

/// Measures the cost of increasing numbers of services, with four balancers and ten agents in one zone.
pub async fn services(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "services";
    const AGENTS: usize = 10;
    let mut set = [
        process_series("plain-cpu-services", "quiet balancer, time", "% of a core", AXIS),
        process_series("plain-bytes-services", "quiet balancer, control", "bytes/s", AXIS),
        process_series("plain-memory-services", "quiet balancer, memory", "MiB", AXIS),
        process_series("agent-cpu-services", "quiet agent, time", "% of a core", AXIS),
        process_series("agent-bytes-services", "quiet agent, control", "bytes/s", AXIS),
        process_series("agent-memory-services", "quiet agent, memory", "MiB", AXIS),
        process_series("agent-start-bytes", "an agent that starts, until healthy", "bytes", AXIS),
    ];
    let mut fleet = plan.fleet("services", 1).await?;
    fleet.add_balancers(BALANCERS)?;
    for &count in plan.service_counts() {
        fleet.add_services(count, count).await?;
        fleet.add_agents(AGENTS)?;
        let window =
            idle_window(&fleet, plan).await.with_context(|| format!("with {count} services"))?;
        let start = startup_bytes(&mut fleet).await?;
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
    fleet.kill_all().await?;
    Ok(set.into())
}

/// Control bytes that an agent sends and receives from its start until it is healthy.
async fn startup_bytes(fleet: &mut Fleet) -> anyhow::Result<f64> {
    let number = fleet.agents.len() - 1;
    fleet.kill_agents(&[number]).await?;
    fleet.restart_agents(&[number])?;
    fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
    fleet.control_bytes(fleet.agents[number].operator).await
}

async fn idle_window(fleet: &Fleet, plan: &Plan) -> anyhow::Result<Window> {
    idle_window_for(fleet, plan.window()).await
}

async fn idle_window_for(fleet: &Fleet, duration: Duration) -> anyhow::Result<Window> {
    fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
    time::sleep(SETTLE_TIME).await;
    fleet.window(duration).await
}

/// Adds one measurement to each series, in order.
pub fn push(set: &mut [Series], values: &[(f64, f64)]) {
    for (series, &(x, y)) in set.iter_mut().zip(values) {
        series.push(x, y);
    }
}
