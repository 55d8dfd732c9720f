//! `marigoldctl keys`: file modes, and that no file is overwritten and no secret printed.

mod common;

use std::fs;
use std::os::unix::fs::PermissionsExt;

use common::{TempDir, run};
use marigold_auth::{Authority, MeshKey, OperatorKey};

const FILES: [&str; 4] = [
    "authority.pem",
    "authority.key",
    "mesh.key",
    "root.operator.json",
];

#[test]
fn init_makes_secrets_readable_by_owner_only() {
    let dir = TempDir::new();
    let directory = dir.0.join("keys").display().to_string();
    let output = run(&["keys", "init", &directory]);
    assert_eq!(output.code, 0, "{output:?}");
    let read = |name: &str| fs::read_to_string(dir.0.join("keys").join(name)).unwrap();
    for name in FILES {
        let path = dir.0.join("keys").join(name);
        let mode = fs::metadata(path).unwrap().permissions().mode() & 0o777;
        let want = if name == "authority.pem" {
            0o644
        } else {
            0o600
        };
        assert_eq!(mode, want, "{name}");
    }
    let mesh = read("mesh.key");
    assert!(MeshKey::from_file_text(&mesh).is_ok());
    assert!(Authority::from_pem(&read("authority.pem"), &read("authority.key")).is_ok());
    let root = OperatorKey::from_file_text(&read("root.operator.json")).unwrap();
    assert!(output.out.contains(&format!("key = {}", root.public())));
    // No secret is printed.
    assert!(!output.out.contains(mesh.trim()) && !output.out.contains("PRIVATE"));
}

#[test]
fn init_overwrites_nothing() {
    let dir = TempDir::new();
    let directory = dir.0.display().to_string();
    dir.file("mesh.key", "in use");
    let output = run(&["keys", "init", &directory]);
    assert_eq!(output.code, 2, "{output:?}");
    assert!(output.err.contains("mesh.key"));
    assert_eq!(
        fs::read_to_string(dir.0.join("mesh.key")).unwrap(),
        "in use"
    );
    // The files created before the failure are removed again.
    assert_eq!(fs::read_dir(&dir.0).unwrap().count(), 1);
}

#[test]
fn issues_certificates() {
    let dir = TempDir::new();
    let directory = dir.0.display().to_string();
    assert_eq!(run(&["keys", "init", &directory]).code, 0);
    let issue = |address| run(&["keys", "issue", &directory, "--address", address]);
    let output = issue("127.0.0.1:7001");
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.out.contains("[tls]"), "{output:?}");
    assert!(dir.0.join("d-127-0-0-1-7001.pem").exists());
    assert_eq!(issue("127.0.0.1:7001").code, 2);
    assert_eq!(issue("localhost").code, 2);
    let empty = dir.0.join("none").display().to_string();
    let output = run(&["keys", "issue", &empty, "--address", "127.0.0.1:7001"]);
    assert_eq!(output.code, 2);
}

#[test]
fn operator_prints_the_section_for_its_key() {
    let dir = TempDir::new();
    let directory = dir.0.display().to_string();
    let output = run(&["keys", "operator", "ann", "--directory", &directory]);
    assert_eq!(output.code, 0, "{output:?}");
    let text = fs::read_to_string(dir.0.join("ann.operator.json")).unwrap();
    let key = OperatorKey::from_file_text(&text).unwrap();
    assert!(
        output
            .out
            .contains(&format!("[operator ann]\nkey = {}", key.public()))
    );
    assert_eq!(run(&["keys", "operator", "Ann"]).code, 2);
}
