//! A measured figure and its table row.

use serde::{Deserialize, Serialize};

/// A measured value with its unit, and the baseline from the same run if there is one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The conditions of the measurement, such as "100 daemons".
    pub case: String,
    /// The measured quantity.
    pub name: String,
    /// The measured value, in `unit`.
    pub value: f64,
    /// The unit, such as "ms" or "B/s".
    pub unit: String,
    /// The baseline value, in the same unit.
    pub baseline: Option<f64>,
    /// The required value, such as "at most 1.3 ms".
    pub target: Option<String>,
}

impl Figure {
    /// Creates a figure without a baseline or a target.
    #[must_use]
    pub fn new(case: &str, name: &str, value: f64, unit: &str) -> Self {
        Self {
            case: case.to_owned(),
            name: name.to_owned(),
            value,
            unit: unit.to_owned(),
            baseline: None,
            target: None,
        }
    }

    /// Sets the baseline value from the same run.
    #[must_use]
    pub fn with_baseline(self, baseline: f64) -> Self {
        Self {
            baseline: Some(baseline),
            ..self
        }
    }

    /// Sets the required value.
    #[must_use]
    pub fn with_target(self, target: &str) -> Self {
        Self {
            target: Some(target.to_owned()),
            ..self
        }
    }

    /// Returns the value divided by the baseline, or `None` without a non-zero baseline.
    #[must_use]
    pub fn ratio(&self) -> Option<f64> {
        let baseline = self.baseline.filter(|baseline| *baseline != 0.0)?;
        Some(self.value / baseline)
    }

    /// Returns the cells of a table row, in the order of [`Self::HEADINGS`].
    #[must_use]
    pub fn columns(&self) -> [String; 7] {
        let optional = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), round);
        [
            self.case.clone(),
            self.name.clone(),
            round(self.value),
            self.unit.clone(),
            optional(self.baseline),
            optional(self.ratio()),
            self.target.clone().unwrap_or_else(|| "-".to_owned()),
        ]
    }

    /// The column headings.
    pub const HEADINGS: [&'static str; 7] = [
        "case",
        "figure",
        "value",
        "unit",
        "baseline",
        "ratio",
        "asked for",
    ];
}

/// Formats a value, with more decimals for smaller values.
fn round(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        100.0.. => format!("{value:.0}"),
        1.0.. => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
