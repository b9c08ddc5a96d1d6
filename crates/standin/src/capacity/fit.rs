//! Least-squares fit of a straight line, with the error of what follows from it.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size at which it was made.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// A value with its standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Value {
    /// The value.
    pub mean: f64,
    /// Its standard error.
    pub error: f64,
}

impl Value {
    /// A value that is known exactly.
    pub fn exact(mean: f64) -> Value {
        Value { mean, error: 0.0 }
    }

    /// The value times a constant.
    pub fn times(self, factor: f64) -> Value {
        Value { mean: self.mean * factor, error: self.error * factor.abs() }
    }

    /// The sum with another value, whose error is independent.
    pub fn plus(self, other: Value) -> Value {
        Value { mean: self.mean + other.mean, error: self.error.hypot(other.error) }
    }
}

/// The line through some points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Growth of `y` for each unit of `x`.
    pub slope: Value,
    /// Value at `x` = 0.
    pub base: Value,
    /// Share of the variance that the line explains.
    pub r2: f64,
    /// Number of points.
    pub count: usize,
    mean: f64,
    spread: f64,
    residual: f64,
}

impl Fit {
    /// Fits a line; `None` with fewer than three points or with only one size.
    pub fn new(points: &[Point]) -> Option<Fit> {
        let count = points.len();
        if count < 3 {
            return None;
        }
        let n = count as f64;
        let mean = points.iter().map(|it| it.x).sum::<f64>() / n;
        let level = points.iter().map(|it| it.y).sum::<f64>() / n;
        let spread = points.iter().map(|it| (it.x - mean).powi(2)).sum::<f64>();
        if spread <= 0.0 {
            return None;
        }
        let cross = points.iter().map(|it| (it.x - mean) * (it.y - level)).sum::<f64>();
        let slope = cross / spread;
        let base = level - slope * mean;
        let off = points.iter().map(|it| (it.y - base - slope * it.x).powi(2)).sum::<f64>();
        let total = points.iter().map(|it| (it.y - level).powi(2)).sum::<f64>();
        let residual = (off / (n - 2.0)).sqrt();
        Some(Fit {
            slope: Value { mean: slope, error: residual / spread.sqrt() },
            base: Value { mean: base, error: residual * (1.0 / n + mean * mean / spread).sqrt() },
            r2: if total > 0.0 { 1.0 - off / total } else { 1.0 },
            count,
            mean,
            spread,
            residual,
        })
    }

    /// The line's value at `x`, with the standard error of the line there.
    pub fn at(&self, x: f64) -> Value {
        let away = (x - self.mean).powi(2) / self.spread;
        let error = self.residual * (1.0 / self.count as f64 + away).sqrt();
        Value { mean: self.base.mean + self.slope.mean * x, error }
    }
}

/// A number to three digits.
pub fn digits(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let whole = value.abs().log10().floor() as i32;
    if !(-4..7).contains(&whole) {
        return format!("{value:.2e}");
    }
    let places = usize::try_from(2 - whole).unwrap_or(0);
    format!("{value:.places$}")
}

/// A count to three digits, a whole one as it is.
pub fn count(value: f64) -> String {
    if value.fract() == 0.0 { value.to_string() } else { digits(value) }
}
