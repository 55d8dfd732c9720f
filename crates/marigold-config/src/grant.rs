//! Parsed rules.

use std::sync::Arc;

use marigold_types::{OperatorName, RecordTime};

use crate::{Config, Declaration, Pattern, Resource, Rule, Window};

/// A rule with its patterns and time window parsed, which is done once for each plan.
#[derive(Debug, Clone)]
pub struct Grant {
    patterns: Vec<Pattern>,
    window: Window,
    window_text: Arc<str>,
}

impl Grant {
    /// Parses the rules of `operator` in `config`.
    pub fn for_operator(config: &Config, operator: &OperatorName) -> Vec<Self> {
        let rules = config.declarations().values();
        let rules = rules.filter_map(|declaration| match declaration.as_ref() {
            Declaration::Rule(rule) if rule.operator == *operator => Self::new(rule),
            _ => None,
        });
        rules.collect()
    }

    /// Returns whether a pattern of the rule matches `resource`.
    pub fn covers(&self, resource: &Resource) -> bool {
        self.patterns
            .iter()
            .any(|pattern| pattern.matches(resource))
    }

    /// Returns whether the time window of the rule includes `time`.
    pub fn is_open(&self, time: RecordTime) -> bool {
        self.window.contains(time)
    }

    /// Returns the time window as written in the rule.
    pub fn window(&self) -> &str {
        &self.window_text
    }

    /// Parses a rule; returns `None` for an invalid one, which allows nothing.
    fn new(rule: &Rule) -> Option<Self> {
        let patterns = rule.resources.iter().map(|text| text.parse());
        Some(Self {
            patterns: patterns.collect::<Result<_, _>>().ok()?,
            window: rule.window.parse().ok()?,
            window_text: rule.window.clone(),
        })
    }
}
