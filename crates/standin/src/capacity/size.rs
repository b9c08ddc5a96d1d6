//! Design size and budgets, and the usage of each role extrapolated from the fitted lines.

use super::series::{Measurements, Total};

/// Number of balancers.
pub const BALANCERS: f64 = 520.0;
/// Number of upstreams, each with an agent.
pub const AGENTS: f64 = 5_900.0;
/// Number of services.
pub const SERVICES: f64 = 680.0;
/// Number of open flows.
pub const FLOWS: f64 = 9_100_000.0;
/// New flows per second.
pub const NEW_FLOWS_PER_S: f64 = 55_000.0;
/// Number of availability zones.
pub const ZONES: f64 = 6.0;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 2_500.0;
/// Restarts, replacements and failures of VMs per day.
pub const EVENTS_PER_DAY: f64 = 628.0;
/// Minimum number of records per member event: down, joined, ready.
pub const RECORDS_PER_EVENT: f64 = 3.0;
/// Control-plane CPU budget of a daemon, in percent of a core.
pub const CPU_BUDGET_PERCENT: f64 = 1.7;
/// Control-plane memory budget of a daemon, in MiB.
pub const MEMORY_BUDGET_MIB: f64 = 256.0;
/// Control traffic budget of a daemon, sent and received, in bytes per second.
pub const TRAFFIC_BUDGET_BYTES_PER_S: f64 = 16.0 * 1024.0;
/// Read budget of the platform, in calls per second.
pub const READ_BUDGET_PER_S: f64 = 2_000.0;
/// Maximum time until a change is applied everywhere, in seconds.
pub const APPLY_BUDGET_S: f64 = 3.0;
/// Number of lease holders, two per zone.
pub const LEASE_HOLDERS: f64 = 12.0;
/// Minimum interval between snapshot rebuilds under constant change, in seconds.
pub const REBUILD_INTERVAL_S: f64 = 0.1;
/// Seconds per minute.
pub const MINUTE_S: f64 = 60.0;
/// Seconds per day.
pub const DAY_S: f64 = 86_400.0;

/// Number of members that each balancer tracks.
pub const MEMBERS: f64 = AGENTS + BALANCERS;

/// Rate limit of zone report writes by a lease holder, in bytes per second.
const REPORT_LIMIT_BYTES_PER_S: f64 = 3_000.0;
/// Rate limit of timeline writes by a lease holder, in bytes per second.
const TIMELINE_LIMIT_BYTES_PER_S: f64 = 2_000.0;
/// Percent of a core per microsecond of CPU time per second.
const PERCENT_PER_US_PER_S: f64 = 1e-4;
/// Balancers per zone in the fleets with simulated members; already included in their series.
const SIMULATED_FLEET_BALANCERS: f64 = 3.0;
/// Services in the fleets with simulated members; already included in their series.
const SIMULATED_FLEET_SERVICES: f64 = 60.0;

fn changes_per_s() -> f64 {
    CHANGES_PER_DAY / DAY_S
}

fn events_per_s() -> f64 {
    EVENTS_PER_DAY / DAY_S
}

/// Snapshot rebuilds per second, for member events and configuration changes.
fn rebuilds_per_s() -> f64 {
    events_per_s() * RECORDS_PER_EVENT + changes_per_s()
}

/// Returns the usage of each role at the design size.
pub fn totals(measurements: &Measurements) -> Vec<Total> {
    vec![
        balancer_cpu(measurements),
        balancer_bytes(measurements),
        balancer_memory(measurements),
        lease_holder_cpu(measurements),
        lease_holder_bytes(measurements),
        lease_holder_memory(measurements),
        agent_cpu(measurements),
        agent_bytes(measurements),
        agent_memory(measurements),
        agent_flows(measurements),
        platform_calls(measurements),
        platform_response_bytes(measurements),
        apply_time(measurements),
        start_bytes(measurements),
        storm_cpu(measurements),
        storm_bytes(measurements),
    ]
}

fn balancer_cpu(measurements: &Measurements) -> Total {
    let total = Total::new("balancer", "time for control", "% of a core", CPU_BUDGET_PERCENT);
    add_balancer_cpu(total.at(measurements, "plain-cpu-members", MEMBERS, 1.0), measurements)
}

/// Adds the CPU time that every balancer uses for its agents, services, changes and events.
fn add_balancer_cpu(total: Total, measurements: &Measurements) -> Total {
    total
        .slope(measurements, "plain-cpu-agents", AGENTS / BALANCERS)
        .slope(measurements, "plain-cpu-services", SERVICES - SIMULATED_FLEET_SERVICES)
        .slope(measurements, "balancer-cpu-changes", changes_per_s())
        .slope(measurements, "balancer-cpu-events", events_per_s())
        .at(measurements, "snapshot", MEMBERS, rebuilds_per_s() * PERCENT_PER_US_PER_S)
        .at(measurements, "placer", MEMBERS, rebuilds_per_s() * PERCENT_PER_US_PER_S)
}

fn balancer_bytes(measurements: &Measurements) -> Total {
    let total = Total::new("balancer", "control", "bytes/s", TRAFFIC_BUDGET_BYTES_PER_S);
    add_balancer_bytes(total.at(measurements, "plain-bytes-members", MEMBERS, 1.0), measurements)
}

fn add_balancer_bytes(total: Total, measurements: &Measurements) -> Total {
    total
        .slope(measurements, "plain-bytes-agents", AGENTS / BALANCERS)
        .slope(measurements, "balancer-bytes-changes", changes_per_s())
        .slope(measurements, "balancer-bytes-events", events_per_s())
}

