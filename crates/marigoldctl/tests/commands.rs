//! Each command against a daemon's admin side, with its exit code.

mod common;

use std::io::Read;
use std::net::TcpListener;

use common::{Bench, Scratch, run};
use marigold_auth::OperatorKey;
use marigold_standin::log::LogControl;
use serde_json::Value;

const MESH: &str = "[service desk]\nslots = 15\n[service ledger]\n\
    [route orders]\npath = /orders\nservice = desk\n";

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

#[test]
fn from_intent_to_history() {
    let bench = Bench::new();
    let file = bench.scratch.file("mesh.ini", MESH);
    assert_eq!(bench.run(&["diff", &file]).code, 1);

    let planned = bench.run(&["plan", &file]);
    assert_eq!(planned.code, 0, "{planned:?}");
    for want in [
        "against version 0",
        "route:orders",
        "hall-a",
        "desk 1",
        "ledger 1",
    ] {
        assert!(planned.out.contains(want), "{want}: {}", planned.out);
    }
    let id = planned.out.split("plan ").nth(1).unwrap();
    let id = &id[..64];
    let shown = bench.run(&["show", id]);
    assert!(
        shown.out.contains("it waits for a confirmation"),
        "{shown:?}"
    );

    let confirmed = bench.run(&["confirm", id]);
    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    assert!(confirmed.out.contains("is accepted: version 2"));
    let again = bench.run(&["confirm", id]);
    assert_eq!(again.code, 0);
    assert!(again.out.contains("was accepted before: version 2"));

    let shown = bench.run(&["show", id]);
    assert!(shown.out.contains("it took effect as version 2"));
    assert_eq!(bench.run(&["diff", &file]).code, 0);
    let history = json(&bench.run(&["--json", "history"]).out);
    assert_eq!(history["entries"].as_array().unwrap().len(), 1);
    let history = bench.run(&["history"]);
    assert!(history.out.contains(&id[..12]), "{history:?}");
}

#[test]
fn changed_fields_are_named() {
    let bench = Bench::new();
    bench.run(&["confirm", &bench.plan(MESH)]);
    let file = bench
        .scratch
        .file("mesh.ini", &MESH.replace("slots = 15", "slots = 16"));
    let diff = json(&bench.run(&["--json", "diff", &file]).out);
    let row = &diff["changes"][0];
    assert_eq!(row["resource"], "service:desk");
    assert_eq!(row["kind"], "changed");
    assert_eq!(row["fields"], serde_json::json!(["slots: 15 -> 16"]));
}

#[test]
fn dry_run_stores_nothing() {
    let bench = Bench::new();
    let file = bench.scratch.file("mesh.ini", MESH);
    let output = bench.run(&["--json", "plan", "--dry-run", &file]);
    assert_eq!((output.code, &json(&output.out)["plan"]), (0, &Value::Null));
    assert_eq!(bench.log.totals().appends, 0);
}

#[test]
fn nothing_to_change() {
    let bench = Bench::new();
    bench.run(&["confirm", &bench.plan(MESH)]);
    let file = bench.scratch.file("mesh.ini", MESH);
    let output = bench.run(&["plan", &file]);
    assert_eq!(output.code, 0);
    assert!(output.out.contains("nothing differs"), "{output:?}");
}

#[test]
fn overtaken_plan_is_refused() {
    let bench = Bench::new();
    let first = bench.plan(MESH);
    let second = bench.plan(&MESH.replace("15", "16"));
    assert_eq!(bench.run(&["confirm", &first]).code, 0);
    let refused = bench.run(&["confirm", &second]);
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(
        refused
            .out
            .contains("has changed since the plan was made, by version")
    );
    let shown = bench.run(&["show", &second]);
    assert_eq!(shown.code, 1);
    assert!(shown.out.contains("it would be refused"), "{shown:?}");
}

#[test]
fn operators_rights() {
    let bench = Bench::new();
    let ann = OperatorKey::generate("ann".parse().unwrap()).unwrap();
    let file = bench.scratch.file("ann.json", &ann.to_file_text());
    let intent = bench.scratch.file("mesh.ini", MESH);
    let ann_key = std::path::Path::new(&file);
    let unknown = Bench::run_as(ann_key, &bench.url, &["plan", &intent]);
    assert_eq!(unknown.code, 1);
    assert!(
        unknown.err.contains("operator `ann` is not declared"),
        "{unknown:?}"
    );

    let other = OperatorKey::generate("root".parse().unwrap()).unwrap();
    let file = bench.scratch.file("other.json", &other.to_file_text());
    let forged = Bench::run_as(std::path::Path::new(&file), &bench.url, &["status"]);
    assert_eq!(forged.code, 1);
    assert!(
        forged.err.contains("signature is not that of `root`"),
        "{forged:?}"
    );
}

#[test]
fn status_tells_whether_converged() {
    let bench = Bench::new();
    let status = bench.run(&["status"]);
    assert_eq!(status.code, 0, "{status:?}");
    assert!(status.out.contains("converged: 2 of 2"));
    bench.rest.hold(3);
    let status = bench.run(&["status"]);
    assert_eq!(status.code, 1);
    assert!(
        status
            .out
            .contains("not converged: 1 of 2 daemons hold version 3")
    );
    let lagging = json(&bench.run(&["--json", "status", "--lagging"]).out);
    assert_eq!(lagging["daemons"].as_array().unwrap().len(), 1);
    assert_eq!(lagging["daemons"][0]["version"], 2);
    let status = json(&bench.run(&["--json", "status"]).out);
    assert_eq!(
        (&status["converged"], &status["latest"]),
        (&Value::Bool(false), &3.into())
    );
}

