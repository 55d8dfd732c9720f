//! The command reference, generated from the definitions of the arguments.

use std::fmt::Write;

use clap::CommandFactory;

use crate::Arguments;
use crate::outcome::EXIT_CODES;

const PAGE_HEADER: &str = "# Commands\n\n\
    Every command of `marigoldctl`, as `marigoldctl reference` prints it; a test compares this \
    page with the program.\n\n\
    Results go to standard output, as JSON with `--json`; messages and progress go to standard \
    error.\n\n\
    | exit code | meaning |\n| --- | --- |\n";

/// Returns the text of docs/COMMANDS.md: the exit codes and the help of every command.
#[must_use]
pub fn reference() -> String {
    let mut page = PAGE_HEADER.to_owned();
    for (code, meaning) in EXIT_CODES {
        let _ = writeln!(page, "| {code} | {meaning} |");
    }
    let mut command = Arguments::command().bin_name("marigoldctl").term_width(100);
    command.build();
    let root = command.get_name().to_owned();
    write_command(&mut page, &root, &mut command);
    page
}

/// Appends the help of `command` and, recursively, of its visible subcommands.
fn write_command(page: &mut String, path: &str, command: &mut clap::Command) {
    let help = command.render_long_help().to_string();
    let help: Vec<&str> = help.lines().map(str::trim_end).collect();
    let _ = write!(
        page,
        "\n## `{path}`\n\n```text\n{}\n```\n",
        help.join("\n").trim_end()
    );
    for sub in command.get_subcommands_mut() {
        if sub.is_hide_set() || sub.get_name() == "help" {
            continue;
        }
        let path = format!("{path} {}", sub.get_name());
        write_command(page, &path, sub);
    }
}
