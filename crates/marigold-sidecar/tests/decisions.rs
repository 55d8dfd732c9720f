//! The settings that select how executors are compared.

use marigold_dispatch::{Decisions, LossCost, WaitSource};
use marigold_sidecar::Settings;

const MINIMAL: &str = "[instance]\nname = a\ndata_centre = here\nservice = desk\nbackend_server = 127.0.0.1:1\n\
    memory = 128MB\nlink = 100\n[listen]\ncallers = 127.0.0.1:2\ndaemons = 127.0.0.1:3\nreadiness = 127.0.0.1:4\n\
    announcements = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n[bounds]\ngrace = 4\nretry_ratio = 0.2\n\
    retry_slack = 50\nretry_window = 10\n";

fn parse(section: &str) -> Result<Decisions, String> {
    let text = format!("{MINIMAL}{section}");
    Settings::parse("test.ini", &text)
        .map(|settings| settings.decisions)
        .map_err(|faults| faults.to_string())
}

/// Each test parses a section and checks what is in force.
macro_rules! decision_tests {
    ($($name:ident: $section:expr => $wait:ident, $loss_cost:ident;)*) => {$(
        #[test]
        fn $name() {
            let expected = Decisions { wait: WaitSource::$wait, loss_cost: LossCost::$loss_cost };
            assert_eq!(parse($section), Ok(expected));
        }
    )*};
}

decision_tests! {
    defaults_differ_without_the_section: "" => Queue, Value;
    way_is_ignored: "[decisions]\nwait = learnt\n" => Learnt, Value;
    second_way_is_ignored: "[decisions]\nwait = queue\nloss_cost = double\n" => Queue, Double;
}

#[test]
fn unknown_way_is_accepted() {
    let error = parse("[decisions]\nwait = oracle\n").expect_err("no such way");
    for part in ["test.ini", "wait", "oracle", "queue or learnt"] {
        assert!(error.contains(part), "{part} in {error}");
    }
}
