//! The `caller` subcommand.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr},
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context;
use bpaf::Bpaf;
use tokio_util::sync::CancellationToken;

use crate::{
    caller::{
        Target, client,
        load::{Load, Mix, ServiceLoad},
        report::Report,
        stats::LoadStats,
    },
    signals::StopSignal,
};

/// Generate load from callers through a fabric
///
/// Prints a JSON report. Exit status 1 if a flow broke or a request failed.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Caller {
    /// Service to call; repeatable, the load is split evenly
    #[bpaf(argument("NAME=IP:PORT/POOL"), some("at least one --target is needed"))]
    target: Vec<Target>,
    /// PEM file with the trusted certificates
    #[bpaf(argument("FILE"))]
    trust: PathBuf,
    /// Address to send from; repeatable
    #[bpaf(argument("IP"))]
    from: Vec<IpAddr>,
    /// Number of sockets to send from
    #[bpaf(argument("N"), fallback(64))]
    endpoints: usize,
    /// Flows held open for the whole run
    #[bpaf(argument("N"), fallback(100))]
    flows: usize,
    /// New short flows per second
    #[bpaf(argument("N"), fallback(10.0))]
    opens: f64,
    /// Requests per second on the held flows
    #[bpaf(argument("N"), fallback(50.0))]
    requests: f64,
    /// Maximum number of concurrent feeds per service
    #[bpaf(argument("N"), fallback(8))]
    feeds: usize,
    /// Shares of request kinds, such as screen=0.6,feed=0.1,upload=0.1,transfer=0.2
    #[bpaf(argument("MIX"), fallback(Mix::new([0.6, 0.1, 0.1, 0.2])))]
    mix: Mix,
    /// Length of the run in seconds
    #[bpaf(argument("N"), fallback(10))]
    seconds: u64,
    /// Seed of the random number generator
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

impl Caller {
    /// Runs the load; returns exit code 1 if a flow broke or a request failed.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let step = || format!("read {}", self.trust.display());
        let pem = fs::read_to_string(&self.trust).with_context(step)?;
        let from = match self.from.as_slice() {
            [] => &[IpAddr::V4(Ipv4Addr::LOCALHOST)],
            from => from,
        };
        let load = Load {
            services: self.service_loads(),
            endpoints: client::endpoints(from, self.endpoints)?,
            config: client::config(&pem)?,
            seed: self.seed,
            duration: Duration::from_secs(self.seconds),
        };
        let stats = Arc::new(LoadStats::new());
        let start = Instant::now();
        load.run(stats.clone(), stop_token()?).await?;
        let report = Report::new(&stats, start.elapsed());
        println!("{}", serde_json::to_string(&report).context("write the report")?);
        Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn service_loads(&self) -> Vec<ServiceLoad> {
        let count = self.target.len();
        let mut loads = Vec::new();
        for target in &self.target {
            loads.push(ServiceLoad {
                target: target.clone(),
                held_flows: self.flows.div_ceil(count),
                requests_per_s: self.requests / count as f64,
                new_flows_per_s: self.opens / count as f64,
                max_feeds: self.feeds,
                mix: self.mix,
            });
        }
        loads
    }
}

fn stop_token() -> anyhow::Result<CancellationToken> {
    let mut stop = StopSignal::new()?;
    let token = CancellationToken::new();
    let child = token.clone();
    tokio::spawn(async move {
        stop.wait().await;
        child.cancel();
    });
    Ok(token)
}
