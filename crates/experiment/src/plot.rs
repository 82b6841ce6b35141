//! The outcome as a picture: for each scenario, p99 against the share sent away.

use {
    crate::{MeasureRow, ReplayTable, report::ScenarioTable},
    plotters::{
        coord::Shift,
        prelude::{
            ChartBuilder, Circle, Color, DrawingArea, EmptyElement, IntoDrawingArea, IntoFont,
            IntoLogRange, RGBColor, SVGBackend, Text, WHITE,
        },
    },
    snafu::Snafu,
};

/// Why there is no picture.
#[derive(Debug, Snafu)]
#[snafu(display("the picture cannot be drawn: {reason}; replay fewer scenarios"))]
pub struct PlotError {
    reason: String,
}

/// Width and height of one scenario's panel, pixels.
const PANEL: (u32, u32) = (460, 340);

/// Panels side by side.
const COLUMNS: usize = 2;

/// Colours of the policies, in the order of the rows.
const COLOURS: [RGBColor; 7] = [
    RGBColor(140, 86, 75),
    RGBColor(127, 127, 127),
    RGBColor(23, 110, 180),
    RGBColor(148, 103, 189),
    RGBColor(214, 39, 40),
    RGBColor(44, 130, 44),
    RGBColor(200, 130, 20),
];

/// The picture as SVG.
pub fn plot_table(table: &ReplayTable) -> Result<String, PlotError> {
    let scenarios = table.scenarios();
    let lines = scenarios.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL.0 * COLUMNS as u32, PANEL.1 * lines as u32);
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let panels = area.split_evenly((lines, COLUMNS));
        for (scenario, panel) in scenarios.iter().zip(&panels) {
            draw_panel(scenario, panel)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(text)
}

fn failed(error: impl std::fmt::Display) -> PlotError {
    PlotError { reason: error.to_string() }
}

type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw_panel(scenario: &ScenarioTable, panel: &Panel<'_>) -> Result<(), PlotError> {
    let values = || scenario.rows.iter().map(|row| row.p99.max(1e-3));
    let low = values().fold(f64::INFINITY, f64::min) / 2.0;
    let high = values().fold(0.0, f64::max) * 2.0;
    let widest = scenario.rows.iter().map(|row| row.share_away).fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(scenario.scenario, ("sans-serif", 16).into_font())
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..(150.0 * widest).max(1.0), (low..high).log_scale())
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc("sent away, %")
        .y_desc("p99 time to first token, s")
        .light_line_style(WHITE)
        .y_label_formatter(&|value| format!("{value:.2}"))
        .draw()
        .map_err(failed)?;
    let points = scenario.rows.iter().zip(COLOURS).map(|(row, colour)| {
        EmptyElement::at(place(row))
            + Circle::new((0, 0), 4, colour.filled())
            + Text::new(row.policy, (7, -6), ("sans-serif", 11).into_font().color(&colour))
    });
    chart.draw_series(points).map_err(failed)?;
    Ok(())
}

fn place(row: &MeasureRow) -> (f64, f64) {
    (100.0 * row.share_away, row.p99.max(1e-3))
}
