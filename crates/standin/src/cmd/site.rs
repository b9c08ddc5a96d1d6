//! The `site` subcommand.

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

use anyhow::{Context, bail, ensure};
use bpaf::Bpaf;
use tokio_util::sync::CancellationToken;

use crate::{
    signals::StopSignal,
    site::{
        deployment::{Deployment, Name},
        faults::FaultKinds,
        run::{self, Settings},
    },
};

/// Start a whole deployment and run load through it
///
/// Every component runs as a separate process on loopback addresses. The last output line is a JSON object. Exit status
/// 1 if a guarantee was violated, 2 if the run failed. Ctrl-C stops all processes in order, a second one at once.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Site {
    /// Deployment to run: sparibaukur or bexley
    #[bpaf(argument("NAME"), fallback(Name::Sparibaukur))]
    site: Name,
    /// Length of the load in seconds
    #[bpaf(argument("N"), fallback(30))]
    seconds: u64,
    /// Seed of the random number generator
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
    /// Faults to inject: all, or a list of kill,freeze,cut,outage,lost-answer,race,drain,replace,config,lie
    #[bpaf(argument("KINDS"), optional)]
    faults: Option<FaultKinds>,
    /// Mean seconds between faults
    #[bpaf(argument("SECONDS"), fallback(2.0))]
    fault_every: f64,
    /// Folder with the programs; defaults to the folder of this one
    #[bpaf(argument("DIR"), optional)]
    bin_dir: Option<PathBuf>,
}

impl Site {
    /// Runs the deployment; returns exit code 1 if a guarantee was violated.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        ensure!(self.balancers > 0, "--balancers: must be above 0");
        ensure!(self.seconds > 0, "--seconds: must be above 0");
        ensure!(self.fault_every > 0.0, "--fault-every: must be above 0");
        let settings = Settings {
            deployment: Deployment::new(self.site),
            load_duration: Duration::from_secs(self.seconds),
            seed: self.seed,
            balancers: self.balancers,
            held_flows: self.flows,
            new_flows_per_s: self.opens,
            requests_per_s: self.requests,
            bin_dir: self.bin_dir()?,
            faults: self.faults.clone(),
            fault_interval: Duration::try_from_secs_f64(self.fault_every)
                .context("--fault-every")?,
        };
        let mut signals = StopSignal::new()?;
        let stop = CancellationToken::new();
        let run = run::run(settings, stop.clone());
        tokio::pin!(run);
        let result = tokio::select! {
            result = &mut run => result?,
            () = signals.wait() => {
                println!("stopping");
                stop.cancel();
                tokio::select! {
                    result = &mut run => result?,
                    () = signals.wait() => bail!("stopped by a second signal"),
                }
            }
        };
        let line = serde_json::to_string(&result.summary).context("write the summary")?;
        println!("{line}");
        Ok(if result.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
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
