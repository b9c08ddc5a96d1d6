//! Faults of an upstream.

use std::{fmt, str::FromStr};

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

/// A lie of `GET /load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lie {
    /// Always ready with no slot busy.
    Idle,
    /// Always shedding with all slots busy.
    Full,
}

impl FromStr for Lie {
    type Err = String;

    fn from_str(s: &str) -> Result<Lie, String> {
        match s {
            "idle" => Ok(Lie::Idle),
            "full" => Ok(Lie::Full),
            _ => Err(format!("{s:?} is none of idle, full")),
        }
    }
}

impl fmt::Display for Lie {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Lie::Idle => "idle",
            Lie::Full => "full",
        })
    }
}

/// Faults that are in force, all off by default
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Bpaf)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor by which work takes longer
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    pub slow: f64,
    /// Share of requests that are refused as not run
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub shed: f64,
    /// Lie of GET /load: idle or full
    #[bpaf(argument("LIE"))]
    pub lie: Option<Lie>,
    /// Milliseconds by which GET /load may lag, over --lag-ms
    #[bpaf(long("load-lag-ms"), argument("MS"))]
    pub lag_ms: Option<u64>,
    /// Share of answers that come late
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub late: f64,
    /// Milliseconds by which they come late
    #[bpaf(argument("MS"), fallback(0))]
    pub late_ms: u64,
    /// Share of requests that run, but whose connection is closed instead of an answer
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub lost: f64,
    /// Share of answers that break off in the middle
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
    /// Checks the ranges.
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
