//! An operator that publishes configuration in scenarios.

use marigold_auth::{MeshKey, OperatorKey, PublicKey};
use marigold_config::{
    Change, Config, Confirm, ConfirmationRecord, Plan, Record, SignedConfirm, SignedPlan, Trust,
};
use marigold_types::RecordTime;
use uuid::Uuid;

/// The mesh key of all scenarios.
const MESH_KEY: [u8; 32] = [7; 32];

/// An operator with a signing key.
pub struct Operator {
    key: OperatorKey,
    nonce: u128,
}

impl Operator {
    /// Creates an operator called `name` with a random key.
    ///
    /// # Panics
    ///
    /// Panics if `name` is not a valid operator name or the system's random source fails.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let name = name.parse().expect("a valid operator name");
        let key = OperatorKey::generate(name).expect("randomness");
        Self { key, nonce: 0 }
    }

    /// Returns the trust settings of a mesh whose root operator this is.
    #[must_use]
    pub fn trust(&self) -> Trust {
        let mesh = MeshKey::new(MESH_KEY);
        Trust::new(self.key.operator().clone(), self.key.public(), &mesh)
    }

    /// Returns the public key that verifies this operator's signatures.
    #[must_use]
    pub fn public(&self) -> PublicKey {
        self.key.public()
    }

    /// Returns a signed plan of `changes` to `base`, which expires after half the maximum lifetime.
    #[must_use]
    pub fn plan(&self, base: &Config, changes: Vec<Change>, time: RecordTime) -> SignedPlan {
        let expires = RecordTime(time.0 + Plan::MAX_LIFETIME_MILLIS / 2);
        let plan = Plan::new(base, self.key.operator().clone(), expires, changes);
        SignedPlan::sign(plan, &self.key)
    }

    /// Returns a confirmation of `plan`, which expires after half the maximum lifetime.
    #[must_use]
    pub fn confirm(&mut self, plan: &SignedPlan, time: RecordTime) -> Record {
        self.nonce += 1;
        let confirm = Confirm {
            plan: plan.plan.id(),
            operator: self.key.operator().clone(),
            nonce: Uuid::from_u128(self.nonce),
            expires: RecordTime(time.0 + Confirm::MAX_LIFETIME_MILLIS / 2),
        };
        Record::Confirm(ConfirmationRecord {
            confirm: SignedConfirm::sign(confirm, &self.key),
            plan: plan.clone(),
        })
    }
}
