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

use crate::rank::LATE_VALUE;
use crate::{AttemptEnd, CallKind, Directory, Rank, RunTime, Site, SiteReport, Track};

/// The run time that is assumed before any of a kind was seen.
const FIRST_RUN: Duration = Duration::from_millis(50);
/// The part of a run that a full backend server costs beyond its line, since runs bunch up.
const CROWD_PART: f64 = 0.25;
/// The random part of a time, in runs, that spreads equal choices over executors.
const JITTER_PART: f64 = 0.05;
/// What an answer loses that takes its whole objective, as a part of its value. It leads to the shortest
/// of the waits that all end in time.
const TIME_PART: f64 = 0.3;
/// The part of its value that a failed request loses which may be sent to another server.
const REPEAT_PART: f64 = 0.4;
/// The shortest time that is left to a request, so that its part can be worked out.
const MIN_LEFT: Duration = Duration::from_millis(1);
/// The weight of the newest answer in the usual size of a kind, as a part of the whole.
const SIZE_PART: f64 = 32.0;
/// The bytes that a call and its outcome take besides their bodies.
const HOP_BYTES: f64 = 600.0;
/// One executor in so many of a service may be left out for its failures.
const MAX_EJECTED_PART: usize = 2;
/// The kinds of work whose run time is remembered.
const MAX_KINDS: usize = 512;

/// What is asked of a placement.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The service that must run the request.
    pub service: &'a ServiceName,
    /// What kind of work it is.
    pub kind: &'a CallKind,
    /// How urgent it is.
    pub rank: Rank,
    /// How long its answer still earns full value.
    pub objective: Duration,
    /// How long anybody waits for its answer.
    pub patience: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The bytes of the request's body.
    pub bytes: u64,
    /// Executors that were tried already.
    pub tried: &'a [SocketAddr],
}

/// An executor with what it is expected to cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Where the executor takes calls.
    pub address: SocketAddr,
    /// The expected wait for a slot.
    pub wait: Duration,
    /// Whether it stands in another data centre.
    pub is_remote: bool,
}

