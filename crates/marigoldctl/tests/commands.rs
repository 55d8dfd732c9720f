//! The commands and their exit codes, against a daemon's admin API.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use common::{TempDir, TestDaemon, run};
use marigold_auth::OperatorKey;
use marigold_standin::log::LogControl;
use serde_json::Value;

const MESH: &str = "[service desk]\nslots = 15\n[service ledger]\n\
    [route orders]\npath = /orders\nservice = desk\n";

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

#[test]
fn plan_confirm_show_and_history() {
    let daemon = TestDaemon::new();
    let file = daemon.dir.file("mesh.ini", MESH);
    assert_eq!(daemon.run(&["diff", &file]).code, 1);

    let planned = daemon.run(&["plan", &file]);
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
    let shown = daemon.run(&["show", id]);
    assert!(
        shown.out.contains("it waits for a confirmation"),
        "{shown:?}"
    );

    let confirmed = daemon.run(&["confirm", id]);
    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    assert!(confirmed.out.contains("is accepted: version 2"));
    let again = daemon.run(&["confirm", id]);
    assert_eq!(again.code, 0);
    assert!(again.out.contains("was accepted before: version 2"));

    let shown = daemon.run(&["show", id]);
    assert!(shown.out.contains("it took effect as version 2"));
    assert_eq!(daemon.run(&["diff", &file]).code, 0);
    let history = json(&daemon.run(&["--json", "history"]).out);
    assert_eq!(history["entries"].as_array().unwrap().len(), 1);
    let history = daemon.run(&["history"]);
    assert!(history.out.contains(&id[..12]), "{history:?}");
}

#[test]
fn diff_lists_changed_fields() {
    let daemon = TestDaemon::new();
    daemon.run(&["confirm", &daemon.plan(MESH)]);
    let file = daemon
        .dir
        .file("mesh.ini", &MESH.replace("slots = 15", "slots = 16"));
    let diff = json(&daemon.run(&["--json", "diff", &file]).out);
    let row = &diff["changes"][0];
    assert_eq!(row["resource"], "service:desk");
    assert_eq!(row["kind"], "changed");
    assert_eq!(row["fields"], serde_json::json!(["slots: 15 -> 16"]));
}

#[test]
fn dry_run_stores_nothing() {
    let daemon = TestDaemon::new();
    let file = daemon.dir.file("mesh.ini", MESH);
    let output = daemon.run(&["--json", "plan", "--dry-run", &file]);
    assert_eq!((output.code, &json(&output.out)["plan"]), (0, &Value::Null));
    assert_eq!(daemon.log.totals().appends, 0);
}

#[test]
fn plan_without_changes() {
    let daemon = TestDaemon::new();
    daemon.run(&["confirm", &daemon.plan(MESH)]);
    let file = daemon.dir.file("mesh.ini", MESH);
    let output = daemon.run(&["plan", &file]);
    assert_eq!(output.code, 0);
    assert!(output.out.contains("nothing differs"), "{output:?}");
}

#[test]
fn plan_with_an_outdated_base_is_refused() {
    let daemon = TestDaemon::new();
    let first = daemon.plan(MESH);
    let second = daemon.plan(&MESH.replace("15", "16"));
    assert_eq!(daemon.run(&["confirm", &first]).code, 0);
    let refused = daemon.run(&["confirm", &second]);
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(
        refused
            .out
            .contains("has changed since the plan was made, by version")
    );
    let shown = daemon.run(&["show", &second]);
    assert_eq!(shown.code, 1);
    assert!(shown.out.contains("it would be refused"), "{shown:?}");
}

#[test]
fn undeclared_operator_and_wrong_key_are_refused() {
    let daemon = TestDaemon::new();
    let ann = OperatorKey::generate("ann".parse().unwrap()).unwrap();
    let file = daemon.dir.file("ann.json", &ann.to_file_text());
    let intent = daemon.dir.file("mesh.ini", MESH);
    let ann_key = std::path::Path::new(&file);
    let unknown = TestDaemon::run_as(ann_key, &daemon.url, &["plan", &intent]);
    assert_eq!(unknown.code, 1);
    assert!(
        unknown.err.contains("operator `ann` is not declared"),
        "{unknown:?}"
    );

    let other = OperatorKey::generate("root".parse().unwrap()).unwrap();
    let file = daemon.dir.file("other.json", &other.to_file_text());
    let forged = TestDaemon::run_as(std::path::Path::new(&file), &daemon.url, &["status"]);
    assert_eq!(forged.code, 1);
    assert!(
        forged.err.contains("signature is not that of `root`"),
        "{forged:?}"
    );
}

#[test]
fn status_exits_with_1_until_converged() {
    let daemon = TestDaemon::new();
    let status = daemon.run(&["status"]);
    assert_eq!(status.code, 0, "{status:?}");
    assert!(status.out.contains("converged: 2 of 2"));
    daemon.mesh.set_version(3);
    let status = daemon.run(&["status"]);
    assert_eq!(status.code, 1);
    assert!(
        status
            .out
            .contains("not converged: 1 of 2 daemons hold version 3")
    );
    let lagging = json(&daemon.run(&["--json", "status", "--lagging"]).out);
    assert_eq!(lagging["daemons"].as_array().unwrap().len(), 1);
    assert_eq!(lagging["daemons"][0]["version"], 2);
    let status = json(&daemon.run(&["--json", "status"]).out);
    assert_eq!(
        (&status["converged"], &status["latest"]),
        (&Value::Bool(false), &3.into())
    );
}

