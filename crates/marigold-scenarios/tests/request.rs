//! Runs the request scenarios in `tests/scenarios/request`.

use std::path::Path;

use marigold_scenarios::request::RequestRunner;

fn run_scenario(name: &str) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios/request");
    let mut runner = RequestRunner::new();
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
    whole_answer_to_its_own_request
    not_run_means_not_run
    at_most_once
    executor_dies
    witness_dies
    paused_executor_wakes
    key_expired_or_forged
    cut_off_daemons
    leaving_server_gets_no_new_work
    graceful_shutdown_cuts_nothing_off
    health_that_lies
    request_that_crashes_servers
    silent_connection
    overload
    limits
    several_faults_at_once
    burn_report
}

#[test]
fn every_scenario_is_run() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios/request");
    let source = include_str!("request.rs");
    for entry in std::fs::read_dir(directory).expect("the scenario directory") {
        let name = entry.expect("a directory entry").file_name();
        let name = name.to_string_lossy();
        assert!(source.contains(&*name), "no test runs the scenario {name}");
    }
}
