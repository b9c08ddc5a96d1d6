//! Load balance between the upstreams of a service.

use std::collections::BTreeMap;

use crate::upstream::Record;

/// Mean number of busy slots of each upstream between two readings.
pub fn loads(
    before: &BTreeMap<String, Record>,
    after: &BTreeMap<String, Record>,
) -> BTreeMap<String, f64> {
    let mut loads = BTreeMap::new();
    for (name, record) in after {
        let old = before.get(name).filter(|it| it.uptime_ms <= record.uptime_ms);
        let (busy, uptime) = old.map_or((0.0, 0), |it| (it.busy.sum_ms, it.uptime_ms));
        let span = record.uptime_ms.saturating_sub(uptime).max(1);
        loads.insert(name.clone(), (record.busy.sum_ms - busy) / span as f64);
    }
    loads
}

/// Maximum over mean load within a pool, for the worst pool; 1 without load.
pub fn imbalance(loads: &BTreeMap<String, f64>, records: &BTreeMap<String, Record>) -> f64 {
    let mut pools: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (name, &load) in loads {
        let Some(record) = records.get(name) else { continue };
        pools.entry(&record.pool).or_default().push(load);
    }
    pools.values().map(|loads| max_over_mean(loads)).fold(1.0, f64::max)
}

fn max_over_mean(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    if mean <= 0.0 {
        return 1.0;
    }
    loads.iter().copied().fold(0.0, f64::max) / mean
}
