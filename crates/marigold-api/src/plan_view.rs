//! Stored plans as returned to operators.

use marigold_config::{ConfirmOutcome, PlanId, SignedPlan};
use serde::{Deserialize, Serialize};

/// The response to a request that stores a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStored {
    /// Identifier of the plan.
    pub plan: PlanId,
    /// Whether the record was read back from the log. If not, it is safe to repeat the request to
    /// find out whether the plan was stored.
    pub certain: bool,
}

/// The state of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanState {
    /// It awaits confirmation.
    Pending,
    /// It awaits confirmation, but would be rejected if it were confirmed now.
    Stale {
        /// Human-readable reason.
        text: String,
    },
    /// It was accepted or rejected.
    Settled(ConfirmOutcome),
}

/// A plan with its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanView {
    /// Identifier of the plan.
    pub plan: PlanId,
    /// State of the plan.
    pub state: PlanState,
    /// The plan itself; `None` once it is settled.
    pub content: Option<SignedPlan>,
}
