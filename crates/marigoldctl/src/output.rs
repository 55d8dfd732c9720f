//! What commands print.

use std::fmt::Arguments;
use std::io::Write;

use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;

use crate::CtlError;

/// Prints a line of the result; unlike `println!` it does not panic when nobody reads on.
macro_rules! say {
    ($($text:tt)*) => {
        $crate::output::print_line(format_args!($($text)*))
    };
}
pub(crate) use say;

/// Prints a line; a reader that has left, as `head` does, wants no more of it.
pub fn print_line(text: Arguments<'_>) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints `body` as JSON.
pub fn print_json<T: Serialize>(body: &T) -> Result<(), CtlError> {
    let text = serde_json::to_string_pretty(body).map_err(|_| CtlError::Usage("no JSON form"))?;
    say!("{text}");
    Ok(())
}

/// Starts a table with its header.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_style(presets::UTF8_BORDERS_ONLY)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header.to_vec());
    table
}
