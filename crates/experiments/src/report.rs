//! Result files of an experiment's run: its metrics as rows of a table, and its series as a table and a chart.

use crate::harness::Failure;
use plotters::prelude::*;
use serde_json::Value;
use std::fs::OpenOptions;
use std::path::Path;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);
/// Ratio of the end of an axis to the maximum value, so that there is space above the values.
const AXIS_MARGIN: f64 = 1.05;
/// Minimum end of an axis before the margin, so that the axis of a series without values has a range.
const MIN_AXIS_RANGE: f64 = 1e-9;

/// A series of values, drawn as one line of a chart.
pub struct Series {
    /// Name of the series in the legend and in the table.
    pub name: String,
    /// Points of the series: horizontal and vertical coordinate.
    pub points: Vec<(f64, f64)>,
}

/// A chart of the series of a run.
pub struct Chart {
    /// Title of the chart.
    pub title: String,
    /// Label of the horizontal axis, and name of its column in the table.
    pub x_label: String,
    /// Label of the vertical axis, and name of its column in the table.
    pub y_label: String,
    /// Series of the chart.
    pub series: Vec<Series>,
}

/// Result of an experiment's run.
pub struct ExperimentResult {
    /// Metrics of the run as a JSON object, keyed by name. Metrics of one case, scenario, engine group or baseline are nested in an object
    /// under its name.
    pub json: Value,
    /// Chart of the run's series, if the experiment has any.
    pub chart: Option<Chart>,
}

/// Appends the metrics of a JSON value to `rows` as pairs of name and value. The names of nested metrics are joined by dots.
fn flatten(path: &str, value: &Value, rows: &mut Vec<(String, String)>) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten(&path, inner, rows);
            }
        }
        Value::String(text) => rows.push((path.to_owned(), text.clone())),
        other => rows.push((path.to_owned(), other.to_string())),
    }
}

fn rows(json: &Value) -> Vec<(String, String)> {
    let mut rows = Vec::new();
    flatten("", json, &mut rows);
    rows
}

/// Formats metrics as text, one line for each.
pub fn format_metrics(json: &Value) -> String {
    rows(json).iter().map(|(name, value)| format!("{name:<40} {value}\n")).collect()
}

/// Appends the metrics to `NAME.csv` in a folder, and writes the table and the chart of the series to `NAME-SEED-series.csv` and
/// `NAME-SEED.svg`.
///
/// # Errors
/// A file or the folder cannot be written.
pub fn save(folder: &Path, name: &str, seed: u64, result: &ExperimentResult) -> Result<(), Failure> {
    std::fs::create_dir_all(folder)?;
    append_metrics(&folder.join(format!("{name}.csv")), seed, &result.json)?;
    if let Some(chart) = &result.chart {
        write_series(&folder.join(format!("{name}-{seed}-series.csv")), chart)?;
        draw(&folder.join(format!("{name}-{seed}.svg")), chart)?;
    }
    Ok(())
}

fn append_metrics(file: &Path, seed: u64, json: &Value) -> Result<(), Failure> {
    let is_new = !file.exists();
    let mut table = csv::Writer::from_writer(OpenOptions::new().create(true).append(true).open(file)?);
    if is_new {
        table.write_record(["seed", "figure", "value"])?;
    }
    let seed = seed.to_string();
    for (metric, value) in rows(json) {
        table.write_record([&seed, &metric, &value])?;
    }
    table.flush()?;
    Ok(())
}

fn write_series(file: &Path, chart: &Chart) -> Result<(), Failure> {
    let mut table = csv::Writer::from_path(file)?;
    table.write_record(["line", &chart.x_label, &chart.y_label])?;
    for line in &chart.series {
        for (at, value) in &line.points {
            table.write_record([line.name.clone(), format!("{at:.3}"), format!("{value:.4}")])?;
        }
    }
    table.flush()?;
    Ok(())
}

fn draw(file: &Path, chart: &Chart) -> Result<(), Failure> {
    let points = || chart.series.iter().flat_map(|line| &line.points);
    let range = |coordinate: fn(&(f64, f64)) -> f64| {
        let max = points().map(coordinate).fold(MIN_AXIS_RANGE, f64::max);
        0.0..max * AXIS_MARGIN
    };
    let area = SVGBackend::new(file, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut plot = ChartBuilder::on(&area)
        .caption(&chart.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(range(|point| point.0), range(|point| point.1))?;
    plot.configure_mesh().x_desc(&chart.x_label).y_desc(&chart.y_label).draw()?;
    for (number, line) in chart.series.iter().enumerate() {
        let colour = Palette99::pick(number).stroke_width(2);
        plot.draw_series(LineSeries::new(line.points.iter().copied(), colour))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    plot.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
