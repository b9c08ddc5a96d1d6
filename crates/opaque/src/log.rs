//! Rate-limited JSON log on standard output that never blocks on its reader.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

use anyhow::{Context, anyhow};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Capacity of the queue to the writer thread: some seconds of the highest rate.
const QUEUE_LINES: usize = 1_024;
/// Sustained rate of lines on single flows, for each class. With some 300 bytes a line both classes take 24 KB/s.
pub const FLOW_LINES_PER_S: u32 = 40;
/// Burst of lines on single flows.
pub const FLOW_LINES_BURST: u32 = 200;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Time to wait at exit for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Flushes the log when dropped at the end of the process.
#[derive(Debug)]
pub struct Guard {
    sender: SyncSender<Item>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        if self.sender.try_send(Item::Flush(done)).is_ok() {
            // Without a reader the lines are lost, but the process must still exit.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts the log; `level` is the minimum level, such as `info`.
pub fn init(level: &str) -> anyhow::Result<Guard> {
    let (sender, items) = sync_channel::<Item>(QUEUE_LINES);
    let write = move || {
        let mut out = io::stdout().lock();
        for item in items {
            let result = match item {
                Item::Line(line) => out.write_all(&line).and_then(|()| out.flush()),
                Item::Flush(done) => done.try_send(()).map_err(io::Error::other),
            };
            if result.is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    let guard = Guard { sender: sender.clone() };
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(write)
        .context("failed to start the log writer thread")?;
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
    let builder = builder.with_env_filter(EnvFilter::new(level)).with_writer(Lines { sender });
    builder.try_init().map_err(|e| anyhow!("failed to initialise the log: {e}"))?;
    Ok(guard)
}

/// Number of lines dropped because the reader was slow.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

struct Lines {
    sender: SyncSender<Item>,
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line { bytes: Vec::with_capacity(320), sender: self.sender.clone() }
    }
}

/// A line that is queued as a whole when dropped.
struct Line {
    bytes: Vec<u8>,
    sender: SyncSender<Item>,
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.sender.try_send(Item::Line(bytes))
        {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Token bucket for lines on single flows, which counts those suppressed.
#[derive(Clone, Debug)]
pub struct Limiter {
    tokens: u32,
    refilled_ms: u64,
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter with a full burst.
    pub fn new(now_ms: u64) -> Limiter {
        Limiter { tokens: FLOW_LINES_BURST, refilled_ms: now_ms, suppressed: 0 }
    }

    /// Whether a line may be logged now; a refusal is counted.
    pub fn allow(&mut self, now_ms: u64) -> bool {
        let passed = now_ms.saturating_sub(self.refilled_ms);
        let new = passed * u64::from(FLOW_LINES_PER_S) / 1_000;
        if new > 0 {
            let tokens = u64::from(self.tokens) + new;
            self.tokens = tokens.min(u64::from(FLOW_LINES_BURST)) as u32;
            self.refilled_ms = now_ms;
        }
        if self.tokens == 0 {
            self.suppressed += 1;
            return false;
        }
        self.tokens -= 1;
        true
    }

    /// Returns and resets the number of suppressed lines.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
