//! Output files of a run: measurements, fitted lines and totals as CSV, Markdown tables, and a plot for each series.

use std::{fmt::Write, fs, path::Path};

use anyhow::{Context, bail};

use super::{
    fit::{Estimate, format_count, format_number},
    plot,
    series::{Measurements, Series, Total},
};

/// Metadata of a run.
#[derive(Clone, Debug, Default)]
pub struct RunInfo {
    /// Commit of the binaries.
    pub commit: String,
    /// Number of CPU cores of the machine.
    pub cores: usize,
    /// 1-minute load average at the start and at the end.
    pub load: [f64; 2],
    /// Whether the sizes and durations were reduced.
    pub quick: bool,
    /// Duration of the run in seconds.
    pub seconds: u64,
}

/// Writes all output files into a directory; an error if a name contains a comma.
pub fn write(
    dir: &Path,
    run: &RunInfo,
    measurements: &Measurements,
    totals: &[Total],
) -> anyhow::Result<()> {
    if let Some(name) = name_with_comma(measurements, totals) {
        bail!("failed to write {}: the name {name:?} contains a comma", dir.display());
    }
    fs::create_dir_all(dir).with_context(|| format!("failed to create {}", dir.display()))?;
    write_file(&dir.join("points.csv"), &points_csv(measurements))?;
    write_file(&dir.join("slopes.csv"), &slopes_csv(measurements))?;
    write_file(&dir.join("totals.csv"), &totals_csv(totals))?;
    write_file(&dir.join("tables.md"), &tables(run, measurements, totals))?;
    for series in &measurements.series {
        plot::draw(&dir.join(format!("{}.svg", series.id)), series)?;
    }
    Ok(())
}

/// Returns a name with a comma, which the unquoted CSV fields do not allow.
fn name_with_comma(measurements: &Measurements, totals: &[Total]) -> Option<String> {
    let series = measurements.series.iter().flat_map(|it| [it.id, it.axis, it.unit]);
    let names = totals.iter().flat_map(|it| [it.role, it.resource, it.unit]);
    series.chain(names).find(|it| it.contains(',')).map(str::to_owned)
}

fn write_file(path: &Path, text: &str) -> anyhow::Result<()> {
    fs::write(path, text).with_context(|| format!("failed to write {}", path.display()))
}

fn points_csv(measurements: &Measurements) -> String {
    let mut text = "series,ground,axis,size,value,unit\n".to_owned();
    for it in &measurements.series {
        for point in &it.points {
            let source = it.source.as_str();
            let (x, y) = (point.x, point.y);
            push_line(
                &mut text,
                format_args!("{},{source},{},{x},{y},{}", it.id, it.axis, it.unit),
            );
        }
    }
    text
}

fn slopes_csv(measurements: &Measurements) -> String {
    let head = "series,ground,axis,unit,sizes,points,slope,slope_error,base,base_error,r2\n";
    let mut text = head.to_owned();
    for it in &measurements.series {
        let Some(fit) = it.fit() else {
            continue;
        };
        push_line(
            &mut text,
            format_args!(
                "{},{},{},{},{},{},{},{},{},{},{}",
                it.id,
                it.source.as_str(),
                it.axis,
                it.unit,
                join_sizes(it, " "),
                fit.count,
                fit.slope.mean,
                fit.slope.error,
                fit.intercept.mean,
                fit.intercept.error,
                fit.r2,
            ),
        );
    }
    text
}

fn totals_csv(totals: &[Total]) -> String {
    let mut text = "role,resource,unit,part,value,error,budget,share\n".to_owned();
    for it in totals {
        for term in &it.terms {
            let Estimate { mean, error } = term.value;
            let (role, resource, unit) = (it.role, it.resource, it.unit);
            push_line(
                &mut text,
                format_args!("{role},{resource},{unit},{},{mean},{error},,", term.what),
            );
        }
        let Estimate { mean, error } = it.value();
        push_line(
            &mut text,
            format_args!(
                "{},{},{},total,{mean},{error},{},{}",
                it.role,
                it.resource,
                it.unit,
                it.budget,
                it.share()
            ),
        );
    }
    text
}

fn tables(run: &RunInfo, measurements: &Measurements, totals: &[Total]) -> String {
    let mut text = String::new();
    push_line(&mut text, format_args!("# Figures of one run of `camphorwinch-standin capacity`\n"));
    let kind = if run.quick { "quick" } else { "full" };
    push_line(
        &mut text,
        format_args!(
            "Commit {}, {kind} run of {} s on {} cores, load average {:.1} at the start and {:.1} at the end.\n",
            run.commit, run.seconds, run.cores, run.load[0], run.load[1]
        ),
    );
    push_line(&mut text, format_args!("## Lines\n"));
    push_line(
        &mut text,
        format_args!("| series | what | against | sizes | slope | at size 0 | R2 | on |"),
    );
    push_line(&mut text, format_args!("| --- | --- | --- | --- | --- | --- | --- | --- |"));
    for it in &measurements.series {
        slope_row(&mut text, it);
    }
    push_line(&mut text, format_args!("\n## At the size designed for\n"));
    push_line(&mut text, format_args!("| role | resource | value | budget | share | parts |"));
    push_line(&mut text, format_args!("| --- | --- | --- | --- | --- | --- |"));
    for it in totals {
        total_row(&mut text, it);
    }
    text
}

fn slope_row(text: &mut String, it: &Series) {
    let (slope, intercept, r2) = match it.fit() {
        Some(fit) => {
            (format_estimate(fit.slope), format_estimate(fit.intercept), format!("{:.3}", fit.r2))
        }
        None => ("no fit".to_owned(), String::new(), String::new()),
    };
    push_line(
        text,
        format_args!(
            "| [{id}]({id}.svg) | {}, {} | {} | {} | {slope} | {intercept} | {r2} | {} |",
            it.what,
            it.unit,
            it.axis,
            join_sizes(it, ", "),
            it.source.as_str(),
            id = it.id,
        ),
    );
}

fn total_row(text: &mut String, it: &Total) {
    let mut terms: Vec<String> = it
        .terms
        .iter()
        .map(|term| format!("{}: {}", term.what, format_estimate(term.value)))
        .collect();
    terms.extend(it.missing.iter().map(|id| format!("{id}: not measured")));
    let note = if it.missing.is_empty() { "" } else { " (partial)" };
    push_line(
        text,
        format_args!(
            "| {} | {} | {} {}{note} | {} | {:.1} % | {} |",
            it.role,
            it.resource,
            format_estimate(it.value()),
            it.unit,
            format_count(it.budget),
            100.0 * it.share(),
            terms.join("; "),
        ),
    );
}

fn join_sizes(it: &Series, separator: &str) -> String {
    it.sizes().into_iter().map(format_count).collect::<Vec<_>>().join(separator)
}

/// Formats an estimate and its error with three significant digits.
pub fn format_estimate(value: Estimate) -> String {
    format!("{} ± {}", format_number(value.mean), format_number(value.error))
}

fn push_line(text: &mut String, args: std::fmt::Arguments<'_>) {
    writeln!(text, "{args}").expect("writing to a string does not fail");
}
