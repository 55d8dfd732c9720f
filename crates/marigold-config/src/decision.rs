//! What the fold made of one record.

use std::sync::Arc;

use marigold_types::{LogOffset, Version};
use serde::{Deserialize, Serialize};

use crate::{Delta, PlanId, Reason, Verdict};

/// Why a record was passed over; readers count it and go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IgnoreReason {
    /// It is larger than any record of this kind may be.
    TooLarge,
    /// It is not a record.
    Unparsable,
    /// A confirmation carries another plan than it names.
    OtherPlan,
    /// A checkpoint's seal is wrong, or it claims more than was there.
    BadSeal,
    /// The record has been folded before.
    Folded,
    /// Records before it are missing.
    Gap,
}

/// The same on every reader of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A plan was stored.
    Planned {
        /// The plan.
        plan: PlanId,
    },
    /// A confirmation took effect.
    Accepted {
        /// The plan.
        plan: PlanId,
        /// The version that it made.
        version: Version,
        /// The step to that version.
        delta: Arc<Delta>,
    },
    /// A plan or a confirmation was rejected.
    Rejected {
        /// The plan.
        plan: PlanId,
        /// Why.
        reason: Reason,
    },
    /// A confirmation repeats one that is settled.
    Repeated {
        /// The plan.
        plan: PlanId,
        /// What the first one came to.
        verdict: Verdict,
    },
    /// A checkpoint says nothing new.
    Checkpointed {
        /// The version that it carries.
        version: Version,
        /// The first record that it does not include.
        next: LogOffset,
    },
    /// A checkpoint carried a later version than the records did, and was adopted.
    Adopted {
        /// The version that it carries.
        version: Version,
        /// The first record that it does not include.
        next: LogOffset,
    },
    /// The record was passed over.
    Ignored {
        /// Why.
        reason: IgnoreReason,
    },
}
