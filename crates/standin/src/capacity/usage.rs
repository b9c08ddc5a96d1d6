//! Processor time and memory of a process, as the kernel counts them.

use std::{fs, path::Path};

use anyhow::Context;

const MIB: f64 = 1024.0;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time of all its threads, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MiB.
    pub rss_mib: f64,
    /// Resident memory that is not a file's, in MiB.
    pub own_mib: f64,
}

impl Usage {
    /// Reads the usage of the process `pid`.
    pub fn read(pid: u32) -> anyhow::Result<Usage> {
        let dir = Path::new("/proc").join(pid.to_string());
        let status = fs::read_to_string(dir.join("status"))
            .with_context(|| format!("read the memory of process {pid}"))?;
        Ok(Usage {
            cpu_s: cpu_seconds(&dir).with_context(|| format!("read the time of process {pid}"))?,
            rss_mib: field_kib(&status, "VmRSS:") / MIB,
            own_mib: field_kib(&status, "RssAnon:") / MIB,
        })
    }
}

/// Sums the threads: `schedstat` counts nanoseconds, while `stat` counts ticks of 10 ms.
fn cpu_seconds(dir: &Path) -> anyhow::Result<f64> {
    let mut nanos = 0u64;
    for thread in fs::read_dir(dir.join("task"))? {
        let Ok(text) = fs::read_to_string(thread?.path().join("schedstat")) else {
            continue;
        };
        let running = text.split_whitespace().next().unwrap_or_default();
        nanos += running.parse::<u64>().context("a field of schedstat is no number")?;
    }
    Ok(nanos as f64 / 1e9)
}

fn field_kib(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|it| it.strip_prefix(name));
    let number = line.and_then(|it| it.split_whitespace().next());
    number.and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// The 1-minute load average of the machine.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or_default()
}
