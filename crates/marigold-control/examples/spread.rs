//! Prints how long a change takes and what control costs, at several fleet sizes.
//!
//! The control planes are the daemon's own; the links between them are a queue with half to five
//! milliseconds of delay. `cargo run --release -p marigold-control --example spread -- 10 50 100`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{Fixture, SECOND, address};
use marigold_control::{ControlOptions, MAX_MEMBERS, Member, MemberTable, Message, Traffic};
use marigold_types::{Address, Version};

/// How long each kind of traffic is watched, in seconds.
const WATCH: u32 = 60;
/// How many changes are published.
const CHANGES: u64 = 10;
/// How many routes the configuration has.
const ROUTES: u64 = 180;
/// The most that a change is waited for.
const LIMIT: Duration = Duration::from_mins(1);
/// How exactly convergence is timed.
const STEP: Duration = Duration::from_millis(10);
/// How many members tables are held at once to weigh one.
const COPIES: usize = 16;
/// The number of data centres.
const CENTRES: usize = 3;

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

/// Prints what one daemon keeps at the size in two years.
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
    // As they come from the network: each record has names of its own.
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
    let before = resident();
    let now = tokio::time::Instant::now();
    let copies: Vec<MemberTable> = (0..COPIES).map(|_| decode_table(&encoded, now)).collect();
    println!(
        "members table of 3,200: {} KiB resident, {} bytes on the wire",
        (resident() - before) / copies.len() as u64,
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
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// The counters at one moment.
struct Moment {
    sent: BTreeMap<&'static str, Traffic>,
    reads: u64,
    appends: u64,
    clock: Instant,
}

struct Row<'a> {
    profile: &'a str,
    size: usize,
}

impl Row<'_> {
    fn print(&self, phase: &str, times: &[Duration], before: &Moment, after: &Moment, per: f64) {
        let daemons = f64::from(u32::try_from(self.size).expect("a small number"));
        let mut kinds = Vec::new();
        let mut total = 0.0;
        for (kind, traffic) in &after.sent {
            let old = before.sent.get(kind).copied().unwrap_or_default();
            let bytes = to_f64(traffic.bytes - old.bytes) / daemons / per;
            total += bytes;
            if bytes >= 0.05 {
                kinds.push(format!("{kind} {bytes:.1}"));
            }
        }
        let at = |share: f64| {
            if times.is_empty() {
                return "-".to_owned();
            }
            let place = share * to_f64((times.len() - 1) as u64);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "an index"
            )]
            let place = place.round() as usize;
            times[place].as_millis().to_string()
        };
        let share = (after.clock - before.clock).as_secs_f64() / daemons / f64::from(WATCH);
        let share = if times.is_empty() {
            format!("{:.4}%", share * 100.0)
        } else {
            "-".to_owned()
        };
        println!(
            "| {} | {} | {phase} | {} | {} | {} | {total:.0} | {} | {:.2} | {:.3} | {share} |",
            self.profile,
            self.size,
            at(0.5),
            at(0.99),
            at(1.0),
            kinds.join(", "),
            to_f64(after.reads - before.reads) / f64::from(WATCH),
            to_f64(after.appends - before.appends) / f64::from(WATCH),
        );
    }
}