#[test]
fn confirm_waits_until_every_daemon_holds_the_version() {
    let daemon = TestDaemon::new();
    let id = daemon.plan(MESH);
    daemon.mesh.set_version(2);
    let confirmed = daemon.run(&["--json", "confirm", &id, "--wait"]);
    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    assert_eq!(json(&confirmed.out)["converged"], true);
    daemon.mesh.set_version(1);
    let late = daemon.run(&["--json", "confirm", &id, "--wait", "--timeout", "1s"]);
    assert_eq!(late.code, 1, "{late:?}");
    assert_eq!(json(&late.out)["converged"], false);
}

#[test]
fn confirm_succeeds_after_a_lost_response_of_the_log() {
    let daemon = TestDaemon::new();
    let id = daemon.plan(MESH);
    let lose = Some(1);
    let control = LogControl {
        lose,
        ..LogControl::default()
    };
    daemon.log.control(&control).unwrap();
    let confirmed = daemon.run(&["confirm", &id]);
    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    let history = json(&daemon.run(&["--json", "history"]).out);
    assert_eq!(history["entries"].as_array().unwrap().len(), 1);
}

#[test]
fn log_down_exits_with_3() {
    let daemon = TestDaemon::new();
    let id = daemon.plan(MESH);
    let down = Some(true);
    let control = LogControl {
        down,
        ..LogControl::default()
    };
    daemon.log.control(&control).unwrap();
    let refused = daemon.run(&["confirm", &id]);
    assert_eq!(refused.code, 3, "{refused:?}");
    assert!(refused.err.contains("nothing was written"));
    let file = daemon.dir.file("mesh.ini", MESH);
    assert_eq!(daemon.run(&["plan", &file]).code, 3);
    assert_eq!(daemon.run(&["status"]).code, 0);
}

/// Returns the URL of a port that was just closed.
fn closed_port_url() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}

#[test]
fn next_daemon_is_tried_after_a_refused_connection() {
    let daemon = TestDaemon::new();
    let daemons = format!("{},{}", closed_port_url(), daemon.url);
    let output = TestDaemon::run_as(&daemon.root, &daemons, &["status"]);
    assert_eq!(output.code, 0, "{output:?}");
    let output = TestDaemon::run_as(&daemon.root, &closed_port_url(), &["status"]);
    assert_eq!(output.code, 3);
    assert!(
        output.err.contains("connect to daemon http://127.0.0.1"),
        "{output:?}"
    );
}

/// The connection closes after the confirmation has been read, so its result is unknown.
#[test]
fn confirm_without_a_response_exits_with_4() {
    let daemon = TestDaemon::new();
    let id = daemon.plan(MESH);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let closing_daemon = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
    });
    let output = TestDaemon::run_as(&daemon.root, &url, &["confirm", &id]);
    closing_daemon.join().unwrap();
    assert_eq!(output.code, 4, "{output:?}");
    assert!(
        output.err.contains("run the same command again"),
        "{output:?}"
    );
    assert_eq!(daemon.run(&["confirm", &id]).code, 0);
}

/// Relays one request to the daemon at `target`, and its response with another head; returns the URL of the relay.
fn spoiling_relay(target: &str, head: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let target = target.trim_start_matches("http://").to_owned();
    std::thread::spawn(move || {
        let (mut near, _) = listener.accept().unwrap();
        let mut far = TcpStream::connect(target).unwrap();
        let mut request = [0; 4096];
        let count = near.read(&mut request).unwrap();
        far.write_all(&request[..count]).unwrap();
        let mut response = String::new();
        far.read_to_string(&mut response).unwrap();
        let body = response.split_once("\r\n\r\n").unwrap().1;
        let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        near.write_all(format!("{head}\r\n{chunk}").as_bytes())
            .unwrap();
    });
    url
}

/// Each case lists the head of a daemon's response, and the exit code.
macro_rules! response_tests {
    ($($name:ident: $head:literal => $code:literal;)*) => {$(
        #[test]
        fn $name() {
            let daemon = TestDaemon::new();
            let url = spoiling_relay(&daemon.url, $head);
            let output = TestDaemon::run_as(&daemon.root, &url, &["status"]);
            assert_eq!(output.code, $code, "{output:?}");
        }
    )*};
}

response_tests! {
    chunked_response_is_read: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" => 0;
    response_with_both_framings_is_refused:
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n" => 3;
    response_in_chunks_of_http_1_0_is_refused: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" => 3;
    response_with_two_transfer_encodings_is_refused:
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" => 3;
}

#[test]
fn drain_and_burn_report() {
    let daemon = TestDaemon::new();
    let output = daemon.run(&["drain"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(daemon.mesh.drained());
    let page = daemon.dir.0.join("burn.html");
    let page_name = page.display().to_string();
    let output = daemon.run(&["report", "burn", "--html", &page_name]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(std::fs::read_to_string(page).unwrap().contains("<table>"));
    let output = daemon.run(&["report", "burn"]);
    assert!(output.out.contains("counted by 1 daemons"), "{output:?}");
}

#[test]
fn bad_input_exits_with_2() {
    let dir = TempDir::new();
    let broken = dir.file("mesh.ini", "[route a]\npath = a\n[what]\n");
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
    let good = dir.file("good.ini", MESH);
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
fn completions_and_man_pages() {
    for shell in ["bash", "zsh", "fish"] {
        assert!(run(&["completions", shell]).out.contains("confirm"));
    }
    assert!(run(&["man"]).out.contains(".TH"));
    let dir = TempDir::new();
    let directory = dir.0.display().to_string();
    assert_eq!(run(&["man", &directory]).code, 0);
    assert!(dir.0.join("marigoldctl-confirm.1").exists());
}
