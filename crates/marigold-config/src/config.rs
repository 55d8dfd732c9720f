//! One version of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_types::{Digest, RouteName, ServiceName, Version};
use serde::{Deserialize, Serialize};

use crate::{Change, Declaration, Delta, DeltaError, Objective, Resource, Route, Service};

/// All declarations of one version; a change makes a new `Config`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The version, which is derived from the offset of its confirmation in the log.
    pub version: Version,
    declarations: BTreeMap<Resource, Arc<Declaration>>,
}

impl Config {
    /// Builds a configuration from its declarations.
    #[must_use]
    pub fn new(version: Version, declarations: BTreeMap<Resource, Arc<Declaration>>) -> Self {
        Self {
            version,
            declarations,
        }
    }

    /// Returns all declarations, ordered by resource.
    #[must_use]
    pub fn declarations(&self) -> &BTreeMap<Resource, Arc<Declaration>> {
        &self.declarations
    }

    /// Returns the declaration of `resource`.
    #[must_use]
    pub fn find(&self, resource: &Resource) -> Option<&Declaration> {
        self.declarations.get(resource).map(AsRef::as_ref)
    }

    /// Returns the declaration of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        match self.find(&Resource::Service(name.clone()))? {
            Declaration::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns the objective of a service.
    #[must_use]
    pub fn objective(&self, name: &ServiceName) -> Option<&Objective> {
        match self.find(&Resource::Objective(name.clone()))? {
            Declaration::Objective(objective) => Some(objective),
            _ => None,
        }
    }

    /// Returns the routes, ordered by name.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteName, &Route)> {
        self.declarations
            .iter()
            .filter_map(
                |(resource, declaration)| match (resource, declaration.as_ref()) {
                    (Resource::Route(name), Declaration::Route(route)) => Some((name, route)),
                    _ => None,
                },
            )
    }

    /// Returns whether the service of every route is declared.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes()
            .all(|(_, route)| self.service(&route.service).is_some())
    }

    /// Returns the digest of the declarations; the version is not included.
    ///
    /// # Panics
    ///
    /// Never, since declarations always serialize to JSON.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let list: Vec<_> = self.declarations.iter().collect();
        Digest::of(&serde_json::to_vec(&list).expect("declarations serialize to JSON"))
    }

    /// Returns the configuration after `changes`, with `version`.
    #[must_use]
    pub fn with_changes(&self, changes: &[Change], version: Version) -> Self {
        let mut declarations = self.declarations.clone();
        for change in changes {
            match &change.after {
                Some(after) => {
                    declarations.insert(change.resource.clone(), Arc::new(after.clone()));
                }
                None => {
                    declarations.remove(&change.resource);
                }
            }
        }
        Self {
            version,
            declarations,
        }
    }

    /// Returns the changes from this configuration to `target`, removals first.
    #[must_use]
    pub fn changes_to(&self, target: &Self) -> Vec<Change> {
        let removed = self
            .declarations
            .keys()
            .filter(|name| !target.declarations.contains_key(name));
        let removed = removed.map(|name| Change {
            resource: name.clone(),
            after: None,
        });
        let added_or_changed = target
            .declarations
            .iter()
            .filter(|(name, d)| self.find(name) != Some(d));
        let added_or_changed = added_or_changed.map(|(name, declaration)| Change {
            resource: name.clone(),
            after: Some(declaration.as_ref().clone()),
        });
        removed.chain(added_or_changed).collect()
    }

    /// Returns the delta from this configuration to `target`.
    #[must_use]
    pub fn delta_to(&self, target: &Self) -> Delta {
        Delta {
            from: self.version,
            to: target.version,
            digest: target.digest(),
            changes: self.changes_to(target),
        }
    }

    /// Returns the configuration that results from applying `delta` to this one.
    ///
    /// # Errors
    ///
    /// If the delta is for another version, leads to an older one, or its result has the wrong
    /// digest or is incomplete. The caller then keeps this configuration.
    pub fn apply(&self, delta: &Delta) -> Result<Self, DeltaError> {
        let current = self.version;
        if delta.from != current {
            return Err(DeltaError::BaseMismatch {
                from: delta.from,
                current,
            });
        }
        if delta.to < current {
            return Err(DeltaError::Backwards {
                current,
                to: delta.to,
            });
        }
        let next = self.with_changes(&delta.changes, delta.to);
        if next.digest() != delta.digest {
            return Err(DeltaError::WrongDigest { to: delta.to });
        }
        if !next.is_complete() {
            return Err(DeltaError::Incomplete { to: delta.to });
        }
        Ok(next)
    }
}
