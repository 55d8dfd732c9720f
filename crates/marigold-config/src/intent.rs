//! What operators keep in version control.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_ini::{Document, Faults, Section};
use marigold_types::Version;

use crate::check::{check_declaration, check_whole, needed_by};
use crate::{Config, Declaration, InvalidField, Resource};

mod sections;

const ALLOWED_KINDS: &str = "[service NAME], [route NAME], [limit NAME], [objective SERVICE], \
    [operator NAME] or [rule NAME]";

/// The whole declared configuration: what an intent does not declare is to be removed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Intent {
    declarations: BTreeMap<Resource, Arc<Declaration>>,
}

impl Intent {
    /// Reads and checks a whole intent; `file` is named in the messages.
    ///
    /// # Errors
    ///
    /// Every mistake of the file, each with its line, setting and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text)?;
        let mut faults = Faults::new(file);
        let mut declarations = BTreeMap::new();
        let mut places = BTreeMap::new();

        // Each section by itself; a section that cannot be read still counts as declared.
        for section in &document.sections {
            let Some(resource) = sections::read_resource(section, &mut faults) else {
                continue;
            };
            if places.insert(resource.clone(), section).is_some() {
                let header = format!("[{}]", section.header());
                faults.add(section.line, &header, "declared twice", "each name once");
            }
            if let Some(declaration) = sections::read_declaration(section, &mut faults) {
                let mut list = Vec::new();
                check_declaration(&resource, &declaration, &mut list);
                report(&list, &places, &mut faults);
                declarations.insert(resource, Arc::new(declaration));
            }
            section.refuse_unknown(&mut faults);
        }

        // What stands between sections.
        let mut whole = check_whole(&declarations);
        whole.retain(|invalid| !follows_from_another(invalid, &declarations, &places));
        report(&whole, &places, &mut faults);

        faults.into_result(Self { declarations })
    }

    /// Returns the declarations as a configuration at `version`.
    #[must_use]
    pub fn to_config(&self, version: Version) -> Config {
        Config::new(version, self.declarations.clone())
    }

    /// Returns every declaration in the order of its resource.
    #[must_use]
    pub fn declarations(&self) -> &BTreeMap<Resource, Arc<Declaration>> {
        &self.declarations
    }
}

/// Returns whether a fault only follows from the section of what is needed being at fault itself.
fn follows_from_another(
    invalid: &InvalidField,
    declarations: &BTreeMap<Resource, Arc<Declaration>>,
    places: &BTreeMap<Resource, &Section>,
) -> bool {
    let declaration = declarations.get(&invalid.resource);
    let needed = declaration.and_then(|declaration| needed_by(&invalid.resource, declaration));
    needed.is_some_and(|needed| {
        let broken = places.contains_key(&needed) && !declarations.contains_key(&needed);
        broken && *invalid.field == *needed.kind()
    })
}

/// Turns faults of declarations into faults of the file.
fn report(list: &[InvalidField], places: &BTreeMap<Resource, &Section>, faults: &mut Faults) {
    for invalid in list {
        let section = places.get(&invalid.resource);
        let entry = section.and_then(|section| section.find(&invalid.field));
        let line = entry.map_or(section.map_or(0, |s| s.line), |entry| entry.line);
        let setting = section.map_or_else(String::new, |s| s.setting(&invalid.field));
        faults.add(line, &setting, &invalid.problem, &invalid.allowed);
    }
}
