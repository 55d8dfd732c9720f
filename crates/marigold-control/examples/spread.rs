//! Prints the propagation time of a change and the cost of control traffic at several mesh sizes.
//!
//! The control planes are those of the daemon; the links between them are simulated by a queue with
//! a delay of 0.5 to 5 ms. `cargo run --release -p marigold-control --example spread -- 10 50 100`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{Fixture, SECOND, address};
use marigold_control::{ControlOptions, MAX_MEMBERS, Member, MemberTable, Message, Traffic};
use marigold_types::{Address, Version};

/// The duration of each measurement of traffic, in seconds.
const MEASUREMENT_SECONDS: u32 = 60;
/// The number of changes published in each phase.
const CHANGES: u64 = 10;
/// The number of routes in the configuration.
const ROUTES: u64 = 180;
/// How long the propagation of a change is awaited.
const PROPAGATION_TIMEOUT: Duration = Duration::from_mins(1);
/// The resolution of the propagation times.
const STEP: Duration = Duration::from_millis(10);
/// The number of members tables allocated to measure the memory of one.
const TABLE_COPIES: usize = 16;
const DATA_CENTRES: usize = 3;

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let profiles = [
        ("time", ControlOptions::time()),
        ("bytes", ControlOptions::bytes()),
    ];
    println!(
        "| profile | daemons | phase | p50 ms | p99 ms | last ms | B/s or B/change | by kind | log reads/s | appends/s | processor share |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (name, options) in profiles {
        for size in &sizes {
            measure(name, &options, *size);
        }
    }
    print_full_size();
}

/// Prints the links and the memory of the members table of a daemon at the size planned for two
/// years from now.
fn print_full_size() {
    let table = common::table(3_200, 9);
    for (name, options) in [
        ("time", ControlOptions::time()),
        ("bytes", ControlOptions::bytes()),
    ] {
        let mut links = common::count_links(&table, &options);
        links.sort_unstable();
        println!(
            "links at 3,200 daemons in 9 data centres, profile {name}: half of the daemons have {} or fewer, the most is {}",
            links[links.len() / 2],
            links[links.len() - 1]
        );
    }
    // Decoded as if received from the network, so that the records do not share their names.
    let members: Vec<Member> = table.iter().map(|entry| entry.member.clone()).collect();
    let encoded: Vec<Vec<u8>> = members
        .chunks(MAX_MEMBERS)
        .map(|part| {
            let (members, last, joined) = (part.to_vec(), true, true);
            Message::Table {
                members,
                last,
                joined,
            }
            .encode()
        })
        .collect();
    let before = resident_kib();
    let now = tokio::time::Instant::now();
    let copies: Vec<MemberTable> = (0..TABLE_COPIES)
        .map(|_| decode_table(&encoded, now))
        .collect();
    println!(
        "members table of 3,200: {} KiB resident, {} bytes on the wire",
        (resident_kib() - before) / copies.len() as u64,
        encoded.iter().map(Vec::len).sum::<usize>()
    );
}

fn decode_table(encoded: &[Vec<u8>], now: tokio::time::Instant) -> MemberTable {
    let mut table = MemberTable::new();
    for part in encoded {
        if let Ok(Message::Table { members, .. }) = Message::decode(part) {
            for member in members {
                table.merge(&member, now);
            }
        }
    }
    table
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// The counters at one time.
struct Snapshot {
    sent: BTreeMap<&'static str, Traffic>,
    reads: u64,
    appends: u64,
    taken_at: Instant,
}

struct Row<'a> {
    profile: &'a str,
    size: usize,
}

impl Row<'_> {
    fn print(
        &self,
        phase: &str,
        times: &[Duration],
        before: &Snapshot,
        after: &Snapshot,
        divisor: f64,
    ) {
        let daemons = f64::from(u32::try_from(self.size).expect("a small number"));
        let mut kinds = Vec::new();
        let mut total = 0.0;
        for (kind, traffic) in &after.sent {
            let old = before.sent.get(kind).copied().unwrap_or_default();
            let bytes = to_f64(traffic.bytes - old.bytes) / daemons / divisor;
            total += bytes;
            if bytes >= 0.05 {
                kinds.push(format!("{kind} {bytes:.1}"));
            }
        }
        let percentile = |quantile: f64| {
            if times.is_empty() {
                return "-".to_owned();
            }
            let index = quantile * to_f64((times.len() - 1) as u64);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the index is small and not negative"
            )]
            let index = index.round() as usize;
            times[index].as_millis().to_string()
        };
        let cpu_share = (after.taken_at - before.taken_at).as_secs_f64()
            / daemons
            / f64::from(MEASUREMENT_SECONDS);
        let cpu_share = if times.is_empty() {
            format!("{:.4}%", cpu_share * 100.0)
        } else {
            "-".to_owned()
        };
        println!(
            "| {} | {} | {phase} | {} | {} | {} | {total:.0} | {} | {:.2} | {:.3} | {cpu_share} |",
            self.profile,
            self.size,
            percentile(0.5),
            percentile(0.99),
            percentile(1.0),
            kinds.join(", "),
            to_f64(after.reads - before.reads) / f64::from(MEASUREMENT_SECONDS),
            to_f64(after.appends - before.appends) / f64::from(MEASUREMENT_SECONDS),
        );
    }
}

