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
/// Records that a member event leaves at least: it goes, it comes back, it becomes ready.
pub const RECORDS_PER_EVENT: f64 = 3.0;
/// Processor time for control that a daemon may use, in percent of a core.
pub const CPU_BUDGET: f64 = 1.7;
/// Memory that a daemon may use for control, in MiB.
pub const MEMORY_BUDGET: f64 = 256.0;
/// Control bytes a second that a daemon may send and receive.
pub const BYTES_BUDGET: f64 = 16.0 * 1024.0;
/// Reads a second that the platform takes.
pub const READ_BUDGET: f64 = 2_000.0;
/// Seconds within which a change must be in force.
pub const IN_FORCE_S: f64 = 3.0;
/// Lease holders: two in each zone.
pub const HOLDERS: f64 = 12.0;
/// Seconds between two snapshots while there is always something new: a part in twenty of the time goes into them.
pub const REBUILD_S: f64 = 0.1;
/// Seconds of a minute.
pub const MINUTE: f64 = 60.0;
/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// Members known to each balancer.
pub const MEMBERS: f64 = AGENTS + BALANCERS;

/// Bytes a second that writes of the whole report may cost a lease holder on average.
const WHOLE_LIMIT: f64 = 3_000.0;
/// The same for the timeline.
const TIMELINE_LIMIT: f64 = 2_000.0;
/// Percent of a core for each microsecond a second.
const PERCENT_PER_US: f64 = 1e-4;
/// Balancers of a zone, members and services of the fleets in which members were made up.
const MADE_UP_BALANCERS: f64 = 3.0;
const MADE_UP_SERVICES: f64 = 60.0;

fn changes_per_s() -> f64 {
    CHANGES_PER_DAY / DAY
}

fn events_per_s() -> f64 {
    EVENTS_PER_DAY / DAY
}

/// Snapshots built for member events and changes, for each second.
fn rebuilds_per_s() -> f64 {
    events_per_s() * RECORDS_PER_EVENT + changes_per_s()
}

/// What each role uses at the size designed for.
pub fn totals(measured: &Measured) -> Vec<Total> {
    vec![
        plain_cpu(measured),
        plain_bytes(measured),
        plain_memory(measured),
        seed_cpu(measured),
        seed_bytes(measured),
        seed_memory(measured),
        agent_cpu(measured),
        agent_bytes(measured),
        agent_memory(measured),
        agent_flows(measured),
        platform_calls(measured),
        platform_answers(measured),
        in_force(measured),
        start_bytes(measured),
        storm_cpu(measured),
        storm_bytes(measured),
    ]
}

fn plain_cpu(measured: &Measured) -> Total {
    let total = Total::new("balancer", "time for control", "% of a core", CPU_BUDGET);
    own_cpu(total.at(measured, "plain-cpu-members", MEMBERS, 1.0), measured)
}

/// What any balancer spends on its own agents, on services, changes and events.
fn own_cpu(total: Total, measured: &Measured) -> Total {
    total
        .slope(measured, "plain-cpu-agents", AGENTS / BALANCERS)
        .slope(measured, "plain-cpu-services", SERVICES - MADE_UP_SERVICES)
        .slope(measured, "balancer-cpu-changes", changes_per_s())
        .slope(measured, "balancer-cpu-events", events_per_s())
        .at(measured, "snapshot", MEMBERS, rebuilds_per_s() * PERCENT_PER_US)
        .at(measured, "placer", MEMBERS, rebuilds_per_s() * PERCENT_PER_US)
}

fn plain_bytes(measured: &Measured) -> Total {
    let total = Total::new("balancer", "control", "bytes/s", BYTES_BUDGET);
    own_bytes(total.at(measured, "plain-bytes-members", MEMBERS, 1.0), measured)
}

fn own_bytes(total: Total, measured: &Measured) -> Total {
    total
        .slope(measured, "plain-bytes-agents", AGENTS / BALANCERS)
        .slope(measured, "balancer-bytes-changes", changes_per_s())
        .slope(measured, "balancer-bytes-events", events_per_s())
}

fn plain_memory(measured: &Measured) -> Total {
    let total = Total::new("balancer", "memory", "MiB", MEMORY_BUDGET);
    own_memory(total.at(measured, "plain-memory-members", MEMBERS, 1.0), measured)
}

