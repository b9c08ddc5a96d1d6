//! `caller`.

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
        load::{Load, Mix, Share},
        report::Report,
        tally::Tally,
    },
    stop::Stop,
};

/// Drive load from callers through a fabric
///
/// Prints a report as JSON. Exit status 1 if a flow broke or a request failed.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Caller {
    /// Service to call; may be given several times, the load is split evenly
    #[bpaf(argument("NAME=IP:PORT/POOL"), some("at least one --target is needed"))]
    target: Vec<Target>,
    /// File with the certificates to trust, PEM
    #[bpaf(argument("FILE"))]
    trust: PathBuf,
    /// Address to send from; may be given several times
    #[bpaf(argument("IP"))]
    from: Vec<IpAddr>,
    /// Sockets to send from
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
    /// Most feeds open at once per service
    #[bpaf(argument("N"), fallback(8))]
    feeds: usize,
    /// Mix of requests, such as screen=0.6,feed=0.1,upload=0.1,transfer=0.2
    #[bpaf(argument("MIX"), fallback(Mix::new([0.6, 0.1, 0.1, 0.2])))]
    mix: Mix,
    /// Length of the run
    #[bpaf(argument("N"), fallback(10))]
    seconds: u64,
    /// Seed of all random choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

impl Caller {
    /// Runs the subcommand.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let step = || format!("read {}", self.trust.display());
        let pem = fs::read_to_string(&self.trust).with_context(step)?;
        let from = match self.from.as_slice() {
            [] => &[IpAddr::V4(Ipv4Addr::LOCALHOST)],
            from => from,
        };
        let load = Load {
            shares: self.shares(),
            endpoints: client::endpoints(from, self.endpoints)?,
            config: client::config(&pem)?,
            seed: self.seed,
            span: Duration::from_secs(self.seconds),
        };
        let tally = Arc::new(Tally::new());
        let start = Instant::now();
        load.run(tally.clone(), stop_token()?).await?;
        let report = Report::new(&tally, start.elapsed());
        println!("{}", serde_json::to_string(&report).context("write the report")?);
        Ok(if report.clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn shares(&self) -> Vec<Share> {
        let count = self.target.len();
        let mut shares = Vec::new();
        for target in &self.target {
            shares.push(Share {
                target: target.clone(),
                held: self.flows.div_ceil(count),
                rate: self.requests / count as f64,
                opens: self.opens / count as f64,
                feeds: self.feeds,
                mix: self.mix,
            });
        }
        shares
    }
}

fn stop_token() -> anyhow::Result<CancellationToken> {
    let mut stop = Stop::new()?;
    let token = CancellationToken::new();
    let child = token.clone();
    tokio::spawn(async move {
        stop.wait().await;
        child.cancel();
    });
    Ok(token)
}
