//! Selects the executor for a request.
//!
//! Load pattern: one data centre is full while another has capacity, backend servers differ in speed, and
//! some have just joined. Each selection weighs the request value at risk from the expected wait and run
//! time against the cost of cross-data-centre traffic. A server that fails or rejects some of its requests
//! receives fewer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::{DataCentre, ServiceName};
use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::placing::risk::{displaced, loss};
use crate::placing::wait_ratio::{WaitRatio, queue_wait};
use crate::{
    AttemptOutcome, CallKind, Decisions, Directory, ExecutorState, LossCost, PlacementRequest,
    Precedence, RunTime, Site, SiteReport, WaitSource,
};

/// The run time assumed for a kind before its first run.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(50);
/// The maximum random addition to the wait, as a fraction of a run time. Spreads requests over executors of
/// equal cost.
const JITTER_RATIO: f64 = 0.05;
/// The least average run time at an executor, before its first run.
const MIN_MEAN_RUN: Duration = Duration::from_millis(1);
/// The fraction of the expected loss that counts for a request that can be retried on another server.
const RETRIABLE_LOSS_RATIO: f64 = 0.4;
/// The divisor of the moving average of response sizes: a new response has a weight of 1/32.
const SIZE_SMOOTHING_DIVISOR: f64 = 32.0;
/// The cost of a refusal, relative to the request's value: the lost response and a futile retry by the caller.
const REFUSAL_COST_RATIO: f64 = 1.5;
/// The divisor of the moving average of a service's request values: a new request has a weight of 1/64.
const VALUE_SMOOTHING_DIVISOR: f64 = 64.0;
/// The size of a call and its reply without their bodies.
const CALL_OVERHEAD_BYTES: f64 = 600.0;
/// At most one in this number of a service's executors may be ejected for failures.
const MAX_EJECTED_DIVISOR: usize = 2;
/// The maximum number of kinds that are tracked; bounds memory.
const MAX_KINDS: usize = 512;

/// The executor selected for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExecutorChoice {
    /// The address at which the executor accepts calls.
    pub address: SocketAddr,
    /// The expected wait for a slot.
    pub wait: Duration,
    /// Whether the executor is in another data centre.
    pub is_remote: bool,
    /// The requests per slot that the executor seems to have, this one included.
    pub occupancy: f64,
    /// The average run time of all requests at the executor.
    pub mean_run: Duration,
}

impl ExecutorChoice {
    /// Returns the choice of an executor for a reason other than its load.
    #[must_use]
    pub fn regardless_of_load(address: SocketAddr) -> Self {
        Self {
            address,
            wait: Duration::ZERO,
            is_remote: false,
            occupancy: 0.0,
            mean_run: Duration::ZERO,
        }
    }
}

/// The weighted average occupancy of several executors, in requests per slot.
#[derive(Debug, Clone, Copy, Default)]
struct Occupancy {
    /// The weighted sum of requests per slot.
    requests: f64,
    /// The sum of the weights.
    weight: f64,
}

impl Occupancy {
    fn mean(&self) -> f64 {
        self.requests / self.weight.max(f64::MIN_POSITIVE)
    }
}

/// Selects executors for one ingress, based on the state of the executors of all services.
#[derive(Debug)]
pub struct Placement {
    data_centre: DataCentre,
    /// The cost of a kibibyte between data centres, as a fraction of the value of the most urgent response.
    byte_cost: f64,
    executors: HashMap<SocketAddr, ExecutorState>,
    run_times: HashMap<CallKind, RunTime>,
    /// Executors serve workspaces by their precedence before they compare kinds.
    waits: HashMap<(CallKind, Precedence), WaitRatio>,
    decisions: Decisions,
    /// The average size of a response body, in bytes.
    response_sizes: HashMap<CallKind, f64>,
    /// The average value of the requests for a service.
    request_values: HashMap<ServiceName, f64>,
}

impl Placement {
    /// Builds the placement for an ingress in `data_centre`. `byte_cost` is the cost of a kibibyte between data
    /// centres, as a fraction of the value of the most urgent response.
    #[must_use]
    pub fn new(data_centre: DataCentre, byte_cost: f64) -> Self {
        Self {
            data_centre,
            byte_cost,
            executors: HashMap::new(),
            run_times: HashMap::new(),
            waits: HashMap::new(),
            decisions: Decisions::default(),
            response_sizes: HashMap::new(),
            request_values: HashMap::new(),
        }
    }

