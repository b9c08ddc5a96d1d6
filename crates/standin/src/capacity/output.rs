//! The files of a run: measurements, lines and totals as CSV, the same as Markdown, and a plot for each series.

use std::{fmt::Write, fs, path::Path};

use anyhow::{Context, bail};

use super::{
    fit::{Value, count, digits},
    plot,
    series::{Measured, Series, Total},
};

/// Circumstances of a run.
#[derive(Clone, Debug, Default)]
pub struct Circumstances {
    /// Commit of the binaries.
    pub commit: String,
    /// Cores of the machine.
    pub cores: usize,
    /// Load average at the start and at the end.
    pub load: [f64; 2],
    /// Whether the sizes and times were cut short.
    pub quick: bool,
    /// Seconds that the run took.
    pub seconds: u64,
}

/// Writes all files of a run into a directory.
pub fn write(
    dir: &Path,
    run: &Circumstances,
    measured: &Measured,
    totals: &[Total],
) -> anyhow::Result<()> {
    if let Some(name) = commas(measured, totals) {
        bail!("write {}: the name {name:?} holds a comma", dir.display());
    }
    fs::create_dir_all(dir).with_context(|| format!("create {}", dir.display()))?;
    save(&dir.join("points.csv"), &points_csv(measured))?;
    save(&dir.join("slopes.csv"), &slopes_csv(measured))?;
    save(&dir.join("totals.csv"), &totals_csv(totals))?;
    save(&dir.join("tables.md"), &tables(run, measured, totals))?;
    for series in &measured.series {
        plot::draw(&dir.join(format!("{}.svg", series.id)), series)?;
    }
    Ok(())
}

/// Commas separate fields, and no field is quoted: names hold none.
fn commas(measured: &Measured, totals: &[Total]) -> Option<String> {
    let series = measured.series.iter().flat_map(|it| [it.id, it.axis, it.unit]);
    let names = totals.iter().flat_map(|it| [it.role, it.resource, it.unit]);
    series.chain(names).find(|it| it.contains(',')).map(str::to_owned)
}

fn save(path: &Path, text: &str) -> anyhow::Result<()> {
    fs::write(path, text).with_context(|| format!("write {}", path.display()))
}

fn points_csv(measured: &Measured) -> String {
    let mut text = "series,ground,axis,size,value,unit\n".to_owned();
    for it in &measured.series {
        for point in &it.points {
            let ground = it.ground.as_str();
            let (x, y) = (point.x, point.y);
            line(&mut text, format_args!("{},{ground},{},{x},{y},{}", it.id, it.axis, it.unit));
        }
    }
    text
}

fn slopes_csv(measured: &Measured) -> String {
    let head = "series,ground,axis,unit,sizes,points,slope,slope_error,base,base_error,r2\n";
    let mut text = head.to_owned();
    for it in &measured.series {
        let Some(fit) = it.fit() else {
            continue;
        };
        line(
            &mut text,
            format_args!(
                "{},{},{},{},{},{},{},{},{},{},{}",
                it.id,
                it.ground.as_str(),
                it.axis,
                it.unit,
                sizes(it, " "),
                fit.count,
                fit.slope.mean,
                fit.slope.error,
                fit.base.mean,
                fit.base.error,
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
            let Value { mean, error } = term.value;
            let (role, resource, unit) = (it.role, it.resource, it.unit);
            line(
                &mut text,
                format_args!("{role},{resource},{unit},{},{mean},{error},,", term.what),
            );
        }
        let Value { mean, error } = it.value();
        line(
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

fn tables(run: &Circumstances, measured: &Measured, totals: &[Total]) -> String {
    let mut text = String::new();
    line(&mut text, format_args!("# Figures of one run of `camphorwinch-standin capacity`\n"));
    let kind = if run.quick { "quick" } else { "full" };
    line(
        &mut text,
        format_args!(
            "Commit {}, {kind} run of {} s on {} cores, load average {:.1} at the start and {:.1} at the end.\n",
            run.commit, run.seconds, run.cores, run.load[0], run.load[1]
        ),
    );
    line(&mut text, format_args!("## Lines\n"));
    line(
        &mut text,
        format_args!("| series | what | against | sizes | slope | at size 0 | R2 | on |"),
    );
    line(&mut text, format_args!("| --- | --- | --- | --- | --- | --- | --- | --- |"));
    for it in &measured.series {
        slope_row(&mut text, it);
    }
    line(&mut text, format_args!("\n## At the size designed for\n"));
    line(&mut text, format_args!("| role | resource | value | budget | share | parts |"));
    line(&mut text, format_args!("| --- | --- | --- | --- | --- | --- |"));
    for it in totals {
        total_row(&mut text, it);
    }
    text
}

fn slope_row(text: &mut String, it: &Series) {
    let (slope, base, r2) = match it.fit() {
        Some(fit) => (shown(fit.slope), shown(fit.base), format!("{:.3}", fit.r2)),
        None => ("no fit".to_owned(), String::new(), String::new()),
    };
    line(
        text,
        format_args!(
            "| [{id}]({id}.svg) | {}, {} | {} | {} | {slope} | {base} | {r2} | {} |",
            it.what,
            it.unit,
            it.axis,
            sizes(it, ", "),
            it.ground.as_str(),
            id = it.id,
        ),
    );
}

fn total_row(text: &mut String, it: &Total) {
    let mut parts: Vec<String> =
        it.terms.iter().map(|term| format!("{}: {}", term.what, shown(term.value))).collect();
    parts.extend(it.missing.iter().map(|id| format!("{id}: not measured")));
    let note = if it.missing.is_empty() { "" } else { " (partial)" };
    line(
        text,
        format_args!(
            "| {} | {} | {} {}{note} | {} | {:.1} % | {} |",
            it.role,
            it.resource,
            shown(it.value()),
            it.unit,
            count(it.budget),
            100.0 * it.share(),
            parts.join("; "),
        ),
    );
}

fn sizes(it: &Series, between: &str) -> String {
    it.sizes().into_iter().map(count).collect::<Vec<_>>().join(between)
}

/// A value with its error, to three digits.
pub fn shown(value: Value) -> String {
    format!("{} ± {}", digits(value.mean), digits(value.error))
}

fn line(text: &mut String, args: std::fmt::Arguments<'_>) {
    writeln!(text, "{args}").expect("writing to a string does not fail");
}
