//! Reads the settings of one section and collects their documentation.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use marigold_ini::{Faults, Section};

use crate::SettingDoc;

/// Reads the settings of one section. A missing section is treated as empty.
pub struct Reader<'a> {
    name: &'static str,
    section: Option<&'a Section>,
    faults: &'a mut Faults,
    docs: &'a mut Vec<SettingDoc>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of the section `name`.
    pub fn new(
        name: &'static str,
        section: Option<&'a Section>,
        faults: &'a mut Faults,
        docs: &'a mut Vec<SettingDoc>,
    ) -> Self {
        Self {
            name,
            section,
            faults,
            docs,
        }
    }

    /// Reads a value in `range`; `default` is used if the setting is absent.
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
        self.optional_ranged(key, &text, range, meaning)
            .unwrap_or(default)
    }

    /// Reads an optional value in `range`; `default` describes in the reference what applies if it
    /// is absent.
    pub fn optional_ranged<T>(
        &mut self,
        key: &'static str,
        default: &str,
        range: RangeInclusive<T>,
        meaning: &'static str,
    ) -> Option<T>
    where
        T: FromStr + Display + PartialOrd,
        T::Err: Display,
    {
        let allowed = format!("{} to {}", range.start(), range.end());
        self.document(key, default.to_owned(), &allowed, meaning);
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

    /// Reads a value; `default` is used if the setting is absent.
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
        self.document(key, default.to_string(), allowed, meaning);
        let found = self
            .section
            .and_then(|section| section.optional(key, self.faults));
        found.unwrap_or(default)
    }

    /// Reads a required value. If it is absent, reports that and returns `placeholder`.
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
        self.document(key, String::new(), allowed, meaning);
        let Some(section) = self.section else {
            self.faults
                .add(0, &format!("[{}] {key}", self.name), "missing", allowed);
            return placeholder;
        };
        section
            .required(key, allowed, self.faults)
            .unwrap_or(placeholder)
    }

    /// Reads a list of values separated by commas, which may be empty.
    pub fn list<T>(&mut self, key: &'static str, allowed: &str, meaning: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.document(key, "none".to_owned(), allowed, meaning);
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

    /// Reports all settings of the section that were not read, since they are unknown.
    pub fn finish(self) {
        if let Some(section) = self.section {
            section.report_unknown(self.faults);
        }
    }

    fn document(
        &mut self,
        key: &'static str,
        default: String,
        allowed: &str,
        meaning: &'static str,
    ) {
        let allowed = allowed.to_owned();
        self.docs.push(SettingDoc {
            section: self.name,
            key,
            default,
            allowed,
            meaning,
        });
    }
}