#[test]
fn confirm_waits_for_every_daemon() {
    let bench = Bench::new();
    let id = bench.plan(MESH);
    bench.rest.hold(2);
    let confirmed = bench.run(&["--json", "confirm", &id, "--wait"]);
    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    assert_eq!(json(&confirmed.out)["converged"], true);
    bench.rest.hold(1);
    let late = bench.run(&["--json", "confirm", &id, "--wait", "--timeout", "1s"]);
    assert_eq!(late.code, 1, "{late:?}");
    assert_eq!(json(&late.out)["converged"], false);
}

#[test]
fn lost_answer_of_the_log() {
    let bench = Bench::new();
    let id = bench.plan(MESH);
    let lose = Some(1);
    let order = LogControl {
        lose,
        ..LogControl::default()
    };
    bench.log.control(&order).unwrap();
    let confirmed = bench.run(&["confirm", &id]);
    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    let history = json(&bench.run(&["--json", "history"]).out);
    assert_eq!(history["entries"].as_array().unwrap().len(), 1);
}

#[test]
fn log_down() {
    let bench = Bench::new();
    let id = bench.plan(MESH);
    let down = Some(true);
    let order = LogControl {
        down,
        ..LogControl::default()
    };
    bench.log.control(&order).unwrap();
    let refused = bench.run(&["confirm", &id]);
    assert_eq!(refused.code, 3, "{refused:?}");
    assert!(refused.err.contains("nothing was written"));
    let file = bench.scratch.file("mesh.ini", MESH);
    assert_eq!(bench.run(&["plan", &file]).code, 3);
    assert_eq!(bench.run(&["status"]).code, 0);
}

/// An address at which nothing listens.
fn closed() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}

#[test]
fn next_daemon_is_asked() {
    let bench = Bench::new();
    let daemons = format!("{},{}", closed(), bench.url);
    let output = Bench::run_as(&bench.root, &daemons, &["status"]);
    assert_eq!(output.code, 0, "{output:?}");
    let output = Bench::run_as(&bench.root, &closed(), &["status"]);
    assert_eq!(output.code, 3);
    assert!(
        output.err.contains("connect to daemon http://127.0.0.1"),
        "{output:?}"
    );
}

/// The daemon dies after it has read the confirmation.
#[test]
fn cut_off_confirmation_is_not_yet_known() {
    let bench = Bench::new();
    let id = bench.plan(MESH);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let dying = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
    });
    let output = Bench::run_as(&bench.root, &url, &["confirm", &id]);
    dying.join().unwrap();
    assert_eq!(output.code, 4, "{output:?}");
    assert!(
        output.err.contains("run the same command again"),
        "{output:?}"
    );
    assert_eq!(bench.run(&["confirm", &id]).code, 0);
}

#[test]
fn drain_and_report() {
    let bench = Bench::new();
    let output = bench.run(&["drain"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(bench.rest.drained());
    let page = bench.scratch.0.join("burn.html");
    let page_name = page.display().to_string();
    let output = bench.run(&["report", "burn", "--html", &page_name]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(std::fs::read_to_string(page).unwrap().contains("<table>"));
    let output = bench.run(&["report", "burn"]);
    assert!(output.out.contains("counted by 1 daemons"), "{output:?}");
}

#[test]
fn bad_input() {
    let scratch = Scratch::new();
    let broken = scratch.file("mesh.ini", "[route a]\npath = a\n[what]\n");
    let checked = run(&["check", &broken]);
    assert_eq!(checked.code, 2);
    for want in [
        "mesh.ini:1: [route a] service: missing",
        "mesh.ini:3: [what]: unknown section",
    ] {
        assert!(checked.err.contains(want), "{checked:?}");
    }
    let listed = run(&["--json", "check", &broken]);
    assert_eq!(json(&listed.out).as_array().unwrap().len(), 2, "{listed:?}");
    let settings = run(&["check", "--settings", &broken]);
    assert_eq!(settings.code, 2);
    assert!(settings.err.contains("[daemon] address"));
    let good = scratch.file("good.ini", MESH);
    assert_eq!(run(&["check", &good]).code, 0);

    let missing = run(&["check", "/nonexistent/mesh.ini"]);
    assert_eq!(missing.code, 2);
    assert!(missing.err.contains("read /nonexistent/mesh.ini"));
    for args in [
        &["status"][..],
        &["--key", &good, "--daemon", "127.0.0.1:1", "status"],
        &["--daemon", "somewhere", "status"],
        &["confirm", "zz"],
        &["nothing"],
    ] {
        let output = run(args);
        assert_eq!(output.code, 2, "{output:?}");
        assert!(!output.err.is_empty());
    }
}

#[test]
fn completions_and_man() {
    for shell in ["bash", "zsh", "fish"] {
        assert!(run(&["completions", shell]).out.contains("confirm"));
    }
    assert!(run(&["man"]).out.contains(".TH"));
    let scratch = Scratch::new();
    let directory = scratch.0.display().to_string();
    assert_eq!(run(&["man", &directory]).code, 0);
    assert!(scratch.0.join("marigoldctl-confirm.1").exists());
}
