//! Faults of the fabric.

use std::net::IpAddr;

use bpaf::Bpaf;
use rand::{Rng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// Faults that are in force, all off by default
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Bpaf)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share of datagrams that are lost, each way
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub loss: f64,
    /// Share of datagrams that are sent twice, each way
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub duplicate: f64,
    /// Share of datagrams that are held back, so that later ones overtake them, each way
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub reorder: f64,
    /// Milliseconds for which a datagram is held back
    #[bpaf(argument("MS"), fallback(HOLD_MS))]
    pub hold_ms: u64,
    /// IP of a balancer whose datagrams are dropped; repeatable
    #[bpaf(argument("IP"))]
    pub cut: Vec<IpAddr>,
}

const HOLD_MS: u64 = 2;

impl Default for Faults {
    fn default() -> Faults {
        Faults { loss: 0.0, duplicate: 0.0, reorder: 0.0, hold_ms: HOLD_MS, cut: Vec::new() }
    }
}

/// What becomes of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Send,
    Lose,
    Duplicate,
    Hold,
}

impl Faults {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), String> {
        let shares =
            [("loss", self.loss), ("duplicate", self.duplicate), ("reorder", self.reorder)];
        for (name, share) in shares {
            if !(0.0..=1.0).contains(&share) {
                return Err(format!("{name}={share}: must be a share from 0 to 1"));
            }
        }
        if self.loss + self.duplicate + self.reorder > 1.0 {
            return Err("loss, duplicate and reorder: must be at most 1 together".to_owned());
        }
        Ok(())
    }

    /// Whether every datagram is sent as it is.
    pub(super) fn is_clean(&self) -> bool {
        self.loss == 0.0 && self.duplicate == 0.0 && self.reorder == 0.0
    }

    pub(super) fn fate(&self, random: &mut StdRng) -> Fate {
        if self.is_clean() {
            return Fate::Send;
        }
        let draw: f64 = random.random();
        if draw < self.loss {
            Fate::Lose
        } else if draw < self.loss + self.duplicate {
            Fate::Duplicate
        } else if draw < self.loss + self.duplicate + self.reorder {
            Fate::Hold
        } else {
            Fate::Send
        }
    }
}
