//! Checks that docs/METRICS.md lists exactly the metrics that the daemon's sources record.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The macros that record a metric; each is named after the metric type.
const METRIC_MACROS: [&str; 3] = ["counter", "gauge", "histogram"];
/// The columns of a table row of the page: name, type, unit, labels, meaning.
const PAGE_COLUMNS: usize = 5;

/// How a metric is recorded.
#[derive(Debug, Default, PartialEq, Eq)]
struct Metric {
    kinds: BTreeSet<String>,
    labels: BTreeSet<String>,
}

type Metrics = BTreeMap<String, Metric>;

/// Adds the metrics that one source file records to `found`.
fn collect_text(text: &str, file: &Path, found: &mut Metrics) {
    for kind in METRIC_MACROS {
        let opening = format!("{kind}!(");
        for (at, _) in text.match_indices(&opening) {
            let arguments = macro_arguments(&text[at + opening.len()..]);
            let mut quoted = arguments.split('"').skip(1).step_by(2);
            assert!(
                arguments.trim_start().starts_with('"'),
                "{}: the name of a {kind} must be a literal: {arguments}",
                file.display()
            );
            let name = quoted.next().expect("a name");
            let metric = found.entry(name.to_owned()).or_default();
            metric.kinds.insert(kind.to_owned());
            let labels = arguments.rsplit("=>").skip(1);
            let labels = labels.filter_map(|before| before.trim_end().strip_suffix('"'));
            let labels = labels.filter_map(|before| before.rsplit('"').next());
            metric.labels.extend(labels.map(str::to_owned));
        }
    }
}

/// Returns the arguments of a macro: the text up to its closing parenthesis.
fn macro_arguments(text: &str) -> &str {
    let mut depth = 1;
    for (at, sign) in text.char_indices() {
        match sign {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..at];
        }
    }
    panic!("unclosed macro: {text:.80}");
}

fn collect_directory(directory: &Path, found: &mut Metrics) {
    for entry in fs::read_dir(directory).expect("the sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_directory(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            let text = fs::read_to_string(&path).expect("a source file");
            collect_text(&text, &path, found);
        }
    }
}

/// Returns the words in backquotes of a table cell.
fn quoted(cell: &str) -> BTreeSet<String> {
    cell.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Parses the table rows whose first cell names a metric.
fn read_page(page: &str) -> Metrics {
    let mut found = Metrics::new();
    for line in page.lines().filter(|line| line.starts_with("| `marigold_")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), PAGE_COLUMNS, "{line}");
        assert!(cells.iter().all(|cell| !cell.is_empty()), "{line}");
        let name = cells[0].trim_matches('`').to_owned();
        let metric = Metric {
            kinds: BTreeSet::from([cells[1].to_owned()]),
            labels: quoted(cells[3]),
        };
        assert_eq!(found.insert(name, metric), None, "duplicate row: {line}");
    }
    found
}

#[test]
fn page_lists_the_recorded_metrics() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut recorded = Metrics::new();
    collect_directory(&root.join("src"), &mut recorded);
    let page = fs::read_to_string(root.join("../../docs/METRICS.md")).expect("the page");
    assert!(!recorded.is_empty());
    assert_eq!(
        recorded,
        read_page(&page),
        "left: the code, right: the page"
    );
}

#[test]
fn alerts_name_only_recorded_metrics() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let known = read_page(&fs::read_to_string(docs.join("METRICS.md")).expect("the page"));
    let alerts = fs::read_to_string(docs.join("ALERTS.md")).expect("the alerts");
    let words = alerts.split(|sign: char| !sign.is_ascii_alphanumeric() && sign != '_');
    let mut used = 0;
    for word in words.filter(|word| word.starts_with("marigold_")) {
        let series = word.strip_suffix("_bucket").unwrap_or(word);
        let series = series.strip_suffix("_count").unwrap_or(series);
        assert!(known.contains_key(series), "no metric {word} is recorded");
        used += 1;
    }
    assert!(used > 0);
}

#[test]
fn alerts_link_into_the_runbook() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let alerts = fs::read_to_string(docs.join("ALERTS.md")).expect("the alerts");
    let runbook = fs::read_to_string(docs.join("RUNBOOK.md")).expect("the runbook");
    let headings: BTreeSet<String> = runbook
        .lines()
        .filter_map(|line| line.strip_prefix("## "))
        .map(|heading| heading.to_lowercase().replace(' ', "-"))
        .collect();
    let links: Vec<&str> = alerts.split("RUNBOOK.md#").skip(1).collect();
    assert!(!links.is_empty());
    for link in links {
        let anchor = link.split(')').next().expect("an anchor");
        assert!(headings.contains(anchor), "no section for {anchor}");
    }
}
