//! Authorization of operators by the rules in force.

use std::sync::Arc;

use marigold_auth::PublicKey;
use marigold_types::{OperatorName, RecordTime};

use crate::grant::Grant;
use crate::{Config, Declaration, Plan, Reason, Resource, Trust};

/// The most time windows that a rejection lists.
const MAX_REPORTED_WINDOWS: usize = 8;

/// Authorizes operators by the configuration in force and the roots of trust.
#[derive(Debug, Clone, Copy)]
pub struct Authority<'a> {
    trust: &'a Trust,
    config: &'a Config,
}

impl<'a> Authority<'a> {
    /// Creates an authority for the given configuration.
    #[must_use]
    pub fn new(trust: &'a Trust, config: &'a Config) -> Self {
        Self { trust, config }
    }

    /// Returns an operator's public key.
    ///
    /// The root operator's key is always that of the settings, whatever the configuration declares.
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

    /// Checks that rules let `operator` make the changes of `plan`, regardless of time windows.
    ///
    /// # Errors
    ///
    /// [`Reason::NotAllowed`] for the first resource that no rule covers.
    pub fn check_scope(&self, operator: &OperatorName, plan: &Plan) -> Result<(), Reason> {
        self.check(operator, plan, |_| true)
    }

    /// Checks that `operator` may make the changes of `plan` at `time`.
    ///
    /// # Errors
    ///
    /// [`Reason::NotAllowed`] or [`Reason::OutsideWindow`] for the first resource that it may not
    /// change.
    pub fn check_time(
        &self,
        operator: &OperatorName,
        plan: &Plan,
        time: RecordTime,
    ) -> Result<(), Reason> {
        self.check(operator, plan, |grant| grant.is_open(time))
    }

    /// Checks that each change is covered by at least one grant for which `applies` is true.
    fn check(
        &self,
        operator: &OperatorName,
        plan: &Plan,
        applies: impl Fn(&Grant) -> bool,
    ) -> Result<(), Reason> {
        if *operator == self.trust.operator {
            return Ok(());
        }
        let grants = Grant::for_operator(self.config, operator);
        for change in &plan.changes {
            let covering = grants.iter().filter(|grant| grant.covers(&change.resource));
            if covering.clone().any(&applies) {
                continue;
            }
            let (operator, resource) = (operator.clone(), change.resource.clone());
            let windows: Vec<&str> = covering
                .take(MAX_REPORTED_WINDOWS)
                .map(Grant::window)
                .collect();
            return Err(if windows.is_empty() {
                Reason::NotAllowed { operator, resource }
            } else {
                Reason::OutsideWindow {
                    operator,
                    resource,
                    windows: Arc::from(windows.join(" or ")),
                }
            });
        }
        Ok(())
    }
}