/// Knows the executors of all services from the view of one ingress.
#[derive(Debug)]
pub struct Placement {
    data_centre: DataCentre,
    /// What a kibibyte between data centres costs, as a part of the value of the most urgent answer.
    byte_cost: f64,
    tracks: HashMap<SocketAddr, Track>,
    runs: HashMap<CallKind, RunTime>,
    /// The usual size of an answer's body, in bytes.
    sizes: HashMap<CallKind, f64>,
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
        }
    }

    /// Returns the state of the executor at `address`.
    pub fn track(&mut self, address: SocketAddr, now: Instant) -> &mut Track {
        self.tracks
            .entry(address)
            .or_insert_with(|| Track::new(now))
    }

    /// Returns whether the executor at `address` can be reached, as far as is known.
    #[must_use]
    pub fn is_up(&self, address: SocketAddr) -> bool {
        self.tracks.get(&address).is_some_and(Track::is_up)
    }

    /// Returns whether the executor at `address` could not be reached.
    #[must_use]
    pub fn is_lost(&self, address: SocketAddr) -> bool {
        self.tracks.get(&address).is_some_and(Track::is_lost)
    }

    /// Forgets executors that are in the directory no more and have nothing in flight.
    pub fn retain(&mut self, directory: &Directory) {
        self.tracks
            .retain(|address, track| directory.get(*address).is_some() || track.in_flight() > 0);
    }

    /// Learns from a run of `kind` at `address` that took `time` and brought `bytes`.
    pub fn ran(
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
            self.track(address, now).ran(ratio, now);
        }
    }

    /// Learns the health of the executor at `address` from the end of an attempt there.
    ///
    /// Half of a service's executors at most are left out at a time: when more fail, the cause is not
    /// theirs alone, and the others could not carry the load.
    pub fn ended(
        &mut self,
        directory: &Directory,
        address: SocketAddr,
        end: AttemptEnd,
        now: Instant,
    ) {
        let mut all = 0;
        let mut out = 0;
        if let Some(site) = directory.get(address) {
            for other in directory.of(&site.service) {
                let track = self.tracks.get(&other.address);
                all += 1;
                out += usize::from(track.is_some_and(|track| track.ejection.is_out()));
            }
        }
        let may_eject = (out + 1) * MAX_EJECTED_PART <= all;
        let track = self.track(address, now);
        track.ejection.finished(end.sign(), may_eject, now);
        if let Some(lost) = end.lost() {
            track.harmed(lost, now);
        }
    }

    /// Returns how long a run of `kind` usually takes.
    #[must_use]
    pub fn usual_run(&self, kind: &CallKind) -> Duration {
        self.runs
            .get(kind)
            .map_or(FIRST_RUN, |time| time.mean_or(FIRST_RUN))
    }

    /// Chooses the executor of least cost, none if none takes calls.
    pub fn choose<R: Rng>(
        &mut self,
        directory: &Directory,
        wanted: &Wanted<'_>,
        rng: &mut R,
        now: Instant,
    ) -> Option<Choice> {
        let mut best: Option<(f64, Choice)> = None;
        let mut fallback = None;
        let usual = self.usual_fill(directory, wanted.service, now);
        for site in directory.of(wanted.service) {
            if wanted.tried.contains(&site.address) {
                continue;
            }
            let (cost, choice) = self.cost(site, wanted, usual, rng, now);
            let track = self.track(site.address, now);
            let report = track.report();
            let is_other = report.is_some_and(|report| !serves(report, wanted.service));
            if is_other || !track.takes_calls(now) {
                // Better than none if every executor looks unfit, as when this daemon was cut off. After
                // a refusal it is not: what cannot be reached would hold the request up.
                if !is_other && wanted.tried.is_empty() {
                    fallback = fallback.or(Some(choice));
                }
                continue;
            }
            // The refusal of a full data centre is no reason to ask one that is as full.
            let is_full = choice.wait + self.usual_run(wanted.kind) > wanted.objective;
            if choice.is_remote && is_full && !wanted.tried.is_empty() {
                continue;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice).or(fallback)
    }

    /// Returns the requests for each slot of a service that recent reports tell of.
    fn usual_fill(&self, directory: &Directory, service: &ServiceName, now: Instant) -> f64 {
        let tracks = directory
            .of(service)
            .filter_map(|site| self.tracks.get(&site.address));
        let (mut sum, mut weights) = (0.0, 0.0);
        for (fill, weight) in tracks.filter_map(|track| track.fill(now)) {
            sum += fill * weight;
            weights += weight;
        }
        if weights > 0.0 { sum / weights } else { 0.0 }
    }

    fn cost<R: Rng>(
        &self,
        site: &Site,
        wanted: &Wanted<'_>,
        usual: f64,
        rng: &mut R,
        now: Instant,
    ) -> (f64, Choice) {
        let run = self.usual_run(wanted.kind).as_secs_f64();
        let track = self.tracks.get(&site.address);
        let speed = track.map_or(1.0, |track| track.speed(now));
        let slots = track
            .and_then(Track::report)
            .map_or(site.slots.0, |r| r.slots.0);
        let slots = f64::from(slots.max(1));
        let requests = track.map_or(0.0, |track| track.requests(usual, now));
        let mean = track.and_then(Track::report).map_or(run * speed, |report| {
            report.mean_run.as_secs_f64().max(0.001)
        });
        let ahead = (requests + 1.0 - slots).max(0.0);
        let wait = ahead * mean / slots;
        let fill = ((requests + 1.0) / slots).min(1.0);
        let is_remote = site.data_centre != self.data_centre;
        let crowd = CROWD_PART * mean * fill * fill;
        let jitter = JITTER_PART * run * rng.random::<f64>();
        let harm = track.map_or(0.0, |track| track.harm(now));
        let mut cost = loss(wanted, wait + crowd + jitter, run * speed);
        let part = if wanted.idempotent { REPEAT_PART } else { 1.0 };
        cost += wanted.rank.value() * harm * part;
        if is_remote {
            let request = f64::from(u32::try_from(wanted.bytes).unwrap_or(u32::MAX));
            let answer = self.sizes.get(wanted.kind).copied().unwrap_or_default();
            let kib = (HOP_BYTES + request + answer) / 1024.0;
            cost += self.byte_cost * kib;
        }
        let choice = Choice {
            address: site.address,
            wait: Duration::from_secs_f64(wait),
            is_remote,
        };
        (cost, choice)
    }
}

/// Estimates the value that a request loses which waits so long, in seconds, for a run of this mean.
///
/// The longer the wait, the likelier the answer is late, and the likelier the request is refused or given
/// up.
fn loss(wanted: &Wanted<'_>, wait: f64, run: f64) -> f64 {
    let exceeds = |limit: Duration| {
        let left = limit.as_secs_f64() - wait;
        run_exceeds(left / run.max(MIN_LEFT.as_secs_f64()))
    };
    let objective = wanted.objective.max(MIN_LEFT).as_secs_f64();
    let late = (1.0 - LATE_VALUE) * exceeds(wanted.objective);
    let lost = LATE_VALUE * exceeds(wanted.patience);
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

fn serves(report: &SiteReport, service: &ServiceName) -> bool {
    report.service.as_ref() == Some(service) && report.slots.0 > 0
}
