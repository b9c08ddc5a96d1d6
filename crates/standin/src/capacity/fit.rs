//! Least-squares fit of a line, with standard errors.

use serde::Serialize;

/// A measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size at which it was taken.
    pub x: f64,
    /// Measured cost.
    pub y: f64,
}

/// An estimate with its standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Estimate {
    /// Estimated value.
    pub mean: f64,
    /// Standard error.
    pub error: f64,
}

impl Estimate {
    /// A value without an error.
    pub fn exact(mean: f64) -> Estimate {
        Estimate { mean, error: 0.0 }
    }

    /// Multiplies by a constant.
    pub fn times(self, factor: f64) -> Estimate {
        Estimate { mean: self.mean * factor, error: self.error * factor.abs() }
    }

    /// Adds another estimate with an independent error.
    pub fn plus(self, other: Estimate) -> Estimate {
        Estimate { mean: self.mean + other.mean, error: self.error.hypot(other.error) }
    }
}

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Growth of `y` per unit of `x`.
    pub slope: Estimate,
    /// Value at `x` = 0.
    #[serde(rename = "base")]
    pub intercept: Estimate,
    /// Coefficient of determination (R²).
    pub r2: f64,
    /// Number of points.
    pub count: usize,
    #[serde(rename = "mean")]
    x_mean: f64,
    #[serde(rename = "spread")]
    x_ss: f64,
    #[serde(rename = "residual")]
    residual_sd: f64,
}

impl Fit {
    /// Fits a line; `None` for fewer than three points or a single size.
    pub fn new(points: &[Point]) -> Option<Fit> {
        let count = points.len();
        if count < 3 {
            return None;
        }
        let n = count as f64;
        let x_mean = points.iter().map(|it| it.x).sum::<f64>() / n;
        let y_mean = points.iter().map(|it| it.y).sum::<f64>() / n;
        let x_ss = points.iter().map(|it| (it.x - x_mean).powi(2)).sum::<f64>();
        if x_ss <= 0.0 {
            return None;
        }
        let xy_ss = points.iter().map(|it| (it.x - x_mean) * (it.y - y_mean)).sum::<f64>();
        let slope = xy_ss / x_ss;
        let intercept = y_mean - slope * x_mean;
        let residual_ss =
            points.iter().map(|it| (it.y - intercept - slope * it.x).powi(2)).sum::<f64>();
        let total_ss = points.iter().map(|it| (it.y - y_mean).powi(2)).sum::<f64>();
        let residual_sd = (residual_ss / (n - 2.0)).sqrt();
        Some(Fit {
            slope: Estimate { mean: slope, error: residual_sd / x_ss.sqrt() },
            intercept: Estimate {
                mean: intercept,
                error: residual_sd * (1.0 / n + x_mean * x_mean / x_ss).sqrt(),
            },
            r2: if total_ss > 0.0 { 1.0 - residual_ss / total_ss } else { 1.0 },
            count,
            x_mean,
            x_ss,
            residual_sd,
        })
    }

    /// Value of the line at `x`, with its standard error.
    pub fn at(&self, x: f64) -> Estimate {
        let leverage = (x - self.x_mean).powi(2) / self.x_ss;
        let error = self.residual_sd * (1.0 / self.count as f64 + leverage).sqrt();
        Estimate { mean: self.intercept.mean + self.slope.mean * x, error }
    }
}

/// Formats a number with three significant digits.
pub fn format_number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let exponent = value.abs().log10().floor() as i32;
    if !(-4..7).contains(&exponent) {
        return format!("{value:.2e}");
    }
    let decimals = usize::try_from(2 - exponent).unwrap_or(0);
    format!("{value:.decimals$}")
}

/// Formats a whole number in full, and any other with three significant digits.
pub fn format_count(value: f64) -> String {
    if value.fract() == 0.0 { value.to_string() } else { format_number(value) }
}
