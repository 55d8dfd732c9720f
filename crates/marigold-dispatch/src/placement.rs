//! Chooses the executor of a request.
//!
//! Answers the load pattern in which one data centre is full while another has room, backend servers
//! differ in speed, and some have just joined: each choice weighs the value that the expected wait and
//! run put at risk against what it costs to leave the data centre. A server that fails a part of its
//! requests, or turns them away, gets less.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::{DataCentre, ServiceName};
use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::risk::{displaced, loss};
use crate::{
    AttemptOutcome, CallKind, Directory, ExecutorState, PlacementRequest, RunTime, Site, SiteReport,
};

/// The run time that is assumed before any of a kind was seen.
const FIRST_RUN: Duration = Duration::from_millis(50);
/// The part of a run that a full backend server costs beyond its line, since runs bunch up.
const CROWD_PART: f64 = 0.25;
/// The random part of a time, in runs, that spreads equal choices over executors.
const JITTER_PART: f64 = 0.05;
/// The part of its value that a failed request loses which may be sent to another server.
const REPEAT_PART: f64 = 0.4;
/// The weight of the newest answer in the usual size of a kind, as a part of the whole.
const SIZE_PART: f64 = 32.0;
/// What a refusal costs, in parts of the request's value: the answer, and a caller that comes back in vain.
const REFUSED_PART: f64 = 1.5;
/// The weight of the newest request in the usual value of a service's requests, as a part of the whole.
const VALUE_PART: f64 = 64.0;
/// The bytes that a call and its outcome take besides their bodies.
const HOP_BYTES: f64 = 600.0;
/// One executor in so many of a service may be left out for its failures.
const MAX_EJECTED_PART: usize = 2;
/// The kinds of work whose run time is remembered.
const MAX_KINDS: usize = 512;

/// An executor with what it is expected to cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExecutorChoice {
    /// Where the executor takes calls.
    pub address: SocketAddr,
    /// The expected wait for a slot.
    pub wait: Duration,
    /// Whether it stands in another data centre.
    pub is_remote: bool,
}

/// Requests for each slot, as several reports tell.
#[derive(Debug, Clone, Copy, Default)]
struct Fill {
    requests: f64,
    /// The sum of the reports' weights.
    weight: f64,
}

impl Fill {
    fn mean(&self) -> f64 {
        self.requests / self.weight.max(f64::MIN_POSITIVE)
    }
}

/// Knows the executors of all services from the view of one ingress.
#[derive(Debug)]
pub struct Placement {
    data_centre: DataCentre,
    /// What a kibibyte between data centres costs, as a part of the value of the most urgent answer.
    byte_cost: f64,
    tracks: HashMap<SocketAddr, ExecutorState>,
    runs: HashMap<CallKind, RunTime>,
    /// The usual size of an answer's body, in bytes.
    sizes: HashMap<CallKind, f64>,
    /// The usual value of the requests for a service.
    values: HashMap<ServiceName, f64>,
}

impl Placement {
    /// Builds the placement of an ingress in `data_centre`, where a kibibyte that leaves it costs
    /// `byte_cost` of the value of the most urgent answer.
    #[must_use]
    pub fn new(data_centre: DataCentre, byte_cost: f64) -> Self {
        Self {
            data_centre,
            byte_cost,
            tracks: HashMap::new(),
            runs: HashMap::new(),
            sizes: HashMap::new(),
            values: HashMap::new(),
        }
    }

    /// Sets the cost of a kibibyte that leaves the data centre.
    pub fn set_byte_cost(&mut self, byte_cost: f64) {
        self.byte_cost = byte_cost;
    }

    /// Returns the state of the executor at `address`.
    pub fn executor_mut(&mut self, address: SocketAddr, now: Instant) -> &mut ExecutorState {
        self.tracks
            .entry(address)
            .or_insert_with(|| ExecutorState::new(now))
    }

    /// Returns whether the executor at `address` can be reached, as far as is known.
    #[must_use]
    pub fn is_up(&self, address: SocketAddr) -> bool {
        self.tracks.get(&address).is_some_and(ExecutorState::is_up)
    }

