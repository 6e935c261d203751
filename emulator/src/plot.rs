//! Plots results over the fleet size.
use plotters::prelude::*;
use std::path::Path;

/// One line of a plot: its name, and points of fleet size and value.
pub type Line = (String, Vec<(f64, f64)>);

/// Writes an SVG file with the lines on logarithmic axes. Points with a value of 0 are left out.
pub fn draw(file: &Path, title: &str, unit: &str, lines: &[Line]) -> Result<(), String> {
    let all_points = || {
        lines
            .iter()
            .flat_map(|(_, points)| points.iter().copied())
            .filter(|p| p.1 > 0.0)
    };
    let range = |of: fn(&(f64, f64)) -> f64| {
        let (min, max) = all_points()
            .map(|p| of(&p))
            .fold((f64::MAX, 0f64), |(l, m), v| (l.min(v), m.max(v)));
        (min * 0.8, max * 1.3)
    };
    if all_points().next().is_none() {
        return Err(format!(
            "cannot plot \"{title}\" to {}: no value is greater than 0",
            file.display()
        ));
    }
    let ((x0, x1), (y0, y1)) = (range(|p| p.0), range(|p| p.1));
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let root = SVGBackend::new(file, (880, 520)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d((x0..x1).log_scale(), (y0..y1).log_scale())
        .map_err(|e| failed(&e))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("fronts")
        .y_desc(unit)
        .draw()
        .map_err(|e| failed(&e))?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points: Vec<_> = points.iter().copied().filter(|p| p.1 > 0.0).collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|e| failed(&e))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    let mut legend = chart.configure_series_labels();
    legend
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| failed(&e))?;
    root.present().map_err(|e| failed(&e))
}
