//! Fits, sums and the reading of metrics.

use camphorwinch_standin::capacity::{
    fit::{Fit, Point, Value},
    fleet::metric,
    output::shown,
    series::{Ground, Measured, Series, Total},
    usage::Usage,
};
use camphorwinch_standin::capacity::{
    output::{self, Circumstances},
    size,
};
use quickcheck::quickcheck;

fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    pairs.iter().map(|&(x, y)| Point { x, y }).collect()
}

fn series(id: &'static str, pairs: &[(f64, f64)]) -> Series {
    let mut it = Series::new(id, "cost", "s", "size", Ground::Decisions);
    for &(x, y) in pairs {
        it.push(x, y);
    }
    it
}

#[test]
fn fits_with_the_textbook_error() {
    let fit = Fit::new(&points(&[(1.0, 2.0), (2.0, 3.0), (3.0, 5.0), (4.0, 6.0)])).unwrap();
    assert!((fit.slope.mean - 1.4).abs() < 1e-12);
    assert!((fit.base.mean - 0.5).abs() < 1e-12);
    // Residuals 0.1, -0.3, 0.3, -0.1: variance 0.2 / 2, spread of x 5.
    assert!((fit.slope.error - (0.1f64 / 5.0).sqrt()).abs() < 1e-12);
    assert!((fit.base.error - (0.1f64 * (0.25 + 6.25 / 5.0)).sqrt()).abs() < 1e-12);
    assert!((fit.r2 - 0.98).abs() < 1e-12);
    let far = fit.at(10.0);
    assert!((far.mean - 14.5).abs() < 1e-12);
    assert!((far.error - (0.1f64 * (0.25 + 56.25 / 5.0)).sqrt()).abs() < 1e-12);
}

#[test]
fn no_line_without_several_sizes() {
    assert_eq!(Fit::new(&points(&[(1.0, 2.0), (2.0, 3.0)])), None);
    assert_eq!(Fit::new(&points(&[(1.0, 2.0), (1.0, 3.0), (1.0, 4.0)])), None);
}

quickcheck! {
    fn finds_a_line(slope: i16, base: i16, xs: Vec<u8>) -> bool {
        let (slope, base) = (f64::from(slope), f64::from(base));
        let at = |x: u8| (f64::from(x), base + slope * f64::from(x));
        let pairs: Vec<_> = xs.iter().map(|&x| at(x)).collect();
        let Some(fit) = Fit::new(&points(&pairs)) else {
            return xs.len() < 3 || xs.iter().all(|x| *x == xs[0]);
        };
        let scale = 1e-6 * (1.0 + slope.abs() + base.abs());
        (fit.slope.mean - slope).abs() < scale && (fit.base.mean - base).abs() < scale * 256.0
    }
}

#[test]
fn a_total_adds_errors_as_independent_and_names_what_is_missing() {
    let mut measured = Measured::default();
    measured.extend([series("a", &[(1.0, 2.0), (2.0, 3.0), (3.0, 5.0), (4.0, 6.0)])]);
    let total = Total::new("role", "time", "s", 28.0)
        .at(&measured, "a", 10.0, 1.0)
        .slope(&measured, "a", 10.0)
        .base(&measured, "b")
        .counted("known", -0.5);
    let fit = measured.fit("a").unwrap();
    assert!((total.value().mean - 28.0).abs() < 1e-9);
    let error = fit.at(10.0).error.hypot(10.0 * fit.slope.error);
    assert!((total.value().error - error).abs() < 1e-12);
    assert!((total.share() - 1.0).abs() < 1e-9);
    assert_eq!(total.missing, ["b"]);
}

#[test]
fn a_series_measured_again_replaces_the_old_one() {
    let mut measured = Measured::default();
    measured.extend([series("a", &[(1.0, 1.0)]), series("b", &[])]);
    measured.extend([series("a", &[(2.0, 2.0), (2.0, 3.0)])]);
    assert_eq!(measured.series.len(), 2);
    assert_eq!(measured.get("a").unwrap().sizes(), [2.0]);
}

#[test]
fn sums_a_metric_over_its_labels_only() {
    let text = "# HELP x_total help\nx_total{direction=\"in\"} 10\nx_total{direction=\"out\"} 2.5\nx_total_more 99\n";
    assert_eq!(metric(text, "x_total"), 12.5);
    assert_eq!(metric("x_total 3\n", "x_total"), 3.0);
    assert_eq!(metric(text, "y_total"), 0.0);
}

#[test]
fn shows_three_digits() {
    assert_eq!(shown(Value { mean: 1234.5, error: 0.01234 }), "1234 ± 0.0123");
    assert_eq!(shown(Value { mean: 0.0, error: 12.34 }), "0 ± 12.3");
    assert_eq!(shown(Value { mean: -2.0e-7, error: 3.21e9 }), "-2.00e-7 ± 3.21e9");
}

#[test]
fn reads_the_usage_of_a_process() {
    let own = std::process::id();
    let before = Usage::read(own).unwrap();
    let mut sum = 0u64;
    for i in 0..50_000_000u64 {
        sum = std::hint::black_box(sum.wrapping_add(i));
    }
    let after = Usage::read(own).unwrap();
    assert!(after.cpu_s > before.cpu_s);
    assert!(after.rss_mib > 0.0 && after.own_mib <= after.rss_mib);
    assert!(Usage::read(u32::MAX).is_err());
}

#[test]
fn writes_tables_that_can_be_read_back() {
    let dir = std::env::temp_dir().join(format!("camphorwinch-capacity-{}", std::process::id()));
    let mut measured = Measured::default();
    measured.extend([series("links", &[(1.0, 2.0), (2.0, 3.0), (3.0, 5.0), (4.0, 6.0)])]);
    let totals = size::totals(&measured);
    output::write(&dir, &Circumstances::default(), &measured, &totals).unwrap();
    let read = |name: &str| std::fs::read_to_string(dir.join(name)).unwrap();
    for name in ["points.csv", "slopes.csv", "totals.csv"] {
        let text = read(name);
        let columns = text.lines().next().unwrap().split(',').count();
        assert!(text.lines().all(|it| it.split(',').count() == columns), "{name}: {text}");
    }
    assert_eq!(read("points.csv").lines().count(), 5);
    assert!(read("links.svg").contains("<svg"));
    let partial = read("tables.md").lines().filter(|it| it.contains("(partial)")).count();
    assert_eq!(partial, totals.len(), "a sum that lacks a line is marked");
    let comma = Series::new("a,b", "cost", "s", "size", Ground::Decisions);
    measured.extend([comma]);
    assert!(output::write(&dir, &Circumstances::default(), &measured, &totals).is_err());
    std::fs::remove_dir_all(dir).unwrap();
}
