//! Restoration of a log that has lost its records.

mod common;

use std::collections::BTreeSet;

use common::{Fixture, SECOND};
use marigold_control::ControlOptions;
use marigold_log::StreamName;

/// After the whole mesh was down for longer than the log keeps records, the daemons restore an
/// empty configuration, and operators can publish again.
#[test]
fn mesh_with_an_emptied_log_accepts_plans() {
    let mut fixture = Fixture::unstarted(ControlOptions::time(), 21);
    let time = fixture.mesh.time();
    for _ in 0..3 {
        let noise = "noise".to_owned();
        let appended = fixture.mesh.log.append(StreamName::Config, noise, time);
        appended.expect("the log is available");
    }
    let end = fixture.mesh.log_end();
    fixture.mesh.log.trim(StreamName::Config, end);
    for number in 0..5 {
        fixture.start(0, number);
    }
    fixture.mesh.advance(120 * SECOND);
    let version = fixture.publish_route(1);
    fixture.mesh.advance(11 * SECOND);
    assert_eq!(fixture.versions(), BTreeSet::from([version]));
    assert!(fixture.all_serve());
}
