//! Runs the control-plane scenarios in `tests/scenarios/control`.

use std::path::Path;

use marigold_control::ControlOptions;
use marigold_scenarios::control::ControlRunner;

fn run_scenario(name: &str) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios/control");
    let mut runner = ControlRunner::new(ControlOptions::time(), 1);
    goldenscript::run(&mut runner, directory.join(name)).expect("the scenario should succeed");
}

macro_rules! scenarios {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            run_scenario(stringify!($name));
        }
    )*};
}

scenarios! {
    never_moves_back
    never_moves_back_with_the_log_down
    no_route_without_service_or_server
    all_of_a_version_or_none
    leaving_server_gets_no_new_work
    confirmed_is_in_force_and_never_reverts
    herd_of_deaths
    reconnect_storm
    log_outage
    log_trimmed
    log_down_for_longer_than_retention
    lost_answer_to_a_confirmation
    updates_cross_in_flight
    racing_operators
    rules_of_who_may_change_what
    paused_process
    region_cut_off
    switch_breaks
    daemon_lags
    restart_at_the_same_address
    two_faults_at_once
}

#[test]
fn every_scenario_is_run() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios/control");
    let source = include_str!("control.rs");
    for entry in std::fs::read_dir(directory).expect("the scenario directory") {
        let name = entry.expect("a directory entry").file_name();
        let name = name.to_string_lossy();
        assert!(source.contains(&*name), "no test runs the scenario {name}");
    }
}
