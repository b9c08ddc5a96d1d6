//! The log: JSON lines on standard output, never more than the process can afford and never waiting for a reader.

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

/// Lines that may wait for the writer: some seconds of the highest rate.
const WAITING: usize = 1_024;
/// Lines on single flows in a second, of each class. With some 300 bytes a line both classes take 24 KB/s.
pub const FLOW_LINES_PER_S: u32 = 40;
/// Lines on single flows that may come at once after a quiet time.
pub const FLOW_LINES_BURST: u32 = 200;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// For how long the end of the process waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writes the last lines when it is dropped at the end of the process.
#[derive(Debug)]
pub struct Guard {
    sender: SyncSender<Item>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        if self.sender.try_send(Item::Flush(done)).is_ok() {
            // Without a reader the lines are lost; the process must end all the same.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts the log; `level` is the least level, as in `info`.
pub fn init(level: &str) -> anyhow::Result<Guard> {
    let (sender, items) = sync_channel::<Item>(WAITING);
    let write = move || {
        let mut out = io::stdout().lock();
        for item in items {
            let result = match item {
                Item::Line(line) => out.write_all(&line).and_then(|()| out.flush()),
                Item::Flush(done) => done.try_send(()).map_err(io::Error::other),
            };
            // A reader that has gone can't be told about it.
            if result.is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    let guard = Guard { sender: sender.clone() };
    thread::Builder::new().name("log".to_owned()).spawn(write).context("start the log's writer")?;
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
    let builder = builder.with_env_filter(EnvFilter::new(level)).with_writer(Lines { sender });
    builder.try_init().map_err(|e| anyhow!("start the log: {e}"))?;
    Ok(guard)
}

/// Lines that were lost because the reader was slow.
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

/// A line that is handed to the writer as a whole.
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

/// Lets lines on single flows through up to a rate and counts the others.
#[derive(Clone, Debug)]
pub struct Limiter {
    tokens: u32,
    refilled_ms: u64,
    suppressed: u64,
}

impl Limiter {
    /// A limiter that starts with a whole burst.
    pub fn new(now_ms: u64) -> Limiter {
        Limiter { tokens: FLOW_LINES_BURST, refilled_ms: now_ms, suppressed: 0 }
    }

    /// Whether a line may be written now.
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

    /// Lines not written since the last call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
