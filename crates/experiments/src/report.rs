//! What is kept of a run: its figures as rows of a table, its series as a table and a chart.

use crate::harness::Failure;
use plotters::prelude::*;
use serde_json::Value;
use std::fs::OpenOptions;
use std::path::Path;

/// The size of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);
/// The space above the greatest value of an axis.
const AXIS_MARGIN: f64 = 1.05;
/// The least range of an axis, for series without values.
const MIN_AXIS_RANGE: f64 = 1e-9;

/// A line of a chart.
pub struct Series {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// A chart of the series of a run.
pub struct Chart {
    /// Its title.
    pub title: String,
    /// The name of the horizontal axis.
    pub x_label: String,
    /// The name of the vertical axis.
    pub y_label: String,
    /// Its lines.
    pub series: Vec<Series>,
}

/// The result of an experiment.
pub struct Figures {
    /// Figures by name, nested by what they are of.
    pub json: Value,
    /// Its chart, if it has series.
    pub chart: Option<Chart>,
}

/// Figures by name; the names of nested ones are joined by dots.
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

/// The figures as text, a line each.
pub fn text(json: &Value) -> String {
    rows(json).iter().map(|(name, value)| format!("{name:<40} {value}\n")).collect()
}

/// Adds the figures to `NAME.csv` in a folder, and writes the series of this seed beside it.
///
/// # Errors
/// A file cannot be written.
pub fn keep(folder: &Path, name: &str, seed: u64, figures: &Figures) -> Result<(), Failure> {
    std::fs::create_dir_all(folder)?;
    append_figures(&folder.join(format!("{name}.csv")), seed, &figures.json)?;
    if let Some(chart) = &figures.chart {
        write_series(&folder.join(format!("{name}-{seed}-series.csv")), chart)?;
        draw(&folder.join(format!("{name}-{seed}.svg")), chart)?;
    }
    Ok(())
}

fn append_figures(file: &Path, seed: u64, json: &Value) -> Result<(), Failure> {
    let is_new = !file.exists();
    let mut table = csv::Writer::from_writer(OpenOptions::new().create(true).append(true).open(file)?);
    if is_new {
        table.write_record(["seed", "figure", "value"])?;
    }
    let seed = seed.to_string();
    for (figure, value) in rows(json) {
        table.write_record([&seed, &figure, &value])?;
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
    let range = |of: fn(&(f64, f64)) -> f64| {
        let greatest = points().map(of).fold(MIN_AXIS_RANGE, f64::max);
        0.0..greatest * AXIS_MARGIN
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
