//! Capacity benchmark: measures cost against size on real processes and on the core crate, fits lines, and
//! extrapolates to the design size.

pub mod changes;
pub mod decisions;
pub mod events;
pub mod fit;
pub mod fleet;
pub mod flows;
pub mod inject;
pub mod output;
pub mod plot;
pub mod scale;
pub mod series;
pub mod size;
pub mod usage;

use std::{path::PathBuf, str::FromStr, time::Duration};

use self::{fleet::Fleet, series::Series};

/// A group of series that are measured together on one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Cost of the core crate alone.
    Decisions,
    /// Cost against the number of members, most of them simulated.
    Members,
    /// Cost against the number of agents.
    Agents,
    /// Cost against the number of balancers.
    Balancers,
    /// Cost against the number of services.
    Services,
    /// Cost against the rate of configuration changes.
    Changes,
    /// Time until a change is applied everywhere.
    Times,
    /// Cost against the number of open flows.
    Flows,
    /// Cost against the rate of new flows.
    Rates,
    /// Cost against the rate of agent replacements.
    Replacements,
    /// Cost against the number of agents that start at once.
    Storms,
    /// Platform calls during and after an outage of the platform.
    Outages,
}

impl Part {
    /// All parts, in the order of measurement.
    pub const ALL: [Part; 12] = [
        Part::Decisions,
        Part::Members,
        Part::Agents,
        Part::Balancers,
        Part::Services,
        Part::Changes,
        Part::Times,
        Part::Flows,
        Part::Rates,
        Part::Replacements,
        Part::Storms,
        Part::Outages,
    ];

    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Part::Decisions => "decisions",
            Part::Members => "members",
            Part::Agents => "agents",
            Part::Balancers => "balancers",
            Part::Services => "services",
            Part::Changes => "changes",
            Part::Times => "times",
            Part::Flows => "flows",
            Part::Rates => "rates",
            Part::Replacements => "replacements",
            Part::Storms => "storms",
            Part::Outages => "outages",
        }
    }

    /// Runs the measurements of the part; an error if its fleet does not start or become healthy.
    pub async fn measure(self, plan: &Plan) -> anyhow::Result<Vec<Series>> {
        match self {
            Part::Decisions => decisions::measure(plan.quick),
            Part::Members => scale::members(plan).await,
            Part::Agents => scale::agents(plan).await,
            Part::Balancers => scale::balancers(plan).await,
            Part::Services => scale::services(plan).await,
            Part::Changes => changes::measure(plan).await,
            Part::Times => changes::times(plan).await,
            Part::Flows => flows::open(plan).await,
            Part::Rates => flows::rates(plan).await,
            Part::Replacements => events::replacements(plan).await,
            Part::Storms => events::storms(plan).await,
            Part::Outages => events::outages(plan).await,
        }
    }
}

impl FromStr for Part {
    type Err = String;

    fn from_str(s: &str) -> Result<Part, String> {
        let names = || Part::ALL.map(Part::as_str).join(", ");
        let part = Part::ALL.into_iter().find(|it| it.as_str() == s);
        part.ok_or_else(|| format!("{s:?} is none of {}", names()))
    }
}

/// Sizes and durations of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Whether to use smaller sizes and shorter durations.
    pub quick: bool,
    /// Directory with the binaries.
    pub bin: PathBuf,
    /// Directory for the logs of the processes.
    pub logs: PathBuf,
}

impl Plan {
    /// Maximum wait for a fleet to become healthy.
    pub const HEALTH_TIMEOUT: Duration = Duration::from_secs(60);

    /// Starts a fleet that logs into its own directory, `name`.
    pub async fn fleet(&self, name: &str, zones: usize) -> anyhow::Result<Fleet> {
        let log_dir = self.logs.join(name);
        std::fs::create_dir_all(&log_dir)?;
        Fleet::start(&self.bin, &log_dir, zones).await
    }

    /// Duration of a measurement window.
    pub fn window(&self) -> Duration {
        Duration::from_secs(if self.quick { 3 } else { 8 })
    }

    fn member_counts(&self) -> &'static [usize] {
        if self.quick { &[100, 200, 400, 800, 1_600] } else { &[500, 1_000, 2_000, 4_000, 6_000] }
    }

    fn agent_counts(&self) -> &'static [usize] {
        if self.quick { &[5, 10, 20, 30, 40] } else { &[10, 20, 40, 80, 120, 160] }
    }

    fn balancer_counts(&self) -> &'static [usize] {
        if self.quick { &[3, 4, 6, 9, 14] } else { &[3, 5, 8, 14, 24, 40] }
    }

    fn service_counts(&self) -> &'static [usize] {
        if self.quick { &[10, 20, 40, 80, 160] } else { &[10, 40, 85, 170, 340, 680] }
    }

    fn change_rates(&self) -> &'static [f64] {
        if self.quick { &[0.0, 1.0, 2.0, 5.0, 10.0] } else { &[0.0, 1.0, 2.0, 5.0, 10.0, 20.0] }
    }

    fn fleet_sizes(&self) -> &'static [(usize, usize)] {
        if self.quick {
            &[(3, 5), (4, 8), (5, 10), (6, 14), (8, 20)]
        } else {
            &[(4, 8), (8, 16), (12, 32), (18, 60), (30, 100)]
        }
    }

    fn change_count(&self) -> usize {
        if self.quick { 10 } else { 100 }
    }

    fn flow_counts(&self) -> &'static [usize] {
        if self.quick { &[0, 50, 100, 200, 300] } else { &[0, 250, 500, 1_000, 1_500, 2_000] }
    }

    fn flow_rates(&self) -> &'static [f64] {
        if self.quick {
            &[10.0, 20.0, 40.0, 60.0, 80.0]
        } else {
            &[20.0, 50.0, 100.0, 200.0, 300.0]
        }
    }

    fn replacement_rates(&self) -> &'static [f64] {
        if self.quick { &[0.0, 0.5, 1.0, 2.0, 3.0] } else { &[0.0, 0.5, 1.0, 2.0, 4.0, 6.0] }
    }

    fn storm_sizes(&self) -> &'static [usize] {
        if self.quick { &[5, 10, 15, 20, 30] } else { &[10, 20, 40, 80, 120] }
    }
}
