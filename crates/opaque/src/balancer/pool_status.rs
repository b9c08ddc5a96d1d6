//! Log lines and metrics on full pools.

use camphorwinch_core::opaque::pool_monitor::{PoolChange, PoolCheck};

use super::Process;
use crate::{codec::Codec, event::Id, metrics};

impl<C> Process<C>
where
    C: Codec,
{
    /// Checks the pools whose turn it is.
    pub(super) fn report_pools(&mut self, now: u64) {
        let mut checks = Vec::new();
        self.pool_monitor.tick(self.state.fleet(), now, &mut checks);
        for check in checks {
            report(check);
        }
    }
}

fn report(check: PoolCheck) {
    let pool = check.pool.to_string();
    let Some(full_percent) = check.full_percent else {
        // Fails only if there is no such metric.
        let _ = metrics::POOL_FULL_PERCENT.remove_label_values(&[&pool]);
        return;
    };
    metrics::POOL_FULL_PERCENT.with_label_values(&[&pool]).set(i64::from(full_percent));
    match check.change {
        Some(PoolChange::Full { service_ms, upstreams }) => {
            let id = Id::PoolFull;
            let name = id.name();
            tracing::warn!(id = id as u16, name, pool, full_percent, service_ms, upstreams);
        }
        Some(PoolChange::HasRoom { full_ms }) => {
            let id = Id::PoolHasRoom;
            let full_s = full_ms as f64 / 1_000.0;
            tracing::info!(id = id as u16, name = id.name(), pool, full_s);
        }
        None => {}
    }
}
