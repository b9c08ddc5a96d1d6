//! The `capacity` subcommand.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::{Command, ExitCode},
    time::Instant,
};

use anyhow::Context;
use bpaf::Bpaf;

use crate::{
    capacity::{
        Part, Plan,
        output::{self, RunInfo},
        series::Measurements,
        size,
        usage::load_average,
    },
    signals::StopSignal,
};

/// Measure cost against size and extrapolate to the design size
///
/// Starts processes on loopback addresses, at five or more sizes of each axis, and measures the decision crate at
/// larger sizes. Writes points.csv, slopes.csv, totals.csv, tables.md and a plot of each series into the folder. Needs
/// a release build of the whole workspace, up to 170 processes, 2 GB and 13 minutes, or 6 minutes with --quick.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Capacity {
    /// Output folder
    #[bpaf(argument("DIR"), fallback(PathBuf::from("docs/capacity")))]
    pub out: PathBuf,
    /// Measure smaller sizes for shorter times
    pub quick: bool,
    /// Part to measure, all if none is given; repeatable
    #[bpaf(argument("PART"))]
    pub part: Vec<Part>,
    /// Folder with the programs; defaults to the folder of this one
    #[bpaf(argument("DIR"))]
    pub bin_dir: Option<PathBuf>,
}

impl Capacity {
    /// Runs the measurements; returns exit code 1 if a part failed.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let start = Instant::now();
        let logs = env::temp_dir().join(format!("camphorwinch-capacity-{}", std::process::id()));
        let plan = Plan { quick: self.quick, bin: self.bin()?, logs };
        let load = load_average();
        let commit = commit();
        let parts = if self.part.is_empty() { Part::ALL.to_vec() } else { self.part.clone() };
        let mut stop = StopSignal::new()?;
        let (measurements, failed) = tokio::select! {
            it = measure(&plan, &parts) => it,
            // Dropping the measurement kills its processes.
            () = stop.wait() => {
                remove(&plan.logs);
                return Ok(ExitCode::FAILURE);
            }
        };
        let run = RunInfo {
            commit,
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            load: [load, load_average()],
            quick: self.quick,
            seconds: start.elapsed().as_secs(),
        };
        output::write(&self.out, &run, &measurements, &size::totals(&measurements))?;
        if failed {
            eprintln!("logs of the processes: {}", plan.logs.display());
            return Ok(ExitCode::FAILURE);
        }
        remove(&plan.logs);
        Ok(ExitCode::SUCCESS)
    }

    fn bin(&self) -> anyhow::Result<PathBuf> {
        if let Some(dir) = &self.bin_dir {
            return Ok(dir.clone());
        }
        let program = env::current_exe().context("find the folder of this program")?;
        Ok(program.parent().unwrap_or(Path::new(".")).to_owned())
    }
}

/// Measures the parts in sequence; reports and skips those that fail.
async fn measure(plan: &Plan, parts: &[Part]) -> (Measurements, bool) {
    let mut measurements = Measurements::default();
    let mut failed = false;
    for part in parts {
        let start = Instant::now();
        match part.measure(plan).await {
            Ok(series) => {
                eprintln!("{}: {} s", part.as_str(), start.elapsed().as_secs());
                measurements.extend(series);
            }
            Err(error) => {
                eprintln!("{}: failed: {error:#}", part.as_str());
                failed = true;
            }
        }
    }
    (measurements, failed)
}

fn commit() -> String {
    let output = Command::new("git").args(["describe", "--always", "--dirty"]).output();
    let text = output.ok().filter(|it| it.status.success()).map(|it| it.stdout);
    let text = text.and_then(|it| String::from_utf8(it).ok());
    text.map_or_else(|| "unknown".to_owned(), |it| it.trim().to_owned())
}

fn remove(logs: &Path) {
    if let Err(error) = fs::remove_dir_all(logs) {
        tracing::debug!(%error, "failed to remove the logs");
    }
}
