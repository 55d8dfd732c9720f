//! Sections of an INI file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use crate::{Entry, Faults};

/// A `[kind name]` section. It records which settings were read, so that the others can be reported
/// as unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// First word of the header.
    pub kind: Arc<str>,
    /// Rest of the header; empty for a kind of which there is a single section.
    pub name: Arc<str>,
    /// Line number of the header, starting at 1.
    pub line: u32,
    /// Settings in file order.
    pub entries: Vec<Entry>,
    read_keys: RefCell<BTreeSet<Arc<str>>>,
}

impl Section {
    pub(crate) fn new(header: &str, line: u32) -> Self {
        let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
        Self {
            kind: Arc::from(kind.trim()),
            name: Arc::from(name.trim()),
            line,
            entries: Vec::new(),
            read_keys: RefCell::default(),
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

    /// Returns `[header] key`, which identifies a setting of this section in error messages.
    #[must_use]
    pub fn setting_label(&self, key: &str) -> String {
        format!("[{}] {key}", self.header())
    }

    /// Finds a setting and marks it as read.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Entry> {
        self.read_keys.borrow_mut().insert(Arc::from(key));
        self.entries.iter().find(|entry| &*entry.key == key)
    }

    /// Reads an optional setting. An invalid value is added to `faults` and returned as `None`.
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

    /// Reads a required setting. If it is absent or invalid, that is added to `faults`.
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

    /// Adds all settings that were not read to `faults` as unknown.
    pub fn report_unknown(&self, faults: &mut Faults) {
        let read_keys = self.read_keys.borrow();
        let known: Vec<&str> = read_keys.iter().map(|key| &**key).collect();
        let allowed = known.join(", ");
        for entry in self
            .entries
            .iter()
            .filter(|entry| !read_keys.contains(&entry.key))
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
