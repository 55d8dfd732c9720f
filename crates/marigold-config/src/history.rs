//! The most recent confirmations and their outcomes.

use std::collections::VecDeque;

use marigold_types::{LogOffset, OperatorName, RecordTime, Version};
use serde::{Deserialize, Serialize};

use crate::{PlanId, Reason, Resource};

/// The most entries in the history; the oldest are dropped.
const MAX_ENTRIES: usize = 128;
/// The most changed resources that an entry lists.
pub const MAX_CHANGED_RESOURCES: usize = 8;

/// The result of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfirmOutcome {
    /// The plan took effect.
    Accepted {
        /// The resulting version.
        version: Version,
    },
    /// The plan had no effect.
    Rejected {
        /// The cause of the rejection.
        reason: Reason,
    },
}

/// A confirmation and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The offset of the confirmation in the log.
    pub offset: LogOffset,
    /// The time at which the log stored the confirmation.
    pub time: RecordTime,
    /// The confirmed plan.
    pub plan: PlanId,
    /// The author of the plan.
    pub author: OperatorName,
    /// The operator who confirmed the plan.
    pub operator: OperatorName,
    /// The result of the confirmation.
    #[serde(rename = "verdict")]
    pub outcome: ConfirmOutcome,
    /// The number of resources that the plan changes.
    pub count: usize,
    /// The first few of these resources.
    pub changed: Vec<Resource>,
}

/// A bounded list of the most recent confirmations and their outcomes, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    entries: VecDeque<HistoryEntry>,
}

impl History {
    /// Returns the entries, oldest first.
    #[must_use]
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.entries.iter()
    }

    /// Finds the version that last changed `resource`, and the operator who confirmed it.
    #[must_use]
    pub fn find_change(&self, resource: &Resource) -> Option<(Version, &OperatorName)> {
        self.entries().rev().find_map(|entry| match entry.outcome {
            ConfirmOutcome::Accepted { version } if entry.changed.contains(resource) => {
                Some((version, &entry.operator))
            }
            _ => None,
        })
    }

    pub(crate) fn push(&mut self, entry: HistoryEntry) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }
}