    /// Sets the cost of a kibibyte between data centres.
    pub fn set_byte_cost(&mut self, byte_cost: f64) {
        self.byte_cost = byte_cost;
    }

    /// Sets the ways in which executors are compared.
    pub fn set_decisions(&mut self, decisions: Decisions) {
        self.decisions = decisions;
    }

    /// Returns the state of the executor at `address`, inserting it if it is new.
    pub fn executor_mut(&mut self, address: SocketAddr, now: Instant) -> &mut ExecutorState {
        self.executors
            .entry(address)
            .or_insert_with(|| ExecutorState::new(now))
    }

    /// Returns whether the executor at `address` is reachable, as last observed.
    #[must_use]
    pub fn is_up(&self, address: SocketAddr) -> bool {
        self.executors
            .get(&address)
            .is_some_and(ExecutorState::is_up)
    }

    /// Returns whether the executor at `address` accepts calls for `service`, as last reported.
    #[must_use]
    pub fn accepts(&self, address: SocketAddr, service: &ServiceName, now: Instant) -> bool {
        self.executors.get(&address).is_some_and(|executor| {
            let is_serving = |report: &SiteReport| serves(report, service);
            executor.takes_calls(now) && executor.report().is_some_and(is_serving)
        })
    }

    /// Returns whether the executor at `address` accepts calls for `service` and has more than `spare` free slots, as
    /// far as known here.
    #[must_use]
    pub fn has_room(
        &self,
        address: SocketAddr,
        service: &ServiceName,
        spare: u32,
        now: Instant,
    ) -> bool {
        self.accepts(address, service, now)
            && self.executors.get(&address).is_some_and(|executor| {
                let slots = executor.report().map_or(0, |report| report.slots.0);
                executor.requests(0.0, now) < f64::from(slots.saturating_sub(spare).max(1))
            })
    }

