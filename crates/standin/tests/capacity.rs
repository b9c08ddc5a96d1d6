//! Line fits, totals, output files and parsing of metrics.

use camphorwinch_standin::capacity::{
    fit::{Estimate, Fit, Point},
    fleet::sum_metric,
    output::format_estimate,
    series::{Measurements, Series, Source, Total},
    usage::Usage,
};
use camphorwinch_standin::capacity::{
    output::{self, RunInfo},
    size,
};
use quickcheck::quickcheck;

fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    pairs.iter().map(|&(x, y)| Point { x, y }).collect()
}

fn series(id: &'static str, pairs: &[(f64, f64)]) -> Series {
    let mut it = Series::new(id, "cost", "s", "size", Source::Decisions);
    for &(x, y) in pairs {
        it.push(x, y);
    }
    it
}

#[test]
fn fit_has_the_expected_coefficients_and_errors() {
    let fit = Fit::new(&points(&[(1.0, 2.0), (2.0, 3.0), (3.0, 5.0), (4.0, 6.0)])).unwrap();
    assert!((fit.slope.mean - 1.4).abs() < 1e-12);
    assert!((fit.intercept.mean - 0.5).abs() < 1e-12);
    // Residuals 0.1, -0.3, 0.3, -0.1: variance 0.2 / 2; sum of squares of x 5.
    assert!((fit.slope.error - (0.1f64 / 5.0).sqrt()).abs() < 1e-12);
    assert!((fit.intercept.error - (0.1f64 * (0.25 + 6.25 / 5.0)).sqrt()).abs() < 1e-12);
    assert!((fit.r2 - 0.98).abs() < 1e-12);
    let far = fit.at(10.0);
    assert!((far.mean - 14.5).abs() < 1e-12);
    assert!((far.error - (0.1f64 * (0.25 + 56.25 / 5.0)).sqrt()).abs() < 1e-12);
}

#[test]
fn fit_requires_three_points_and_two_sizes() {
    assert_eq!(Fit::new(&points(&[(1.0, 2.0), (2.0, 3.0)])), None);
    assert_eq!(Fit::new(&points(&[(1.0, 2.0), (1.0, 3.0), (1.0, 4.0)])), None);
}

quickcheck! {
    fn fit_recovers_an_exact_line(slope: i16, intercept: i16, xs: Vec<u8>) -> bool {
        let (slope, intercept) = (f64::from(slope), f64::from(intercept));
        let at = |x: u8| (f64::from(x), intercept + slope * f64::from(x));
        let pairs: Vec<_> = xs.iter().map(|&x| at(x)).collect();
        let Some(fit) = Fit::new(&points(&pairs)) else {
            return xs.len() < 3 || xs.iter().all(|x| *x == xs[0]);
        };
        let scale = 1e-6 * (1.0 + slope.abs() + intercept.abs());
        (fit.slope.mean - slope).abs() < scale && (fit.intercept.mean - intercept).abs() < scale * 256.0
    }
}

#[test]
fn totals_add_independent_errors_and_list_missing_series() {
    let mut measurements = Measurements::default();
    measurements.extend([series("a", &[(1.0, 2.0), (2.0, 3.0), (3.0, 5.0), (4.0, 6.0)])]);
    let total = Total::new("role", "time", "s", 28.0)
        .at(&measurements, "a", 10.0, 1.0)
        .slope(&measurements, "a", 10.0)
        .intercept(&measurements, "b")
        .constant("known", -0.5);
    let fit = measurements.fit("a").unwrap();
    assert!((total.value().mean - 28.0).abs() < 1e-9);
    let error = fit.at(10.0).error.hypot(10.0 * fit.slope.error);
    assert!((total.value().error - error).abs() < 1e-12);
    assert!((total.share() - 1.0).abs() < 1e-9);
    assert_eq!(total.missing, ["b"]);
}

#[test]
fn a_repeated_series_replaces_the_previous_one() {
    let mut measurements = Measurements::default();
    measurements.extend([series("a", &[(1.0, 1.0)]), series("b", &[])]);
    measurements.extend([series("a", &[(2.0, 2.0), (2.0, 3.0)])]);
    assert_eq!(measurements.series.len(), 2);
    assert_eq!(measurements.get("a").unwrap().sizes(), [2.0]);
}

#[test]
fn sum_metric_adds_label_sets_of_exactly_one_metric() {
    let text = "# HELP x_total help\nx_total{direction=\"in\"} 10\nx_total{direction=\"out\"} 2.5\nx_total_more 99\n";
    assert_eq!(sum_metric(text, "x_total"), 12.5);
    assert_eq!(sum_metric("x_total 3\n", "x_total"), 3.0);
    assert_eq!(sum_metric(text, "y_total"), 0.0);
}

#[test]
fn estimates_are_formatted_with_three_digits() {
    assert_eq!(format_estimate(Estimate { mean: 1234.5, error: 0.01234 }), "1234 ± 0.0123");
    assert_eq!(format_estimate(Estimate { mean: 0.0, error: 12.34 }), "0 ± 12.3");
    assert_eq!(format_estimate(Estimate { mean: -2.0e-7, error: 3.21e9 }), "-2.00e-7 ± 3.21e9");
}

#[test]
fn usage_of_a_process_is_read() {
    let own = std::process::id();
    let before = Usage::read(own).unwrap();
    let mut sum = 0u64;
    for i in 0..50_000_000u64 {
        sum = std::hint::black_box(sum.wrapping_add(i));
    }
    let after = Usage::read(own).unwrap();
    assert!(after.cpu_s > before.cpu_s);
    assert!(after.rss_mib > 0.0 && after.anon_mib <= after.rss_mib);
    assert!(Usage::read(u32::MAX).is_err());
}

#[test]
fn output_files_are_well_formed() {
    let dir = std::env::temp_dir().join(format!("camphorwinch-capacity-{}", std::process::id()));
    let mut measurements = Measurements::default();
    measurements.extend([series("links", &[(1.0, 2.0), (2.0, 3.0), (3.0, 5.0), (4.0, 6.0)])]);
    let totals = size::totals(&measurements);
    output::write(&dir, &RunInfo::default(), &measurements, &totals).unwrap();
    let read = |name: &str| std::fs::read_to_string(dir.join(name)).unwrap();
    for name in ["points.csv", "slopes.csv", "totals.csv"] {
        let text = read(name);
        let columns = text.lines().next().unwrap().split(',').count();
        assert!(text.lines().all(|it| it.split(',').count() == columns), "{name}: {text}");
    }
    assert_eq!(read("points.csv").lines().count(), 5);
    assert!(read("links.svg").contains("<svg"));
    let partial = read("tables.md").lines().filter(|it| it.contains("(partial)")).count();
    assert_eq!(partial, totals.len(), "totals with missing series are marked as partial");
    let comma = Series::new("a,b", "cost", "s", "size", Source::Decisions);
    measurements.extend([comma]);
    assert!(output::write(&dir, &RunInfo::default(), &measurements, &totals).is_err());
    std::fs::remove_dir_all(dir).unwrap();
}
