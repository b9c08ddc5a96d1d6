//! Configuration changes: their cost, and the time until every daemon has applied them.

use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use futures::future::join_all;
use hdrhistogram::Histogram;
use tokio::time;

use super::{
    Plan,
    fleet::Fleet,
    scale::{process_series, push},
    series::Series,
};

const ZONES: usize = 2;
const BALANCERS: usize = 6;
const AGENTS: usize = 24;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Measures the cost of changes at increasing rates.
pub async fn measure(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const RATE: &str = "changes/s";
    let mut set = [
        process_series("balancer-cpu-changes", "balancer under changes, time", "% of a core", RATE),
        process_series(
            "balancer-bytes-changes",
            "balancer under changes, control",
            "bytes/s",
            RATE,
        ),
        process_series("agent-cpu-changes", "agent under changes, time", "% of a core", RATE),
        process_series("agent-bytes-changes", "agent under changes, control", "bytes/s", RATE),
        process_series("calls-changes", "fleet under changes, platform", "calls/s", RATE),
    ];
    let mut fleet = plan.fleet("changes", ZONES).await?;
    fleet.add_services(20, 20).await?;
    fleet.add_balancers(BALANCERS)?;
    fleet.add_agents(AGENTS)?;
    fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
    time::sleep(Duration::from_secs(3)).await;
    for &rate in plan.change_rates() {
        let start = fleet.start_window().await?;
        let written = write_at_rate(&fleet, rate, plan.window()).await?;
        let window = fleet.end_window(&start).await?;
        let values = [
            (written, window.plain.cpu),
            (written, window.plain.control),
            (written, window.agent.cpu),
            (written, window.agent.control),
            (written, window.calls),
        ];
        push(&mut set, &values);
    }
    fleet.kill_all().await?;
    Ok(set.into())
}

/// Measures the time until every daemon has applied a change, against the number of daemons.
pub async fn times(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "daemons";
    let mut set = [
        process_series("in-force-p50", "accepted to in force at all, p50", "s", AXIS),
        process_series("in-force-p99", "accepted to in force at all, p99", "s", AXIS),
        process_series("in-force-worst", "accepted to in force at all, worst", "s", AXIS),
    ];
    let mut fleet = plan.fleet("times", ZONES).await?;
    fleet.add_services(20, 20).await?;
    for &(balancers, agents) in plan.fleet_sizes() {
        fleet.add_balancers(balancers)?;
        fleet.add_agents(agents)?;
        fleet.wait_until_healthy(Plan::HEALTH_TIMEOUT).await?;
        time::sleep(Duration::from_secs(3)).await;
        let mut times = Histogram::<u64>::new(3).context("failed to create the histogram")?;
        for number in 0..plan.change_count() {
            let taken = time_to_apply(&fleet, number).await?;
            times.record(taken.as_micros() as u64).context("failed to record a time")?;
        }
        let x = (balancers + agents) as f64;
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1e6;
        push(&mut set, &[(x, at(0.5)), (x, at(0.99)), (x, times.max() as f64 / 1e6)]);
    }
    fleet.kill_all().await?;
    Ok(set.into())
}

/// Writes changes sequentially at a rate; returns the rate that was achieved.
async fn write_at_rate(fleet: &Fleet, rate: f64, duration: Duration) -> anyhow::Result<f64> {
    let start = Instant::now();
    if rate <= 0.0 {
        time::sleep(duration).await;
        return Ok(0.0);
    }
    let mut ticks = time::interval(Duration::from_secs_f64(1.0 / rate));
    let mut written = 0u32;
    while start.elapsed() < duration {
        ticks.tick().await;
        fleet.update_service(written as usize, 100_000 + written).await?;
        written += 1;
    }
    Ok(f64::from(written) / start.elapsed().as_secs_f64())
}

/// Measures the time from the response of the platform until every daemon reports the revision as applied.
async fn time_to_apply(fleet: &Fleet, number: usize) -> anyhow::Result<Duration> {
    let version = fleet.update_service(number, 200_000 + number as u32).await?;
    let start = Instant::now();
    let mut pending: Vec<_> = fleet.daemons().map(|it| it.operator).collect();
    loop {
        let applied = join_all(pending.iter().map(|&it| fleet.applied(it))).await;
        let elapsed = start.elapsed();
        let mut applied = applied.into_iter();
        pending.retain(|_| !matches!(applied.next(), Some(Ok(it)) if it >= version));
        if pending.is_empty() {
            return Ok(elapsed);
        }
        if elapsed > APPLY_TIMEOUT {
            bail!(
                "revision {version} is not applied at {} daemons after {APPLY_TIMEOUT:?}",
                pending.len()
            );
        }
        time::sleep(POLL_INTERVAL).await;
    }
}
