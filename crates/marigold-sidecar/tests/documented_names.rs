//! Checks that docs/LOGS.md and docs/SIDECAR-METRICS.md list all events and metrics in the sources.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn append_sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).expect("a readable directory") {
        let path = entry.expect("a directory entry").path();
        if path.is_dir() {
            append_sources(&path, text);
        } else {
            text.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

fn sources() -> String {
    let mut text = String::new();
    append_sources(
        &repository_root().join("crates/marigold-sidecar/src"),
        &mut text,
    );
    text
}

/// Returns the string literals that directly follow occurrences of `prefix`, ignoring whitespace.
fn literals_after(text: &str, prefix: &str) -> BTreeSet<String> {
    text.split(prefix)
        .skip(1)
        .filter_map(|rest| {
            let rest = rest.trim_start().strip_prefix('"')?;
            rest.split('"').next().map(str::to_owned)
        })
        .collect()
}

fn names_in(page: &str) -> BTreeSet<String> {
    let text = fs::read_to_string(repository_root().join(page)).expect("the page");
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

#[test]
fn all_events_are_documented() {
    let text = sources();
    let mut events = literals_after(&text, ".emit(");
    events.extend(literals_after(&text, "let event = "));
    assert!(events.len() > 15, "{events:?}");
    let documented = names_in("docs/LOGS.md");
    let missing: Vec<_> = events.difference(&documented).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn all_metrics_are_documented() {
    let text = sources();
    let metrics: BTreeSet<String> = ["counter!(", "gauge!(", "histogram!("]
        .iter()
        .flat_map(|kind| literals_after(&text, kind))
        .collect();
    assert!(metrics.len() > 8, "{metrics:?}");
    let documented = names_in("docs/SIDECAR-METRICS.md");
    let missing: Vec<_> = metrics.difference(&documented).collect();
    assert!(missing.is_empty(), "{missing:?}");
}
