//! What a run prints: progress, a table, and the time line around what went wrong.

use std::time::Duration;

use super::{
    faults::{Log, Placed},
    run::Findings,
};
use crate::caller::{
    report::Report,
    tally::{Incident, Tally},
};

const MAX_SHOWN: usize = 20;
const AROUND: Duration = Duration::from_secs(12);

/// One line on how far the run is.
pub fn progress(tally: &Tally) {
    let total = tally.total();
    let flows = tally.flows();
    println!(
        "{:6.1} s: {} flows held, {} opened, {} broken; {} requests, {} whole, {} refused, \
         {} unknown, {} failed",
        tally.now().as_secs_f64(),
        flows.held,
        flows.flows,
        flows.broken,
        total.requests,
        total.whole,
        total.refused,
        total.unknown,
        total.failed
    );
}

/// What the run showed.
pub fn findings(findings: &Findings, tally: &Tally, log: &Log, seed: u64) {
    progress(tally);
    table(&Report::new(tally, tally.now()));
    for (name, load) in &findings.loads {
        println!("{name:<24} {load:>8.3} slots busy");
    }
    println!("{} runs of requests that are not idempotent", findings.verdict.runs);
    rollouts(&log.rollouts());
    some("ran twice", &findings.verdict.twice);
    some("not run, but was", &findings.verdict.untrue);
    let incidents: Vec<String> =
        findings.blame.unexplained.iter().map(Incident::to_string).collect();
    some("unexplained", &incidents);
    some("fault", &findings.faults);
    if let Some(first) = findings.blame.unexplained.first() {
        timeline(first, tally, log);
    }
    for (name, count) in findings.summary.broken() {
        println!("BROKEN PROMISE: {name} = {count} (seed {seed})");
    }
}

fn rollouts(sorted: &[Duration]) {
    let (Some(median), Some(worst)) = (sorted.get(sorted.len() / 2), sorted.last()) else {
        return;
    };
    println!(
        "{} changes in force everywhere: {median:.2?} in the median, {worst:.2?} at worst",
        sorted.len()
    );
}

/// Faults and incidents around the first incident that nothing explains.
fn timeline(first: &Incident, tally: &Tally, log: &Log) {
    let (from, to) = (first.at.saturating_sub(AROUND), first.at + AROUND);
    println!("time line from {:.1} s to {:.1} s:", from.as_secs_f64(), to.as_secs_f64());
    let mut lines: Vec<(Duration, String)> = Vec::new();
    for placed in log.placed() {
        let over = placed.until.unwrap_or(Duration::MAX);
        if placed.at <= to && over >= from {
            lines.push((placed.at, describe(&placed)));
        }
    }
    for incident in tally.incidents() {
        if incident.at >= from && incident.at <= to {
            lines.push((incident.at, incident.to_string()));
        }
    }
    lines.sort();
    for (_, line) in lines.iter().take(2 * MAX_SHOWN) {
        println!("  {line}");
    }
}

fn describe(placed: &Placed) -> String {
    let at = placed.at.as_secs_f64();
    let until =
        placed.until.map_or("the end".to_owned(), |it| format!("{:.3} s", it.as_secs_f64()));
    format!("{at:.3} s: fault {} {}, until {until}", placed.kind.as_str(), placed.text)
}

fn table(report: &Report) {
    println!(
        "{:<10} {:>9} {:>9} {:>8} {:>8} {:>7} {:>9} {:>9}",
        "kind", "requests", "whole", "refused", "unknown", "failed", "p50 ms", "p99 ms"
    );
    for (kind, counts) in &report.kinds {
        let latency = report.latencies.get(kind).copied().unwrap_or_default();
        println!(
            "{:<10} {:>9} {:>9} {:>8} {:>8} {:>7} {:>9.2} {:>9.2}",
            kind.as_str(),
            counts.requests,
            counts.whole,
            counts.refused,
            counts.unknown,
            counts.failed,
            latency.p50_ms,
            latency.p99_ms
        );
    }
    let flows = report.flows;
    println!(
        "flows: {} opened, {} at most, {} closed gracefully by the far side, {} refused, \
         {} not opened, {} broken",
        flows.flows, flows.peak, flows.graceful, flows.refused, flows.unopened, flows.broken
    );
}

fn some(title: &str, lines: &[String]) {
    for line in lines.iter().take(MAX_SHOWN) {
        println!("{title}: {line}");
    }
    if lines.len() > MAX_SHOWN {
        println!("{title}: {} more", lines.len() - MAX_SHOWN);
    }
}
