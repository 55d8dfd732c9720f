//! A single error in a file.

use std::fmt;
use std::sync::Arc;

/// An error at a location in a file, with the values that are allowed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the file as given by the operator.
    pub file: Arc<str>,
    /// Line number, starting at 1; 0 if no line applies, as for a missing section.
    pub line: u32,
    /// Section and setting, such as `[route orders] service`.
    pub setting: Arc<str>,
    /// Description of the error.
    pub problem: Arc<str>,
    /// Description of the allowed values.
    pub allowed: Arc<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            setting,
            problem,
            allowed,
        } = self;
        match line {
            0 => write!(f, "{file}: ")?,
            _ => write!(f, "{file}:{line}: ")?,
        }
        write!(f, "{setting}: {problem}; allowed: {allowed}")
    }
}
