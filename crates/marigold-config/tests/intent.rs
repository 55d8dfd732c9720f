//! Tests of parsing intents, resource patterns, time windows and percentages.

use marigold_config::{Config, Declaration, Intent, Pattern, Resource, Share, Window};
use marigold_types::{RecordTime, Version};

const VALID_INTENT: &str = "\
[service dispatch-desk]
health = /healthz
slots = 15
connections = 120

[route orders]
path = /orders
service = dispatch-desk
idempotent = no
deadline = 5s

[limit farm]
service = dispatch-desk
caller = farm
rate = 300/s

[objective dispatch-desk]
availability = 99.9%
fast = 99%
latency = 250ms
window = 30d

[operator ann]
key = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff

[rule days]
operator = ann
resources = route:*, service:dispatch-*
window = mon-fri 06:00-18:00
";

macro_rules! fault {
    ($($name:ident: $extra:literal => $want:literal;)*) => {$(
        #[test]
        fn $name() {
            let faults = Intent::parse("mesh.ini", &format!("{VALID_INTENT}{}", $extra)).unwrap_err();
            assert!(faults.to_string().contains($want), "{faults}");
        }
    )*};
}

fault! {
    unknown_kind: "[rout x]\n" => "mesh.ini:30: [rout x]: unknown section";
    unknown_key: "[service b]\nslot = 3\n" => "mesh.ini:31: [service b] slot: unknown setting";
    missing_name: "[service]\n" => "mesh.ini:30: [service]: no valid name";
    duplicate_section: "[service dispatch-desk]\n" => "section is already defined at line 1";
    duplicate_path: "[route again]\npath = /orders\nservice = dispatch-desk\n" => "path `/orders` is taken by";
    same_path_with_slash: "[route again]\npath = /orders/\nservice = dispatch-desk\n" => "path `/orders` is taken by route:again";
    unknown_service: "[route b]\npath = /b\nservice = nobody\n" => "mesh.ini:32: [route b] service: service `nobody` is not declared";
    limit_unknown_service: "[limit b]\nservice = nobody\nrate = 1/s\n" => "[limit b] service: service `nobody`";
    objective_unknown_service: "[objective nobody]\navailability = 99%\n" => "[objective nobody] service";
    missing_path: "[route b]\nservice = dispatch-desk\n" => "mesh.ini:30: [route b] path: missing";
    relative_path: "[route b]\npath = b\nservice = dispatch-desk\n" => "mesh.ini:31: [route b] path: not a valid path";
    wrong_class: "[route b]\npath = /b\nservice = dispatch-desk\nclass = fast\n" => "allowed: critical, interactive or batch";
    wrong_flag: "[route b]\npath = /b\nservice = dispatch-desk\nidempotent = true\n" => "allowed: yes or no";
    wrong_unit: "[service b]\nwarmup = 10\n" => "ms, s, m, h or d";
    zero_slots: "[service b]\nslots = 0\n" => "mesh.ini:31: [service b] slots: `0` is out of range; allowed: 1 to 100000";
    share_of_100_percent: "[service b]\n[objective b]\navailability = 100%\n" => "from 0% to below 100%";
    short_key: "[operator b]\nkey = 00\n" => "64 hexadecimal digits";
    wrong_pattern: "[rule b]\noperator = ann\nresources = routes:*\n" => "not a valid resource pattern";
    wrong_window: "[rule b]\noperator = ann\nresources = *\nwindow = mon 25:00-26:00\n" => "not a valid time window";
    rule_for_unknown_operator: "[rule b]\noperator = nobody\nresources = *\n" => "mesh.ini:31: [rule b] operator: operator `nobody` is not declared";
    zero_rate: "[limit b]\nservice = dispatch-desk\nrate = 0/s\n" => "out of range";
}

