//! The part of a request's value that a choice puts at risk.

use std::time::Duration;

use crate::PlacementRequest;
use crate::rank::LATE_VALUE;

/// What an answer loses that takes its whole objective, as a part of its value. It leads to the shortest
/// of the waits that all end in time.
const TIME_PART: f64 = 0.3;
/// The shortest time that is left to a request, so that its part can be worked out.
const MIN_LEFT: Duration = Duration::from_millis(1);
/// The requests for each slot at which servers of another data centre begin to turn away their own callers
/// for requests from here, and at which each such request displaces one.
const DISPLACING: (f64, f64) = (1.0, 1.3);

/// Returns the share of requests to a data centre that push one of its own out.
pub fn displaced(fill: f64) -> f64 {
    let (from, to) = DISPLACING;
    ((fill - from) / (to - from)).clamp(0.0, 1.0)
}

/// Estimates the value that a request loses which waits so long, in seconds, for a run of this mean.
///
/// The longer the wait, the likelier the answer is late, and the likelier the request is refused or given
/// up.
pub fn loss(wanted: &PlacementRequest<'_>, wait: f64, run: f64) -> f64 {
    let exceeds = |limit: Duration| {
        let left = limit.as_secs_f64() - wait;
        run_exceeds(left / run.max(MIN_LEFT.as_secs_f64()))
    };
    let objective = wanted.objective.max(MIN_LEFT).as_secs_f64();
    let late = (1.0 - LATE_VALUE) * exceeds(wanted.objective);
    let lost = LATE_VALUE * exceeds(wanted.time_left);
    wanted.rank.value() * (late + lost + TIME_PART * (wait + run) / objective)
}

/// Returns the share of runs that take longer than so many mean runs.
///
/// Runs of one kind spread by about half of their mean, as the sum of four exponential phases does.
fn run_exceeds(means: f64) -> f64 {
    if means <= 0.0 {
        return 1.0;
    }
    let phases = 4.0 * means;
    let series = 1.0 + phases + phases.powi(2) / 2.0 + phases.powi(3) / 6.0;
    (-phases).exp() * series
}
