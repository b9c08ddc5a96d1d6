//! Fault injection of an upstream.

use std::{fmt, str::FromStr};

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

/// A false load reported by `GET /load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadOverride {
    /// Ready, with no slot busy.
    Idle,
    /// Shedding, with all slots busy.
    Full,
}

impl FromStr for LoadOverride {
    type Err = String;

    fn from_str(s: &str) -> Result<LoadOverride, String> {
        match s {
            "idle" => Ok(LoadOverride::Idle),
            "full" => Ok(LoadOverride::Full),
            _ => Err(format!("{s:?} is none of idle, full")),
        }
    }
}

impl fmt::Display for LoadOverride {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LoadOverride::Idle => "idle",
            LoadOverride::Full => "full",
        })
    }
}

/// Faults to inject; all are off by default
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Bpaf)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor applied to the work time of each request
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    pub slow: f64,
    /// Share of requests that are rejected without being run
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub shed: f64,
    /// False load reported by GET /load: idle or full
    #[bpaf(argument("LIE"))]
    pub lie: Option<LoadOverride>,
    /// Milliseconds by which GET /load may lag; overrides --lag-ms
    #[bpaf(long("load-lag-ms"), argument("MS"))]
    pub lag_ms: Option<u64>,
    /// Share of responses that are delayed
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub late: f64,
    /// Delay of these responses in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    pub late_ms: u64,
    /// Share of requests that run and get a closed connection instead of a response
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub lost: f64,
    /// Share of responses that are truncated
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub cut: f64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            slow: 1.0,
            shed: 0.0,
            lie: None,
            lag_ms: None,
            late: 0.0,
            late_ms: 0,
            lost: 0.0,
            cut: 0.0,
        }
    }
}

impl Faults {
    /// Checks that each value is in range.
    pub fn check(&self) -> Result<(), String> {
        let shares =
            [("shed", self.shed), ("late", self.late), ("lost", self.lost), ("cut", self.cut)];
        for (name, share) in shares {
            if !(0.0..=1.0).contains(&share) {
                return Err(format!("{name}={share}: must be a share from 0 to 1"));
            }
        }
        if !(self.slow > 0.0 && self.slow.is_finite()) {
            return Err(format!("slow={}: must be above 0", self.slow));
        }
        Ok(())
    }
}
