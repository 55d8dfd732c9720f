//! One mistake in a file.

use std::fmt;
use std::sync::Arc;

/// A mistake at a place in a file, with what would have been allowed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file as the operator named it.
    pub file: Arc<str>,
    /// The line, counted from 1; 0 when the mistake is an absence.
    pub line: u32,
    /// The section and setting, as `[route orders] service`.
    pub setting: Arc<str>,
    /// What is wrong.
    pub problem: Arc<str>,
    /// What is allowed.
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
