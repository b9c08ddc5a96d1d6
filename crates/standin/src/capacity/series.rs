//! What was measured against what, and what follows for the size designed for.

use serde::Serialize;

use super::fit::{self, Fit, Point, Value};

/// What a series was measured on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ground {
    /// Real processes.
    Processes,
    /// The decision crate alone.
    Decisions,
}

impl Ground {
    /// Name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Ground::Processes => "processes",
            Ground::Decisions => "decisions",
        }
    }
}

/// A cost measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Short name, also of the plot's file.
    pub id: &'static str,
    /// What was measured.
    pub what: &'static str,
    /// Unit of the measurements.
    pub unit: &'static str,
    /// What the sizes count.
    pub axis: &'static str,
    /// What it was measured on.
    pub ground: Ground,
    /// The measurements.
    pub points: Vec<Point>,
}

impl Series {
    /// A series without measurements.
    pub fn new(
        id: &'static str,
        what: &'static str,
        unit: &'static str,
        axis: &'static str,
        ground: Ground,
    ) -> Series {
        Series { id, what, unit, axis, ground, points: Vec::new() }
    }

    /// Adds a measurement.
    pub fn push(&mut self, x: f64, y: f64) {
        self.points.push(Point { x, y });
    }

    /// The line through the measurements.
    pub fn fit(&self) -> Option<Fit> {
        Fit::new(&self.points)
    }

    /// The sizes, each once, in order.
    pub fn sizes(&self) -> Vec<f64> {
        let mut sizes: Vec<f64> = self.points.iter().map(|it| it.x).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        sizes
    }
}

/// Series that belong to one run, by name.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// The series, in the order in which they were measured.
    pub series: Vec<Series>,
}

impl Measured {
    /// The series with this name.
    pub fn get(&self, id: &str) -> Option<&Series> {
        self.series.iter().find(|it| it.id == id)
    }

    /// The line through the series with this name.
    pub fn fit(&self, id: &str) -> Option<Fit> {
        self.get(id)?.fit()
    }

    /// Adds series, in place of those with the same names.
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

/// Part of a total: a line's value at a count, or a value on its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Term {
    /// What it stands for.
    pub what: String,
    /// The part.
    pub value: Value,
}

/// A resource of a role at the size designed for, summed from its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Total {
    /// The role.
    pub role: &'static str,
    /// The resource.
    pub resource: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// What may be used, in the same unit.
    pub budget: f64,
    /// Its parts.
    pub terms: Vec<Term>,
    /// Series that were not measured, so that the sum lacks them.
    pub missing: Vec<String>,
}

impl Total {
    /// A total without parts.
    pub fn new(
        role: &'static str,
        resource: &'static str,
        unit: &'static str,
        budget: f64,
    ) -> Total {
        Total { role, resource, unit, budget, terms: Vec::new(), missing: Vec::new() }
    }

    /// Adds the base of a series: what a process uses at size 0.
    pub fn base(mut self, measured: &Measured, id: &str) -> Total {
        match measured.fit(id) {
            Some(fit) => self.push(format!("base of {id}"), fit.base),
            None => self.missing.push(id.to_owned()),
        }
        self
    }

    /// Adds the slope of a series times a count.
    pub fn slope(mut self, measured: &Measured, id: &str, count: f64) -> Total {
        match measured.fit(id) {
            Some(fit) => {
                self.push(format!("{} x slope of {id}", fit::count(count)), fit.slope.times(count))
            }
            None => self.missing.push(id.to_owned()),
        }
        self
    }

    /// Adds the value of a series' line at a size, times how often it is spent.
    pub fn at(mut self, measured: &Measured, id: &str, size: f64, times: f64) -> Total {
        match measured.fit(id) {
            Some(fit) => {
                let value = fit.at(size).times(times);
                let times =
                    if times == 1.0 { String::new() } else { format!("{} x ", fit::count(times)) };
                self.push(format!("{times}{id} at {}", fit::count(size)), value);
            }
            None => self.missing.push(id.to_owned()),
        }
        self
    }

    /// Adds a part that follows from a count alone.
    pub fn counted<S>(mut self, what: S, mean: f64) -> Total
    where
        S: Into<String>,
    {
        self.push(what.into(), Value::exact(mean));
        self
    }

    fn push(&mut self, what: String, value: Value) {
        self.terms.push(Term { what, value });
    }

    /// The sum.
    pub fn value(&self) -> Value {
        self.terms.iter().fold(Value::default(), |sum, it| sum.plus(it.value))
    }

    /// Share of the budget.
    pub fn share(&self) -> f64 {
        self.value().mean / self.budget
    }
}
