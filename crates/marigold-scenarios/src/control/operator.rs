//! An operator who publishes configuration in scenarios.

use marigold_auth::{MeshKey, OperatorKey, PublicKey};
use marigold_config::{
    Change, Config, Confirm, ConfirmationRecord, Plan, Record, SignedConfirm, SignedPlan, Trust,
};
use marigold_types::RecordTime;
use uuid::Uuid;

/// The secret of the scenarios' mesh.
const MESH_KEY: [u8; 32] = [7; 32];

/// The root operator of the scenarios' mesh, with the key that its daemons trust.
pub struct Operator {
    key: OperatorKey,
    nonce: u128,
}

impl Operator {
    /// Draws a key.
    ///
    /// # Panics
    ///
    /// When the system gives no randomness.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let name = name.parse().expect("an operator's name");
        let key = OperatorKey::generate(name).expect("randomness");
        Self { key, nonce: 0 }
    }

    /// Returns what the daemons of this operator's mesh trust.
    #[must_use]
    pub fn trust(&self) -> Trust {
        let mesh = MeshKey::new(MESH_KEY);
        Trust::new(self.key.operator().clone(), self.key.public(), &mesh)
    }

    /// Returns the public key.
    #[must_use]
    pub fn public(&self) -> PublicKey {
        self.key.public()
    }

    /// Plans `changes` to `base`.
    #[must_use]
    pub fn plan(&self, base: &Config, changes: Vec<Change>, time: RecordTime) -> SignedPlan {
        let expires = RecordTime(time.0 + Plan::MAX_LIFETIME_MILLIS / 2);
        let plan = Plan::new(base, self.key.operator().clone(), expires, changes);
        SignedPlan::sign(plan, &self.key)
    }

    /// Confirms `plan`.
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
