//! Series of measurements, and totals extrapolated from them.

use serde::Serialize;

use super::fit::{self, Estimate, Fit, Point};

/// Source of the measurements of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// A fleet of real processes.
    Processes,
    /// The core crate alone.
    Decisions,
}

impl Source {
    /// Name in tables and plots.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Processes => "processes",
            Source::Decisions => "decisions",
        }
    }
}

/// Measurements of one cost at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Unique name, also the file name of the plot.
    pub id: &'static str,
    /// Description of the cost.
    pub what: &'static str,
    /// Unit of the measurements.
    pub unit: &'static str,
    /// Description of the size axis.
    pub axis: &'static str,
    /// Source of the measurements.
    pub source: Source,
    /// Measurements.
    pub points: Vec<Point>,
}

impl Series {
    /// Creates an empty series.
    pub fn new(
        id: &'static str,
        what: &'static str,
        unit: &'static str,
        axis: &'static str,
        source: Source,
    ) -> Series {
        Series { id, what, unit, axis, source, points: Vec::new() }
    }

    /// Adds a measurement.
    pub fn push(&mut self, x: f64, y: f64) {
        self.points.push(Point { x, y });
    }

    /// Fits a line; see [`Fit::new`].
    pub fn fit(&self) -> Option<Fit> {
        Fit::new(&self.points)
    }

    /// Distinct sizes in ascending order.
    pub fn sizes(&self) -> Vec<f64> {
        let mut sizes: Vec<f64> = self.points.iter().map(|it| it.x).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        sizes
    }
}

/// All series of a run.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// Series in the order of measurement.
    pub series: Vec<Series>,
}

impl Measurements {
    /// Returns the series with this name.
    pub fn get(&self, id: &str) -> Option<&Series> {
        self.series.iter().find(|it| it.id == id)
    }

    /// Fits a line to the series with this name.
    pub fn fit(&self, id: &str) -> Option<Fit> {
        self.get(id)?.fit()
    }

    /// Adds series, replacing those with the same name.
    pub fn extend<I>(&mut self, series: I)
    where
        I: IntoIterator<Item = Series>,
    {
        for it in series {
            self.series.retain(|old| old.id != it.id);
            self.series.push(it);
        }
    }
}

/// Term of a total.
#[derive(Clone, Debug, PartialEq)]
pub struct Term {
    /// Description.
    pub what: String,
    /// Contribution to the total, in its unit.
    pub value: Estimate,
}

/// Usage of one resource by one role at the design size, as a sum of terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Total {
    /// Role: balancer, lease holder, agent, platform or fleet.
    pub role: &'static str,
    /// Resource.
    pub resource: &'static str,
    /// Unit of the total and of its budget.
    pub unit: &'static str,
    /// Maximum allowed usage.
    pub budget: f64,
    /// Terms of the sum.
    pub terms: Vec<Term>,
    /// Series without a fit, whose terms are missing from the sum.
    pub missing: Vec<String>,
}

impl Total {
    /// Creates an empty total.
    pub fn new(
        role: &'static str,
        resource: &'static str,
        unit: &'static str,
        budget: f64,
    ) -> Total {
        Total { role, resource, unit, budget, terms: Vec::new(), missing: Vec::new() }
    }

    /// Adds the intercept of a series, that is its cost at size 0.
    pub fn intercept(mut self, measurements: &Measurements, id: &str) -> Total {
        match measurements.fit(id) {
            Some(fit) => self.push(format!("base of {id}"), fit.intercept),
            None => self.missing.push(id.to_owned()),
        }
        self
    }

    /// Adds the slope of a series multiplied by a count.
    pub fn slope(mut self, measurements: &Measurements, id: &str, count: f64) -> Total {
        match measurements.fit(id) {
            Some(fit) => self.push(
                format!("{} x slope of {id}", fit::format_count(count)),
                fit.slope.times(count),
            ),
            None => self.missing.push(id.to_owned()),
        }
        self
    }

    /// Adds the fitted cost of a series at a size, multiplied by `times`.
    pub fn at(mut self, measurements: &Measurements, id: &str, size: f64, times: f64) -> Total {
        match measurements.fit(id) {
            Some(fit) => {
                let value = fit.at(size).times(times);
                let times = if times == 1.0 {
                    String::new()
                } else {
                    format!("{} x ", fit::format_count(times))
                };
                self.push(format!("{times}{id} at {}", fit::format_count(size)), value);
            }
            None => self.missing.push(id.to_owned()),
        }
        self
    }

    /// Adds a value that is known without a measurement.
    pub fn constant<S>(mut self, what: S, mean: f64) -> Total
    where
        S: Into<String>,
    {
        self.push(what.into(), Estimate::exact(mean));
        self
    }

    fn push(&mut self, what: String, value: Estimate) {
        self.terms.push(Term { what, value });
    }

    /// Sum of the terms.
    pub fn value(&self) -> Estimate {
        self.terms.iter().fold(Estimate::default(), |sum, it| sum.plus(it.value))
    }

    /// Used share of the budget.
    pub fn share(&self) -> f64 {
        self.value().mean / self.budget
    }
}
