//! An operator's word that a plan is to take effect.

use marigold_auth::{OperatorKey, PublicKey, Signature};
use marigold_types::{Digest, OperatorName, RecordTime};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{PlanId, SignedPlan};

/// Keeps a signature for a confirmation from being read as one for anything else.
const DOMAIN: &[u8] = b"marigold confirm\n";

/// Names a plan that is to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirm {
    /// The plan.
    pub plan: PlanId,
    /// Who confirms it, not always its author.
    pub operator: OperatorName,
    /// Tells one confirmation from another of the same plan; a repeat after a lost answer keeps it.
    pub nonce: Uuid,
    /// Until when it counts, by the log's clock, so that a late copy does nothing.
    pub expires: RecordTime,
}

impl Confirm {
    /// The longest time that a confirmation counts for, in milliseconds.
    pub const MAX_LIFETIME_MILLIS: u64 = 15 * 60_000;

    /// Names the confirmation by its content.
    #[must_use]
    pub fn id(&self) -> Digest {
        Digest::of(&self.to_bytes())
    }

    fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a confirmation has a JSON form")
    }

    fn to_signed(&self) -> Vec<u8> {
        [DOMAIN, &self.to_bytes()].concat()
    }
}

/// A confirmation with its operator's signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedConfirm {
    /// The confirmation.
    pub confirm: Confirm,
    /// Its operator's signature.
    pub signature: Signature,
}

impl SignedConfirm {
    /// Signs `confirm` with its operator's key.
    #[must_use]
    pub fn sign(confirm: Confirm, key: &OperatorKey) -> Self {
        let signature = key.sign(&confirm.to_signed());
        Self { confirm, signature }
    }

    /// Returns whether the secret half of `key` signed it.
    #[must_use]
    pub fn verifies(&self, key: &PublicKey) -> bool {
        key.verifies(&self.confirm.to_signed(), &self.signature)
    }
}

/// A confirmation as it is stored in the log.
///
/// It carries the plan that it names, so that the judgement needs no record that may be trimmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationRecord {
    /// The confirmation.
    pub confirm: SignedConfirm,
    /// The plan that it names.
    pub plan: SignedPlan,
}
