//! One measured figure.

use serde::{Deserialize, Serialize};

/// A figure with its unit, and the baseline of the same run where there is one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The circumstances, as "100 daemons".
    pub case: String,
    /// What was measured.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The unit.
    pub unit: String,
    /// The baseline's value in the same unit.
    pub baseline: Option<f64>,
    /// The value asked for, as "at most 1.3 ms".
    pub target: Option<String>,
}

impl Figure {
    /// Builds a figure without a baseline.
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

    /// Sets the baseline of the same run.
    #[must_use]
    pub fn with_baseline(self, baseline: f64) -> Self {
        Self {
            baseline: Some(baseline),
            ..self
        }
    }

    /// Sets what was asked for.
    #[must_use]
    pub fn with_target(self, target: &str) -> Self {
        Self {
            target: Some(target.to_owned()),
            ..self
        }
    }

    /// Returns the value as a multiple of the baseline.
    #[must_use]
    pub fn ratio(&self) -> Option<f64> {
        let baseline = self.baseline.filter(|baseline| *baseline != 0.0)?;
        Some(self.value / baseline)
    }

    /// Returns the columns of a table.
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

    /// The headings of the columns.
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

/// Rounds to what a reader can use.
fn round(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        100.0.. => format!("{value:.0}"),
        1.0.. => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
