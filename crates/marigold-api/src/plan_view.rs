//! A stored plan for operators.

use marigold_config::{PlanId, SignedPlan, Verdict};
use serde::{Deserialize, Serialize};

/// The answer to a stored plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStored {
    /// The plan's name.
    pub plan: PlanId,
    /// Whether the record was read back; otherwise the same request again is safe and tells.
    pub certain: bool,
}

/// How far a plan has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanState {
    /// It waits for a confirmation.
    Pending,
    /// It would be rejected if it were confirmed now.
    Stale {
        /// Why, in words.
        text: String,
    },
    /// It has its verdict.
    Settled(Verdict),
}

/// A plan and how far it has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanView {
    /// The plan's name.
    pub plan: PlanId,
    /// How far it has come.
    pub state: PlanState,
    /// The plan itself, while it waits for a confirmation.
    pub content: Option<SignedPlan>,
}
