//! The settings reference as a page.

use std::fmt::Write as _;

use crate::Settings;

const HEAD: &str = "# Settings of marigoldd\n\n\
    `marigoldd --settings FILE` reads INI: `[section]`, `key = value`, comments after `;` or `#` at\n\
    the start of a line. `marigoldd --check` reports every fault at once, with file, line, setting\n\
    and what is allowed, and exits with 2. A setting without a default must be given.\n\n\
    This page is printed by `marigoldd reference`; a test holds it to the code.\n";

/// Writes docs/SETTINGS.md from the settings themselves, so that the two cannot differ.
#[must_use]
pub fn render_reference() -> String {
    let mut page = HEAD.to_owned();
    let mut section = "";
    for note in Settings::reference() {
        if note.section != section {
            section = note.section;
            let title = format!("\n## `[{section}]`\n\n");
            page.push_str(&title);
            page.push_str("| setting | default | allowed | meaning |\n|---|---|---|---|\n");
        }
        let default = if note.default.is_empty() {
            "must be given"
        } else {
            &note.default
        };
        let row = (note.key, default, &note.allowed, note.meaning);
        writeln!(page, "| `{}` | {} | {} | {} |", row.0, row.1, row.2, row.3)
            .expect("writing to a string never fails");
    }
    page
}
