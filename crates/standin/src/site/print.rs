//! Console output of a run: progress, result table, and timeline around the first incident.

use std::time::Duration;

use super::{
    faults::{FaultLog, InjectedFault},
    run::RunResult,
};
use crate::caller::{
    report::Report,
    stats::{Incident, LoadStats},
};

const MAX_LINES: usize = 20;
const TIMELINE_MARGIN: Duration = Duration::from_secs(12);

/// Prints one progress line.
pub fn progress(stats: &LoadStats) {
    let total = stats.total();
    let flows = stats.flows();
    println!(
        "{:6.1} s: {} flows held, {} opened, {} broken; {} requests, {} whole, {} refused, \
         {} unknown, {} failed",
        stats.now().as_secs_f64(),
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

/// Prints the result of a run.
pub fn result(result: &RunResult, stats: &LoadStats, log: &FaultLog, seed: u64) {
    progress(stats);
    request_table(&Report::new(stats, stats.now()));
    for (name, load) in &result.loads {
        println!("{name:<24} {load:>8.3} slots busy");
    }
    println!("{} runs of requests that are not idempotent", result.journal.runs);
    rollouts(&log.rollouts());
    print_lines("ran twice", &result.journal.ran_twice);
    print_lines("run although reported as not run", &result.journal.false_not_run);
    let incidents: Vec<String> =
        result.attribution.unexplained.iter().map(Incident::to_string).collect();
    print_lines("unexplained", &incidents);
    print_lines("fault", &result.problems);
    if let Some(first) = result.attribution.unexplained.first() {
        timeline(first, stats, log);
    }
    for (name, count) in result.summary.violations() {
        println!("BROKEN PROMISE: {name} = {count} (seed {seed})");
    }
}

fn rollouts(sorted: &[Duration]) {
    let (Some(median), Some(worst)) = (sorted.get(sorted.len() / 2), sorted.last()) else {
        return;
    };
    println!(
        "{} changes applied everywhere: median {median:.2?}, maximum {worst:.2?}",
        sorted.len()
    );
}

/// Prints faults and incidents around the first unexplained incident.
fn timeline(first: &Incident, stats: &LoadStats, log: &FaultLog) {
    let (from, to) = (first.at.saturating_sub(TIMELINE_MARGIN), first.at + TIMELINE_MARGIN);
    println!("timeline from {:.1} s to {:.1} s:", from.as_secs_f64(), to.as_secs_f64());
    let mut lines: Vec<(Duration, String)> = Vec::new();
    for fault in log.injected() {
        let end = fault.until.unwrap_or(Duration::MAX);
        if fault.at <= to && end >= from {
            lines.push((fault.at, describe(&fault)));
        }
    }
    for incident in stats.incidents() {
        if incident.at >= from && incident.at <= to {
            lines.push((incident.at, incident.to_string()));
        }
    }
    lines.sort();
    for (_, line) in lines.iter().take(2 * MAX_LINES) {
        println!("  {line}");
    }
}

fn describe(fault: &InjectedFault) -> String {
    let at = fault.at.as_secs_f64();
    let until = fault.until.map_or("the end".to_owned(), |it| format!("{:.3} s", it.as_secs_f64()));
    format!("{at:.3} s: fault {} {}, until {until}", fault.kind.as_str(), fault.text)
}

fn request_table(report: &Report) {
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
        "flows: {} opened, {} at most, {} closed gracefully by the peer, {} refused, \
         {} failed to open, {} broken",
        flows.flows, flows.peak, flows.graceful, flows.refused, flows.unopened, flows.broken
    );
}

fn print_lines(title: &str, lines: &[String]) {
    for line in lines.iter().take(MAX_LINES) {
        println!("{title}: {line}");
    }
    if lines.len() > MAX_LINES {
        println!("{title}: {} more", lines.len() - MAX_LINES);
    }
}
