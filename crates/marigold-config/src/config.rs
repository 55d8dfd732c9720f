//! A whole configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_types::{Digest, RouteName, ServiceName, Version};
use serde::{Deserialize, Serialize};

use crate::{Change, Declaration, Delta, DeltaError, Objective, Resource, Route, Service};

/// Every declaration in force at one version; it is never changed, only replaced.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The version, by log position.
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

    /// Returns every declaration in the order of its resource.
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

    /// Returns the routes in the order of their names.
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

    /// Returns whether each route's service is declared.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes()
            .all(|(_, route)| self.service(&route.service).is_some())
    }

    /// Digests the declarations; equal digests mean equal configurations.
    ///
    /// # Panics
    ///
    /// Never: the declarations always have a JSON form.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let list: Vec<_> = self.declarations.iter().collect();
        Digest::of(&serde_json::to_vec(&list).expect("declarations have a JSON form"))
    }

    /// Returns the configuration with `changes` made, at `version`.
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

    /// Returns the changes that lead from this configuration to `target`.
    #[must_use]
    pub fn changes_to(&self, target: &Self) -> Vec<Change> {
        let gone = self
            .declarations
            .keys()
            .filter(|name| !target.declarations.contains_key(name));
        let gone = gone.map(|name| Change {
            resource: name.clone(),
            after: None,
        });
        let set = target
            .declarations
            .iter()
            .filter(|(name, d)| self.find(name) != Some(d));
        let set = set.map(|(name, declaration)| Change {
            resource: name.clone(),
            after: Some(declaration.as_ref().clone()),
        });
        gone.chain(set).collect()
    }

    /// Returns the delta that leads from this configuration to `target`.
    #[must_use]
    pub fn delta_to(&self, target: &Self) -> Delta {
        Delta {
            from: self.version,
            to: target.version,
            digest: target.digest(),
            changes: self.changes_to(target),
        }
    }

    /// Returns the configuration that `delta` makes of this one.
    ///
    /// # Errors
    ///
    /// When the delta is for another version, leads back, or its result is not whole: then this
    /// configuration is to be kept.
    pub fn apply(&self, delta: &Delta) -> Result<Self, DeltaError> {
        let held = self.version;
        if delta.from != held {
            return Err(DeltaError::BaseMismatch {
                from: delta.from,
                held,
            });
        }
        if delta.to < held {
            return Err(DeltaError::Backwards { held, to: delta.to });
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