    /// Returns whether the executor at `address` could not be reached.
    #[must_use]
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        self.tracks
            .get(&address)
            .is_some_and(ExecutorState::is_unreachable)
    }

    /// Forgets executors that are in the directory no more and have nothing in flight.
    pub fn retain(&mut self, directory: &Directory) {
        self.tracks
            .retain(|address, track| directory.get(*address).is_some() || track.in_flight() > 0);
    }

    /// Learns from a run of `kind` at `address` that took `time` and brought `bytes`.
    pub fn record_run(
        &mut self,
        address: SocketAddr,
        kind: &CallKind,
        time: Duration,
        bytes: usize,
        now: Instant,
    ) {
        if self.runs.len() >= MAX_KINDS && !self.runs.contains_key(kind) {
            return;
        }
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let size = self.sizes.entry(kind.clone()).or_insert(bytes);
        *size += (bytes - *size) / SIZE_PART;
        let usual = self.runs.entry(kind.clone()).or_default();
        let mean = usual.mean_or(time).as_secs_f64();
        usual.observe(time);
        if mean > 0.0 {
            let ratio = time.as_secs_f64() / mean;
            self.executor_mut(address, now).record_run(ratio, now);
        }
    }

    /// Learns the health of the executor at `address` from the end of an attempt there.
    ///
    /// Half of a service's executors at most are left out at a time: when more fail, the cause is not
    /// theirs alone, and the others could not carry the load.
    pub fn record_outcome(
        &mut self,
        directory: &Directory,
        address: SocketAddr,
        end: AttemptOutcome,
        now: Instant,
    ) {
        let mut all = 0;
        let mut out = 0;
        if let Some(site) = directory.get(address) {
            for other in directory.of(&site.service) {
                let track = self.tracks.get(&other.address);
                all += 1;
                out += usize::from(track.is_some_and(|track| track.ejection.is_unhealthy()));
            }
        }
        let may_eject = (out + 1) * MAX_EJECTED_PART <= all;
        let track = self.executor_mut(address, now);
        track.ejection.finished(end.health_signal(), may_eject, now);
        if let Some(lost) = end.lost_value() {
            track.record_loss(lost, now);
        }
    }

    /// Returns how long a run of `kind` usually takes.
    #[must_use]
    pub fn expected_run(&self, kind: &CallKind) -> Duration {
        self.runs
            .get(kind)
            .map_or(FIRST_RUN, |time| time.mean_or(FIRST_RUN))
    }

    /// Chooses the executor of least cost, none if none takes calls.
    pub fn choose<R: Rng>(
        &mut self,
        directory: &Directory,
        wanted: &PlacementRequest<'_>,
        rng: &mut R,
        now: Instant,
    ) -> Option<ExecutorChoice> {
        let mut best: Option<(f64, ExecutorChoice)> = None;
        let mut fallback = None;
        self.note_value(wanted);
        let fills = self.usual_fills(directory, wanted.service, now);
        for site in directory.of(wanted.service) {
            if wanted.tried.contains(&site.address) {
                continue;
            }
            let usual = fills.get(&site.data_centre).map_or(0.0, Fill::mean);
            let (cost, choice) = self.cost(site, wanted, usual, rng, now);
            let track = self.executor_mut(site.address, now);
            let report = track.report();
            let is_other = report.is_some_and(|report| !serves(report, wanted.service));
            if is_other || !track.takes_calls(now) {
                // Better than none if every executor looks unfit, as when this daemon was cut off. After
                // a refusal it is not: what cannot be reached would hold the request up.
                if !is_other {
                    fallback = fallback.or(Some(choice));
                }
                continue;
            }
            // A refusal costs less than bytes that lead to another one.
            let is_vain = choice.is_remote && cost >= REFUSED_PART * wanted.rank.value();
            if is_vain && !wanted.tried.is_empty() {
                continue;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice)
            .or(fallback.filter(|_| wanted.tried.is_empty()))
    }

    fn note_value(&mut self, wanted: &PlacementRequest<'_>) {
        let value = wanted.rank.value();
        match self.values.get_mut(wanted.service) {
            Some(usual) => *usual += (value - *usual) / VALUE_PART,
            None => {
                self.values.insert(wanted.service.clone(), value);
            }
        }
    }

    /// Returns how full the executors of a service are in each data centre, by recent reports.
    ///
    /// One without any counts as free, so that it is asked and tells.
    fn usual_fills<'a>(
        &self,
        directory: &'a Directory,
        service: &'a ServiceName,
        now: Instant,
    ) -> HashMap<&'a DataCentre, Fill> {
        let mut fills: HashMap<_, Fill> = HashMap::new();
        for site in directory.of(service) {
            let track = self.tracks.get(&site.address);
            if let Some((requests, weight)) = track.and_then(|track| track.fill(now)) {
                let fill = fills.entry(&site.data_centre).or_default();
                fill.requests += requests * weight;
                fill.weight += weight;
            }
        }
        fills
    }

    fn cost<R: Rng>(
        &self,
        site: &Site,
        wanted: &PlacementRequest<'_>,
        usual: f64,
        rng: &mut R,
        now: Instant,
    ) -> (f64, ExecutorChoice) {
        let run = self.expected_run(wanted.kind).as_secs_f64();
        let track = self.tracks.get(&site.address);
        let speed = track.map_or(1.0, |track| track.slowness(now));
        let slots = track
            .and_then(ExecutorState::report)
            .map_or(site.slots.0, |r| r.slots.0);
        let slots = f64::from(slots.max(1));
        let is_remote = site.data_centre != self.data_centre;
        let said = track.map_or(0.0, |track| track.requests(usual, now));
        // The least of many remote reports, few of them fresh, is more often out of date than true.
        let requests = if is_remote {
            said.max(usual * slots)
        } else {
            said
        };
        let mean = track
            .and_then(ExecutorState::report)
            .map_or(run * speed, |report| {
                report.mean_run.as_secs_f64().max(0.001)
            });
        let ahead = (requests + 1.0 - slots).max(0.0);
        let wait = ahead * mean / slots;
        let fill = ((requests + 1.0) / slots).min(1.0);
        let crowd = CROWD_PART * mean * fill * fill;
        let jitter = JITTER_PART * run * rng.random::<f64>();
        let harm = track.map_or(0.0, |track| track.expected_loss(now));
        let mut cost = loss(wanted, wait + crowd + jitter, run * speed);
        let part = if wanted.idempotent { REPEAT_PART } else { 1.0 };
        cost += wanted.rank.value() * harm * part;
        if is_remote {
            let request = f64::from(u32::try_from(wanted.bytes).unwrap_or(u32::MAX));
            let answer = self.sizes.get(wanted.kind).copied().unwrap_or_default();
            let kib = (HOP_BYTES + request + answer) / 1024.0;
            cost += self.byte_cost * kib;
            let value = self.values.get(wanted.service).copied();
            cost += displaced(usual) * value.unwrap_or_default();
        }
        let choice = ExecutorChoice {
            address: site.address,
            wait: Duration::from_secs_f64(wait),
            is_remote,
        };
        (cost, choice)
    }
}

fn serves(report: &SiteReport, service: &ServiceName) -> bool {
    report.service.as_ref() == Some(service) && report.slots.0 > 0
}
