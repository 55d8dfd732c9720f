//! How much of a data centre's demand is sent elsewhere.

mod common;

use std::time::Duration;

use common::{data_centre, kind, ms};
use marigold_dispatch::{DataCentreFigures, KindDemand, LocalityPlanner, Rank, ShareReason};
use quickcheck::quickcheck;
use tokio::time::{Instant, advance};

/// The age of news, and the time between decisions.
const NEWS_AGE: u64 = 200;
const STEP: u64 = 50;
/// Daemons that decide alone.
const DAEMONS: usize = 70;
/// The fraction of slots that serve in time.
const USABLE: f64 = 0.85;

fn name(number: usize) -> String {
    format!("dc-{number}")
}

/// A planner that has heard from data centres with this demand and these slots, all `way` apart.
fn planner(figures: &[(f64, f64)], way: u64) -> LocalityPlanner {
    let mut planner = LocalityPlanner::default();
    for number in 0..figures.len() {
        for other in 0..number {
            let (from, to) = (data_centre(&name(number)), data_centre(&name(other)));
            planner.record_way(&from, &to, Some(ms(way)));
        }
    }
    publish(&mut planner, figures);
    planner
}

fn publish(planner: &mut LocalityPlanner, figures: &[(f64, f64)]) {
    let published_at = Instant::now();
    for (number, (arising, slots)) in figures.iter().enumerate() {
        let figures = DataCentreFigures {
            arising: *arising,
            slots: *slots,
            published_at,
        };
        planner.record(&data_centre(&name(number)), figures);
    }
}

fn demand(label: &str, rank: u8, arising: f64, objective: u64, bytes: f64) -> KindDemand {
    KindDemand {
        kind: kind(label),
        rank: Rank(rank),
        arising,
        run: ms(50),
        objective: ms(objective),
        bytes,
    }
}

/// Returns what each data centre sends to each other one, in slots.
fn sent(planner: &mut LocalityPlanner, figures: &[(f64, f64)]) -> Vec<Vec<f64>> {
    let count = figures.len();
    let rows = (0..count).map(|from| {
        let arising = figures[from].0;
        let kinds = [demand("read", 1, arising, 300, 1_000.0)];
        let home = data_centre(&name(from));
        let plan = planner.plan(&home, &kinds, 0.01, Instant::now());
        let to = |to| arising * plan.share * plan.part_to(&data_centre(&name(to)));
        (0..count).map(to).collect()
    });
    rows.collect()
}

/// Each test gives the demand and the slots of data centres, and the share that each sends away.
macro_rules! share_tests {
    ($($test:ident: $figures:expr => $shares:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $test() {
            let figures = $figures;
            let rows = sent(&mut planner(&figures, 5), &figures);
            for (number, share) in $shares.into_iter().enumerate() {
                let row: f64 = rows[number].iter().sum();
                let found = row / figures[number].0.max(1.0);
                assert!((found - share).abs() < 0.02, "{number}: {found}, {rows:?}");
            }
        }
    )*};
}

share_tests! {
    nothing_leaves_while_home_has_room: [(80.0, 100.0), (1.0, 100.0)] => [0.0, 0.0];
    what_lacks_room_leaves: [(105.0, 100.0), (40.0, 100.0)] => [20.0 / 105.0, 0.0];
    no_more_leaves_than_others_have_room_for: [(145.0, 100.0), (75.0, 100.0)] => [10.0 / 145.0, 0.0];
    full_data_centres_do_not_exchange: [(120.0, 100.0), (150.0, 100.0)] => [0.0, 0.0];
    empty_data_centre_is_served_elsewhere: [(40.0, 0.0), (10.0, 100.0)] => [1.0, 0.0];
    uneven_data_centres_share_room: [(44.0, 40.0), (88.0, 80.0), (100.0, 200.0), (20.0, 20.0)]
        => [10.0 / 44.0, 20.0 / 88.0, 0.0, 3.0 / 20.0];
}

quickcheck! {
    /// For any figures: none sends more than it lacks or receives more than it has room for, and none does both.
    fn flows_are_within_lack_and_room(drawn: Vec<(u8, u8)>) -> bool {
        let drawn = drawn.into_iter().take(6);
        let figures: Vec<_> = drawn
            .map(|(arising, slots)| (f64::from(arising), f64::from(slots)))
            .collect();
        let rows = sent(&mut planner(&figures, 5), &figures);
        (0..figures.len()).all(|number| {
            let room = figures[number].1 * USABLE;
            let out: f64 = rows[number].iter().sum();
            let into: f64 = rows.iter().map(|row| row[number]).sum();
            out <= (figures[number].0 - room).max(0.0) + 0.1
                && into <= (room - figures[number].0).max(0.0) + 0.1
                && (out < 0.1 || into < 0.1)
        })
    }
}

