//! Reads one section and notes what it read.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use marigold_ini::{Faults, Section};

use crate::SettingDoc;

/// Reads the settings of one section; a missing section is read as an empty one.
pub struct Reader<'a> {
    name: &'static str,
    section: Option<&'a Section>,
    faults: &'a mut Faults,
    notes: &'a mut Vec<SettingDoc>,
}

impl<'a> Reader<'a> {
    /// Starts on the section called `name`.
    pub fn new(
        name: &'static str,
        section: Option<&'a Section>,
        faults: &'a mut Faults,
        notes: &'a mut Vec<SettingDoc>,
    ) -> Self {
        Self {
            name,
            section,
            faults,
            notes,
        }
    }

    /// Reads a value that must lie in `range`.
    pub fn ranged<T>(
        &mut self,
        key: &'static str,
        default: T,
        range: RangeInclusive<T>,
        meaning: &'static str,
    ) -> T
    where
        T: FromStr + Display + PartialOrd,
        T::Err: Display,
    {
        let text = default.to_string();
        self.ranged_or(key, &text, range, meaning)
            .unwrap_or(default)
    }

    /// Reads a value that must lie in `range`, or none, for which `otherwise` stands in the
    /// reference.
    pub fn ranged_or<T>(
        &mut self,
        key: &'static str,
        otherwise: &str,
        range: RangeInclusive<T>,
        meaning: &'static str,
    ) -> Option<T>
    where
        T: FromStr + Display + PartialOrd,
        T::Err: Display,
    {
        let allowed = format!("{} to {}", range.start(), range.end());
        self.note(key, otherwise.to_owned(), &allowed, meaning);
        let section = self.section?;
        let value = section.optional(key, self.faults)?;
        if !range.contains(&value) {
            let line = section.find(key).map_or(section.line, |entry| entry.line);
            let problem = format!("`{value}` is out of range");
            self.faults
                .add(line, &section.setting_label(key), &problem, &allowed);
        }
        Some(value)
    }

    /// Reads a value that has a default.
    pub fn value<T>(
        &mut self,
        key: &'static str,
        default: T,
        allowed: &str,
        meaning: &'static str,
    ) -> T
    where
        T: FromStr + Display,
        T::Err: Display,
    {
        self.note(key, default.to_string(), allowed, meaning);
        let found = self
            .section
            .and_then(|section| section.optional(key, self.faults));
        found.unwrap_or(default)
    }

    /// Reads a value that must be given; `placeholder` stands in when it is not.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        placeholder: T,
        allowed: &str,
        meaning: &'static str,
    ) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.note(key, String::new(), allowed, meaning);
        let Some(section) = self.section else {
            self.faults
                .add(0, &format!("[{}] {key}", self.name), "missing", allowed);
            return placeholder;
        };
        section
            .required(key, allowed, self.faults)
            .unwrap_or(placeholder)
    }

    /// Reads a list of values with commas between them; it may be empty.
    pub fn list<T>(&mut self, key: &'static str, allowed: &str, meaning: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.note(key, "none".to_owned(), allowed, meaning);
        let Some(section) = self.section else {
            return Vec::new();
        };
        let Some(entry) = section.find(key) else {
            return Vec::new();
        };
        let mut list = Vec::new();
        for item in entry
            .value
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
        {
            match item.parse::<T>() {
                Ok(value) => list.push(value),
                Err(error) => {
                    let setting = section.setting_label(key);
                    self.faults
                        .add(entry.line, &setting, &error.to_string(), allowed);
                }
            }
        }
        list
    }

    /// Reports every setting of the section that was not read.
    pub fn finish(self) {
        if let Some(section) = self.section {
            section.report_unknown(self.faults);
        }
    }

    fn note(&mut self, key: &'static str, default: String, allowed: &str, meaning: &'static str) {
        let allowed = allowed.to_owned();
        self.notes.push(SettingDoc {
            section: self.name,
            key,
            default,
            allowed,
            meaning,
        });
    }
}
