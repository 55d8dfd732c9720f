//! A rule made ready for judging.

use std::sync::Arc;

use marigold_types::{OperatorName, RecordTime};

use crate::{Config, Declaration, Pattern, Resource, Rule, Window};

/// What one rule lets its operator do; its texts are parsed once for a whole plan.
#[derive(Debug, Clone)]
pub struct Grant {
    patterns: Vec<Pattern>,
    window: Window,
    text: Arc<str>,
}

impl Grant {
    /// Returns the grants of `operator` in `config`.
    pub fn list(config: &Config, operator: &OperatorName) -> Vec<Self> {
        let rules = config.declarations().values();
        let rules = rules.filter_map(|declaration| match declaration.as_ref() {
            Declaration::Rule(rule) if rule.operator == *operator => Self::new(rule),
            _ => None,
        });
        rules.collect()
    }

    /// Returns whether the rule is about `resource`.
    pub fn covers(&self, resource: &Resource) -> bool {
        self.patterns
            .iter()
            .any(|pattern| pattern.matches(resource))
    }

    /// Returns whether the rule holds at `time`.
    pub fn is_open(&self, time: RecordTime) -> bool {
        self.window.contains(time)
    }

    /// Returns the window as its rule has it.
    pub fn window(&self) -> &str {
        &self.text
    }

    /// Reads a rule; one that cannot be read grants nothing.
    fn new(rule: &Rule) -> Option<Self> {
        let patterns = rule.resources.iter().map(|text| text.parse());
        Some(Self {
            patterns: patterns.collect::<Result<_, _>>().ok()?,
            window: rule.window.parse().ok()?,
            text: rule.window.clone(),
        })
    }
}