fn balancer_memory(measurements: &Measurements) -> Total {
    let total = Total::new("balancer", "memory", "MiB", MEMORY_BUDGET_MIB);
    add_balancer_memory(total.at(measurements, "plain-memory-members", MEMBERS, 1.0), measurements)
}

fn add_balancer_memory(total: Total, measurements: &Measurements) -> Total {
    total.slope(measurements, "plain-memory-agents", AGENTS / BALANCERS).slope(
        measurements,
        "plain-memory-services",
        SERVICES - SIMULATED_FLEET_SERVICES,
    )
}

fn lease_holder_cpu(measurements: &Measurements) -> Total {
    let total = Total::new("lease holder", "time for control", "% of a core", CPU_BUDGET_PERCENT);
    let total = total.at(measurements, "seed-cpu-members", MEMBERS, 1.0).slope(
        measurements,
        "seed-cpu-balancers",
        BALANCERS / ZONES - SIMULATED_FLEET_BALANCERS,
    );
    add_balancer_cpu(total, measurements)
}

fn lease_holder_bytes(measurements: &Measurements) -> Total {
    let total = Total::new("lease holder", "control", "bytes/s", TRAFFIC_BUDGET_BYTES_PER_S);
    let total = total
        .at(measurements, "seed-bytes-members", MEMBERS, 1.0)
        .slope(measurements, "seed-bytes-balancers", BALANCERS / ZONES - SIMULATED_FLEET_BALANCERS)
        .constant("limit of the whole report", REPORT_LIMIT_BYTES_PER_S)
        .constant("limit of the timeline", TIMELINE_LIMIT_BYTES_PER_S);
    add_balancer_bytes(total, measurements)
}

fn lease_holder_memory(measurements: &Measurements) -> Total {
    let total = Total::new("lease holder", "memory", "MiB", MEMORY_BUDGET_MIB);
    let total = total.at(measurements, "seed-memory-members", MEMBERS, 1.0).slope(
        measurements,
        "seed-memory-balancers",
        BALANCERS / ZONES - SIMULATED_FLEET_BALANCERS,
    );
    add_balancer_memory(total, measurements)
}

fn agent_cpu(measurements: &Measurements) -> Total {
    Total::new("agent", "time for control", "% of a core", CPU_BUDGET_PERCENT)
        .at(measurements, "agent-cpu-services", SERVICES, 1.0)
        .slope(measurements, "agent-cpu-changes", changes_per_s())
}

fn agent_bytes(measurements: &Measurements) -> Total {
    Total::new("agent", "control", "bytes/s", TRAFFIC_BUDGET_BYTES_PER_S)
        .at(measurements, "agent-bytes-services", SERVICES, 1.0)
        .slope(measurements, "agent-bytes-changes", changes_per_s())
}

fn agent_memory(measurements: &Measurements) -> Total {
    Total::new("agent", "memory for control", "MiB", MEMORY_BUDGET_MIB).at(
        measurements,
        "agent-memory-services",
        SERVICES,
        1.0,
    )
}

fn agent_flows(measurements: &Measurements) -> Total {
    Total::new("agent", "memory with its flows", "MiB", MEMORY_BUDGET_MIB)
        .at(measurements, "agent-memory-services", SERVICES, 1.0)
        .slope(measurements, "agent-memory-flows", FLOWS / AGENTS)
}

fn platform_calls(measurements: &Measurements) -> Total {
    Total::new("platform", "calls", "calls/s", READ_BUDGET_PER_S)
        .at(measurements, "calls-balancers", 0.0, ZONES)
        .slope(measurements, "calls-balancers", BALANCERS)
        .slope(measurements, "calls-agents", AGENTS)
        .constant(
            "watches that return (one for each change and holder)",
            changes_per_s() * LEASE_HOLDERS,
        )
}

fn platform_response_bytes(measurements: &Measurements) -> Total {
    Total::new("platform", "answers", "bytes/s", TRAFFIC_BUDGET_BYTES_PER_S * LEASE_HOLDERS)
        .at(measurements, "answers-balancers", 0.0, ZONES)
        .slope(measurements, "answers-balancers", BALANCERS)
}

fn apply_time(measurements: &Measurements) -> Total {
    Total::new("fleet", "worst time of a change to be in force", "s", APPLY_BUDGET_S).at(
        measurements,
        "in-force-worst",
        MEMBERS,
        1.0,
    )
}

fn start_bytes(measurements: &Measurements) -> Total {
    Total::new(
        "agent",
        "control at its start (budget of a minute)",
        "bytes",
        MINUTE_S * TRAFFIC_BUDGET_BYTES_PER_S,
    )
    .at(measurements, "agent-start-bytes", SERVICES, 1.0)
}

fn storm_cpu(measurements: &Measurements) -> Total {
    let budget = MINUTE_S * CPU_BUDGET_PERCENT / 100.0;
    Total::new("balancer", "time while all agents start in a minute", "s", budget)
        .slope(measurements, "storm-cpu", AGENTS)
        .at(measurements, "snapshot", MEMBERS, MINUTE_S / REBUILD_INTERVAL_S * 1e-6)
}

fn storm_bytes(measurements: &Measurements) -> Total {
    let budget = MINUTE_S * TRAFFIC_BUDGET_BYTES_PER_S;
    Total::new("balancer", "control while all agents start in a minute", "bytes", budget).slope(
        measurements,
        "storm-bytes",
        AGENTS,
    )
}
