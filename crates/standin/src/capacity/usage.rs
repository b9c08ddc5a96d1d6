//! CPU time and memory of a process, from procfs.

use std::{fs, path::Path};

use anyhow::Context;

const KIB_PER_MIB: f64 = 1024.0;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time of all threads, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MiB.
    pub rss_mib: f64,
    /// Anonymous resident memory, in MiB.
    pub anon_mib: f64,
}

impl Usage {
    /// Reads the usage of a process; an error if it does not exist.
    pub fn read(pid: u32) -> anyhow::Result<Usage> {
        let dir = Path::new("/proc").join(pid.to_string());
        let status = fs::read_to_string(dir.join("status"))
            .with_context(|| format!("failed to read the memory usage of process {pid}"))?;
        Ok(Usage {
            cpu_s: cpu_seconds(&dir)
                .with_context(|| format!("failed to read the CPU time of process {pid}"))?,
            rss_mib: field_kib(&status, "VmRSS:") / KIB_PER_MIB,
            anon_mib: field_kib(&status, "RssAnon:") / KIB_PER_MIB,
        })
    }
}

/// Sums `schedstat` of all threads, which has nanosecond resolution; `stat` counts ticks of 10 ms.
fn cpu_seconds(dir: &Path) -> anyhow::Result<f64> {
    let mut nanos = 0u64;
    for thread in fs::read_dir(dir.join("task"))? {
        let Ok(text) = fs::read_to_string(thread?.path().join("schedstat")) else {
            continue;
        };
        let running = text.split_whitespace().next().unwrap_or_default();
        nanos += running.parse::<u64>().context("invalid number in schedstat")?;
    }
    Ok(nanos as f64 / 1e9)
}

fn field_kib(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|it| it.strip_prefix(name));
    let number = line.and_then(|it| it.split_whitespace().next());
    number.and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// 1-minute load average of the machine.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or_default()
}
