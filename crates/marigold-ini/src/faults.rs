//! All the mistakes of one file.

use std::fmt;
use std::sync::Arc;

use crate::Fault;

/// The mistakes found in one file, in the order found.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    file: Arc<str>,
    list: Vec<Fault>,
}

impl Faults {
    /// Starts an empty list for `file`.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self {
            file: Arc::from(file),
            list: Vec::new(),
        }
    }

    /// Adds a mistake at `line`.
    pub fn add(&mut self, line: u32, setting: &str, problem: &str, allowed: &str) {
        self.list.push(Fault {
            file: self.file.clone(),
            line,
            setting: Arc::from(setting),
            problem: Arc::from(problem),
            allowed: Arc::from(allowed),
        });
    }

    /// Returns the mistakes.
    #[must_use]
    pub fn list(&self) -> &[Fault] {
        &self.list
    }

    /// Returns `value` if nothing was found, else the mistakes.
    ///
    /// # Errors
    ///
    /// The mistakes themselves, when there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.list.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
