//! Computes the shares of one service from what the data centres have published.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use marigold_types::DataCentre;
use tokio::time::Instant;

use super::flows::Flows;
use super::room_ramp::RoomRamp;
use super::{DataCentreFigures, KindDemand, LocalityPlan, ShareReason};

/// The fraction of slots that can be in use while most requests find a free one at once.
const USABLE_RATIO: f64 = 0.85;
/// The age at which figures no longer count as room: a data centre that is cut off or lost publishes none.
const FIGURES_TTL: Duration = Duration::from_millis(800);
/// The longest wait at home that is told apart.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Plans where the demand for one service goes.
#[derive(Debug, Clone, Default)]
pub struct LocalityPlanner {
    figures: BTreeMap<DataCentre, DataCentreFigures>,
    ramps: HashMap<DataCentre, RoomRamp>,
    /// The measured time between two data centres, or `None` if calls there fail.
    ways: HashMap<(DataCentre, DataCentre), Option<Duration>>,
}

impl LocalityPlanner {
    /// Records what a data centre has published, unless newer figures are known.
    pub fn record(&mut self, data_centre: &DataCentre, figures: DataCentreFigures) {
        let known = self.figures.get(data_centre);
        if known.is_none_or(|known| known.published_at <= figures.published_at) {
            self.figures.insert(data_centre.clone(), figures);
        }
    }

    /// Records the time from one data centre to another, in both directions; `None` if calls there fail.
    pub fn record_way(&mut self, from: &DataCentre, to: &DataCentre, way: Option<Duration>) {
        self.ways.insert((from.clone(), to.clone()), way);
        self.ways.insert((to.clone(), from.clone()), way);
    }

    /// Decides which part of the demand that arises in `home` is sent elsewhere, and where to.
    ///
    /// `kinds` are the demands in `home`, and `byte_cost` is the cost of a kibibyte between data centres, relative to
    /// the value of the most urgent response.
    pub fn plan(
        &mut self,
        home: &DataCentre,
        kinds: &[KindDemand],
        byte_cost: f64,
        now: Instant,
    ) -> LocalityPlan {
        let names: Vec<_> = self.figures.keys().cloned().collect();
        let Some(home_index) = names.iter().position(|name| name == home) else {
            return LocalityPlan::default();
        };
        let rooms: Vec<_> = names.iter().map(|name| self.room(name, now)).collect();
        let arising: Vec<_> = names
            .iter()
            .map(|name| self.figures[name].arising)
            .collect();
        let pairs = || arising.iter().zip(&rooms);
        let lacks: Vec<_> = pairs()
            .map(|(asked, room)| (asked - room).max(0.0))
            .collect();
        let spare: Vec<_> = pairs()
            .map(|(asked, room)| (room - asked).max(0.0))
            .collect();
        let ways: Vec<Vec<_>> = names
            .iter()
            .map(|from| names.iter().map(|to| self.way(from, to)).collect())
            .collect();
        if lacks[home_index] <= 0.0 {
            return LocalityPlan::default();
        }
        let flows = Flows::divide(&lacks, &spare, &ways);
        let sent = flows.of(home_index);
        let amount: f64 = sent.iter().sum();
        let longest = (0..names.len())
            .filter(|to| sent[*to] > 0.0)
            .filter_map(|to| ways[home_index][to])
            .max();
        let wait = wait_at_home(arising[home_index], rooms[home_index]);
        let shares = divide_kinds(
            kinds,
            amount,
            (wait, longest.unwrap_or_default()),
            byte_cost,
        );
        let leaving: f64 = kinds
            .iter()
            .map(|demand| demand.arising * shares.get(&demand.kind).copied().unwrap_or(0.0))
            .sum();
        LocalityPlan {
            reason: reason(rooms[home_index], leaving),
            share: leaving / arising[home_index].max(f64::MIN_POSITIVE),
            kinds: shares,
            parts: (0..names.len())
                .filter(|to| sent[*to] > 0.0)
                .map(|to| (names[to].clone(), sent[to] / amount))
                .collect(),
        }
    }

    /// Returns the room of a data centre, in slots, that serves in time.
    fn room(&mut self, name: &DataCentre, now: Instant) -> f64 {
        let figures = self.figures[name];
        let age = now.saturating_duration_since(figures.published_at);
        let room = if age < FIGURES_TTL {
            figures.slots * USABLE_RATIO
        } else {
            0.0
        };
        let ramp = self.ramps.entry(name.clone());
        let ramp = ramp.or_insert_with(|| RoomRamp::new(room, now));
        ramp.follow(room, now)
    }

    fn way(&self, from: &DataCentre, to: &DataCentre) -> Option<Duration> {
        let known = self.ways.get(&(from.clone(), to.clone()));
        known.copied().unwrap_or(Some(Duration::ZERO))
    }
}

fn reason(room: f64, leaving: f64) -> ShareReason {
    if leaving <= 0.0 {
        ShareReason::NothingCanLeave
    } else if room <= 0.0 {
        ShareReason::NoServers
    } else {
        ShareReason::LacksRoom
    }
}

/// Returns how much the wait at home grows in a second in which this demand arises.
fn wait_at_home(arising: f64, room: f64) -> Duration {
    let growth = (arising - room) / room.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(growth.clamp(0.0, MAX_WAIT.as_secs_f64()))
}

/// Chooses the kinds whose requests leave, `amount` slots in total, and returns the share of each.
///
/// `waits` are the wait at home and the longest way. A kind that would be late there too, or whose bytes cost more
/// than it is worth, stays.
fn divide_kinds(
    kinds: &[KindDemand],
    amount: f64,
    waits: (Duration, Duration),
    byte_cost: f64,
) -> HashMap<crate::CallKind, f64> {
    let (wait, way) = waits;
    let pays = |demand: &&KindDemand| {
        !demand.is_late(Duration::ZERO, way) && demand.relative_cost(byte_cost) < 1.0
    };
    let mut ordered: Vec<_> = kinds.iter().filter(pays).collect();
    ordered.sort_by(|a, b| a.leaving_order(b, wait));
    let mut left = amount;
    let mut shares = HashMap::new();
    for demand in ordered {
        let moved = demand.arising.min(left);
        if moved > 0.0 {
            shares.insert(demand.kind.clone(), moved / demand.arising);
            left -= moved;
        }
    }
    shares
}
