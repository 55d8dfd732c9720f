//! Invariants that are checked whenever a request runs or its caller gets a result.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_types::Outcome;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A non-idempotent request ran more than once.
    #[error("non-idempotent request `{0}` ran {1} times")]
    RepeatedRun(Arc<str>, usize),
    /// A request ran although its caller was told that it did not run.
    #[error("request `{0}` ran although it was reported as not run")]
    RanDespiteNotRun(Arc<str>),
    /// A caller received the answer to another request.
    #[error("request `{0}` got `{1}`, the answer to another request")]
    WrongAnswer(Arc<str>, Arc<str>),
}

/// Records the runs and the reported outcomes of all requests. Requests with the same key count as
/// one request, which has the key's name.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// The daemons at whose backend servers each request ran, in order.
    pub runs: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Whether each request is idempotent.
    idempotent: BTreeMap<Arc<str>, bool>,
    not_run: BTreeMap<Arc<str>, bool>,
}

impl InvariantChecker {
    /// Records that a request was handed to the backend server of daemon `at`.
    ///
    /// # Errors
    ///
    /// Returns the violation if the request must not run, or not run again.
    pub fn record_run(
        &mut self,
        name: &Arc<str>,
        at: Arc<str>,
        idempotent: bool,
    ) -> Result<(), Violation> {
        self.idempotent.insert(Arc::clone(name), idempotent);
        let runs = self.runs.entry(Arc::clone(name)).or_default();
        runs.push(at);
        if !idempotent && runs.len() > 1 {
            return Err(Violation::RepeatedRun(Arc::clone(name), runs.len()));
        }
        if self.not_run.contains_key(name) {
            return Err(Violation::RanDespiteNotRun(Arc::clone(name)));
        }
        Ok(())
    }

    /// Records the outcome that was reported to a caller.
    ///
    /// # Errors
    ///
    /// Returns the violation if the outcome is *not run* and the request has run.
    pub fn record_outcome(&mut self, name: &Arc<str>, outcome: Outcome) -> Result<(), Violation> {
        if outcome != Outcome::NotRun {
            return Ok(());
        }
        self.not_run.insert(Arc::clone(name), true);
        if self.runs.contains_key(name) {
            return Err(Violation::RanDespiteNotRun(Arc::clone(name)));
        }
        Ok(())
    }

    /// Checks that `body` is the answer to the request `name`.
    ///
    /// # Errors
    ///
    /// Returns the violation if it is not.
    pub fn check_answer(name: &Arc<str>, body: &Arc<str>) -> Result<(), Violation> {
        if body.starts_with(&**name) {
            Ok(())
        } else {
            Err(Violation::WrongAnswer(Arc::clone(name), Arc::clone(body)))
        }
    }
}
