//! A process of a deployment.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use anyhow::{Context, bail};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{
    process::{Child, Command},
    time,
};

/// Time limit for a process to exit after SIGTERM.
pub const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Command to start a process.
#[derive(Clone, Debug)]
pub struct LaunchSpec {
    /// Name, unique within the deployment.
    pub name: String,
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments.
    pub args: Vec<String>,
    /// Environment variables.
    pub env: Vec<(String, String)>,
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    pid: Pid,
    child: Child,
}

impl Process {
    /// Starts the process with its output appended to a log file in the folder.
    pub fn start(launch: &LaunchSpec, folder: &Path) -> anyhow::Result<Process> {
        let step = || format!("start {}", launch.name);
        let path = folder.join(format!("{}.log", launch.name));
        let log = File::options().create(true).append(true).open(&path).with_context(step)?;
        let child = Command::new(&launch.program)
            .args(&launch.args)
            .envs(launch.env.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().with_context(step)?)
            .stderr(log)
            // A separate process group, so that Ctrl-C does not reach the processes before they are stopped in order.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .with_context(step)?;
        let pid = child.id().with_context(step)?;
        Ok(Process { name: launch.name.clone(), pid: Pid::from_raw(pid as i32), child })
    }

    /// Name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.pid.as_raw().unsigned_abs()
    }

    /// Whether it is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGTERM and waits for the exit; fails on a timeout or an exit status other than 0.
    pub async fn stop(mut self) -> anyhow::Result<Duration> {
        if let Ok(Some(status)) = self.child.try_wait() {
            bail!("stop {}: already exited with {status}", self.name);
        }
        let start = time::Instant::now();
        self.signal(Signal::SIGTERM)?;
        let Ok(exited) = time::timeout(STOP_LIMIT, self.child.wait()).await else {
            self.child.start_kill().with_context(|| format!("kill {}", self.name))?;
            bail!("stop {}: still running {STOP_LIMIT:?} after SIGTERM", self.name);
        };
        let status = exited.with_context(|| format!("stop {}", self.name))?;
        if !status.success() {
            bail!("stop {}: exited with {status}", self.name);
        }
        Ok(start.elapsed())
    }

    /// Kills it with SIGKILL.
    pub async fn kill(mut self) -> anyhow::Result<()> {
        self.child.kill().await.with_context(|| format!("kill {}", self.name))
    }

    /// Pauses it with SIGSTOP until [`Process::resume`].
    pub fn pause(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes it with SIGCONT.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        kill(self.pid, signal).with_context(|| format!("send {signal} to {}", self.name))
    }
}
