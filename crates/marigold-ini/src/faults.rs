//! All errors of a file.

use std::fmt;
use std::sync::Arc;

use crate::Fault;

/// The errors of a file in the order in which they were found.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    file: Arc<str>,
    list: Vec<Fault>,
}

impl Faults {
    /// Creates an empty list for `file`.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self {
            file: Arc::from(file),
            list: Vec::new(),
        }
    }

    /// Adds an error; see [`Fault`] for the parameters.
    pub fn add(&mut self, line: u32, setting: &str, problem: &str, allowed: &str) {
        self.list.push(Fault {
            file: self.file.clone(),
            line,
            setting: Arc::from(setting),
            problem: Arc::from(problem),
            allowed: Arc::from(allowed),
        });
    }

    /// Returns the errors.
    #[must_use]
    pub fn list(&self) -> &[Fault] {
        &self.list
    }

    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    ///
    /// The list itself if it is not empty.
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
        for (index, fault) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
