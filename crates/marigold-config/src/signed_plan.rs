//! Plans with the signatures of their authors.

use marigold_auth::{OperatorKey, PublicKey, Signature};
use serde::{Deserialize, Serialize};

use crate::Plan;

/// Domain separator, so that a signature of a plan is not valid for any other message.
const SIGNATURE_DOMAIN: &[u8] = b"marigold plan\n";

/// A plan with its author's signature, as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedPlan {
    /// The plan that is signed.
    pub plan: Plan,
    /// The signature of the operator named in the plan.
    pub signature: Signature,
}

impl SignedPlan {
    /// Signs `plan` with its author's key.
    #[must_use]
    pub fn sign(plan: Plan, key: &OperatorKey) -> Self {
        let signature = key.sign(&to_signed(&plan));
        Self { plan, signature }
    }

    /// Returns whether the signature is valid for `key`.
    #[must_use]
    pub fn verifies(&self, key: &PublicKey) -> bool {
        key.verifies(&to_signed(&self.plan), &self.signature)
    }
}

fn to_signed(plan: &Plan) -> Vec<u8> {
    [SIGNATURE_DOMAIN, &plan.to_bytes()].concat()
}
