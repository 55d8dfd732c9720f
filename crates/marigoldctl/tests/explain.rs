//! `marigoldctl explain` and `marigoldctl report requests`, on the log lines of several sidecars.

mod common;

use common::{TempDir, run};

const INGRESS: &str = r#"{"time_ms":1500,"instance":"a-1","event":"config_in_force","version":3,"bytes":9}
{"time_ms":1600,"instance":"a-1","event":"config_in_force","version":4,"bytes":9}
{"time_ms":1700,"instance":"a-9","event":"config_in_force","version":2,"bytes":9}
{"time_ms":2010,"instance":"a-1","event":"request_ended","request":"r1","outcome":"unknown","status":502,"steps":["lost, broken: true"]}
{"time_ms":2011,"instance":"a-1","event":"request_ended","request":"r2","outcome":"answered"}
{"time_ms":2012,"instance":"a-1","event":"store_lost","cause":"no answer"}
"#;
const EXECUTOR: &str = r#"   1.9 a-2 {"time_ms":2000,"instance":"a-2","event":"backend_exchange_broken","request":"r1","cause":"reading the response: connection reset"}
this is no log line
{"time_ms":2001,"instance":"a-2","event":"call_ended","request":"r1","outcome":"lost","ran_ms":40}
"#;

fn explain(request: &str, more: &[&str]) -> common::Output {
    let dir = TempDir::new();
    let files = [dir.file("a-1.log", INGRESS), dir.file("a-2.log", EXECUTOR)];
    let mut arguments = more.to_vec();
    arguments.extend(["explain", request, &files[0], &files[1]]);
    run(&arguments)
}

#[test]
fn lines_of_one_request_are_sorted_by_time() {
    let ran = explain("r1", &[]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let positions: Vec<_> = ["backend_exchange_broken", "call_ended", "request_ended"]
        .iter()
        .map(|event| ran.out.find(event).expect("the event"))
        .collect();
    assert!(positions.is_sorted(), "{}", ran.out);
    assert!(ran.out.contains("connection reset"), "{}", ran.out);
    assert!(ran.out.contains("1 lines are no log lines"), "{}", ran.out);
    assert!(!ran.out.contains("r2"), "{}", ran.out);
}

/// The state consists of the newest event of each topic from before the request, and only of the
/// instances that logged the request.
#[test]
fn shows_the_state_when_the_request_arrived() {
    let ran = explain("r1", &["--json"]);
    let value: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    let state = value["believed"].as_array().expect("a list");
    assert_eq!(state.len(), 1, "{value}");
    assert_eq!(state[0]["version"], 4);
}

fn report(more: &[&str]) -> common::Output {
    let dir = TempDir::new();
    let file = dir.file("a-1.log", ENDED);
    let mut arguments = more.to_vec();
    arguments.splice(0..0, ["report", "requests", &file]);
    run(&arguments)
}

const ENDED: &str = r#"{"time_ms":1000,"instance":"a","event":"request_ended","request":"r1","outcome":"not_run","status":503,"reason":"no room","steps":["refused: overloaded"]}
{"time_ms":9000,"instance":"a","event":"request_ended","request":"r2","outcome":"not_run","status":503,"reason":"no room","steps":["rejected 503","refused: overloaded"],"skipped":7}
{"time_ms":9001,"instance":"b","event":"request_ended","request":"r3","outcome":"unknown","status":502,"reason":"broke off","steps":["lost, broken: true"]}
{"time_ms":9002,"instance":"b","event":"call_ended","request":"r3","outcome":"lost"}
"#;

#[test]
fn counts_requests_by_cause() {
    let ran = report(&["--json"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let value: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!(value["causes"][0]["count"], 2);
    assert_eq!(value["causes"][0]["request"], "r1");
    assert_eq!(value["causes"][1]["last_step"], "lost, broken: true");
    assert_eq!(value["left_out"], 7);
}

/// Each line gives the further arguments and the expected number of requests.
macro_rules! request_counts {
    ($($name:ident: $more:expr => $count:literal;)*) => {$(
        #[test]
        fn $name() {
            let more: &[&str] = &$more;
            let dir = TempDir::new();
            let file = dir.file("a-1.log", ENDED);
            let mut arguments = vec!["--json", "report", "requests", &file];
            arguments.extend(more);
            let ran = run(&arguments);
            let value: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
            let causes = value["causes"].as_array().expect("a list");
            let total: u64 = causes.iter().filter_map(|cause| cause["count"].as_u64()).sum();
            assert_eq!(total, $count, "{value}");
        }
    )*};
}

request_counts! {
    counts_requests_of_one_outcome: ["--outcome", "unknown"] => 1;
    counts_requests_of_the_last_second: ["--since", "1s"] => 2;
    counts_no_requests_of_an_absent_outcome: ["--outcome", "invalid"] => 0;
}

#[test]
fn unknown_outcome_is_an_argument_error() {
    let ran = report(&["--outcome", "gone"]);
    assert!(ran.code > 1, "{ran:?}");
}

#[test]
fn json_output_has_the_same_lines() {
    let ran = explain("r1", &["--json"]);
    let value: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!(value["lines"].as_array().map(Vec::len), Some(3));
    assert_eq!(value["lines"][0]["instance"], "a-2");
    assert_eq!(value["passed_over"], 1);
}

#[test]
fn unknown_request_exits_with_1() {
    let ran = explain("r9", &[]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.out.contains("no line names request r9"), "{}", ran.out);
}

#[test]
fn error_names_a_missing_file() {
    let ran = run(&["explain", "r1", "nowhere.log"]);
    assert!(ran.code > 1, "{ran:?}");
    assert!(ran.err.contains("nowhere.log"), "{ran:?}");
}
