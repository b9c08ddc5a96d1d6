//! Set-up of the log.

use anyhow::anyhow;
use tracing_subscriber::EnvFilter;

use crate::config::{Common, LogForm};

/// Starts logging to standard error in the form and from the level that the settings name.
pub(crate) fn init(common: &Common) -> anyhow::Result<()> {
    let level = &common.log_level;
    let filter = EnvFilter::new(format!("warn,camphorwinchd={level}"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let result = match common.log {
        LogForm::Text => builder.try_init(),
        LogForm::Json => builder.json().try_init(),
    };
    result.map_err(|e| anyhow!("start the log: {e}"))
}
