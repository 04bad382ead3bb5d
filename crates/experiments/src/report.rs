//! What is kept of a run: its figures as a row of a table, its series as a table and a chart.

use plotters::prelude::*;
use serde_json::Value;
use std::fs::OpenOptions;
use std::path::Path;

type Failure = Box<dyn std::error::Error>;

/// A line of a chart: its name and its points.
pub type Series = (String, Vec<(f64, f64)>);

/// What came of an experiment.
pub struct Figures {
    pub json: Value,
    /// Title, names of the axes, and lines; none: there is nothing to draw.
    pub chart: Option<(String, String, String, Vec<Series>)>,
}

/// Figures by name, nested ones joined by dots.
fn flat(path: &str, value: &Value, out: &mut Vec<(String, String)>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(name, inner)| {
            let under = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            flat(&under, inner, out);
        }),
        Value::String(text) => out.push((path.to_owned(), text.clone())),
        other => out.push((path.to_owned(), other.to_string())),
    }
}

pub fn text(json: &Value) -> String {
    let mut rows = Vec::new();
    flat("", json, &mut rows);
    rows.iter().map(|(name, value)| format!("{name:<40} {value}\n")).collect()
}

/// Adds the figures to `NAME.csv`, and writes the series of this seed beside it.
pub fn keep(out: &Path, name: &str, seed: u64, figures: &Figures) -> Result<(), Failure> {
    std::fs::create_dir_all(out)?;
    let mut rows = vec![("seed".to_owned(), seed.to_string())];
    flat("", &figures.json, &mut rows);
    let file = out.join(format!("{name}.csv"));
    let fresh = !file.exists();
    let mut table = csv::Writer::from_writer(OpenOptions::new().create(true).append(true).open(&file)?);
    if fresh {
        table.write_record(["seed", "figure", "value"])?;
    }
    for (figure, value) in rows.iter().skip(1) {
        table.write_record([rows[0].1.as_str(), figure, value])?;
    }
    table.flush()?;
    if let Some((title, x, y, series)) = &figures.chart {
        let mut table = csv::Writer::from_path(out.join(format!("{name}-{seed}-series.csv")))?;
        table.write_record(["line", x, y])?;
        for (line, points) in series {
            for (at, value) in points {
                table.write_record([line.clone(), format!("{at:.3}"), format!("{value:.4}")])?;
            }
        }
        table.flush()?;
        draw(&out.join(format!("{name}-{seed}.svg")), title, x, y, series)?;
    }
    Ok(())
}

fn draw(file: &Path, title: &str, x: &str, y: &str, series: &[Series]) -> Result<(), Failure> {
    let points = || series.iter().flat_map(|(_, points)| points);
    let most = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(1e-9, f64::max) * 1.05;
    let area = SVGBackend::new(file, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..most(|p| p.0), 0.0..most(|p| p.1))?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (n, (name, points)) in series.iter().enumerate() {
        let colour = Palette99::pick(n).stroke_width(2);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
