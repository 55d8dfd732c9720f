//! docs/LOGS.md and docs/SIDECAR-METRICS.md name what the sources write.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read(&path, text);
        } else {
            text.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

fn sources() -> String {
    let mut text = String::new();
    read(&root().join("crates/marigold-sidecar/src"), &mut text);
    text
}

/// Returns the first quoted word behind each `before`.
fn quoted_after(text: &str, before: &str) -> BTreeSet<String> {
    text.split(before)
        .skip(1)
        .filter_map(|rest| {
            let rest = rest.trim_start().strip_prefix('"')?;
            rest.split('"').next().map(str::to_owned)
        })
        .collect()
}

fn names_on(page: &str) -> BTreeSet<String> {
    let text = fs::read_to_string(root().join(page)).expect("the page");
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

#[test]
fn every_event_is_on_its_page() {
    let text = sources();
    let mut events = quoted_after(&text, ".emit(");
    events.extend(quoted_after(&text, "let event = "));
    assert!(events.len() > 15, "{events:?}");
    let page = names_on("docs/LOGS.md");
    let missing: Vec<_> = events.difference(&page).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_metric_is_on_its_page() {
    let text = sources();
    let metrics: BTreeSet<String> = ["counter!(", "gauge!(", "histogram!("]
        .iter()
        .flat_map(|kind| quoted_after(&text, kind))
        .collect();
    assert!(metrics.len() > 8, "{metrics:?}");
    let page = names_on("docs/SIDECAR-METRICS.md");
    let missing: Vec<_> = metrics.difference(&page).collect();
    assert!(missing.is_empty(), "{missing:?}");
}
