//! Who may change what and when, under the rules in force.

use std::sync::Arc;

use marigold_auth::PublicKey;
use marigold_types::{OperatorName, RecordTime};

use crate::{Config, Declaration, Pattern, Plan, Reason, Resource, Rule, Trust, Window};

/// The most windows that a rejection names.
const MAX_WINDOWS: usize = 8;

/// Judges operators by the configuration in force and the roots of trust.
#[derive(Debug, Clone, Copy)]
pub struct Authority<'a> {
    trust: &'a Trust,
    config: &'a Config,
}

impl<'a> Authority<'a> {
    /// Builds the judge.
    #[must_use]
    pub fn new(trust: &'a Trust, config: &'a Config) -> Self {
        Self { trust, config }
    }

    /// Returns an operator's public key; the root operator's is that of the settings, always.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownOperator`] when the operator is not declared.
    pub fn key_of(&self, operator: &OperatorName) -> Result<PublicKey, Reason> {
        if *operator == self.trust.operator {
            return Ok(self.trust.key);
        }
        let declared = match self.config.find(&Resource::Operator(operator.clone())) {
            Some(Declaration::Operator(declared)) => declared.key.parse().ok(),
            _ => None,
        };
        declared.ok_or_else(|| Reason::UnknownOperator {
            operator: operator.clone(),
        })
    }

    /// Checks that some rule lets `operator` make the changes of `plan`, at whatever time.
    ///
    /// # Errors
    ///
    /// [`Reason::NotAllowed`] with the first resource that no rule covers.
    pub fn check_scope(&self, operator: &OperatorName, plan: &Plan) -> Result<(), Reason> {
        for change in &plan.changes {
            if !self.is_root(operator) && self.rules(operator, &change.resource).next().is_none() {
                return Err(Reason::NotAllowed {
                    operator: operator.clone(),
                    resource: change.resource.clone(),
                });
            }
        }
        Ok(())
    }

    /// Checks that `operator` may make the changes of `plan` at `time`.
    ///
    /// # Errors
    ///
    /// [`Reason::NotAllowed`] or [`Reason::OutsideWindow`] with the first resource that is refused.
    pub fn check_time(
        &self,
        operator: &OperatorName,
        plan: &Plan,
        time: RecordTime,
    ) -> Result<(), Reason> {
        self.check_scope(operator, plan)?;
        if self.is_root(operator) {
            return Ok(());
        }
        for change in &plan.changes {
            let open = self.rules(operator, &change.resource).any(|rule| {
                rule.window
                    .parse::<Window>()
                    .is_ok_and(|w| w.contains(time))
            });
            if !open {
                return Err(self.outside_window(operator, &change.resource));
            }
        }
        Ok(())
    }

    fn is_root(&self, operator: &OperatorName) -> bool {
        *operator == self.trust.operator
    }

    /// Returns the rules that let `operator` change `resource`.
    fn rules(
        &self,
        operator: &OperatorName,
        resource: &Resource,
    ) -> impl Iterator<Item = &'a Rule> {
        let covers = |rule: &Rule| {
            let mut patterns = rule.resources.iter();
            patterns.any(|text| {
                text.parse::<Pattern>()
                    .is_ok_and(|pattern| pattern.matches(resource))
            })
        };
        let declarations = self.config.declarations().values();
        declarations.filter_map(move |declaration| match declaration.as_ref() {
            Declaration::Rule(rule) if rule.operator == *operator && covers(rule) => Some(rule),
            _ => None,
        })
    }

    fn outside_window(&self, operator: &OperatorName, resource: &Resource) -> Reason {
        let rules = self.rules(operator, resource).take(MAX_WINDOWS);
        let windows = rules.map(|rule| &*rule.window);
        let windows: Vec<&str> = windows.collect();
        Reason::OutsideWindow {
            operator: operator.clone(),
            resource: resource.clone(),
            windows: Arc::from(windows.join(" or ")),
        }
    }
}
