//! The plans that wait for a confirmation.

use std::collections::VecDeque;

use marigold_types::RecordTime;

use crate::{PlanId, SignedPlan};

/// The most plans that are kept.
const MAX_PLANS: usize = 64;
/// The most bytes that the plans take together, as JSON.
const MAX_BYTES: usize = 512 << 10;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Row {
    id: PlanId,
    bytes: usize,
    plan: SignedPlan,
}

/// The last stored plans, the oldest first; the oldest give way.
///
/// A confirmation carries its plan, so that a plan dropped here costs its operator a new plan and
/// changes no verdict.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pending {
    rows: VecDeque<Row>,
}

impl Pending {
    /// Builds the list from a checkpoint's.
    pub fn new(list: &[SignedPlan]) -> Self {
        let mut pending = Self::default();
        for plan in list {
            pending.push(plan.clone());
        }
        pending
    }

    /// Lists the plans, the oldest first.
    pub fn to_list(&self) -> Vec<SignedPlan> {
        self.rows.iter().map(|row| row.plan.clone()).collect()
    }

    /// Finds a plan.
    pub fn find(&self, id: &PlanId) -> Option<&SignedPlan> {
        self.rows
            .iter()
            .find(|row| row.id == *id)
            .map(|row| &row.plan)
    }

    /// Adds a plan.
    pub fn push(&mut self, plan: SignedPlan) {
        let id = plan.plan.id();
        self.remove(&id);
        let bytes = plan.plan.to_bytes().len();
        self.rows.push_back(Row { id, bytes, plan });
        while self.rows.len() > MAX_PLANS || self.bytes() > MAX_BYTES {
            self.rows.pop_front();
        }
    }

    /// Drops a plan.
    pub fn remove(&mut self, id: &PlanId) {
        self.rows.retain(|row| row.id != *id);
    }

    /// Drops the plans that can no longer be confirmed at `time`.
    pub fn expire(&mut self, time: RecordTime) {
        self.rows.retain(|row| row.plan.plan.expires >= time);
    }

    fn bytes(&self) -> usize {
        self.rows.iter().map(|row| row.bytes).sum()
    }
}
