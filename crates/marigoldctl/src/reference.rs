//! The command reference, made from the arguments themselves.

use std::fmt::Write;

use clap::CommandFactory;

use crate::Arguments;
use crate::outcome::EXIT_CODES;

const HEAD: &str = "# Commands\n\nEvery command of `marigoldctl`, as `marigoldctl reference` prints \
    it; a test holds this page to the program.\n\nResults go to standard output, as JSON with \
    `--json`; messages and progress go to standard error.\n\n| exit code | meaning |\n| --- | --- |\n";

/// Returns docs/COMMANDS.md.
#[must_use]
pub fn reference() -> String {
    let mut page = HEAD.to_owned();
    for (code, meaning) in EXIT_CODES {
        let _ = writeln!(page, "| {code} | {meaning} |");
    }
    let mut command = Arguments::command().bin_name("marigoldctl").term_width(100);
    command.build();
    let root = command.get_name().to_owned();
    write_command(&mut page, &root, &mut command);
    page
}

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
