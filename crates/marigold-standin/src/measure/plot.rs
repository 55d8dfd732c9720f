//! Line plots in SVG files.

use std::path::Path;

use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::StandinError;

const SIZE_PX: (u32, u32) = (720, 420);
const MARGIN_PX: u32 = 12;
const LABEL_AREA_PX: u32 = 56;
/// Factor between the top of the y axis and the highest point.
const HEADROOM_FACTOR: f64 = 1.1;

/// One line of a plot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points ordered by x.
    pub points: Vec<(f64, f64)>,
}

/// A line plot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plot {
    /// File stem, without the `.svg` extension.
    pub file: String,
    /// Caption above the plot.
    pub title: String,
    /// Label of the x axis, with its unit.
    pub x: String,
    /// Label of the y axis, with its unit.
    pub y: String,
    /// The lines, in legend order.
    pub series: Vec<Series>,
}

impl Plot {
    /// Writes the plot to `folder` and returns the file name.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn draw(&self, folder: &Path) -> Result<String, StandinError> {
        let name = format!("{}.svg", self.file);
        let path = folder.join(&name);
        self.render(&path)
            .map_err(|error| StandinError::new("draw", &path.display(), &error))?;
        Ok(name)
    }

    fn render(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let right = points().map(|point| point.0).fold(1e-9, f64::max);
        let top = points().map(|point| point.1).fold(1e-9, f64::max) * HEADROOM_FACTOR;

        let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(
                    series.points.iter().copied(),
                    colour.stroke_width(2),
                ))?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }
}
