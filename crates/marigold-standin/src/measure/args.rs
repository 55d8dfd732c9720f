//! Arguments of `marigold-standin measure`.

use std::path::PathBuf;
use std::time::Instant;

use clap::{Args, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use marigold_settings::Profile;

use super::{
    Bench, Findings, Machine, Page, Part, calls, control, faults, keys, overload, recovery,
};
use crate::StandinError;

const PROGRESS_TEMPLATE: &str = "{spinner} {elapsed} step {pos}: {msg}";
const PROGRESS_TICK: std::time::Duration = std::time::Duration::from_millis(200);

/// Measures the mesh on this machine, prints the tables and writes pages with plots.
#[derive(Debug, Clone, Args)]
pub struct MeasureArgs {
    /// The parts to measure; all of them when none is named.
    #[arg(value_enum)]
    parts: Vec<Part>,
    /// The folder that the pages are written to.
    #[arg(long, default_value = "docs/measurements")]
    out: PathBuf,
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

impl MeasureArgs {
    /// Measures the selected parts in sequence.
    ///
    /// # Errors
    ///
    /// Returns an error if a mesh does not start or a page cannot be written. Pages written before
    /// the error are kept.
    pub async fn run(self) -> Result<(), StandinError> {
        crate::log_errors_only()?;
        let parts = if self.parts.is_empty() {
            Part::value_variants().to_vec()
        } else {
            self.parts
        };
        let mut pages = Vec::new();
        for part in parts {
            let page = measure(part).await?;
            page.write(&self.out)?;
            if !self.json {
                page.print();
            }
            pages.push(page);
        }
        if self.json {
            let json = serde_json::to_string_pretty(&pages)
                .map_err(|error| StandinError::new("print", &"pages", &error))?;
            println!("{json}");
        }
        Ok(())
    }
}

async fn measure(part: Part) -> Result<Page, StandinError> {
    let bar = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template(PROGRESS_TEMPLATE) {
        bar.set_style(style);
    }
    bar.enable_steady_tick(PROGRESS_TICK);
    let machine = Machine::read()?;
    let start = Instant::now();
    let findings = run_part(part, &Bench::new(bar.clone())).await?;
    bar.finish_and_clear();
    Ok(Page {
        part: part.name().to_owned(),
        title: part.title().to_owned(),
        command: format!(
            "cargo run --release --bin marigold-standin -- measure {}",
            part.name()
        ),
        machine,
        seconds: start.elapsed().as_secs_f64(),
        notes: findings.notes,
        figures: findings.figures,
        plots: findings.plots,
    })
}

async fn run_part(part: Part, bench: &Bench) -> Result<Findings, StandinError> {
    match part {
        Part::Calls => calls::measure(bench).await,
        Part::Keys => keys::measure(bench).await,
        Part::Overload => overload::measure(bench).await,
        Part::ControlTime => control::measure(bench, Profile::Time).await,
        Part::ControlBytes => control::measure(bench, Profile::Bytes).await,
        Part::Recovery => recovery::measure(bench).await,
        Part::Faults => faults::measure(bench).await,
    }
}
