//! Cost of fetching keys and of calls with a key.

use std::time::{Duration, Instant};

use marigold_config::Intent;
use marigold_settings::Profile;
use marigold_types::{Interval, SlotCount};

use super::bench::{Bench, load_plan, mesh_plan, service};
use super::calls::micros_to_millis;
use super::{Figure, Findings};
use crate::StandinError;
use crate::backend::{BackendPlan, ServiceTime};
use crate::fleet::Node;
use crate::load::{Caller, KeyCache, LoadRoute, Summary};

const INTENT: &str = "[service echo]\nslots = 1000\nconnections = 1000\nwarmup = 0ms\n\
    [route once]\npath = /once\nservice = echo\nidempotent = no\n\
    [route echo]\npath = /echo\nservice = echo\nidempotent = yes\n";
const DAEMONS: usize = 6;
const KEYS_PER_CASE: usize = 2_000;
const BATCH_SIZES: [u32; 2] = [1, 64];
const CALLS_PER_S: u64 = 500;
const LOAD_SECONDS: u64 = 5;
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Measures fetching keys one at a time and in batches, and compares calls with and without a key.
///
/// # Errors
///
/// Returns an error if the mesh does not start or a daemon issues no keys.
pub async fn measure(bench: &Bench) -> Result<Findings, StandinError> {
    bench.step("start a mesh");
    let backend = BackendPlan {
        slots: SlotCount(1_000),
        connections: 1_000,
        time: ServiceTime::Fixed(Interval::from_millis(0)),
        ..BackendPlan::new(service("echo"))
    };
    let backends = vec![Some(backend); DAEMONS];
    let intent = Intent::parse("measure", INTENT)
        .map_err(|faults| StandinError::new("read intent", &"measure", &faults))?;
    let mesh = bench
        .start_mesh(&mesh_plan(backends, Profile::Time), &intent)
        .await?;
    let targets: Vec<_> = mesh.nodes().iter().map(Node::caller_address).collect();

    let mut findings = Findings::default();
    findings.add_note(
        "Keys are fetched one request after the other by one caller over one connection.",
    );
    let caller = Caller::new(true, false, CALLER_TIMEOUT);
    for batch in BATCH_SIZES {
        bench.step(&format!("fetch keys, {batch} per request"));
        let case = format!("{batch} at once");
        let mut times = Summary::histogram();
        for _ in 0..(KEYS_PER_CASE / batch as usize).max(1) {
            let start = Instant::now();
            let keys = KeyCache::fetch(&caller, targets[0], &service("echo"), batch).await?;
            Summary::record(
                &mut times,
                start.elapsed() / u32::try_from(keys.len().max(1)).unwrap_or(1),
            );
        }
        let times = Summary::of(&times);
        let mut add = |name: &str, micros: u64| {
            findings.add(Figure::new(&case, name, micros_to_millis(micros), "ms/key"));
        };
        add("p50", times.p50_us);
        add("p99", times.p99_us);
    }

    bench.step("calls with and without a key");
    let plain = load_plan(
        targets.clone(),
        vec![LoadRoute::repeatable("/echo/x")],
        CALLS_PER_S,
        LOAD_SECONDS,
    );
    bench.warm_up(&plain).await?;
    let plain = bench.run_load(plain).await?;
    let keyed = vec![LoadRoute::once("/once/x", service("echo"))];
    let keyed = bench
        .run_load(load_plan(targets, keyed, CALLS_PER_S, LOAD_SECONDS))
        .await?;
    let audit = mesh.audit(&keyed.ledger);
    let (with, without) = (
        keyed.load.routes[0].answered_time,
        plain.load.routes[0].answered_time,
    );
    let case = format!("{CALLS_PER_S}/s, keys fetched 16 at once");
    let mut add = |name: &str, with: u64, without: u64| {
        let figure = Figure::new(&case, name, micros_to_millis(with), "ms");
        findings.add(figure.with_baseline(micros_to_millis(without)));
    };
    add(
        "p50 of a call with a key, against one without",
        with.p50_us,
        without.p50_us,
    );
    add(
        "p99 of a call with a key, against one without",
        with.p99_us,
        without.p99_us,
    );
    let figure = Figure::new(
        &case,
        "processor time of a call",
        keyed.cpu_us_per_call,
        "us",
    );
    findings.add(figure.with_baseline(plain.cpu_us_per_call));
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    findings.add(Figure::new(&case, "doubled", audit.doubled as f64, "calls").with_target("0"));
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    findings.add(Figure::new(&case, "lost", audit.lost() as f64, "calls").with_target("0"));
    mesh.stop().await?;
    Ok(findings)
}
