//! Member events: agents that die and come back, one by one and all at once, and an outage of the platform.

use std::time::{Duration, Instant};

use anyhow::Context;
use serde_json::json;
use tokio::time;

use super::{
    Plan,
    fleet::Fleet,
    scale::{on_processes, push},
    series::Series,
};

const ZONES: usize = 2;
const BALANCERS: usize = 6;
const AGENTS: usize = 36;
const OUTAGE: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(2);

/// Replaces agents at growing rates: each dies without notice and is started again at once.
pub async fn replacements(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const RATE: &str = "replacements/s";
    let mut set = [
        on_processes(
            "balancer-cpu-events",
            "balancer under replacements, time",
            "% of a core",
            RATE,
        ),
        on_processes(
            "balancer-bytes-events",
            "balancer under replacements, control",
            "bytes/s",
            RATE,
        ),
    ];
    let mut fleet = plan.fleet("events", ZONES).await?;
    fleet.add_services(20, 20).await?;
    fleet.add_balancers(BALANCERS)?;
    fleet.add_agents(AGENTS)?;
    fleet.settle(Plan::LIMIT).await?;
    time::sleep(Duration::from_secs(3)).await;
    for &rate in plan.event_rates() {
        let start = fleet.open_balancers().await?;
        let done = replace_at(&mut fleet, rate, plan.window()).await?;
        let window = fleet.close_balancers(&start).await?;
        push(&mut set, &[(done, window.cpu), (done, window.control)]);
        fleet.settle(Plan::LIMIT).await?;
    }
    fleet.end().await?;
    Ok(set.into())
}

async fn replace_at(fleet: &mut Fleet, rate: f64, length: Duration) -> anyhow::Result<f64> {
    let start = Instant::now();
    if rate <= 0.0 {
        time::sleep(length).await;
        return Ok(0.0);
    }
    let mut ticks = time::interval(Duration::from_secs_f64(1.0 / rate));
    let mut done = 0;
    while start.elapsed() < length {
        ticks.tick().await;
        let number = done % fleet.agents.len();
        fleet.kill_agents(&[number]).await?;
        fleet.restart_agents(&[number])?;
        done += 1;
    }
    Ok(done as f64 / start.elapsed().as_secs_f64())
}

/// Starts growing numbers of agents at once.
pub async fn storms(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "agents that start at once";
    let mut set = [
        on_processes("storm-time", "until all agents are healthy", "s", AXIS),
        on_processes("storm-cpu", "time of a balancer", "s", AXIS),
        on_processes("storm-bytes", "control of a balancer", "bytes", AXIS),
        on_processes("storm-calls", "calls of the platform", "calls", AXIS),
    ];
    for &count in plan.storms() {
        let mut fleet = plan.fleet("storm", ZONES).await?;
        fleet.add_services(20, 20).await?;
        fleet.add_balancers(BALANCERS)?;
        fleet.settle(Plan::LIMIT).await?;
        time::sleep(Duration::from_secs(3)).await;
        let calls = fleet.counts().await?.total;
        let start = fleet.open_balancers().await?;
        fleet.add_agents(count)?;
        let taken =
            fleet.settle(Plan::LIMIT).await.with_context(|| format!("start {count} agents"))?;
        time::sleep(AFTER).await;
        let used = fleet.used_by_balancers(&start).await?;
        let calls = fleet.counts().await?.total - calls;
        let x = count as f64;
        push(
            &mut set,
            &[(x, taken.as_secs_f64()), (x, used.cpu_s), (x, used.bytes), (x, calls as f64)],
        );
        fleet.end().await?;
    }
    Ok(set.into())
}

/// Calls in the first seconds after an outage of the platform, against the number of balancers.
pub async fn outages(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "balancers";
    let mut set = [
        on_processes("outage-calls", "calls in an outage", "calls/s", AXIS),
        on_processes("after-outage-calls", "calls in the 2 s after an outage", "calls", AXIS),
    ];
    let mut fleet = plan.fleet("outages", ZONES).await?;
    fleet.add_services(20, 20).await?;
    for &count in plan.balancers() {
        fleet.add_balancers(count)?;
        fleet.add_agents(12)?;
        fleet.settle(Plan::LIMIT).await?;
        time::sleep(Duration::from_secs(3)).await;
        let before = fleet.counts().await?.total;
        fleet.set_faults(&json!({ "outage": "error" })).await?;
        time::sleep(OUTAGE).await;
        let during = fleet.counts().await?.total;
        fleet.set_faults(&json!({})).await?;
        time::sleep(AFTER).await;
        let after = fleet.counts().await?.total;
        let x = count as f64;
        let rate = (during - before) as f64 / OUTAGE.as_secs_f64();
        push(&mut set, &[(x, rate), (x, (after - during) as f64)]);
    }
    fleet.end().await?;
    Ok(set.into())
}
