//! A plan with its author's signature.

use marigold_auth::{OperatorKey, PublicKey, Signature};
use serde::{Deserialize, Serialize};

use crate::Plan;

/// Keeps a signature for a plan from being read as one for anything else.
const DOMAIN: &[u8] = b"marigold plan\n";

/// A plan as it is stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedPlan {
    /// The plan.
    pub plan: Plan,
    /// Its author's signature.
    pub signature: Signature,
}

impl SignedPlan {
    /// Signs `plan` with its author's key.
    #[must_use]
    pub fn sign(plan: Plan, key: &OperatorKey) -> Self {
        let signature = key.sign(&to_signed(&plan));
        Self { plan, signature }
    }

    /// Returns whether the secret half of `key` signed it.
    #[must_use]
    pub fn verifies(&self, key: &PublicKey) -> bool {
        key.verifies(&to_signed(&self.plan), &self.signature)
    }
}

fn to_signed(plan: &Plan) -> Vec<u8> {
    [DOMAIN, &plan.to_bytes()].concat()
}
