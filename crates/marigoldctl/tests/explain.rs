//! `marigoldctl explain`: what happened to one request, from the log lines of several sidecars.

mod common;

use common::{Scratch, run};

const INGRESS: &str = r#"{"time_ms":2010,"instance":"a-1","event":"request_ended","request":"r1","outcome":"unknown","status":502,"steps":["lost, broken: true"]}
{"time_ms":2011,"instance":"a-1","event":"request_ended","request":"r2","outcome":"answered"}
{"time_ms":2012,"instance":"a-1","event":"store_lost","cause":"no answer"}
"#;
const EXECUTOR: &str = r#"   1.9 a-2 {"time_ms":2000,"instance":"a-2","event":"backend_exchange_broken","request":"r1","cause":"reading the answer: connection reset"}
this is no log line
{"time_ms":2001,"instance":"a-2","event":"call_ended","request":"r1","outcome":"lost","ran_ms":40}
"#;

fn explain(request: &str, more: &[&str]) -> common::Output {
    let scratch = Scratch::new();
    let files = [
        scratch.file("a-1.log", INGRESS),
        scratch.file("a-2.log", EXECUTOR),
    ];
    let mut arguments = more.to_vec();
    arguments.extend(["explain", request, &files[0], &files[1]]);
    run(&arguments)
}

#[test]
fn joins_the_lines_of_one_request_in_the_order_of_time() {
    let ran = explain("r1", &[]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let places: Vec<_> = ["backend_exchange_broken", "call_ended", "request_ended"]
        .iter()
        .map(|event| ran.out.find(event).expect("the event"))
        .collect();
    assert!(places.is_sorted(), "{}", ran.out);
    assert!(ran.out.contains("connection reset"), "{}", ran.out);
    assert!(ran.out.contains("1 lines are no log lines"), "{}", ran.out);
    assert!(!ran.out.contains("r2"), "{}", ran.out);
}

#[test]
fn gives_the_same_as_json() {
    let ran = explain("r1", &["--json"]);
    let value: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!(value["lines"].as_array().map(Vec::len), Some(3));
    assert_eq!(value["lines"][0]["instance"], "a-2");
    assert_eq!(value["passed_over"], 1);
}

#[test]
fn an_unknown_request_has_an_exit_code_of_its_own() {
    let ran = explain("r9", &[]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.out.contains("no line names request r9"), "{}", ran.out);
}

#[test]
fn a_missing_file_is_named() {
    let ran = run(&["explain", "r1", "nowhere.log"]);
    assert!(ran.code > 1, "{ran:?}");
    assert!(ran.err.contains("nowhere.log"), "{ran:?}");
}
