//! Fault injection of the fabric.

use std::net::IpAddr;

use bpaf::Bpaf;
use rand::{Rng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// Faults to inject; all are off by default
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Bpaf)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share of datagrams that are dropped, in each direction
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub loss: f64,
    /// Share of datagrams that are duplicated, in each direction
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub duplicate: f64,
    /// Share of datagrams that are delayed, and so reordered, in each direction
    #[bpaf(argument("SHARE"), fallback(0.0))]
    pub reorder: f64,
    /// Delay of these datagrams in milliseconds
    #[bpaf(argument("MS"), fallback(DEFAULT_HOLD_MS))]
    pub hold_ms: u64,
    /// IP of a balancer whose datagrams are dropped; repeatable
    #[bpaf(argument("IP"))]
    pub cut: Vec<IpAddr>,
}

const DEFAULT_HOLD_MS: u64 = 2;

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            loss: 0.0,
            duplicate: 0.0,
            reorder: 0.0,
            hold_ms: DEFAULT_HOLD_MS,
            cut: Vec::new(),
        }
    }
}

/// Action to take on a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Send,
    Drop,
    Duplicate,
    Delay,
}

impl Faults {
    /// Checks that each value is in range.
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

    /// Whether no datagram is dropped, duplicated or delayed at random.
    pub(super) fn is_passthrough(&self) -> bool {
        self.loss == 0.0 && self.duplicate == 0.0 && self.reorder == 0.0
    }

    pub(super) fn draw_action(&self, rng: &mut StdRng) -> Action {
        if self.is_passthrough() {
            return Action::Send;
        }
        let draw: f64 = rng.random();
        if draw < self.loss {
            Action::Drop
        } else if draw < self.loss + self.duplicate {
            Action::Duplicate
        } else if draw < self.loss + self.duplicate + self.reorder {
            Action::Delay
        } else {
            Action::Send
        }
    }
}
