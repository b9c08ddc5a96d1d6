//! Logging setup.

use anyhow::anyhow;
use tracing_subscriber::EnvFilter;

use crate::config::{CommonConfig, LogFormat};

/// Starts logging to standard error with the configured format and level.
pub(crate) fn init(common: &CommonConfig) -> anyhow::Result<()> {
    let level = &common.log_level;
    let filter = EnvFilter::new(format!("warn,camphorwinchd={level}"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let result = match common.log {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    result.map_err(|e| anyhow!("start the log: {e}"))
}