fn measure(profile: &str, options: &ControlOptions, size: usize) {
    let row = Row { profile, size };
    let sizes: Vec<usize> = (0..CENTRES).map(|c| (size + c) / CENTRES).collect();
    let mut fixture = Fixture::new(options.clone(), &sizes, 1);
    let routes = (0..ROUTES).map(|n| common::set_route(&format!("r{n}"), "desk", n));
    let changes = std::iter::once(common::set_service("desk")).chain(routes);
    fixture.publish(changes.collect());
    fixture.mesh.advance(60 * SECOND);

    let before = moment(&fixture);
    fixture.mesh.advance(WATCH * SECOND);
    let after = moment(&fixture);
    row.print("idle", &[], &before, &after, f64::from(WATCH));

    let times = changes_of(&mut fixture, &row, "change");
    assert!(!times.is_empty());

    let before = moment(&fixture);
    for second in 0..WATCH {
        let number = usize::try_from(second).expect("small") % sizes[0];
        fixture.mesh.crash(address(0, number));
        fixture.restart(address(0, number));
        fixture.mesh.advance(SECOND);
    }
    let after = moment(&fixture);
    row.print(
        "a restart each second",
        &[],
        &before,
        &after,
        f64::from(WATCH),
    );

    fixture.mesh.advance(30 * SECOND);
    herd(&mut fixture, &row, sizes[0]);
    fixture.mesh.log.down = true;
    let before = moment(&fixture);
    fixture.mesh.advance(WATCH * SECOND);
    row.print(
        "log down",
        &[],
        &before,
        &moment(&fixture),
        f64::from(WATCH),
    );
    fixture.mesh.log.down = false;
    changes_of(&mut fixture, &row, "change as the log returns");

    // The baseline: every daemon polls the log, reads each record, and gets whole states.
    let config = fixture.mesh.plane(address(2, 0)).config();
    let whole = Message::Whole {
        config: config.as_ref().clone(),
        digest: 0,
    }
    .encode()
    .len();
    let reads = to_f64(size as u64) / options.poll.as_secs_f64();
    println!(
        "| {profile} | {size} | baseline: all read the log, whole states | - | - | - | {whole} | whole {whole} | {reads:.1} | - | - |"
    );
}

/// Half of a data centre dies, and returns at once.
fn herd(fixture: &mut Fixture, row: &Row<'_>, size: usize) {
    let before = moment(fixture);
    for number in 0..size / 2 {
        fixture.mesh.crash(address(0, number));
    }
    fixture.mesh.advance(WATCH * SECOND);
    row.print(
        "half a data centre gone",
        &[],
        &before,
        &moment(fixture),
        f64::from(WATCH),
    );
    changes_of(fixture, row, "change after the herd died");
    let before = moment(fixture);
    for number in 0..size / 2 {
        fixture.restart(address(0, number));
    }
    let mut times = Vec::new();
    let began = fixture.mesh.now;
    while !fixture.all_serve() && fixture.mesh.now - began < LIMIT {
        fixture.mesh.advance(STEP);
    }
    times.push(fixture.mesh.now - began);
    row.print(
        "herd returns, until all serve",
        &times,
        &before,
        &moment(fixture),
        1.0,
    );
    fixture.mesh.advance(30 * SECOND);
}

/// Publishes some changes and times until each daemon holds each.
fn changes_of(fixture: &mut Fixture, row: &Row<'_>, phase: &str) -> Vec<Duration> {
    let before = moment(fixture);
    let mut times = Vec::new();
    for number in 0..CHANGES {
        fixture
            .mesh
            .advance(Duration::from_millis(3_000 + 37 * number));
        let version = fixture.publish(vec![common::set_route("r7", "desk", 1_000 + number)]);
        times.extend(await_version(fixture, version));
    }
    times.sort_unstable();
    row.print(phase, &times, &before, &moment(fixture), to_f64(CHANGES));
    times
}

fn await_version(fixture: &mut Fixture, version: Version) -> Vec<Duration> {
    let began = fixture.mesh.now;
    let mut done: BTreeMap<Address, Duration> = BTreeMap::new();
    while fixture.mesh.now - began < LIMIT {
        fixture.mesh.advance(STEP);
        let passed = fixture.mesh.now - began;
        let mut all = true;
        for plane in fixture.mesh.planes() {
            if plane.config().version >= version {
                done.entry(plane.view().local.address).or_insert(passed);
            } else {
                all = false;
            }
        }
        if all {
            break;
        }
    }
    done.into_values().collect()
}

fn moment(fixture: &Fixture) -> Moment {
    Moment {
        sent: fixture.mesh.sent.clone(),
        reads: fixture.mesh.log.reads,
        appends: fixture.mesh.log.appends,
        clock: Instant::now(),
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures for a table")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