#[test]
fn valid_intent_is_parsed() {
    let config = Intent::parse("mesh.ini", VALID_INTENT)
        .unwrap()
        .to_config(Version(3));
    assert_eq!(config.declarations().len(), 6);
    assert!(config.is_complete());
    let Some(Declaration::Route(route)) = config.find(&Resource::Route("orders".parse().unwrap()))
    else {
        panic!("no route");
    };
    assert_eq!(&*route.path, "/orders");
    assert!(!route.idempotent);
    let objective = config.objective(&"dispatch-desk".parse().unwrap()).unwrap();
    assert_eq!((objective.availability, objective.fast), (999_000, 990_000));
}

#[test]
fn undeclared_resources_are_removed() {
    let full = Intent::parse("mesh.ini", VALID_INTENT)
        .unwrap()
        .to_config(Version(3));
    assert_eq!(full.changes_to(&Config::default()).len(), 6);
}

#[test]
fn all_faults_are_reported() {
    let text = "[route a]\nservice = x\nclass = y\n[limit l]\nrate = z\n[what]\n";
    let faults = Intent::parse("mesh.ini", text).unwrap_err();
    assert_eq!(faults.list().len(), 5, "{faults}");
}

#[test]
fn invalid_operator_is_reported_once() {
    let text = "[operator a]\n[rule r]\noperator = a\nresources = *\n";
    let faults = Intent::parse("mesh.ini", text).unwrap_err();
    assert_eq!(faults.list().len(), 1, "{faults}");
}

#[test]
fn invalid_service_is_reported_once() {
    let text = "[service a]\nslots = many\n[route r]\npath = /r\nservice = a\n";
    let faults = Intent::parse("mesh.ini", text).unwrap_err();
    assert_eq!(faults.list().len(), 1, "{faults}");
}

macro_rules! matches {
    ($($name:ident: $pattern:literal, $resource:expr => $want:literal;)*) => {$(
        #[test]
        fn $name() {
            let pattern: Pattern = $pattern.parse().unwrap();
            assert_eq!(pattern.matches(&$resource), $want);
        }
    )*};
}

matches! {
    any: "*", Resource::Route("a".parse().unwrap()) => true;
    kind: "route:*", Resource::Service("a".parse().unwrap()) => false;
    prefix: "service:dispatch-*", Resource::Service("dispatch-desk".parse().unwrap()) => true;
    other_prefix: "service:dispatch-*", Resource::Service("delivery".parse().unwrap()) => false;
    suffix: "route:*-v2", Resource::Route("orders-v2".parse().unwrap()) => true;
    middle: "route:a*b*c", Resource::Route("a1b2c".parse().unwrap()) => true;
    overlap: "route:ab*ba", Resource::Route("aba".parse().unwrap()) => false;
    exact: "*:a", Resource::Limit("a".into()) => true;
}

/// 2026-01-05 was a Monday.
const MONDAY: u64 = 1_767_571_200_000;
const HOUR: u64 = 3_600_000;

macro_rules! window {
    ($($name:ident: $window:literal at $hours:literal => $want:literal;)*) => {$(
        #[test]
        fn $name() {
            let window: Window = $window.parse().unwrap();
            assert_eq!(window.contains(RecordTime(MONDAY + $hours * HOUR)), $want);
        }
    )*};
}

window! {
    always: "always" at 3 => true;
    opens: "mon-fri 06:00-18:00" at 6 => true;
    before: "mon-fri 06:00-18:00" at 5 => false;
    closes: "mon-fri 06:00-18:00" at 18 => false;
    saturday: "mon-fri 06:00-18:00" at 130 => false;
    list: "mon,sat 06:00-18:00" at 130 => true;
    over_weekend: "sat-mon 00:00-24:00" at 23 => true;
    over_midnight: "mon 22:00-04:00" at 27 => true;
    before_midnight: "tue 22:00-04:00" at 3 => false;
}

#[test]
fn shares_round_trip() {
    for text in ["0%", "99.9%", "99.9999%", "100%", "5.05%"] {
        assert_eq!(text.parse::<Share>().unwrap().to_string(), text);
    }
    for text in ["99.9", "101%", "-1%", "1.%", "0.00001%", "99999999999%"] {
        assert!(text.parse::<Share>().is_err(), "{text}");
    }
}
