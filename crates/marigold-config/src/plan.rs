//! Plans, by which operators propose changes.

use std::collections::BTreeSet;

use marigold_types::{Digest, OperatorName, RecordTime, Version};
use serde::{Deserialize, Serialize};

use crate::check::{MAX_DECLARATIONS, dependency_of};
use crate::{Change, Config, PlanId, Resource};

/// The declaration of one resource against which a plan was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expectation {
    /// A resource that the plan changes or depends on.
    pub resource: Resource,
    /// The digest of its declaration; `None` if it was not declared.
    pub digest: Option<Digest>,
}

/// Changes to a base version, with the declarations that they depend on.
///
/// A plan whose base is no longer in force can still be confirmed if all its expectations are met.
/// Its validity therefore depends only on the configuration in force, and a reader that started
/// from a checkpoint comes to the same result as one that read all records. See
/// docs/design/configuration.md.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The version against which it was made.
    pub base: Version,
    /// The author of the plan.
    pub operator: OperatorName,
    /// The last time at which it can be confirmed, by the log's clock.
    pub expires: RecordTime,
    /// The resources that it changes or depends on, as declared in the base version.
    pub expects: Vec<Expectation>,
    /// The changes, one for each resource.
    pub changes: Vec<Change>,
}

impl Plan {
    /// The longest time from a plan's record to its expiry.
    pub const MAX_LIFETIME_MILLIS: u64 = 24 * 3_600_000;

    /// Creates a plan of `changes` to `config`.
    #[must_use]
    pub fn new(
        config: &Config,
        operator: OperatorName,
        expires: RecordTime,
        changes: Vec<Change>,
    ) -> Self {
        let expects = affected_resources(&changes)
            .into_iter()
            .map(|resource| Expectation {
                digest: digest_of(config, &resource),
                resource,
            });
        Self {
            base: config.version,
            operator,
            expires,
            expects: expects.collect(),
            changes,
        }
    }

    /// Returns the id of the plan, which is derived from its content.
    #[must_use]
    pub fn id(&self) -> PlanId {
        PlanId(Digest::of(&self.to_bytes()))
    }

    /// Returns the first resource whose declaration in `config` differs from what the plan expects.
    #[must_use]
    pub fn find_conflict(&self, config: &Config) -> Option<&Resource> {
        let differs =
            |expected: &&Expectation| digest_of(config, &expected.resource) != expected.digest;
        self.expects
            .iter()
            .find(differs)
            .map(|expected| &expected.resource)
    }

    /// Returns whether the plan has changes, all with valid names and distinct resources, and has
    /// expectations for exactly the resources that it changes or depends on.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        if self.changes.is_empty() || self.changes.len() > MAX_DECLARATIONS {
            return false;
        }
        let unique: BTreeSet<_> = self.changes.iter().map(|change| &change.resource).collect();
        let named = unique.iter().all(|resource| resource.has_valid_name());
        if unique.len() != self.changes.len() || !named {
            return false;
        }
        let expected = self.expects.iter().map(|expected| &expected.resource);
        expected.eq(affected_resources(&self.changes).iter())
    }

    /// Returns the canonical JSON, which is the same for equal plans.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a plan serializes to JSON")
    }
}

/// Returns the resources that `changes` change or depend on.
fn affected_resources(changes: &[Change]) -> BTreeSet<Resource> {
    let mut resources = BTreeSet::new();
    for change in changes {
        let after = change.after.as_ref();
        resources.extend(after.and_then(|after| dependency_of(&change.resource, after)));
        resources.insert(change.resource.clone());
    }
    resources
}

fn digest_of(config: &Config, resource: &Resource) -> Option<Digest> {
    let declaration = config.find(resource)?;
    let bytes = serde_json::to_vec(declaration).expect("a declaration serializes to JSON");
    Some(Digest::of(&bytes))
}
