//! Member events: replacement of agents, simultaneous starts of agents, and an outage of the platform.

use std::time::{Duration, Instant};

use anyhow::Context;
use serde_json::json;
use tokio::time;

use super::{
    Plan,
    fleet::Fleet,
    scale::{process_series, push},
    series::Series,
};

const ZONES: usize = 2;
const BALANCERS: usize = 6;
const AGENTS: usize = 36;
const OUTAGE_TIME: Duration = Duration::from_secs(8);
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Measures the cost of replacing agents at increasing rates; each is killed and restarted at once.
pub async fn replacements(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const RATE: &str = "replacements/s";
    let mut set = [
        process_series(
            "balancer-cpu-events",
            "balancer under replacements, time",
            "% of a core",
            RATE,
        ),
        process_series(
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
    fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
    time::sleep(Duration::from_secs(3)).await;
    for &rate in plan.replacement_rates() {
        let start = fleet.start_balancer_window().await?;
        let achieved = replace_at_rate(&mut fleet, rate, plan.window()).await?;
        let window = fleet.end_balancer_window(&start).await?;
        push(&mut set, &[(achieved, window.cpu), (achieved, window.control)]);
        fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
    }
    fleet.kill_all().await?;
    Ok(set.into())
}

async fn replace_at_rate(fleet: &mut Fleet, rate: f64, duration: Duration) -> anyhow::Result<f64> {
    let start = Instant::now();
    if rate <= 0.0 {
        time::sleep(duration).await;
        return Ok(0.0);
    }
    let mut ticks = time::interval(Duration::from_secs_f64(1.0 / rate));
    let mut replaced = 0;
    while start.elapsed() < duration {
        ticks.tick().await;
        let number = replaced % fleet.agents.len();
        fleet.kill_agents(&[number]).await?;
        fleet.restart_agents(&[number])?;
        replaced += 1;
    }
    Ok(replaced as f64 / start.elapsed().as_secs_f64())
}

/// Measures the cost of starting increasing numbers of agents at once.
pub async fn storms(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "agents that start at once";
    let mut set = [
        process_series("storm-time", "until all agents are healthy", "s", AXIS),
        process_series("storm-cpu", "time of a balancer", "s", AXIS),
        process_series("storm-bytes", "control of a balancer", "bytes", AXIS),
        process_series("storm-calls", "calls of the platform", "calls", AXIS),
    ];
    for &count in plan.storm_sizes() {
        let mut fleet = plan.fleet("storm", ZONES).await?;
        fleet.add_services(20, 20).await?;
        fleet.add_balancers(BALANCERS)?;
        fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
        time::sleep(Duration::from_secs(3)).await;
        let calls = fleet.counts().await?.total;
        let start = fleet.start_balancer_window().await?;
        fleet.add_agents(count)?;
        let elapsed = fleet
            .wait_until_healthy(Plan::HEALTH_TIMEOUT)
            .await
            .with_context(|| format!("failed to start {count} agents"))?;
        time::sleep(RECOVERY_TIME).await;
        let used = fleet.balancer_usage_since(&start).await?;
        let calls = fleet.counts().await?.total - calls;
        let x = count as f64;
        push(
            &mut set,
            &[(x, elapsed.as_secs_f64()), (x, used.cpu_s), (x, used.bytes), (x, calls as f64)],
        );
        fleet.kill_all().await?;
    }
    Ok(set.into())
}

/// Counts platform calls during an outage and in the first seconds after it, against the number of balancers.
pub async fn outages(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "balancers";
    let mut set = [
        process_series("outage-calls", "calls in an outage", "calls/s", AXIS),
        process_series("after-outage-calls", "calls in the 2 s after an outage", "calls", AXIS),
    ];
    let mut fleet = plan.fleet("outages", ZONES).await?;
    fleet.add_services(20, 20).await?;
    for &count in plan.balancer_counts() {
        fleet.add_balancers(count)?;
        fleet.add_agents(12)?;
        fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
        time::sleep(Duration::from_secs(3)).await;
        let before = fleet.counts().await?.total;
        fleet.set_faults(&json!({ "outage": "error" })).await?;
        time::sleep(OUTAGE_TIME).await;
        let during = fleet.counts().await?.total;
        fleet.set_faults(&json!({})).await?;
        time::sleep(RECOVERY_TIME).await;
        let after = fleet.counts().await?.total;
        let x = count as f64;
        let rate = (during - before) as f64 / OUTAGE_TIME.as_secs_f64();
        push(&mut set, &[(x, rate), (x, (after - during) as f64)]);
    }
    fleet.kill_all().await?;
    Ok(set.into())
}
