//! One `[kind name]` section.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use crate::{Entry, Faults};

/// A section with its settings; it notes which were read, so that the rest can be reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The first word of the header.
    pub kind: Arc<str>,
    /// The rest of the header; empty for a section that stands once.
    pub name: Arc<str>,
    /// The line of the header, counted from 1.
    pub line: u32,
    /// The settings in file order.
    pub entries: Vec<Entry>,
    used: RefCell<BTreeSet<Arc<str>>>,
}

impl Section {
    pub(crate) fn new(header: &str, line: u32) -> Self {
        let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
        Self {
            kind: Arc::from(kind.trim()),
            name: Arc::from(name.trim()),
            line,
            entries: Vec::new(),
            used: RefCell::default(),
        }
    }

    /// Returns the header without its brackets.
    #[must_use]
    pub fn header(&self) -> String {
        if self.name.is_empty() {
            self.kind.to_string()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }

    /// Names the setting `key` of this section in a message.
    #[must_use]
    pub fn setting_label(&self, key: &str) -> String {
        format!("[{}] {key}", self.header())
    }

    /// Finds a setting and notes that it was read.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Entry> {
        self.used.borrow_mut().insert(Arc::from(key));
        self.entries.iter().find(|entry| &*entry.key == key)
    }

    /// Reads a setting that may be absent; a wrong value is added to `faults`.
    pub fn optional<T>(&self, key: &str, faults: &mut Faults) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let entry = self.find(key)?;
        match entry.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let problem = error.to_string();
                let (problem, allowed) = problem
                    .split_once(": allowed is ")
                    .unwrap_or((&problem, "a valid value"));
                faults.add(entry.line, &self.setting_label(key), problem, allowed);
                None
            }
        }
    }

    /// Reads a setting that must be there; its absence is added to `faults`.
    pub fn required<T>(&self, key: &str, allowed: &str, faults: &mut Faults) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.find(key).is_none() {
            faults.add(self.line, &self.setting_label(key), "missing", allowed);
            return None;
        }
        self.optional(key, faults)
    }

    /// Adds each setting that nothing read to `faults`.
    pub fn report_unknown(&self, faults: &mut Faults) {
        let used = self.used.borrow();
        let known: Vec<&str> = used.iter().map(|key| &**key).collect();
        let allowed = known.join(", ");
        for entry in self
            .entries
            .iter()
            .filter(|entry| !used.contains(&entry.key))
        {
            faults.add(
                entry.line,
                &self.setting_label(&entry.key),
                "unknown setting",
                &allowed,
            );
        }
    }
}
