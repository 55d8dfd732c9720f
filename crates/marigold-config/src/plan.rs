//! What an operator means to change.

use std::collections::BTreeSet;

use marigold_types::{Digest, OperatorName, RecordTime, Version};
use serde::{Deserialize, Serialize};

use crate::check::{MAX_DECLARATIONS, needed_by};
use crate::{Change, Config, PlanId, Resource};

/// The content that a plan was made against, for one resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expectation {
    /// The resource that the plan touches or depends on.
    pub resource: Resource,
    /// The digest of its declaration; absent when it was not declared.
    pub digest: Option<Digest>,
}

/// The changes from a base version, with everything that they rest on.
///
/// The expectations carry the rebase rule: a plan whose base has moved still stands while each of
/// them does. They make the judgement a function of the configuration in force alone, so that a
/// reader who started from a checkpoint judges like one who read everything. See
/// docs/design/configuration.md.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The version that it was made against.
    pub base: Version,
    /// Who made it.
    pub operator: OperatorName,
    /// Until when it can be confirmed, by the log's clock.
    pub expires: RecordTime,
    /// What it touches and depends on, as it was at the base.
    pub expects: Vec<Expectation>,
    /// The changes, one for each resource.
    pub changes: Vec<Change>,
}

impl Plan {
    /// The longest time that a plan can be confirmed for, in milliseconds.
    pub const MAX_LIFETIME_MILLIS: u64 = 24 * 3_600_000;

    /// Builds the plan that makes `changes` to `config`.
    #[must_use]
    pub fn new(
        config: &Config,
        operator: OperatorName,
        expires: RecordTime,
        changes: Vec<Change>,
    ) -> Self {
        let expects = touched(&changes).into_iter().map(|resource| Expectation {
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

    /// Names the plan by its content.
    #[must_use]
    pub fn id(&self) -> PlanId {
        PlanId(Digest::of(&self.to_bytes()))
    }

    /// Returns the first resource whose declaration is no longer what the plan was made against.
    #[must_use]
    pub fn find_overtaken(&self, config: &Config) -> Option<&Resource> {
        let moved =
            |expected: &&Expectation| digest_of(config, &expected.resource) != expected.digest;
        self.expects
            .iter()
            .find(moved)
            .map(|expected| &expected.resource)
    }

    /// Returns whether the plan has changes, names each resource once, and expects exactly what it
    /// touches and depends on.
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
        expected.eq(touched(&self.changes).iter())
    }

    /// Returns the canonical JSON: the same plan always has the same bytes.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a plan has a JSON form")
    }
}

/// Returns what `changes` touch and depend on, in order.
fn touched(changes: &[Change]) -> BTreeSet<Resource> {
    let mut set = BTreeSet::new();
    for change in changes {
        let after = change.after.as_ref();
        set.extend(after.and_then(|after| needed_by(&change.resource, after)));
        set.insert(change.resource.clone());
    }
    set
}

fn digest_of(config: &Config, resource: &Resource) -> Option<Digest> {
    let declaration = config.find(resource)?;
    let bytes = serde_json::to_vec(declaration).expect("a declaration has a JSON form");
    Some(Digest::of(&bytes))
}
