//! Who may change what and when, under the rules in force.

use std::sync::Arc;

use marigold_auth::PublicKey;
use marigold_types::{OperatorName, RecordTime};

use crate::grant::Grant;
use crate::{Config, Declaration, Plan, Reason, Resource, Trust};

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
        self.check(operator, plan, |_| true)
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
        self.check(operator, plan, |grant| grant.is_open(time))
    }

    /// Checks that each change is covered by a grant, and by one that `holds`.
    fn check(
        &self,
        operator: &OperatorName,
        plan: &Plan,
        holds: impl Fn(&Grant) -> bool,
    ) -> Result<(), Reason> {
        if *operator == self.trust.operator {
            return Ok(());
        }
        let grants = Grant::list(self.config, operator);
        for change in &plan.changes {
            let covering = grants.iter().filter(|grant| grant.covers(&change.resource));
            if covering.clone().any(&holds) {
                continue;
            }
            let (operator, resource) = (operator.clone(), change.resource.clone());
            let windows: Vec<&str> = covering.take(MAX_WINDOWS).map(Grant::window).collect();
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
