//! Results collected while a part runs.

use super::{Figure, Plot};

/// Results of one part, from which its page is built.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// Method and limits of the measurement.
    pub notes: Vec<String>,
    /// The measured figures, in table order.
    pub figures: Vec<Figure>,
    /// The plots of the page.
    pub plots: Vec<Plot>,
}

impl Findings {
    /// Appends a note on the method.
    pub fn add_note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }

    /// Appends a figure.
    pub fn add(&mut self, figure: Figure) {
        self.figures.push(figure);
    }
}
