//! Reports of experiments: charts as SVG, or a page with charts and figures.

use std::path::Path;

use eyre::Result;
use eyre::bail;
use eyre::eyre;
use plotters::prelude::*;

use crate::experiment::Findings;

const WIDTH: u32 = 860;
const HEIGHT: u32 = 380;
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(90, 90, 90),
    RGBColor(0, 140, 90),
    RGBColor(150, 0, 120),
    RGBColor(160, 130, 0),
];

/// A picture of lines.
#[derive(Debug, Clone)]
pub struct Chart {
    /// Its heading.
    pub title: String,
    /// What the x axis shows, with its unit.
    pub x: String,
    /// What the y axis shows, with its unit.
    pub y: String,
    /// The lines.
    pub lines: Vec<Line>,
}

/// One line of a chart.
#[derive(Debug, Clone)]
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Its points, by x.
    pub points: Vec<(f64, f64)>,
}

/// Returns a report in the format that the file's name asks for.
///
/// # Errors
///
/// Returns an error if the name ends in neither `.html` nor `.svg`, or a chart
/// cannot be drawn.
pub fn render(name: &str, seed: u64, findings: &Findings, out: &Path) -> Result<String> {
    match out.extension().and_then(|text| text.to_str()) {
        Some("html") => page(name, seed, findings),
        Some("svg") => svg(&findings.charts),
        _ => bail!("{}: a report's name ends in .html or .svg", out.display()),
    }
}

/// Returns charts one below the other.
///
/// # Errors
///
/// Returns an error if a chart cannot be drawn.
pub fn svg(charts: &[Chart]) -> Result<String> {
    let mut text = String::new();
    let rows = charts.len().max(1);
    let size = (WIDTH, HEIGHT * rows as u32);
    {
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        root.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
        for (area, chart) in root.split_evenly((rows, 1)).iter().zip(charts) {
            draw(area, chart).map_err(|error| eyre!("{}: {error}", chart.title))?;
        }
        root.present().map_err(|error| eyre!("{error}"))?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(area: &Area<'_>, chart: &Chart) -> Result<(), Box<dyn std::error::Error>> {
    let points = || chart.lines.iter().flat_map(|line| line.points.iter());
    let left = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let right = points().map(|point| point.0).fold(left + 1e-9, f64::max);
    let top = points().map(|point| point.1).fold(1e-9, f64::max);
    if !left.is_finite() {
        return Ok(());
    }
    let mut context = ChartBuilder::on(area)
        .caption(&chart.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(left..right, 0.0..top * 1.05)?;
    context
        .configure_mesh()
        .x_desc(&chart.x)
        .y_desc(&chart.y)
        .light_line_style(WHITE)
        .draw()?;
    for (line, colour) in chart.lines.iter().zip(COLOURS.iter().cycle()) {
        let colour = *colour;
        context
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                colour.stroke_width(2),
            ))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    context
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}

fn page(name: &str, seed: u64, findings: &Findings) -> Result<String> {
    let mut rows = String::new();
    for row in &findings.rows {
        let mark = match row.finding.kept {
            Some(true) => "kept",
            Some(false) => "broken",
            None => "",
        };
        rows.push_str(&format!(
            "<tr class=\"{mark}\"><td>{}</td><td>{}</td><td>{:.2}</td><td>{}</td><td>{mark}</td></tr>\n",
            escape(row.contender.name()),
            escape(&row.finding.name),
            row.finding.value,
            escape(&row.finding.bound),
        ));
    }
    let charts = if findings.charts.is_empty() {
        String::new()
    } else {
        svg(&findings.charts)?
    };
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\n\
         <style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:2px 12px;text-align:left}}\
         .broken{{color:#b00;font-weight:bold}}</style>\n\
         <h1>{name}, seed {seed}</h1>\n{charts}\n\
         <table><tr><th>contender<th>figure<th>value<th>bound<th></tr>\n{rows}</table></html>\n"
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
