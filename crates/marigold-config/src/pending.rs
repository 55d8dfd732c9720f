//! Plans that await confirmation.

use std::collections::VecDeque;

use marigold_types::RecordTime;

use crate::{PlanId, SignedPlan};

/// The most plans that are stored.
const MAX_PLANS: usize = 64;
/// The limit on the total size of the plans, in bytes of JSON.
const MAX_TOTAL_BYTES: usize = 512 << 10;

#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingPlan {
    id: PlanId,
    bytes: usize,
    plan: SignedPlan,
}

/// The most recent plans, oldest first; the oldest are evicted when a limit is exceeded.
///
/// A confirmation includes its plan, so an eviction changes no outcome. The operator of an evicted
/// plan has to plan again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingPlans {
    entries: VecDeque<PendingPlan>,
}

impl PendingPlans {
    /// Builds the list from the plans of a checkpoint.
    pub fn new(list: &[SignedPlan]) -> Self {
        let mut pending = Self::default();
        for plan in list {
            pending.push(plan.clone());
        }
        pending
    }

    /// Returns the plans, oldest first.
    pub fn to_list(&self) -> Vec<SignedPlan> {
        self.entries
            .iter()
            .map(|entry| entry.plan.clone())
            .collect()
    }

    pub fn find(&self, id: &PlanId) -> Option<&SignedPlan> {
        self.entries
            .iter()
            .find(|entry| entry.id == *id)
            .map(|entry| &entry.plan)
    }

    /// Adds a plan, or moves it to the end if it is already stored.
    pub fn push(&mut self, plan: SignedPlan) {
        let id = plan.plan.id();
        self.remove(&id);
        let bytes = plan.plan.to_bytes().len();
        self.entries.push_back(PendingPlan { id, bytes, plan });
        while self.entries.len() > MAX_PLANS || self.bytes() > MAX_TOTAL_BYTES {
            self.entries.pop_front();
        }
    }

    pub fn remove(&mut self, id: &PlanId) {
        self.entries.retain(|entry| entry.id != *id);
    }

    /// Removes the plans that have expired at `time`.
    pub fn expire(&mut self, time: RecordTime) {
        self.entries.retain(|entry| entry.plan.plan.expires >= time);
    }

    fn bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.bytes).sum()
    }
}
