//! The result of one part, written as a terminal table, JSON and Markdown.

use std::fmt::Write;
use std::path::Path;

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use serde::{Deserialize, Serialize};

use super::{Figure, Machine, Plot};
use crate::StandinError;

/// The result of one measured part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Name of the part, used as the file stem.
    pub part: String,
    /// Heading of the page.
    pub title: String,
    /// The command that repeats the measurement.
    pub command: String,
    /// The machine that the measurement ran on.
    pub machine: Machine,
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Method and limits of the measurement.
    pub notes: Vec<String>,
    /// The measured figures, in table order.
    pub figures: Vec<Figure>,
    /// The plots, each written to an SVG file of its own.
    pub plots: Vec<Plot>,
}

impl Page {
    /// Prints the title, the table and the notes to standard output.
    pub fn print(&self) {
        let mut table = Table::new();
        table.load_style(UTF8_FULL_CONDENSED);
        table.set_header(Figure::HEADINGS);
        for figure in &self.figures {
            table.add_row(figure.columns());
        }
        println!("{}\n{table}", self.title);
        for note in &self.notes {
            println!("- {note}");
        }
    }

    /// Writes the Markdown page, the JSON file and the plots to `folder`, creating it if needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), StandinError> {
        std::fs::create_dir_all(folder).map_err(|error| write_error(folder, &error))?;
        let json =
            serde_json::to_string_pretty(self).map_err(|error| write_error(folder, &error))?;
        write(&folder.join(format!("{}.json", self.part)), &json)?;
        let mut plot_files = Vec::new();
        for plot in &self.plots {
            plot_files.push(plot.draw(folder)?);
        }
        write(
            &folder.join(format!("{}.md", self.part)),
            &self.text(&plot_files),
        )
    }

    fn text(&self, plots: &[String]) -> String {
        let mut text = format!("# {}\n\n", self.title);
        let machine = &self.machine;
        let _ = writeln!(
            text,
            "Made by `{}` in {:.0} s on {} cores, {} MB of memory, {}; load average at the start {}.\n",
            self.command,
            self.seconds,
            machine.cores,
            machine.memory_mb,
            machine.processor,
            machine.load
        );
        for note in &self.notes {
            let _ = writeln!(text, "- {note}");
        }
        let _ = writeln!(text, "\n| {} |", Figure::HEADINGS.join(" | "));
        let _ = writeln!(text, "|{}", "---|".repeat(Figure::HEADINGS.len()));
        for figure in &self.figures {
            let _ = writeln!(text, "| {} |", figure.columns().join(" | "));
        }
        for (plot, file) in self.plots.iter().zip(plots) {
            let _ = writeln!(text, "\n![{}]({file})", plot.title);
        }
        text
    }
}

fn write(path: &Path, text: &str) -> Result<(), StandinError> {
    std::fs::write(path, format!("{}\n", text.trim_end()))
        .map_err(|error| write_error(path, &error))
}

fn write_error(path: &Path, error: &dyn ToString) -> StandinError {
    StandinError::new("write", &path.display(), error)
}
