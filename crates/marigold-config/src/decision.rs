//! Results of applying one record of the log.

use std::sync::Arc;

use marigold_types::{LogOffset, Version};
use serde::{Deserialize, Serialize};

use crate::{ConfirmOutcome, Delta, PlanId, Reason};

/// Why a record was ignored; readers count it and continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IgnoreReason {
    /// It exceeds the size limit of a record.
    TooLarge,
    /// It is not a valid record.
    Unparsable,
    /// A confirmation includes a different plan from the one that it names.
    #[serde(rename = "other-plan")]
    PlanMismatch,
    /// A checkpoint has an invalid MAC or an incomplete configuration, or claims to include records
    /// after itself.
    BadSeal,
    /// The record was applied before.
    #[serde(rename = "folded")]
    AlreadyApplied,
    /// Records before it have not been applied.
    Gap,
}

/// The result of applying a record, identical on every reader of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A plan was stored and awaits confirmation.
    Planned {
        /// The plan that the record is about.
        plan: PlanId,
    },
    /// A confirmation took effect.
    Accepted {
        /// The plan that the record is about.
        plan: PlanId,
        /// The resulting version.
        version: Version,
        /// The changes from the previous version.
        delta: Arc<Delta>,
    },
    /// A plan or a confirmation was rejected.
    Rejected {
        /// The plan that the record is about.
        plan: PlanId,
        /// The cause of the rejection.
        reason: Reason,
    },
    /// A plan or confirmation repeats one that already has a final outcome.
    Repeated {
        /// The plan that the record is about.
        plan: PlanId,
        /// The outcome of the first one.
        outcome: ConfirmOutcome,
    },
    /// A checkpoint has no later version than the state, which is unchanged.
    Checkpointed {
        /// The version of the checkpoint.
        version: Version,
        /// The offset of the first record that it does not include.
        next: LogOffset,
    },
    /// A checkpoint has a later version than the state, and replaced it.
    Adopted {
        /// The version of the checkpoint.
        version: Version,
        /// The offset of the first record that it does not include.
        next: LogOffset,
    },
    /// The record had no effect.
    Ignored {
        /// The cause.
        reason: IgnoreReason,
    },
}
