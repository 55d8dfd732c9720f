//! Confirmations, by which operators put plans into effect.

use marigold_auth::{OperatorKey, PublicKey, Signature};
use marigold_types::{Digest, OperatorName, RecordTime};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{PlanId, SignedPlan};

/// Domain separator, so that a signature of a confirmation is not valid for any other message.
const SIGNATURE_DOMAIN: &[u8] = b"marigold confirm\n";

/// The content of a confirmation, which an operator signs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirm {
    /// The plan to put into effect.
    pub plan: PlanId,
    /// The operator who confirms, who need not be the author of the plan.
    pub operator: OperatorName,
    /// Distinguishes confirmations of the same plan; a retry after a lost response keeps it.
    pub nonce: Uuid,
    /// The last time at which it is accepted, by the log's clock; a later copy has no effect.
    pub expires: RecordTime,
}

impl Confirm {
    /// The longest time from a confirmation's record to its expiry.
    pub const MAX_LIFETIME_MILLIS: u64 = 15 * 60_000;

    /// Returns the digest that identifies the confirmation by its content.
    #[must_use]
    pub fn id(&self) -> Digest {
        Digest::of(&self.to_bytes())
    }

    fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a confirmation serializes to JSON")
    }

    fn to_signed(&self) -> Vec<u8> {
        [SIGNATURE_DOMAIN, &self.to_bytes()].concat()
    }
}

/// A confirmation with its operator's signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedConfirm {
    /// The confirmation.
    pub confirm: Confirm,
    /// The signature of the operator named in the confirmation.
    pub signature: Signature,
}

impl SignedConfirm {
    /// Signs `confirm` with its operator's key.
    #[must_use]
    pub fn sign(confirm: Confirm, key: &OperatorKey) -> Self {
        let signature = key.sign(&confirm.to_signed());
        Self { confirm, signature }
    }

    /// Returns whether the signature is valid for `key`.
    #[must_use]
    pub fn verifies(&self, key: &PublicKey) -> bool {
        key.verifies(&self.confirm.to_signed(), &self.signature)
    }
}

/// A confirmation as it is stored in the log.
///
/// It includes the plan, so that validating it needs no earlier record, which may be trimmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationRecord {
    /// The confirmation.
    pub confirm: SignedConfirm,
    /// The plan that it confirms.
    pub plan: SignedPlan,
}