fn measure(profile: &str, options: &ControlOptions, size: usize) {
    let row = Row { profile, size };
    let sizes: Vec<usize> = (0..DATA_CENTRES)
        .map(|c| (size + c) / DATA_CENTRES)
        .collect();
    let mut fixture = Fixture::new(options.clone(), &sizes, 1);
    let routes = (0..ROUTES).map(|n| common::set_route(&format!("r{n}"), "desk", n));
    let changes = std::iter::once(common::set_service("desk")).chain(routes);
    fixture.publish(changes.collect());
    fixture.mesh.advance(60 * SECOND);

    let before = snapshot(&fixture);
    fixture.mesh.advance(MEASUREMENT_SECONDS * SECOND);
    let after = snapshot(&fixture);
    row.print("idle", &[], &before, &after, f64::from(MEASUREMENT_SECONDS));

    let times = measure_changes(&mut fixture, &row, "change");
    assert!(!times.is_empty());

    let before = snapshot(&fixture);
    for second in 0..MEASUREMENT_SECONDS {
        let number = usize::try_from(second).expect("small") % sizes[0];
        fixture.mesh.crash(address(0, number));
        fixture.restart(address(0, number));
        fixture.mesh.advance(SECOND);
    }
    let after = snapshot(&fixture);
    row.print(
        "a restart each second",
        &[],
        &before,
        &after,
        f64::from(MEASUREMENT_SECONDS),
    );

    fixture.mesh.advance(30 * SECOND);
    measure_mass_failure(&mut fixture, &row, sizes[0]);
    fixture.mesh.log.down = true;
    let before = snapshot(&fixture);
    fixture.mesh.advance(MEASUREMENT_SECONDS * SECOND);
    row.print(
        "log down",
        &[],
        &before,
        &snapshot(&fixture),
        f64::from(MEASUREMENT_SECONDS),
    );
    fixture.mesh.log.down = false;
    measure_changes(&mut fixture, &row, "change after the log outage");

    // The baseline: every daemon polls the log itself and fetches complete configurations.
    let config = fixture.mesh.plane(address(2, 0)).config();
    let whole = Message::Whole {
        config: config.as_ref().clone(),
        digest: 0,
    }
    .encode()
    .len();
    let reads = to_f64(size as u64) / options.poll.as_secs_f64();
    println!(
        "| {profile} | {size} | baseline: all read the log, complete configurations | - | - | - | {whole} | whole {whole} | {reads:.1} | - | - |"
    );
}

/// Measures the failure of half of a data centre, and its restart.
fn measure_mass_failure(fixture: &mut Fixture, row: &Row<'_>, size: usize) {
    let before = snapshot(fixture);
    for number in 0..size / 2 {
        fixture.mesh.crash(address(0, number));
    }
    fixture.mesh.advance(MEASUREMENT_SECONDS * SECOND);
    row.print(
        "half a data centre down",
        &[],
        &before,
        &snapshot(fixture),
        f64::from(MEASUREMENT_SECONDS),
    );
    measure_changes(fixture, row, "change after the mass failure");
    let before = snapshot(fixture);
    for number in 0..size / 2 {
        fixture.restart(address(0, number));
    }
    let mut times = Vec::new();
    let started = fixture.mesh.now;
    while !fixture.all_serve() && fixture.mesh.now - started < PROPAGATION_TIMEOUT {
        fixture.mesh.advance(STEP);
    }
    times.push(fixture.mesh.now - started);
    row.print(
        "mass restart, until all serve",
        &times,
        &before,
        &snapshot(fixture),
        1.0,
    );
    fixture.mesh.advance(30 * SECOND);
}

/// Publishes changes and measures the time until each daemon has received them.
fn measure_changes(fixture: &mut Fixture, row: &Row<'_>, phase: &str) -> Vec<Duration> {
    let before = snapshot(fixture);
    let mut times = Vec::new();
    for number in 0..CHANGES {
        fixture
            .mesh
            .advance(Duration::from_millis(3_000 + 37 * number));
        let version = fixture.publish(vec![common::set_route("r7", "desk", 1_000 + number)]);
        times.extend(await_version(fixture, version));
    }
    times.sort_unstable();
    row.print(phase, &times, &before, &snapshot(fixture), to_f64(CHANGES));
    times
}

fn await_version(fixture: &mut Fixture, version: Version) -> Vec<Duration> {
    let started = fixture.mesh.now;
    let mut done: BTreeMap<Address, Duration> = BTreeMap::new();
    while fixture.mesh.now - started < PROPAGATION_TIMEOUT {
        fixture.mesh.advance(STEP);
        let elapsed = fixture.mesh.now - started;
        let mut is_complete = true;
        for plane in fixture.mesh.planes() {
            if plane.config().version >= version {
                done.entry(plane.view().local.address).or_insert(elapsed);
            } else {
                is_complete = false;
            }
        }
        if is_complete {
            break;
        }
    }
    done.into_values().collect()
}

fn snapshot(fixture: &Fixture) -> Snapshot {
    Snapshot {
        sent: fixture.mesh.sent.clone(),
        reads: fixture.mesh.log.reads,
        appends: fixture.mesh.log.appends,
        taken_at: Instant::now(),
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures for a table")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
