//! The settings reference, rendered as Markdown.

use std::fmt::Write as _;

use crate::Settings;

const INTRODUCTION: &str = "# Settings of marigoldd\n\n\
    `marigoldd --settings FILE` reads an INI file: `[section]`, `key = value`, and comments after\n\
    `;` or `#` at the start of a line. `marigoldd --check` reports all errors at once, each with\n\
    file, line, setting and allowed values, and exits with status 2 if there are any. A setting\n\
    without a default is required.\n\n\
    This page is printed by `marigoldd reference`; a test compares it with the code.\n";

/// Renders docs/SETTINGS.md from the definitions of the settings.
#[must_use]
pub fn render_reference() -> String {
    let mut page = INTRODUCTION.to_owned();
    let mut section = "";
    for doc in Settings::reference() {
        if doc.section != section {
            section = doc.section;
            let title = format!("\n## `[{section}]`\n\n");
            page.push_str(&title);
            page.push_str("| setting | default | allowed | meaning |\n|---|---|---|---|\n");
        }
        let default = if doc.default.is_empty() {
            "required"
        } else {
            &doc.default
        };
        let row = (doc.key, default, &doc.allowed, doc.meaning);
        writeln!(page, "| `{}` | {} | {} | {} |", row.0, row.1, row.2, row.3)
            .expect("writing to a string never fails");
    }
    page
}
