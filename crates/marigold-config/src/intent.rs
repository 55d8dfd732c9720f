//! The intent file, in which operators declare the configuration and which they keep in version
//! control.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_ini::{Document, Faults, Section};
use marigold_types::Version;

use crate::check::{check_config, check_declaration, dependency_of};
use crate::{Config, Declaration, InvalidField, Resource};

mod sections;

const ALLOWED_KINDS: &str = "[service NAME], [route NAME], [limit NAME], [objective SERVICE], \
    [operator NAME] or [rule NAME]";

/// A complete desired configuration; resources that it does not declare are removed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Intent {
    declarations: BTreeMap<Resource, Arc<Declaration>>,
}

impl Intent {
    /// Parses and validates the text of an intent; `file` is its name for error messages.
    ///
    /// # Errors
    ///
    /// All faults of the file, each with its line, setting and the allowed values.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text)?;
        let mut faults = Faults::new(file);
        let mut declarations = BTreeMap::new();
        let mut sections_by_resource = BTreeMap::new();

        // Check each section by itself. A section with faults still counts as declared.
        for section in &document.sections {
            let Some(resource) = sections::read_resource(section, &mut faults) else {
                continue;
            };
            if sections_by_resource
                .insert(resource.clone(), section)
                .is_some()
            {
                let header = format!("[{}]", section.header());
                faults.add(section.line, &header, "declared twice", "each name once");
            }
            if let Some(declaration) = sections::read_declaration(section, &mut faults) {
                let mut list = Vec::new();
                check_declaration(&resource, &declaration, &mut list);
                report(&list, &sections_by_resource, &mut faults);
                declarations.insert(resource, Arc::new(declaration));
            }
            section.report_unknown(&mut faults);
        }

        // Check the configuration as a whole.
        let mut invalid_fields = check_config(&declarations);
        invalid_fields.retain(|invalid| {
            !follows_from_invalid_dependency(invalid, &declarations, &sections_by_resource)
        });
        report(&invalid_fields, &sections_by_resource, &mut faults);

        faults.into_result(Self { declarations })
    }

    /// Returns the declarations as a configuration with `version`.
    #[must_use]
    pub fn to_config(&self, version: Version) -> Config {
        Config::new(version, self.declarations.clone())
    }

    /// Returns all declarations, ordered by resource.
    #[must_use]
    pub fn declarations(&self) -> &BTreeMap<Resource, Arc<Declaration>> {
        &self.declarations
    }
}

/// Returns whether a fault only arises because the section that it refers to is invalid itself.
fn follows_from_invalid_dependency(
    invalid: &InvalidField,
    declarations: &BTreeMap<Resource, Arc<Declaration>>,
    sections_by_resource: &BTreeMap<Resource, &Section>,
) -> bool {
    let declaration = declarations.get(&invalid.resource);
    let dependency =
        declaration.and_then(|declaration| dependency_of(&invalid.resource, declaration));
    dependency.is_some_and(|dependency| {
        let has_faults = sections_by_resource.contains_key(&dependency)
            && !declarations.contains_key(&dependency);
        has_faults && *invalid.field == *dependency.kind()
    })
}

/// Adds faults of declarations to the faults of the file, with their lines.
fn report(
    list: &[InvalidField],
    sections_by_resource: &BTreeMap<Resource, &Section>,
    faults: &mut Faults,
) {
    for invalid in list {
        let section = sections_by_resource.get(&invalid.resource);
        let entry = section.and_then(|section| section.find(&invalid.field));
        let line = entry.map_or(section.map_or(0, |s| s.line), |entry| entry.line);
        let setting = section.map_or_else(String::new, |s| s.setting_label(&invalid.field));
        faults.add(line, &setting, &invalid.problem, &invalid.allowed);
    }
}
