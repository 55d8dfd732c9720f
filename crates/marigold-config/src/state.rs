//! The fold over the configuration stream of the log.

use std::sync::Arc;

use marigold_log::StoredRecord;
use marigold_types::{Digest, LogOffset, OperatorName, RecordTime, Version};

use crate::history::MAX_NAMED;
use crate::judge::Judge;
use crate::pending::Pending;
use crate::settled::SettledTable;
use crate::{
    Authority, Checkpoint, Config, Confirm, ConfirmationRecord, Decision, History, HistoryEntry,
    IgnoreReason, Plan, PlanId, Reason, Record, SealedCheckpoint, SettledVerdict, SignedPlan,
    Trust, Verdict,
};

/// What the records read so far have come to; the same on every reader of the same records.
///
/// Its memory is bounded: plans and verdicts expire by the log's clock, and each list has a limit.
#[derive(Debug, Clone)]
pub struct State {
    trust: Trust,
    config: Arc<Config>,
    next: LogOffset,
    time: RecordTime,
    floor: Version,
    pending: Pending,
    settled: SettledTable,
    history: History,
}

impl State {
    /// Starts before the first record of the log, with nothing declared.
    #[must_use]
    pub fn new(trust: Trust) -> Self {
        Self {
            trust,
            config: Arc::default(),
            next: LogOffset(0),
            time: RecordTime(0),
            floor: Version(0),
            pending: Pending::default(),
            settled: SettledTable::default(),
            history: History::default(),
        }
    }

    /// Starts from a checkpoint.
    #[must_use]
    pub fn restore(trust: Trust, checkpoint: &Checkpoint) -> Self {
        Self {
            trust,
            config: Arc::new(checkpoint.to_config()),
            next: checkpoint.next,
            time: checkpoint.time,
            floor: checkpoint.floor,
            pending: Pending::new(&checkpoint.pending),
            settled: SettledTable::new(&checkpoint.settled),
            history: checkpoint.history.clone(),
        }
    }

    /// Returns everything that the fold knows.
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

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the latest time of a folded record.
    #[must_use]
    pub fn time(&self) -> RecordTime {
        self.time
    }

    /// Returns the last judged confirmations.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the plans that wait for a confirmation, the oldest first.
    #[must_use]
    pub fn pending(&self) -> Vec<SignedPlan> {
        self.pending.to_list()
    }

    /// Finds a plan that waits for a confirmation.
    #[must_use]
    pub fn find_plan(&self, id: &PlanId) -> Option<&SignedPlan> {
        self.pending.find(id)
    }

    /// Finds the final verdict on a plan.
    #[must_use]
    pub fn find_verdict(&self, id: &PlanId) -> Option<&Verdict> {
        self.settled.find(&id.0)
    }

    /// Finds the verdict that a repeat of `confirm` would be answered with.
    #[must_use]
    pub fn find_confirm_verdict(&self, confirm: &Confirm) -> Option<&Verdict> {
        let verdict = self.find_verdict(&confirm.plan);
        verdict.or_else(|| self.settled.find(&confirm.id()))
    }

    /// Returns the public key of an operator under the configuration in force.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownOperator`] when the operator is not declared.
    pub fn key_of(&self, operator: &OperatorName) -> Result<marigold_auth::PublicKey, Reason> {
        Authority::new(&self.trust, &self.config).key_of(operator)
    }

    /// Judges a plan as if it were stored and confirmed at `time` by its own author.
    ///
    /// # Errors
    ///
    /// Why it would be rejected; a closed time window is no ground, since it may open.
    pub fn check_plan(&self, plan: &SignedPlan, time: RecordTime) -> Result<(), Reason> {
        let judge = self.judge(time);
        judge.check_author(plan)?;
        judge.make(&plan.plan, self.config.version).map(|_| ())
    }

    /// Judges a confirmation before it is appended, as far as the log's clock plays no part.
    ///
    /// # Errors
    ///
    /// Why it would be rejected.
    pub fn check_confirmation(&self, confirmation: &ConfirmationRecord) -> Result<(), Reason> {
        let judge = self.judge(self.time);
        let plan = &confirmation.plan.plan;
        judge.check_signature(&confirmation.confirm)?;
        let operator = &confirmation.confirm.confirm.operator;
        judge.authority.check_scope(operator, plan)?;
        judge.make(plan, self.config.version).map(|_| ())
    }

