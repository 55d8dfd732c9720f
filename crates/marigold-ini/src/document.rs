//! Parsing of INI files.

use ini_core::{Item, Parser};

use crate::{Entry, Faults, Section};

/// Size limit of a file, which prevents a wrong path from exhausting memory.
const MAX_FILE_BYTES: usize = 4 << 20;
const ALLOWED_LINES: &str = "`[section]`, `key = value`, a comment after `;` or `#`";

/// A parsed INI file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// The sections in file order, each combination of kind and name only once.
    pub sections: Vec<Section>,
}

impl Document {
    /// Parses `text`; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// If the file exceeds the size limit, or has malformed lines, duplicate sections or duplicate
    /// settings, all of which are reported.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = Faults::new(file);
        if text.len() > MAX_FILE_BYTES {
            faults.add(0, "file", "too large", "4 MB");
            return Err(faults);
        }

        let mut document = Self::default();
        let mut parser = Parser::new(text).auto_trim(true);
        let mut line = 1;
        while let Some(item) = parser.next() {
            document.add_item(item, line, &mut faults);
            // The parser returns the zero-based line of the next item.
            line = parser.line() + 1;
        }

        faults.into_result(document)
    }

    fn add_item(&mut self, item: Item<'_>, line: u32, faults: &mut Faults) {
        match item {
            Item::Section(header) => self.add_section(header, line, faults),
            Item::Property(key, _) if key.starts_with('#') => {}
            Item::Property(key, Some(value)) => self.add_entry(key, value, line, faults),
            Item::Property("", None) | Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            Item::Property(text, None) | Item::Error(text) => {
                faults.add(line, text, "malformed line", ALLOWED_LINES);
            }
        }
    }

    fn add_section(&mut self, header: &str, line: u32, faults: &mut Faults) {
        let section = Section::new(header, line);
        let duplicate = self
            .sections
            .iter()
            .find(|s| s.kind == section.kind && s.name == section.name);
        if let Some(first) = duplicate {
            let problem = format!("section is already defined at line {}", first.line);
            faults.add(line, &format!("[{header}]"), &problem, "each section once");
        }
        self.sections.push(section);
    }

    fn add_entry(&mut self, key: &str, value: &str, line: u32, faults: &mut Faults) {
        let Some(section) = self.sections.last_mut() else {
            faults.add(
                line,
                key,
                "setting before any section",
                "a `[section]` line first",
            );
            return;
        };
        if let Some(first) = section.entries.iter().find(|entry| &*entry.key == key) {
            let problem = format!("setting is already defined at line {}", first.line);
            faults.add(
                line,
                &section.setting_label(key),
                &problem,
                "each setting once",
            );
        }
        section.entries.push(Entry {
            key: key.into(),
            value: value.into(),
            line,
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    macro_rules! reports_line {
        ($($name:ident: $text:literal => $line:literal;)*) => {$(
            #[test]
            fn $name() {
                let faults = Document::parse("f.ini", $text).unwrap_err();
                assert_eq!(faults.list()[0].line, $line, "{faults}");
            }
        )*};
    }

    reports_line! {
        truncated_header: "[a]\nx = 1\n[b" => 3;
        duplicate_section: "[a]\n\n; note\n[a]\n" => 4;
        duplicate_setting: "[a]\nx = 1\nx = 2\n" => 3;
        setting_before_any_section: "x = 1\n" => 1;
        missing_value: "[a]\r\n\r\nx\r\n" => 3;
    }

    #[test]
    fn keeps_line_numbers() {
        let document = Document::parse("f.ini", "# top\n[route a]\n\nx = 1\n").unwrap();
        let section = &document.sections[0];
        assert_eq!(
            (&*section.kind, &*section.name, section.line),
            ("route", "a", 2)
        );
        assert_eq!(section.entries[0].line, 4);
    }
}
