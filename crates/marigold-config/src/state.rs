//! The state machine that applies the records of the configuration stream.

use std::sync::Arc;

use marigold_log::StoredRecord;
use marigold_types::{Digest, LogOffset, OperatorName, RecordTime, Version};

use crate::history::MAX_CHANGED_RESOURCES;
use crate::outcome_table::OutcomeTable;
use crate::pending::PendingPlans;
use crate::validator::Validator;
use crate::{
    Authority, Checkpoint, Config, Confirm, ConfirmOutcome, ConfirmationRecord, Decision, History,
    HistoryEntry, IgnoreReason, Plan, PlanId, Reason, Record, SealedCheckpoint, SignedPlan,
    StoredOutcome, Trust,
};

/// The state after the applied records, identical on every reader of the same records.
///
/// Its size is bounded: plans and outcomes expire by the log's clock, and each list has a limit.
#[derive(Debug, Clone)]
pub struct State {
    trust: Trust,
    config: Arc<Config>,
    next: LogOffset,
    time: RecordTime,
    floor: Version,
    pending: PendingPlans,
    settled: OutcomeTable,
    history: History,
}

impl State {
    /// Creates the state before the first record of the log, with an empty configuration.
    #[must_use]
    pub fn new(trust: Trust) -> Self {
        Self {
            trust,
            config: Arc::default(),
            next: LogOffset(0),
            time: RecordTime(0),
            floor: Version(0),
            pending: PendingPlans::default(),
            settled: OutcomeTable::default(),
            history: History::default(),
        }
    }

    /// Creates the state that a checkpoint describes.
    #[must_use]
    pub fn restore(trust: Trust, checkpoint: &Checkpoint) -> Self {
        Self {
            trust,
            config: Arc::new(checkpoint.to_config()),
            next: checkpoint.next,
            time: checkpoint.time,
            floor: checkpoint.floor,
            pending: PendingPlans::new(&checkpoint.pending),
            settled: OutcomeTable::new(&checkpoint.settled),
            history: checkpoint.history.clone(),
        }
    }

