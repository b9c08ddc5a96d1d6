//! Slopes of cost against size, measured on real processes and on the decision crate, and what they add up to.

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

/// What is measured together, on one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The decision crate.
    Decisions,
    /// Number of members, most of them made up.
    Members,
    /// Number of agents.
    Agents,
    /// Number of balancers.
    Balancers,
    /// Number of services.
    Services,
    /// Rate of configuration changes.
    Changes,
    /// Time until a change is in force.
    Times,
    /// Open flows.
    Flows,
    /// New flows.
    Rates,
    /// Agents that are replaced.
    Replacements,
    /// Agents that start at once.
    Storms,
    /// Outages of the platform.
    Outages,
}

impl Part {
    /// All parts, in the order in which they are measured.
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

    /// Measures the part.
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

/// Sizes and times of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Whether sizes and times are cut short.
    pub quick: bool,
    /// Folder with the programs.
    pub bin: PathBuf,
    /// Folder for the logs of processes.
    pub logs: PathBuf,
}

impl Plan {
    /// Longest wait for a fleet to become healthy.
    pub const LIMIT: Duration = Duration::from_secs(60);

    /// Starts a fleet whose processes log into a folder of its own.
    pub async fn fleet(&self, name: &str, zones: usize) -> anyhow::Result<Fleet> {
        let folder = self.logs.join(name);
        std::fs::create_dir_all(&folder)?;
        Fleet::start(&self.bin, &folder, zones).await
    }

    /// Length of a window.
    pub fn window(&self) -> Duration {
        Duration::from_secs(if self.quick { 3 } else { 8 })
    }

    fn members(&self) -> &'static [usize] {
        if self.quick { &[100, 200, 400, 800, 1_600] } else { &[500, 1_000, 2_000, 4_000, 6_000] }
    }

    fn agents(&self) -> &'static [usize] {
        if self.quick { &[5, 10, 20, 30, 40] } else { &[10, 20, 40, 80, 120, 160] }
    }

    fn balancers(&self) -> &'static [usize] {
        if self.quick { &[3, 4, 6, 9, 14] } else { &[3, 5, 8, 14, 24, 40] }
    }

    fn services(&self) -> &'static [usize] {
        if self.quick { &[10, 20, 40, 80, 160] } else { &[10, 40, 85, 170, 340, 680] }
    }

    fn change_rates(&self) -> &'static [f64] {
        if self.quick { &[0.0, 1.0, 2.0, 5.0, 10.0] } else { &[0.0, 1.0, 2.0, 5.0, 10.0, 20.0] }
    }

    fn time_sizes(&self) -> &'static [(usize, usize)] {
        if self.quick {
            &[(3, 5), (4, 8), (5, 10), (6, 14), (8, 20)]
        } else {
            &[(4, 8), (8, 16), (12, 32), (18, 60), (30, 100)]
        }
    }

    fn changes(&self) -> usize {
        if self.quick { 10 } else { 100 }
    }

    fn flows(&self) -> &'static [usize] {
        if self.quick { &[0, 50, 100, 200, 300] } else { &[0, 250, 500, 1_000, 1_500, 2_000] }
    }

    fn flow_rates(&self) -> &'static [f64] {
        if self.quick {
            &[10.0, 20.0, 40.0, 60.0, 80.0]
        } else {
            &[20.0, 50.0, 100.0, 200.0, 300.0]
        }
    }

    fn event_rates(&self) -> &'static [f64] {
        if self.quick { &[0.0, 0.5, 1.0, 2.0, 3.0] } else { &[0.0, 0.5, 1.0, 2.0, 4.0, 6.0] }
    }

    fn storms(&self) -> &'static [usize] {
        if self.quick { &[5, 10, 15, 20, 30] } else { &[10, 20, 40, 80, 120] }
    }
}