    /// Folds the next record.
    pub fn apply(&mut self, stored: &StoredRecord) -> Decision {
        if stored.offset != self.next {
            let folded = stored.offset < self.next;
            let reason = if folded {
                IgnoreReason::Folded
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
            Ok(Record::Plan(plan)) => self.fold_plan(plan),
            Ok(Record::Confirm(confirmation)) => self.fold_confirmation(&confirmation, stored),
            Ok(Record::Checkpoint(sealed)) => self.fold_checkpoint(sealed, stored.offset),
            Err(reason) => Decision::Ignored { reason },
        }
    }

    fn judge(&self, time: RecordTime) -> Judge<'_> {
        Judge {
            config: &self.config,
            authority: Authority::new(&self.trust, &self.config),
            history: &self.history,
            floor: self.floor,
            now: self.time.max(time),
        }
    }

    fn fold_plan(&mut self, signed: SignedPlan) -> Decision {
        let plan = signed.plan.id();
        if let Some(verdict) = self.settled.find(&plan.0).cloned() {
            return Decision::Repeated { plan, verdict };
        }
        match self.check_plan(&signed, self.time) {
            Ok(()) => {
                self.pending.push(signed);
                Decision::Planned { plan }
            }
            Err(reason) => Decision::Rejected { plan, reason },
        }
    }

    fn fold_confirmation(
        &mut self,
        record: &ConfirmationRecord,
        stored: &StoredRecord,
    ) -> Decision {
        let confirm = &record.confirm.confirm;
        let plan = confirm.plan;
        if record.plan.plan.id() != plan {
            let reason = IgnoreReason::OtherPlan;
            return Decision::Ignored { reason };
        }

        // What is not authentic leaves no trace, so that it can push nothing out.
        let judge = self.judge(stored.time);
        if let Err(reason) = judge.check_signature(&record.confirm) {
            return Decision::Rejected { plan, reason };
        }
        if let Some(verdict) = self.find_confirm_verdict(confirm) {
            let verdict = verdict.clone();
            return Decision::Repeated { plan, verdict };
        }
        if self.settled.is_full() {
            let offset = stored.offset;
            let reason = Reason::Full { offset };
            return Decision::Rejected { plan, reason };
        }

        // A refusal of the operator settles this confirmation only: another may be allowed.
        let allowed = judge.check_author(&record.plan);
        let allowed =
            allowed.and_then(|()| judge.check_operator(confirm, &record.plan.plan, stored.time));
        if let Err(reason) = allowed {
            return self.reject(confirm.id(), confirm.expires, reason, record, stored);
        }
        // What the plan itself comes to is final for it.
        let version = Version::at(stored.offset);
        match judge.make(&record.plan.plan, version) {
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
        let verdict = Verdict::Accepted { version };
        self.config = Arc::new(next);
        self.settle(plan.0, record.plan.plan.expires, verdict, record, stored);
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
        let verdict = Verdict::Rejected {
            reason: reason.clone(),
        };
        self.settle(id, until, verdict, record, stored);
        let plan = record.confirm.confirm.plan;
        Decision::Rejected { plan, reason }
    }

    /// Notes a verdict for repeats and for the history.
    fn settle(
        &mut self,
        id: Digest,
        until: RecordTime,
        verdict: Verdict,
        record: &ConfirmationRecord,
        stored: &StoredRecord,
    ) {
        let plan = &record.plan.plan;
        let confirm = &record.confirm.confirm;
        let is_final = id == confirm.plan.0;
        if is_final {
            self.pending.remove(&confirm.plan);
        }
        if is_final || self.settled.has_spare() {
            // An expiry far ahead would keep a verdict for good, and no copy counts that late.
            let latest = self.time.0.saturating_add(Plan::MAX_LIFETIME_MILLIS);
            self.settled.add(SettledVerdict {
                id,
                until: until.min(RecordTime(latest)),
                verdict: verdict.clone(),
            });
        }
        // A rejected plan may hold names of any length.
        let resources = plan.changes.iter().map(|change| &change.resource);
        let resources = resources.filter(|resource| resource.has_valid_name());
        self.history.push(HistoryEntry {
            offset: stored.offset,
            time: stored.time,
            plan: confirm.plan,
            author: plan.operator.clone(),
            operator: confirm.operator.clone(),
            verdict,
            count: plan.changes.len(),
            changed: resources.take(MAX_NAMED).cloned().collect(),
        });
    }

    fn fold_checkpoint(&mut self, sealed: SealedCheckpoint, offset: LogOffset) -> Decision {
        let opened = sealed.open(&self.trust);
        let Some(checkpoint) = opened.filter(|checkpoint| checkpoint.next <= offset) else {
            let reason = IgnoreReason::BadSeal;
            return Decision::Ignored { reason };
        };
        let (version, next) = (checkpoint.version, checkpoint.next);
        if version <= self.config.version {
            return Decision::Checkpointed { version, next };
        }
        // Another reader held more than the records that were left to this one.
        let time = self.time.max(checkpoint.time);
        *self = Self {
            next: self.next,
            time,
            ..Self::restore(self.trust.clone(), &checkpoint)
        };
        Decision::Adopted { version, next }
    }
}
