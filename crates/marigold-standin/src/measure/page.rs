//! The result of one part, as a table, as JSON and as a page.

use std::fmt::Write;
use std::path::Path;

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use serde::{Deserialize, Serialize};

use super::{Figure, Machine, Plot};
use crate::StandinError;

/// One part's result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The part's name, which its files carry.
    pub part: String,
    /// The title.
    pub title: String,
    /// The command that made it.
    pub command: String,
    /// What it ran on.
    pub machine: Machine,
    /// Seconds that it took.
    pub seconds: f64,
    /// How it was measured, and what was not.
    pub notes: Vec<String>,
    /// The figures.
    pub figures: Vec<Figure>,
    /// The plots.
    pub plots: Vec<Plot>,
}

impl Page {
    /// Prints the table.
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

    /// Writes the page, its JSON and its plots into `folder`.
    ///
    /// # Errors
    ///
    /// When a file cannot be written.
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
