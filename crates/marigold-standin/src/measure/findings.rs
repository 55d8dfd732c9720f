//! What a part found.

use super::{Figure, Plot};

/// The figures of one part, before they become a page.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// How it was measured, and what was not.
    pub notes: Vec<String>,
    /// The figures.
    pub figures: Vec<Figure>,
    /// The plots.
    pub plots: Vec<Plot>,
}

impl Findings {
    /// Adds a note.
    pub fn add_note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }

    /// Adds a figure.
    pub fn add(&mut self, figure: Figure) {
        self.figures.push(figure);
    }
}