/// A wave of demand moves between three data centres; 70 daemons decide on news of 0 to 200 ms. What is sent stays
/// within what demand changes in that time of what is needed.
#[tokio::test(start_paused = true)]
async fn old_news_does_not_make_shares_swing() {
    let mut planners: Vec<_> = (0..DAEMONS).map(|_| planner(&[], 5)).collect();
    let figures_at = |millis: u64| -> Vec<(f64, f64)> {
        let wave = |number: u8| {
            let turns =
                Duration::from_millis(millis).as_secs_f64() / 10.0 + f64::from(number) / 3.0;
            (80.0 + 30.0 * (turns * std::f64::consts::TAU).sin(), 100.0)
        };
        (0..3).map(wave).collect()
    };
    // The steepest slope of the wave, and a step of decisions beyond the age of news.
    let slope = 30.0 * std::f64::consts::TAU / 10.0;
    let tolerance = slope * ms(NEWS_AGE + STEP).as_secs_f64();
    for step in 0..400_u64 {
        let now = 1_000 + step * STEP;
        let figures = figures_at(now);
        let mut total = 0.0;
        for (number, planner) in planners.iter_mut().enumerate() {
            let age = u64::try_from(number).expect("few") * NEWS_AGE / 70;
            if (now / STEP + u64::try_from(number).expect("few")).is_multiple_of(4) || step == 0 {
                publish(planner, &figures_at(now - age));
            }
            total += sent(planner, &figures)[0].iter().sum::<f64>();
        }
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let mean = total / DAEMONS as f64;
        let needed = (figures[0].0 - figures[0].1 * USABLE).max(0.0);
        assert!(
            (mean - needed).abs() <= 2.0 * tolerance,
            "{step}: {mean} for {needed}"
        );
        advance(ms(STEP)).await;
    }
}

/// A data centre that falls silent gets nothing within a second, and gets its demand back over two.
#[tokio::test(start_paused = true)]
async fn lost_data_centre_is_left_alone_and_comes_back_slowly() {
    let figures = [(120.0, 100.0), (20.0, 100.0), (20.0, 100.0)];
    let mut planner = planner(&figures, 5);
    assert!(sent(&mut planner, &figures)[0][1] > 10.0);
    advance(ms(900)).await;
    for number in [0, 2] {
        let published_at = Instant::now();
        let (arising, slots) = figures[number];
        let figures = DataCentreFigures {
            arising,
            slots,
            published_at,
        };
        planner.record(&data_centre(&name(number)), figures);
    }
    let rows = sent(&mut planner, &figures);
    assert!(rows[0][1] < 0.1, "{rows:?}");
    // Its own callers reach daemons that live.
    assert!(rows[1].iter().sum::<f64>() > 19.0, "{rows:?}");
    publish(&mut planner, &figures);
    advance(ms(200)).await;
    publish(&mut planner, &figures);
    let rows = sent(&mut planner, &figures);
    assert!(
        rows[1].iter().sum::<f64>() > 5.0,
        "all came back at once: {rows:?}"
    );
    for _ in 0..20 {
        advance(ms(100)).await;
        publish(&mut planner, &figures);
        sent(&mut planner, &figures);
    }
    let rows = sent(&mut planner, &figures);
    assert!(rows[1].iter().sum::<f64>() < 0.1, "{rows:?}");
    assert!(rows[0][1] > 10.0, "{rows:?}");
}

/// No demand goes to a data centre that calls don't reach.
#[tokio::test(start_paused = true)]
async fn broken_way_is_not_used() {
    let figures = [(105.0, 100.0), (40.0, 100.0), (80.0, 100.0)];
    let mut planner = planner(&figures, 5);
    planner.record_way(&data_centre("dc-0"), &data_centre("dc-1"), None);
    let rows = sent(&mut planner, &figures);
    assert!(rows[0][1] < 0.1 && rows[0][2] > 4.0, "{rows:?}");
}

/// Kinds that would be late at home leave before those that would not, and small ones before large ones; one that the
/// way makes late stays, as does one whose bytes cost more than it is worth.
#[tokio::test(start_paused = true)]
async fn kinds_leave_by_worth() {
    let mut planner = planner(&[(110.0, 100.0), (20.0, 100.0)], 10);
    let kinds = [
        demand("patient", 1, 20.0, 5_000, 100.0),
        demand("large", 1, 20.0, 300, 9_000.0),
        demand("small", 1, 20.0, 300, 1_000.0),
        demand("short", 0, 20.0, 60, 1_000.0),
        demand("huge", 2, 30.0, 300, 900_000.0),
    ];
    let plan = planner.plan(&data_centre("dc-0"), &kinds, 0.01, Instant::now());
    let shares: Vec<_> = kinds
        .iter()
        .map(|demand| plan.share_of(&demand.kind))
        .collect();
    assert_eq!(plan.reason, ShareReason::LacksRoom);
    assert!(shares[2] > 0.99, "{shares:?}");
    assert!(shares[1] > 0.2 && shares[1] < 0.3, "{shares:?}");
    assert!(shares[0] + shares[3] + shares[4] < 0.01, "{shares:?}");
    let to = plan.destination(&kind("small"), (0.5, 0.5));
    assert_eq!(to, Some(&data_centre("dc-1")));
    assert_eq!(plan.destination(&kind("short"), (0.5, 0.5)), None);
    let plan = planner.plan(&data_centre("dc-0"), &kinds[4..], 0.01, Instant::now());
    assert_eq!(plan.reason, ShareReason::NothingCanLeave);
    assert!(plan.share_of(&kind("huge")) < 0.01, "{plan:?}");
}
