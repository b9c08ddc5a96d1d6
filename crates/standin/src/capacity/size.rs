//! The size designed for, the budgets, and what follows for each role from the measured lines.

use super::series::{Measured, Total};

/// Balancers: entry VMs.
pub const BALANCERS: f64 = 520.0;
/// Upstreams, each with an agent.
pub const AGENTS: f64 = 5_900.0;
/// Service addresses.
pub const SERVICES: f64 = 680.0;
/// Open flows.
pub const FLOWS: f64 = 9_100_000.0;
/// New flows a second.
pub const NEW_FLOWS: f64 = 55_000.0;
/// Availability zones.
pub const ZONES: f64 = 6.0;
/// Configuration changes a day.
pub const CHANGES_PER_DAY: f64 = 2_500.0;
/// Restarts, replacements and failures of VMs a day.
pub const EVENTS_PER_DAY: f64 = 628.0;
/// Records that a member event leaves: it goes, it comes back, it becomes ready.
pub const RECORDS_PER_EVENT: f64 = 3.0;
/// Processor time for control that a daemon may use, in percent of a core.
pub const CPU_BUDGET: f64 = 1.7;
/// Memory that a daemon may use for control, in MiB.
pub const MEMORY_BUDGET: f64 = 256.0;
/// Control bytes a second that a daemon may send and receive.
pub const BYTES_BUDGET: f64 = 16.0 * 1024.0;
/// Reads a second that the platform takes.
pub const READ_BUDGET: f64 = 2_000.0;
/// Writes a second that the platform takes.
pub const WRITE_BUDGET: f64 = 300.0;
/// Seconds within which a change must be in force.
pub const IN_FORCE_S: f64 = 3.0;
/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// Members known to each balancer.
pub const MEMBERS: f64 = AGENTS + BALANCERS;

/// Links of a balancer to others at the size, worked out from the measured growth with the logarithm of their number.
const DIGESTS_PER_S: f64 = 0.4;
/// Percent of a core for each microsecond a second.
const PERCENT_PER_US: f64 = 1e-4;

fn events_per_s() -> f64 {
    EVENTS_PER_DAY * RECORDS_PER_EVENT / DAY
}

fn changes_per_s() -> f64 {
    CHANGES_PER_DAY / DAY
}

/// What each role uses at the size designed for.
pub fn totals(measured: &Measured) -> Vec<Total> {
    vec![
        balancer_cpu(measured),
        balancer_bytes(measured),
        balancer_memory(measured),
        agent_cpu(measured),
        agent_bytes(measured),
        agent_memory(measured),
        agent_flow_memory(measured),
        platform_calls(measured),
        change_time(measured),
    ]
}

fn links(measured: &Measured) -> f64 {
    measured.fit("links").map_or(0.0, |it| it.at(BALANCERS.log2()).mean.max(0.0))
}

fn balancer_cpu(measured: &Measured) -> Total {
    let rebuilds = events_per_s() + changes_per_s();
    Total::new("balancer", "processor time for control", "% of a core", CPU_BUDGET)
        .at(measured, "balancer-cpu-links", links(measured), 1.0)
        .slope(measured, "balancer-cpu-agents", AGENTS / BALANCERS)
        .slope(measured, "balancer-cpu-services", SERVICES)
        .slope(measured, "balancer-cpu-changes", changes_per_s())
        .slope(measured, "balancer-cpu-events", EVENTS_PER_DAY / DAY)
        .at(measured, "digest", MEMBERS, DIGESTS_PER_S * PERCENT_PER_US)
        .at(measured, "snapshot", MEMBERS, rebuilds * PERCENT_PER_US)
        .at(measured, "placer", MEMBERS, rebuilds * PERCENT_PER_US)
}

fn balancer_bytes(measured: &Measured) -> Total {
    Total::new("balancer", "control", "bytes/s", BYTES_BUDGET)
        .at(measured, "balancer-bytes-links", links(measured), 1.0)
        .slope(measured, "balancer-bytes-agents", AGENTS / BALANCERS)
        .slope(measured, "balancer-bytes-services", SERVICES)
        .slope(measured, "balancer-bytes-changes", changes_per_s())
        .slope(measured, "balancer-bytes-events", EVENTS_PER_DAY / DAY)
}

fn balancer_memory(measured: &Measured) -> Total {
    Total::new("balancer", "memory", "MiB", MEMORY_BUDGET)
        .base(measured, "balancer-memory-services")
        .slope(measured, "balancer-memory-services", SERVICES)
        .at(measured, "view-memory", MEMBERS, 1.0)
        .slope(measured, "balancer-memory-balancers", links(measured))
}

fn agent_cpu(measured: &Measured) -> Total {
    Total::new("agent", "processor time for control", "% of a core", CPU_BUDGET)
        .base(measured, "agent-cpu-agents")
        .slope(measured, "agent-cpu-services", SERVICES)
        .slope(measured, "agent-cpu-changes", changes_per_s())
}

fn agent_bytes(measured: &Measured) -> Total {
    Total::new("agent", "control", "bytes/s", BYTES_BUDGET)
        .base(measured, "agent-bytes-agents")
        .slope(measured, "agent-bytes-services", SERVICES)
        .slope(measured, "agent-bytes-changes", changes_per_s())
}

fn agent_memory(measured: &Measured) -> Total {
    Total::new("agent", "memory without flows", "MiB", MEMORY_BUDGET)
        .base(measured, "agent-memory-services")
        .slope(measured, "agent-memory-services", SERVICES)
}

fn agent_flow_memory(measured: &Measured) -> Total {
    Total::new("agent", "memory of its flows", "MiB", MEMORY_BUDGET).slope(
        measured,
        "agent-memory-flows",
        FLOWS / AGENTS,
    )
}

fn platform_calls(measured: &Measured) -> Total {
    Total::new("platform", "calls", "calls/s", READ_BUDGET)
        .at(measured, "calls-balancers", BALANCERS, 1.0)
        .slope(measured, "calls-agents", AGENTS)
        .slope(measured, "calls-changes", changes_per_s())
}

fn change_time(measured: &Measured) -> Total {
    Total::new("fleet", "change in force, worst", "s", IN_FORCE_S).at(
        measured,
        "in-force-worst",
        BALANCERS + AGENTS,
        1.0,
    )
}
