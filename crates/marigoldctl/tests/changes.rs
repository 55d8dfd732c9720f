//! The readable form of changes, with values in the syntax of an intent file.

use marigold_config::{Config, Intent};
use marigold_types::Version;
use marigoldctl::{ChangeKind, ChangeRow};

const BEFORE: &str = "[service desk]\nwarmup = 5s\n[route a]\npath = /a\nservice = desk\n\
    [limit l]\nservice = desk\nrate = 3/s\n[objective desk]\navailability = 99%\n\
    [rule r]\noperator = ann\nresources = route:*\n";
const AFTER: &str = "[service desk]\nwarmup = 90s\n[route a]\npath = /a\nservice = desk\n\
    idempotent = yes\n[limit l]\nservice = desk\nrate = 4/s\ncaller = farm\n\
    [objective desk]\navailability = 99.95%\n\
    [rule r]\noperator = ann\nresources = route:*, limit:*\nwindow = sat 06:00-18:00\n";

fn config(text: &str) -> Config {
    let text = format!("[operator ann]\nkey = {}\n{text}", "0".repeat(64));
    let intent = Intent::parse("mesh.ini", &text).unwrap_or_else(|faults| panic!("{faults}"));
    intent.to_config(Version(1))
}

macro_rules! changed_fields {
    ($($name:ident: $resource:literal => [$($field:literal),*];)*) => {$(
        #[test]
        fn $name() {
            let (before, after) = (config(BEFORE), config(AFTER));
            let rows = ChangeRow::list(&before, &before.changes_to(&after));
            let row = rows.iter().find(|row| row.resource == $resource).unwrap();
            assert_eq!(row.kind, ChangeKind::Changed);
            assert_eq!(row.fields, [$($field),*]);
        }
    )*};
}

changed_fields! {
    changed_interval: "service:desk" => ["warmup: 5s -> 90s"];
    changed_flag: "route:a" => ["idempotent: no -> yes"];
    changed_rate_and_added_caller: "limit:l" => ["rate: 3/s -> 4/s", "caller: farm"];
    changed_share: "objective:desk" => ["availability: 99% -> 99.95%"];
    changed_list: "rule:r" => [
        "resources: route:* -> route:*, limit:*",
        "window: always -> sat 06:00-18:00"
    ];
}

#[test]
fn added_and_removed_resources() {
    let (empty, full) = (Config::default(), config(BEFORE));
    let added = ChangeRow::list(&empty, &empty.changes_to(&full));
    assert!(
        added
            .iter()
            .all(|row| row.kind == ChangeKind::Added && row.sign() == "+")
    );
    let removed = ChangeRow::list(&full, &full.changes_to(&empty));
    assert!(
        removed
            .iter()
            .all(|row| row.kind == ChangeKind::Removed && row.fields.is_empty())
    );
}
