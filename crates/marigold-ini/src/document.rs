//! A whole INI file.

use ini_core::{Item, Parser};

use crate::{Entry, Faults, Section};

/// The largest accepted file, so that a wrong path cannot fill the memory.
const MAX_BYTES: usize = 4 << 20;
const ALLOWED_LINES: &str = "`[section]`, `key = value`, a comment after `;` or `#`";

/// The sections of a file, in file order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// The sections, none of them twice.
    pub sections: Vec<Section>,
}

impl Document {
    /// Reads `text`; `file` is named in the messages.
    ///
    /// # Errors
    ///
    /// Every malformed line, repeated section and repeated setting.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = Faults::new(file);
        if text.len() > MAX_BYTES {
            faults.add(0, "file", "too large", "4 MB");
            return Err(faults);
        }

        let mut document = Self::default();
        let mut parser = Parser::new(text).auto_trim(true);
        let mut line = 1;
        while let Some(item) = parser.next() {
            document.take(item, line, &mut faults);
            // The parser counts from 0 the line that it stands on, which is the next item's.
            line = parser.line() + 1;
        }

        faults.into_result(document)
    }

    fn take(&mut self, item: Item<'_>, line: u32, faults: &mut Faults) {
        match item {
            Item::Section(header) => self.open(header, line, faults),
            Item::Property(key, _) if key.starts_with('#') => {}
            Item::Property(key, Some(value)) => self.set(key, value, line, faults),
            Item::Property("", None) | Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            Item::Property(text, None) | Item::Error(text) => {
                faults.add(line, text, "malformed line", ALLOWED_LINES);
            }
        }
    }

    fn open(&mut self, header: &str, line: u32, faults: &mut Faults) {
        let section = Section::new(header, line);
        let twice = self
            .sections
            .iter()
            .find(|s| s.kind == section.kind && s.name == section.name);
        if let Some(first) = twice {
            let problem = format!("section stands already at line {}", first.line);
            faults.add(line, &format!("[{header}]"), &problem, "each section once");
        }
        self.sections.push(section);
    }

    fn set(&mut self, key: &str, value: &str, line: u32, faults: &mut Faults) {
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
            let problem = format!("set already at line {}", first.line);
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

    macro_rules! fault_at {
        ($($name:ident: $text:literal => $line:literal;)*) => {$(
            #[test]
            fn $name() {
                let faults = Document::parse("f.ini", $text).unwrap_err();
                assert_eq!(faults.list()[0].line, $line, "{faults}");
            }
        )*};
    }

    fault_at! {
        cut_off_header: "[a]\nx = 1\n[b" => 3;
        repeated_section: "[a]\n\n; note\n[a]\n" => 4;
        repeated_setting: "[a]\nx = 1\nx = 2\n" => 3;
        setting_outside: "x = 1\n" => 1;
        no_value: "[a]\r\n\r\nx\r\n" => 3;
    }

    #[test]
    fn keeps_lines() {
        let document = Document::parse("f.ini", "# top\n[route a]\n\nx = 1\n").unwrap();
        let section = &document.sections[0];
        assert_eq!(
            (&*section.kind, &*section.name, section.line),
            ("route", "a", 2)
        );
        assert_eq!(section.entries[0].line, 4);
    }
}
