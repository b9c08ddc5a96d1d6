//! `site`.

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

use anyhow::{Context, bail, ensure};
use bpaf::Bpaf;
use tokio_util::sync::CancellationToken;

use crate::{
    site::{
        deployment::{Deployment, Name},
        faults::Kinds,
        run::{self, Settings},
    },
    stop::Stop,
};

/// Start a whole deployment and drive load through it
///
/// Every part runs as a process of its own on loopback addresses. The last line is one JSON object. Exit status 1 if a
/// promise was broken, 2 if the run could not be made. Ctrl-C stops all processes in order, twice at once.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Site {
    /// Deployment: sparibaukur or bexley
    #[bpaf(argument("NAME"), fallback(Name::Sparibaukur))]
    site: Name,
    /// Length of the load
    #[bpaf(argument("N"), fallback(30))]
    seconds: u64,
    /// Seed of all random choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of balancers
    #[bpaf(argument("N"), fallback(3))]
    balancers: usize,
    /// Flows held open for the whole run
    #[bpaf(argument("N"), fallback(200))]
    flows: usize,
    /// New short flows per second
    #[bpaf(argument("N"), fallback(20.0))]
    opens: f64,
    /// Requests per second on the held flows
    #[bpaf(argument("N"), fallback(150.0))]
    requests: f64,
    /// Faults to place: all, or some of kill,freeze,cut,outage,lost-answer,race,drain,replace,config,lie
    #[bpaf(argument("KINDS"), optional)]
    faults: Option<Kinds>,
    /// Mean seconds between two faults
    #[bpaf(argument("SECONDS"), fallback(2.0))]
    fault_every: f64,
    /// Folder with the programs; that of this program if not given
    #[bpaf(argument("DIR"), optional)]
    bin_dir: Option<PathBuf>,
}

impl Site {
    /// Runs the subcommand.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        ensure!(self.balancers > 0, "--balancers: must be above 0");
        ensure!(self.seconds > 0, "--seconds: must be above 0");
        ensure!(self.fault_every > 0.0, "--fault-every: must be above 0");
        let settings = Settings {
            deployment: Deployment::new(self.site),
            span: Duration::from_secs(self.seconds),
            seed: self.seed,
            balancers: self.balancers,
            flows: self.flows,
            opens: self.opens,
            requests: self.requests,
            bin_dir: self.bin_dir()?,
            faults: self.faults.clone(),
            every: Duration::try_from_secs_f64(self.fault_every).context("--fault-every")?,
        };
        let mut signals = Stop::new()?;
        let stop = CancellationToken::new();
        let run = run::run(settings, stop.clone());
        tokio::pin!(run);
        let findings = tokio::select! {
            findings = &mut run => findings?,
            () = signals.wait() => {
                println!("stopping");
                stop.cancel();
                tokio::select! {
                    findings = &mut run => findings?,
                    () = signals.wait() => bail!("stopped at once by a second signal"),
                }
            }
        };
        let line = serde_json::to_string(&findings.summary).context("write the summary")?;
        println!("{line}");
        Ok(if findings.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn bin_dir(&self) -> anyhow::Result<PathBuf> {
        if let Some(folder) = &self.bin_dir {
            return Ok(folder.clone());
        }
        let program = env::current_exe().context("find the folder of this program")?;
        let folder = program.parent().context("find the folder of this program")?;
        Ok(folder.to_owned())
    }
}