    /// Returns the whole state as a checkpoint.
    #[must_use]
    pub fn checkpoint(&self) -> Checkpoint {
        Checkpoint {
            version: self.config.version,
            declarations: Checkpoint::declarations_of(&self.config),
            next: self.next,
            time: self.time,
            floor: self.floor,
            pending: self.pending.to_list(),
            settled: self.settled.to_list(),
            history: self.history.clone(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.config.clone()
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the latest time of the applied records.
    #[must_use]
    pub fn time(&self) -> RecordTime {
        self.time
    }

    /// Returns the most recent confirmations and their outcomes.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the plans that await confirmation, oldest first.
    #[must_use]
    pub fn pending(&self) -> Vec<SignedPlan> {
        self.pending.to_list()
    }

    /// Finds a plan that awaits confirmation.
    #[must_use]
    pub fn find_plan(&self, id: &PlanId) -> Option<&SignedPlan> {
        self.pending.find(id)
    }

    /// Finds the final outcome of a plan, if it has one that has not expired.
    #[must_use]
    pub fn find_outcome(&self, id: &PlanId) -> Option<&ConfirmOutcome> {
        self.settled.find(&id.0)
    }

    /// Finds the stored outcome that applies to a repetition of `confirm`.
    #[must_use]
    pub fn find_confirm_outcome(&self, confirm: &Confirm) -> Option<&ConfirmOutcome> {
        let outcome = self.find_outcome(&confirm.plan);
        outcome.or_else(|| self.settled.find(&confirm.id()))
    }

    /// Returns the public key of an operator in the configuration in force.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownOperator`] when the operator is not declared.
    pub fn key_of(&self, operator: &OperatorName) -> Result<marigold_auth::PublicKey, Reason> {
        Authority::new(&self.trust, &self.config).key_of(operator)
    }

    /// Validates a plan as if its author confirmed it at `time`.
    ///
    /// # Errors
    ///
    /// The reason for which it would be rejected. Time windows are not checked, since a closed
    /// window may open before the confirmation.
    pub fn check_plan(&self, plan: &SignedPlan, time: RecordTime) -> Result<(), Reason> {
        let validator = self.validator(time);
        validator.check_author(plan)?;
        validator
            .apply_plan(&plan.plan, self.config.version)
            .map(|_| ())
    }

    /// Validates a confirmation before it is appended, except for checks that depend on the log's
    /// clock.
    ///
    /// # Errors
    ///
    /// The reason for which it would be rejected.
    pub fn check_confirmation(&self, confirmation: &ConfirmationRecord) -> Result<(), Reason> {
        let validator = self.validator(self.time);
        let plan = &confirmation.plan.plan;
        validator.check_signature(&confirmation.confirm)?;
        let operator = &confirmation.confirm.confirm.operator;
        validator.authority.check_scope(operator, plan)?;
        validator.apply_plan(plan, self.config.version).map(|_| ())
    }

    /// Applies the next record; any other record is ignored.
    pub fn apply(&mut self, stored: &StoredRecord) -> Decision {
        if stored.offset != self.next {
            let applied = stored.offset < self.next;
            let reason = if applied {
                IgnoreReason::AlreadyApplied
            } else {
                IgnoreReason::Gap
            };
            return Decision::Ignored { reason };
        }
        self.next = stored.offset.next();
        self.time = self.time.max(stored.time);
        self.pending.expire(self.time);
        self.settled.expire(self.time);

        match Record::parse(&stored.data) {
            Ok(Record::Plan(plan)) => self.apply_plan(plan),
            Ok(Record::Confirm(confirmation)) => self.apply_confirmation(&confirmation, stored),
            Ok(Record::Checkpoint(sealed)) => self.apply_checkpoint(sealed, stored.offset),
            Err(reason) => Decision::Ignored { reason },
        }
    }

    fn validator(&self, time: RecordTime) -> Validator<'_> {
        Validator {
            config: &self.config,
            authority: Authority::new(&self.trust, &self.config),
            history: &self.history,
            floor: self.floor,
            now: self.time.max(time),
        }
    }

    fn apply_plan(&mut self, signed: SignedPlan) -> Decision {
        let plan = signed.plan.id();
        if let Some(outcome) = self.settled.find(&plan.0).cloned() {
            return Decision::Repeated { plan, outcome };
        }
        match self.check_plan(&signed, self.time) {
            Ok(()) => {
                self.pending.push(signed);
                Decision::Planned { plan }
            }
            Err(reason) => Decision::Rejected { plan, reason },
        }
    }

    fn apply_confirmation(
        &mut self,
        record: &ConfirmationRecord,
        stored: &StoredRecord,
    ) -> Decision {
        let confirm = &record.confirm.confirm;
        let plan = confirm.plan;
        if record.plan.plan.id() != plan {
            let reason = IgnoreReason::PlanMismatch;
            return Decision::Ignored { reason };
        }

        // A confirmation that is not authentic is not stored, so it cannot evict other entries.
        let validator = self.validator(stored.time);
        if let Err(reason) = validator.check_signature(&record.confirm) {
            return Decision::Rejected { plan, reason };
        }
        if let Some(outcome) = self.find_confirm_outcome(confirm) {
            let outcome = outcome.clone();
            return Decision::Repeated { plan, outcome };
        }
        if self.settled.is_full() {
            let offset = stored.offset;
            let reason = Reason::Full { offset };
            return Decision::Rejected { plan, reason };
        }

        // A rejection by these checks is final for this confirmation only; another confirmation of
        // the plan may be allowed.
        let allowed = validator.check_author(&record.plan);
        let allowed = allowed
            .and_then(|()| validator.check_operator(confirm, &record.plan.plan, stored.time));
        if let Err(reason) = allowed {
            return self.reject(confirm.id(), confirm.expires, reason, record, stored);
        }
        // The result of applying the plan is final for the plan.
        let version = Version::at(stored.offset);
        match validator.apply_plan(&record.plan.plan, version) {
            Ok(next) => self.accept(next, record, stored),
            Err(reason) => self.reject(plan.0, record.plan.plan.expires, reason, record, stored),
        }
    }

    fn accept(
        &mut self,
        next: Config,
        record: &ConfirmationRecord,
        stored: &StoredRecord,
    ) -> Decision {
        let plan = record.confirm.confirm.plan;
        let version = next.version;
        let delta = Arc::new(self.config.delta_to(&next));
        let outcome = ConfirmOutcome::Accepted { version };
        self.config = Arc::new(next);
        self.store_outcome(plan.0, record.plan.plan.expires, outcome, record, stored);
        Decision::Accepted {
            plan,
            version,
            delta,
        }
    }

    fn reject(
        &mut self,
        id: Digest,
        until: RecordTime,
        reason: Reason,
        record: &ConfirmationRecord,
        stored: &StoredRecord,
    ) -> Decision {
        let outcome = ConfirmOutcome::Rejected {
            reason: reason.clone(),
        };
        self.store_outcome(id, until, outcome, record, stored);
        let plan = record.confirm.confirm.plan;
        Decision::Rejected { plan, reason }
    }

    /// Stores an outcome for repeated records and adds it to the history.
    fn store_outcome(
        &mut self,
        id: Digest,
        until: RecordTime,
        outcome: ConfirmOutcome,
        record: &ConfirmationRecord,
        stored: &StoredRecord,
    ) {
        let plan = &record.plan.plan;
        let confirm = &record.confirm.confirm;
        let is_final = id == confirm.plan.0;
        if is_final {
            self.pending.remove(&confirm.plan);
        }
        if is_final || self.settled.has_room_for_rejections() {
            // Caps the expiry, since one far in the future would keep the outcome forever; no
            // repeated record is accepted later than this.
            let latest = self.time.0.saturating_add(Plan::MAX_LIFETIME_MILLIS);
            self.settled.add(StoredOutcome {
                id,
                until: until.min(RecordTime(latest)),
                outcome: outcome.clone(),
            });
        }
        // The names in a rejected plan can have any length, so only valid ones are stored.
        let resources = plan.changes.iter().map(|change| &change.resource);
        let resources = resources.filter(|resource| resource.has_valid_name());
        self.history.push(HistoryEntry {
            offset: stored.offset,
            time: stored.time,
            plan: confirm.plan,
            author: plan.operator.clone(),
            operator: confirm.operator.clone(),
            outcome,
            count: plan.changes.len(),
            changed: resources.take(MAX_CHANGED_RESOURCES).cloned().collect(),
        });
    }

    fn apply_checkpoint(&mut self, sealed: SealedCheckpoint, offset: LogOffset) -> Decision {
        let opened = sealed.open(&self.trust);
        let Some(checkpoint) = opened.filter(|checkpoint| checkpoint.next <= offset) else {
            let reason = IgnoreReason::BadSeal;
            return Decision::Ignored { reason };
        };
        let (version, next) = (checkpoint.version, checkpoint.next);
        if version <= self.config.version {
            return Decision::Checkpointed { version, next };
        }
        // Its writer knew a later version than the records that this reader has applied.
        let time = self.time.max(checkpoint.time);
        *self = Self {
            next: self.next,
            time,
            ..Self::restore(self.trust.clone(), &checkpoint)
        };
        Decision::Adopted { version, next }
    }
}
