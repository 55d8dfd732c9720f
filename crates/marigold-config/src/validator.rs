//! Validation of plans and confirmations against the configuration in force.

use std::sync::Arc;

use marigold_types::{OperatorName, RecordTime, Version};

use crate::check::{check_config, check_declaration};
use crate::{
    Authority, Config, Confirm, History, InvalidField, Plan, Reason, SignedConfirm, SignedPlan,
};

/// The most faults that a rejection lists.
const MAX_REPORTED_FAULTS: usize = 8;

/// Validates plans and confirmations; it only borrows the state that it needs.
#[derive(Debug, Clone, Copy)]
pub struct Validator<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// The permissions of the operators.
    pub authority: Authority<'a>,
    /// The past confirmations, which say who changed a resource.
    pub history: &'a History,
    /// The highest version that was restored without its records; plans with an older base are
    /// rejected.
    pub floor: Version,
    /// The time for expiry checks, which never decreases.
    pub now: RecordTime,
}

impl Validator<'_> {
    /// Checks that a plan is signed, well-formed and not expired, and that its author may make its
    /// changes at some time.
    pub fn check_author(&self, signed: &SignedPlan) -> Result<(), Reason> {
        let plan = &signed.plan;
        let key = self.authority.key_of(&plan.operator)?;
        if !signed.verifies(&key) {
            return Err(bad_signature(&plan.operator));
        }
        if !plan.is_well_formed() {
            return Err(Reason::Malformed);
        }
        self.check_expiry("plan", plan.expires, Plan::MAX_LIFETIME_MILLIS)?;
        self.authority.check_scope(&plan.operator, plan)
    }

    /// Checks that a confirmation is signed by its operator.
    pub fn check_signature(&self, signed: &SignedConfirm) -> Result<(), Reason> {
        let operator = &signed.confirm.operator;
        let key = self.authority.key_of(operator)?;
        if signed.verifies(&key) {
            Ok(())
        } else {
            Err(bad_signature(operator))
        }
    }

    /// Checks that a confirmation is not expired and that its operator may make the changes at
    /// `time`.
    pub fn check_operator(
        &self,
        confirm: &Confirm,
        plan: &Plan,
        time: RecordTime,
    ) -> Result<(), Reason> {
        self.check_expiry(
            "confirmation",
            confirm.expires,
            Confirm::MAX_LIFETIME_MILLIS,
        )?;
        self.authority.check_time(&confirm.operator, plan, time)
    }

    /// Returns the configuration that results from a plan, with `version`.
    ///
    /// An error is final for the plan: later confirmations of it are rejected too.
    pub fn apply_plan(&self, plan: &Plan, version: Version) -> Result<Config, Reason> {
        if plan.base < self.floor {
            return Err(Reason::Restored { floor: self.floor });
        }
        if let Some(resource) = plan.find_conflict(self.config) {
            let found = self.history.find_change(resource);
            return Err(Reason::Overtaken {
                resource: resource.clone(),
                by: found.map(|(version, _)| version),
                operator: found.map(|(_, operator)| operator.clone()),
            });
        }
        let removes_nothing = |change: &crate::Change| {
            change.after.is_none() && self.config.find(&change.resource).is_none()
        };
        if plan.changes.iter().any(removes_nothing) {
            return Err(Reason::Malformed);
        }
        let next = self.config.with_changes(&plan.changes, version);
        let faults = find_faults(plan, &next);
        if faults.is_empty() {
            Ok(next)
        } else {
            Err(Reason::Invalid { faults })
        }
    }

    fn check_expiry(&self, what: &str, expires: RecordTime, max: u64) -> Result<(), Reason> {
        let time = self.now;
        if time > expires {
            return Err(Reason::Expired {
                what: Arc::from(what),
                expires,
                time,
            });
        }
        if expires.0 - time.0 > max {
            return Err(Reason::TooLong {
                what: Arc::from(what),
                max,
                time,
            });
        }
        Ok(())
    }
}

fn bad_signature(operator: &OperatorName) -> Reason {
    Reason::BadSignature {
        operator: operator.clone(),
    }
}

/// Returns the faults of the changed declarations or, if they have none, of the whole result.
fn find_faults(plan: &Plan, next: &Config) -> Vec<InvalidField> {
    let mut faults = Vec::new();
    for change in &plan.changes {
        if let Some(after) = &change.after {
            check_declaration(&change.resource, after, &mut faults);
        }
    }
    if faults.is_empty() {
        faults = check_config(next.declarations());
    }
    faults.truncate(MAX_REPORTED_FAULTS);
    faults
}