fn own_memory(total: Total, measured: &Measured) -> Total {
    total.slope(measured, "plain-memory-agents", AGENTS / BALANCERS).slope(
        measured,
        "plain-memory-services",
        SERVICES - MADE_UP_SERVICES,
    )
}

fn seed_cpu(measured: &Measured) -> Total {
    let total = Total::new("lease holder", "time for control", "% of a core", CPU_BUDGET);
    let total = total.at(measured, "seed-cpu-members", MEMBERS, 1.0).slope(
        measured,
        "seed-cpu-balancers",
        BALANCERS / ZONES - MADE_UP_BALANCERS,
    );
    own_cpu(total, measured)
}

fn seed_bytes(measured: &Measured) -> Total {
    let total = Total::new("lease holder", "control", "bytes/s", BYTES_BUDGET);
    let total = total
        .at(measured, "seed-bytes-members", MEMBERS, 1.0)
        .slope(measured, "seed-bytes-balancers", BALANCERS / ZONES - MADE_UP_BALANCERS)
        .counted("limit of the whole report", WHOLE_LIMIT)
        .counted("limit of the timeline", TIMELINE_LIMIT);
    own_bytes(total, measured)
}

fn seed_memory(measured: &Measured) -> Total {
    let total = Total::new("lease holder", "memory", "MiB", MEMORY_BUDGET);
    let total = total.at(measured, "seed-memory-members", MEMBERS, 1.0).slope(
        measured,
        "seed-memory-balancers",
        BALANCERS / ZONES - MADE_UP_BALANCERS,
    );
    own_memory(total, measured)
}

fn agent_cpu(measured: &Measured) -> Total {
    Total::new("agent", "time for control", "% of a core", CPU_BUDGET)
        .at(measured, "agent-cpu-services", SERVICES, 1.0)
        .slope(measured, "agent-cpu-changes", changes_per_s())
}

fn agent_bytes(measured: &Measured) -> Total {
    Total::new("agent", "control", "bytes/s", BYTES_BUDGET)
        .at(measured, "agent-bytes-services", SERVICES, 1.0)
        .slope(measured, "agent-bytes-changes", changes_per_s())
}

fn agent_memory(measured: &Measured) -> Total {
    Total::new("agent", "memory for control", "MiB", MEMORY_BUDGET).at(
        measured,
        "agent-memory-services",
        SERVICES,
        1.0,
    )
}

fn agent_flows(measured: &Measured) -> Total {
    Total::new("agent", "memory with its flows", "MiB", MEMORY_BUDGET)
        .at(measured, "agent-memory-services", SERVICES, 1.0)
        .slope(measured, "agent-memory-flows", FLOWS / AGENTS)
}

fn platform_calls(measured: &Measured) -> Total {
    Total::new("platform", "calls", "calls/s", READ_BUDGET)
        .at(measured, "calls-balancers", 0.0, ZONES)
        .slope(measured, "calls-balancers", BALANCERS)
        .slope(measured, "calls-agents", AGENTS)
        .counted("watches that return (one for each change and holder)", changes_per_s() * HOLDERS)
}

fn platform_answers(measured: &Measured) -> Total {
    Total::new("platform", "answers", "bytes/s", BYTES_BUDGET * HOLDERS)
        .at(measured, "answers-balancers", 0.0, ZONES)
        .slope(measured, "answers-balancers", BALANCERS)
}

fn in_force(measured: &Measured) -> Total {
    Total::new("fleet", "worst time of a change to be in force", "s", IN_FORCE_S).at(
        measured,
        "in-force-worst",
        MEMBERS,
        1.0,
    )
}

fn start_bytes(measured: &Measured) -> Total {
    Total::new("agent", "control at its start (budget of a minute)", "bytes", MINUTE * BYTES_BUDGET)
        .at(measured, "agent-start-bytes", SERVICES, 1.0)
}

fn storm_cpu(measured: &Measured) -> Total {
    let budget = MINUTE * CPU_BUDGET / 100.0;
    Total::new("balancer", "time while all agents start in a minute", "s", budget)
        .slope(measured, "storm-cpu", AGENTS)
        .at(measured, "snapshot", MEMBERS, MINUTE / REBUILD_S * 1e-6)
}

fn storm_bytes(measured: &Measured) -> Total {
    let budget = MINUTE * BYTES_BUDGET;
    Total::new("balancer", "control while all agents start in a minute", "bytes", budget).slope(
        measured,
        "storm-bytes",
        AGENTS,
    )
}
