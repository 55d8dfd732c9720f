//! The promises, checked after every event of a scenario.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_types::Outcome;

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    /// A request that may not be repeated ran twice.
    #[error("`{0}` may not be repeated and ran {1} times")]
    Doubled(Arc<str>, usize),
    /// A request was called not run and ran.
    #[error("`{0}` was called not-run and ran")]
    Ran(Arc<str>),
    /// A caller got the answer to another request.
    #[error("`{0}` got the answer `{1}`")]
    Crossed(Arc<str>, Arc<str>),
}

/// What has run and what callers were told.
#[derive(Debug, Default)]
pub struct Watch {
    /// The daemons beside the backend servers at which each request ran.
    pub runs: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Requests that may run more than once, by name.
    free: BTreeMap<Arc<str>, bool>,
    not_run: BTreeMap<Arc<str>, bool>,
}

impl Watch {
    /// Counts a run; requests under one key are one request, named by the key.
    ///
    /// # Errors
    ///
    /// When a promise is broken by it.
    pub fn ran(&mut self, name: &Arc<str>, at: Arc<str>, idempotent: bool) -> Result<(), Broken> {
        self.free.insert(Arc::clone(name), idempotent);
        let runs = self.runs.entry(Arc::clone(name)).or_default();
        runs.push(at);
        if !idempotent && runs.len() > 1 {
            return Err(Broken::Doubled(Arc::clone(name), runs.len()));
        }
        if self.not_run.contains_key(name) {
            return Err(Broken::Ran(Arc::clone(name)));
        }
        Ok(())
    }

    /// Counts what a caller was told.
    ///
    /// # Errors
    ///
    /// When it is not true.
    pub fn told(&mut self, name: &Arc<str>, outcome: Outcome) -> Result<(), Broken> {
        if outcome != Outcome::NotRun {
            return Ok(());
        }
        self.not_run.insert(Arc::clone(name), true);
        if self.runs.contains_key(name) {
            return Err(Broken::Ran(Arc::clone(name)));
        }
        Ok(())
    }

    /// Checks that an answer is to its own request.
    ///
    /// # Errors
    ///
    /// When it is another's.
    pub fn answered(name: &Arc<str>, body: &Arc<str>) -> Result<(), Broken> {
        if body.starts_with(&**name) {
            Ok(())
        } else {
            Err(Broken::Crossed(Arc::clone(name), Arc::clone(body)))
        }
    }
}
