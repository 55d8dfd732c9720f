//! What became of the last confirmations.

use std::collections::VecDeque;

use marigold_types::{LogOffset, OperatorName, RecordTime, Version};
use serde::{Deserialize, Serialize};

use crate::{PlanId, Reason, Resource};

/// The most entries that are kept.
const MAX_ENTRIES: usize = 128;
/// The most resources that an entry names.
pub const MAX_NAMED: usize = 8;

/// What a confirmation came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// It took effect.
    Accepted {
        /// The version that it made.
        version: Version,
    },
    /// It had no effect.
    Rejected {
        /// Why.
        reason: Reason,
    },
}

/// One judged confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Where the confirmation stands in the log.
    pub offset: LogOffset,
    /// When the log took it.
    pub time: RecordTime,
    /// The plan that it named.
    pub plan: PlanId,
    /// Who made the plan.
    pub author: OperatorName,
    /// Who confirmed it.
    pub operator: OperatorName,
    /// What it came to.
    pub verdict: Verdict,
    /// How many resources the plan changes.
    pub count: usize,
    /// The first of them.
    pub changed: Vec<Resource>,
}

/// The last judged confirmations, the oldest first; it is bounded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    entries: VecDeque<HistoryEntry>,
}

impl History {
    /// Returns the entries, the oldest first.
    #[must_use]
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.entries.iter()
    }

    /// Finds the last accepted confirmation that changed `resource`.
    #[must_use]
    pub fn find_change(&self, resource: &Resource) -> Option<(Version, &OperatorName)> {
        self.entries().rev().find_map(|entry| match entry.verdict {
            Verdict::Accepted { version } if entry.changed.contains(resource) => {
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
