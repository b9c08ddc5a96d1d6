//! Configuration changes: their cost, and the time from accepted to in force at every daemon.

use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use futures::future::join_all;
use hdrhistogram::Histogram;
use tokio::time;

use super::{
    Plan,
    fleet::Fleet,
    scale::{on_processes, push},
    series::Series,
};

const ZONES: usize = 2;
const BALANCERS: usize = 6;
const AGENTS: usize = 24;
const POLL: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(20);

/// Writes changes at growing rates, then takes the time of single ones.
pub async fn measure(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const RATE: &str = "changes/s";
    let mut set = [
        on_processes("balancer-cpu-changes", "balancer under changes, time", "% of a core", RATE),
        on_processes("balancer-bytes-changes", "balancer under changes, control", "bytes/s", RATE),
        on_processes("agent-cpu-changes", "agent under changes, time", "% of a core", RATE),
        on_processes("agent-bytes-changes", "agent under changes, control", "bytes/s", RATE),
        on_processes("calls-changes", "fleet under changes, platform", "calls/s", RATE),
    ];
    let mut fleet = plan.fleet("changes", ZONES).await?;
    fleet.add_services(20, 20).await?;
    fleet.add_balancers(BALANCERS)?;
    fleet.add_agents(AGENTS)?;
    fleet.settle(Plan::LIMIT).await?;
    time::sleep(Duration::from_secs(3)).await;
    for &rate in plan.change_rates() {
        let start = fleet.open().await?;
        let written = write_at(&fleet, rate, plan.window()).await?;
        let window = fleet.close(&start).await?;
        let values = [
            (written, window.plain.cpu),
            (written, window.plain.control),
            (written, window.agent.cpu),
            (written, window.agent.control),
            (written, window.calls),
        ];
        push(&mut set, &values);
    }
    fleet.end().await?;
    Ok(set.into())
}

/// Times of changes to be in force at every daemon, against the number of daemons.
pub async fn times(plan: &Plan) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "daemons";
    let mut set = [
        on_processes("in-force-p50", "accepted to in force at all, p50", "s", AXIS),
        on_processes("in-force-p99", "accepted to in force at all, p99", "s", AXIS),
        on_processes("in-force-worst", "accepted to in force at all, worst", "s", AXIS),
    ];
    let mut fleet = plan.fleet("times", ZONES).await?;
    fleet.add_services(20, 20).await?;
    for &(balancers, agents) in plan.time_sizes() {
        fleet.add_balancers(balancers)?;
        fleet.add_agents(agents)?;
        fleet.settle(Plan::LIMIT).await?;
        time::sleep(Duration::from_secs(3)).await;
        let mut times = Histogram::<u64>::new(3).context("collect times")?;
        for number in 0..plan.changes() {
            let taken = time_one(&fleet, number).await?;
            times.record(taken.as_micros() as u64).context("collect times")?;
        }
        let x = (balancers + agents) as f64;
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1e6;
        push(&mut set, &[(x, at(0.5)), (x, at(0.99)), (x, times.max() as f64 / 1e6)]);
    }
    fleet.end().await?;
    Ok(set.into())
}

/// Writes changes one after another at a rate; the rate that was reached.
async fn write_at(fleet: &Fleet, rate: f64, length: Duration) -> anyhow::Result<f64> {
    let start = Instant::now();
    if rate <= 0.0 {
        time::sleep(length).await;
        return Ok(0.0);
    }
    let mut ticks = time::interval(Duration::from_secs_f64(1.0 / rate));
    let mut written = 0u32;
    while start.elapsed() < length {
        ticks.tick().await;
        fleet.touch(written as usize, 100_000 + written).await?;
        written += 1;
    }
    Ok(f64::from(written) / start.elapsed().as_secs_f64())
}

/// Time from the platform's answer until every daemon says that the revision is in force, to a poll of 20 ms.
async fn time_one(fleet: &Fleet, number: usize) -> anyhow::Result<Duration> {
    let version = fleet.touch(number, 200_000 + number as u32).await?;
    let start = Instant::now();
    let mut waiting: Vec<_> = fleet.daemons().map(|it| it.operator).collect();
    loop {
        let applied = join_all(waiting.iter().map(|&it| fleet.applied(it))).await;
        let taken = start.elapsed();
        let mut applied = applied.into_iter();
        waiting.retain(|_| !matches!(applied.next(), Some(Ok(it)) if it >= version));
        if waiting.is_empty() {
            return Ok(taken);
        }
        if taken > LIMIT {
            bail!(
                "wait for revision {version}: not in force at {} daemons after {LIMIT:?}",
                waiting.len()
            );
        }
        time::sleep(POLL).await;
    }
}
