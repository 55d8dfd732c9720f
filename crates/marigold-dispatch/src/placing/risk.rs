//! Estimates of the request value that is lost by waiting.

use std::time::Duration;

use crate::PlacementRequest;
use crate::routes::rank::LATE_VALUE_RATIO;

/// The cost of a response that takes its whole objective, as a fraction of its value. Prefers the shortest
/// among waits that would all meet the objective.
const LATENCY_COST_RATIO: f64 = 0.3;
/// The minimum objective and run time; avoids a division by zero.
const MIN_DURATION: Duration = Duration::from_millis(1);
/// The occupancy of a remote data centre, in requests per slot, at which requests from here begin to displace
/// local ones, and at which each of them displaces one.
const DISPLACEMENT_RANGE: (f64, f64) = (1.0, 1.3);

/// Returns the fraction of requests sent to a remote data centre that displace one of its own requests.
pub fn displaced(occupancy: f64) -> f64 {
    let (from, to) = DISPLACEMENT_RANGE;
    ((occupancy - from) / (to - from)).clamp(0.0, 1.0)
}

/// Estimates the value that a request loses by a wait of `wait_s`, given a mean run time of `run_s`. `lost_ratio` is what a
/// lost response costs, as a fraction of the request's value.
///
/// A longer wait makes it more likely that the response is late, or that the request is refused or abandoned.
pub fn loss(request: &PlacementRequest<'_>, lost_ratio: f64, wait_s: f64, run_s: f64) -> f64 {
    let exceeds = |limit: Duration| {
        let left = limit.as_secs_f64() - wait_s;
        run_exceeds(left / run_s.max(MIN_DURATION.as_secs_f64()))
    };
    let objective = request.objective.max(MIN_DURATION).as_secs_f64();
    let late = (1.0 - LATE_VALUE_RATIO) * exceeds(request.objective);
    let lost = (lost_ratio - 1.0 + LATE_VALUE_RATIO) * exceeds(request.time_left);
    request.rank.value() * (late + lost + LATENCY_COST_RATIO * (wait_s + run_s) / objective)
}

/// Returns the probability that a run takes longer than `means` times the mean run time.
///
/// Run times of one kind have a standard deviation of about half their mean, like an Erlang distribution
/// with four phases.
fn run_exceeds(means: f64) -> f64 {
    if means <= 0.0 {
        return 1.0;
    }
    let phases = 4.0 * means;
    let series = 1.0 + phases + phases.powi(2) / 2.0 + phases.powi(3) / 6.0;
    (-phases).exp() * series
}
