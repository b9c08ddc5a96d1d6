//! Fault injection of the platform.

use std::{fmt, str::FromStr};

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

/// Kind of a complete outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// Every call gets a 503 response.
    Error,
    /// Every connection is closed without a response.
    Refuse,
    /// Calls get no response; their connections are closed when the outage ends.
    Hang,
}

impl FromStr for Outage {
    type Err = String;

    fn from_str(s: &str) -> Result<Outage, String> {
        match s {
            "error" => Ok(Outage::Error),
            "refuse" => Ok(Outage::Refuse),
            "hang" => Ok(Outage::Hang),
            _ => Err(format!("{s:?} is none of error, refuse, hang")),
        }
    }
}

impl fmt::Display for Outage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outage::Error => "error",
            Outage::Refuse => "refuse",
            Outage::Hang => "hang",
        })
    }
}

/// Faults to inject; all are off by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Bpaf)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage: error (503), refuse (connections closed without a response) or hang
    #[bpaf(argument("MODE"))]
    pub outage: Option<Outage>,
    /// Delay in milliseconds before a call takes effect
    #[bpaf(argument("MS"), fallback(0))]
    pub delay_ms: u64,
    /// Maximum random delay in milliseconds added before a call takes effect
    #[bpaf(argument("MS"), fallback(0))]
    pub jitter_ms: u64,
    /// Delay in milliseconds between the effect of a call and its response
    #[bpaf(argument("MS"), fallback(0))]
    pub answer_ms: u64,
    /// Share of writes that take effect and get a closed connection instead of a response
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub lost: f64,
    /// Number of upcoming writes that take effect and get a closed connection instead of a response
    #[bpaf(argument("N"), fallback(0))]
    pub lose_next: u32,
    /// Rate limit of reads and watches per second; calls above it get a 429 response
    #[bpaf(argument("N"))]
    pub reads_per_s: Option<f64>,
    /// Rate limit of writes per second; calls above it get a 429 response
    #[bpaf(argument("N"))]
    pub writes_per_s: Option<f64>,
    /// Share of watch events that are skipped
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub watch_skip: f64,
    /// Share of watch responses that repeat an earlier event
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub watch_repeat: f64,
    /// Share of watches whose connection is closed early
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub watch_close: f64,
}

impl Faults {
    /// Checks that each value is in range.
    pub fn check(&self) -> Result<(), String> {
        let shares = [
            ("lost", self.lost),
            ("watch_skip", self.watch_skip),
            ("watch_repeat", self.watch_repeat),
            ("watch_close", self.watch_close),
        ];
        for (name, share) in shares {
            if !(0.0..=1.0).contains(&share) {
                return Err(format!("{name}={share}: must be a share from 0 to 1"));
            }
        }
        for (name, rate) in [("reads_per_s", self.reads_per_s), ("writes_per_s", self.writes_per_s)]
        {
            if rate.is_some_and(|it| !it.is_finite() || it <= 0.0) {
                return Err(format!("{name}: must be above 0"));
            }
        }
        Ok(())
    }
}