    /// Returns whether the link to the executor at `address` has failed.
    #[must_use]
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        self.executors
            .get(&address)
            .is_some_and(ExecutorState::is_unreachable)
    }

    /// Removes executors that are no longer in the directory and have no calls in flight.
    pub fn retain(&mut self, directory: &Directory) {
        self.executors.retain(|address, executor| {
            directory.get(*address).is_some() || executor.in_flight() > 0
        });
    }

    /// Records a completed run of `kind` on the executor at `address`: its run time and response size.
    pub fn record_run(
        &mut self,
        address: SocketAddr,
        kind: &CallKind,
        time: Duration,
        bytes: usize,
        now: Instant,
    ) {
        if self.run_times.len() >= MAX_KINDS && !self.run_times.contains_key(kind) {
            return;
        }
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let average_size = self.response_sizes.entry(kind.clone()).or_insert(bytes);
        *average_size += (bytes - *average_size) / SIZE_SMOOTHING_DIVISOR;
        let run_time = self.run_times.entry(kind.clone()).or_default();
        let mean = run_time.mean_or(time).as_secs_f64();
        run_time.observe(time);
        if mean > 0.0 {
            let ratio = time.as_secs_f64() / mean;
            self.executor_mut(address, now).record_run(ratio, now);
        }
    }

    /// Records how long a request of a kind and precedence waited at the executor of `choice` until it had a slot.
    pub fn record_wait(
        &mut self,
        choice: &ExecutorChoice,
        (kind, precedence): (&CallKind, Precedence),
        wait: Duration,
    ) {
        let key = (kind.clone(), precedence);
        let is_full = self.waits.len() >= MAX_KINDS && !self.waits.contains_key(&key);
        if is_full || choice.mean_run.is_zero() {
            return;
        }
        let wait = wait.as_secs_f64() / choice.mean_run.as_secs_f64();
        let curve = self.waits.entry(key).or_default();
        curve.observe(choice.occupancy, wait);
    }

    /// Updates the health of the executor at `address` with the outcome of an attempt.
    ///
    /// At most half of a service's executors are ejected at a time: if more fail, the cause is not specific to
    /// them, and the remaining ones could not carry the load.
    pub fn record_outcome(
        &mut self,
        directory: &Directory,
        address: SocketAddr,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let mut total = 0;
        let mut ejected = 0;
        if let Some(site) = directory.get(address) {
            for other in directory.of(&site.service) {
                let executor = self.executors.get(&other.address);
                total += 1;
                ejected +=
                    usize::from(executor.is_some_and(|executor| executor.ejection.is_unhealthy()));
            }
        }
        let may_eject = (ejected + 1) * MAX_EJECTED_DIVISOR <= total;
        let executor = self.executor_mut(address, now);
        executor
            .ejection
            .finished(outcome.health_signal(), may_eject, now);
        if let Some(lost) = outcome.lost_value() {
            executor.record_loss(lost, now);
        }
    }

    /// Returns the expected run time of a request of `kind`.
    #[must_use]
    pub fn expected_run(&self, kind: &CallKind) -> Duration {
        self.run_times
            .get(kind)
            .map_or(DEFAULT_RUN_TIME, |time| time.mean_or(DEFAULT_RUN_TIME))
    }

    /// Returns the run time that few calls of `kind` exceed, or `None` before it is known.
    #[must_use]
    pub fn longest_run(&self, kind: &CallKind) -> Option<Duration> {
        self.run_times.get(kind)?.overdue_after(0.0)
    }

    /// Returns the time after which the response to a call of `kind` is most likely lost, or `None` while the run times of
    /// that kind are not known well enough.
    #[must_use]
    pub fn overdue_after(
        &self,
        choice: &ExecutorChoice,
        kind: &CallKind,
        now: Instant,
    ) -> Option<Duration> {
        let limit = self.longest_run(kind)?;
        let slowness = self
            .executors
            .get(&choice.address)
            .map_or(1.0, |executor| executor.slowness(now));
        Some(choice.wait + limit.mul_f64(slowness.max(1.0)))
    }

    /// Selects the executor of least cost, or `None` if no executor accepts calls.
    pub fn choose<R: Rng>(
        &mut self,
        directory: &Directory,
        request: &PlacementRequest<'_>,
        rng: &mut R,
        now: Instant,
    ) -> Option<ExecutorChoice> {
        let mut best: Option<(f64, ExecutorChoice)> = None;
        let mut fallback = None;
        self.record_value(request);
        let occupancies = self.mean_occupancies(directory, request.service, now);
        let wait_ratio = self.wait_ratio(request);
        for site in directory.of(request.service) {
            if request.tried.contains(&site.address)
                || !request.versions.admits(site.version.as_ref())
            {
                continue;
            }
            let mean_occupancy = occupancies
                .get(&site.data_centre)
                .map_or(0.0, Occupancy::mean);
            let (cost, choice) = self.cost(site, request, (mean_occupancy, wait_ratio), rng, now);
            let executor = self.executor_mut(site.address, now);
            let report = executor.report();
            let serves_other = report.is_some_and(|report| !serves(report, request.service));
            if serves_other || !executor.takes_calls(now) {
                // Used only if no executor accepts calls, such as after this daemon was partitioned. Not used
                // after a refusal: an unreachable executor would only delay the response.
                if !serves_other {
                    fallback = fallback.or(Some(choice));
                }
                continue;
            }
            // Refusing now is cheaper than cross-data-centre traffic that likely ends in another refusal.
            let is_futile = choice.is_remote && cost >= REFUSAL_COST_RATIO * request.rank.value();
            if is_futile && !request.tried.is_empty() {
                continue;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice)
            .or(fallback.filter(|_| request.tried.is_empty()))
    }

    /// Returns how long requests like this one wait, relative to what queues let expect.
    ///
    /// A request that overtakes others makes them wait in its place, so it counts the whole queue, unless its workspace
    /// goes before theirs.
    fn wait_ratio(&self, request: &PlacementRequest<'_>) -> f64 {
        if self.decisions.wait == WaitSource::Queue {
            return 1.0;
        }
        let key = (request.kind.clone(), request.precedence);
        let ratio = self.waits.get(&key).map_or(1.0, WaitRatio::ratio);
        let mut precedences = self.waits.keys().map(|(_, precedence)| *precedence);
        if precedences.any(|other| other > request.precedence) {
            ratio
        } else {
            ratio.max(1.0)
        }
    }

    fn record_value(&mut self, request: &PlacementRequest<'_>) {
        let value = request.rank.value();
        match self.request_values.get_mut(request.service) {
            Some(average) => *average += (value - *average) / VALUE_SMOOTHING_DIVISOR,
            None => {
                self.request_values.insert(request.service.clone(), value);
            }
        }
    }

    /// Returns the average occupancy of a service's executors in each data centre, from recent reports.
    ///
    /// A data centre without reports counts as free, so that it receives requests and reports its load.
    fn mean_occupancies<'a>(
        &self,
        directory: &'a Directory,
        service: &'a ServiceName,
        now: Instant,
    ) -> HashMap<&'a DataCentre, Occupancy> {
        let mut occupancies: HashMap<_, Occupancy> = HashMap::new();
        for site in directory.of(service) {
            let executor = self.executors.get(&site.address);
            if let Some((requests, weight)) = executor.and_then(|executor| executor.occupancy(now))
            {
                let occupancy = occupancies.entry(&site.data_centre).or_default();
                occupancy.requests += requests * weight;
                occupancy.weight += weight;
            }
        }
        occupancies
    }

    fn cost<R: Rng>(
        &self,
        site: &Site,
        request: &PlacementRequest<'_>,
        (mean_occupancy, wait_ratio): (f64, f64),
        rng: &mut R,
        now: Instant,
    ) -> (f64, ExecutorChoice) {
        let run = self.expected_run(request.kind).as_secs_f64();
        let executor = self.executors.get(&site.address);
        let slowness = executor.map_or(1.0, |executor| executor.slowness(now));
        let slots = executor
            .and_then(ExecutorState::report)
            .map_or(site.slots.0, |r| r.slots.0);
        let slots = f64::from(slots.max(1));
        let is_remote = site.data_centre != self.data_centre;
        let estimated = executor.map_or(0.0, |executor| executor.requests(mean_occupancy, now));
        // The lowest of many remote reports, few of them recent, is more likely outdated than accurate.
        let requests = if is_remote {
            estimated.max(mean_occupancy * slots)
        } else {
            estimated
        };
        let mean = executor
            .and_then(ExecutorState::report)
            .map_or(run * slowness, |report| {
                report.mean_run.max(MIN_MEAN_RUN).as_secs_f64()
            });
        let occupancy = (requests + 1.0) / slots;
        let wait = wait_ratio * mean * queue_wait(occupancy);
        // Contention makes no response overdue.
        let queued = wait_ratio * mean * (occupancy - 1.0).max(0.0);
        let jitter = JITTER_RATIO * run * rng.random::<f64>();
        let expected_loss = executor.map_or(0.0, |executor| executor.expected_loss(now));
        // Nobody can repeat what may run once.
        let lost_ratio = match self.decisions.loss_cost {
            LossCost::Double if !request.idempotent => 2.0,
            LossCost::Double | LossCost::Value => 1.0,
        };
        let failure_ratio = if request.idempotent {
            RETRIABLE_LOSS_RATIO
        } else {
            lost_ratio
        };
        let mut cost = loss(request, lost_ratio, wait + jitter, run * slowness);
        cost += request.rank.value() * expected_loss * failure_ratio;
        if is_remote {
            let request_size = f64::from(u32::try_from(request.bytes).unwrap_or(u32::MAX));
            let response_size = self
                .response_sizes
                .get(request.kind)
                .copied()
                .unwrap_or_default();
            let kib = (CALL_OVERHEAD_BYTES + request_size + response_size) / 1024.0;
            cost += self.byte_cost * kib;
            let value = self.request_values.get(request.service).copied();
            cost += displaced(mean_occupancy) * value.unwrap_or_default();
        }
        let choice = ExecutorChoice {
            address: site.address,
            wait: Duration::from_secs_f64(queued),
            is_remote,
            occupancy,
            mean_run: Duration::from_secs_f64(mean),
        };
        (cost, choice)
    }
}

fn serves(report: &SiteReport, service: &ServiceName) -> bool {
    report.service.as_ref() == Some(service) && report.slots.0 > 0
}
