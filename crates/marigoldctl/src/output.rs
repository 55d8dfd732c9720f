//! Standard output: lines, JSON and tables.

use std::fmt::Arguments;
use std::io::Write;

use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;

use crate::CtlError;

/// Prints a line to standard output; unlike `println!`, it does not panic when the pipe is closed.
macro_rules! print_line {
    ($($text:tt)*) => {
        $crate::output::write_line(format_args!($($text)*))
    };
}
pub(crate) use print_line;

/// Writes a line to standard output. Errors are ignored: a closed pipe, as `head` leaves behind, is
/// not a failure of the command.
pub fn write_line(text: Arguments<'_>) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints `body` as indented JSON.
pub fn print_json<T: Serialize>(body: &T) -> Result<(), CtlError> {
    let text = serde_json::to_string_pretty(body)
        .map_err(|_| CtlError::Usage("the result cannot be encoded as JSON"))?;
    print_line!("{text}");
    Ok(())
}

/// Returns an empty table with a header, fitted to the width of the terminal.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_style(presets::UTF8_BORDERS_ONLY)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header.to_vec());
    table
}
