//! Puts distance, load, health and balance together.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use marigold_control::{Endpoint, View};
use marigold_types::{Address, DataCentre, Interval, Region, ServiceName};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::balance::{Balancer, Candidates};
use crate::router::CallReport;
use crate::router::pool::{Pool, RINGS};
use crate::router::track::Track;
use crate::{Refusal, RefusalReason};

/// The load at which the next ring is looked at: every slot is in use.
const SPILL_LOAD: f64 = 1.0;
/// What a request for each slot must be saved to go one ring further.
const RING_COST: f64 = 0.5;
/// The least speed of a backend server that has just joined.
const MIN_SPEED: f64 = 0.1;
/// The most backend servers of a service, in a hundred, that are ejected at one time.
const MAX_EJECTED: usize = 50;
/// When to come back while no backend server takes work.
const EMPTY_RETRY: Interval = Interval::from_millis(1_000);

/// Chooses backend servers for one ingress and learns from its calls.
pub struct Router {
    data_centre: DataCentre,
    region: Region,
    balancer: Box<dyn Balancer>,
    rng: ChaCha8Rng,
    pools: BTreeMap<ServiceName, Arc<Pool>>,
    tracks: HashMap<Address, Track>,
}

impl Router {
    /// Builds the router of a daemon in `data_centre` of `region`.
    #[must_use]
    pub fn new(
        data_centre: DataCentre,
        region: Region,
        balancer: Box<dyn Balancer>,
        rng: ChaCha8Rng,
    ) -> Self {
        Self {
            data_centre,
            region,
            balancer,
            rng,
            pools: BTreeMap::new(),
            tracks: HashMap::new(),
        }
    }

    /// Chooses a backend server of `service` that is not in `exclude`.
    ///
    /// # Errors
    ///
    /// When none takes work.
    pub fn pick(
        &mut self,
        view: &View,
        service: &ServiceName,
        exclude: &[Address],
        now: Instant,
    ) -> Result<Endpoint, Refusal> {
        let refusal = Refusal::retryable(RefusalReason::NoBackendServer, EMPTY_RETRY);
        let pool = self.pool(view, service, now).ok_or(refusal)?;
        let warmup = view.config.service(service).map(|service| service.warmup);
        let tracks = &self.tracks;
        let chance = |list| Chance {
            pool: &pool,
            tracks,
            list,
            exclude,
            warmup: warmup.unwrap_or_default(),
            now,
        };
        let mut best: Option<(usize, f64)> = None;
        for ring in 0..RINGS {
            let chance = chance(pool.ready(ring));
            let Some(choice) = self.balancer.choose(&chance, &mut self.rng) else {
                continue;
            };
            let load = chance.load(choice).unwrap_or(f64::MAX);
            #[expect(clippy::cast_precision_loss, reason = "there are three rings")]
            let cost = load + RING_COST * ring as f64;
            if best.is_none_or(|(_, low)| cost < low) {
                best = Some((chance.list[choice], cost));
            }
            if load <= SPILL_LOAD {
                break;
            }
        }
        for ring in 0..RINGS {
            if best.is_some() {
                break;
            }
            let chance = chance(pool.suspect(ring));
            let choice = self.balancer.choose(&chance, &mut self.rng);
            best = choice.map(|choice| (chance.list[choice], 0.0));
        }
        let (index, _) = best.ok_or(refusal)?;
        Ok(pool.endpoint(index).clone())
    }

    /// Counts a call that goes to `endpoint`; each is followed by one [`Router::finished`].
    pub fn started(&mut self, endpoint: &Endpoint, now: Instant) {
        let address = endpoint.instance.address;
        let track = self
            .tracks
            .entry(address)
            .or_insert_with(|| Track::new(endpoint.instance, endpoint.service.clone(), now));
        track.started(now);
    }

    /// Learns from the end of a call to the backend server at `address`.
    pub fn finished(&mut self, address: Address, report: &CallReport, now: Instant) {
        let may_eject = self.may_eject(address);
        let Some(track) = self.tracks.get_mut(&address) else {
            return;
        };
        track.finished(report.load, now);
        track
            .ejection
            .finished(report.health_signal(), may_eject, now);
    }

    /// Returns whether one more backend server of the service at `address` may be ejected.
    fn may_eject(&self, address: Address) -> bool {
        let Some(track) = self.tracks.get(&address) else {
            return false;
        };
        let Some(pool) = self.pools.get(&track.service) else {
            return false;
        };
        let list = pool.endpoints();
        let is_out = |endpoint: &&Endpoint| {
            let track = self.tracks.get(&endpoint.instance.address);
            track.is_some_and(|track| track.ejection.is_unhealthy())
        };
        let out = list.iter().filter(is_out).count();
        (out + 1) * 100 <= list.len() * MAX_EJECTED
    }

    /// Returns the sorted list of `service`, made anew when another one was published.
    fn pool(&mut self, view: &View, service: &ServiceName, now: Instant) -> Option<Arc<Pool>> {
        if let Some(pool) = self.pools.get(service)
            && pool.is_of(view, service)
        {
            return Some(Arc::clone(pool));
        }
        let Some(list) = view.endpoints.get(service) else {
            self.pools.remove(service);
            return None;
        };
        let pool = Pool::new(Arc::clone(list), &self.data_centre, &self.region);
        let pool = Arc::new(pool);
        self.pools.insert(service.clone(), Arc::clone(&pool));
        self.refresh(&pool, service, now);
        Some(pool)
    }

    /// Forgets backend servers that have left, and starts anew with those that were restarted.
    fn refresh(&mut self, pool: &Pool, service: &ServiceName, now: Instant) {
        let list = pool.endpoints();
        self.tracks.retain(|address, track| {
            let place = list.binary_search_by_key(address, |endpoint| endpoint.instance.address);
            track.service != *service || place.is_ok() || track.in_flight() > 0
        });
        for endpoint in list {
            if let Some(track) = self.tracks.get_mut(&endpoint.instance.address)
                && track.instance != endpoint.instance
            {
                *track = Track::new(endpoint.instance, service.clone(), now);
            }
        }
    }
}

/// The candidates of one choice.
struct Chance<'a> {
    pool: &'a Pool,
    tracks: &'a HashMap<Address, Track>,
    list: &'a [usize],
    exclude: &'a [Address],
    warmup: Interval,
    now: Instant,
}

impl Candidates for Chance<'_> {
    fn count(&self) -> usize {
        self.list.len()
    }

    fn load(&self, index: usize) -> Option<f64> {
        let endpoint = self.pool.endpoint(self.list[index]);
        let address = endpoint.instance.address;
        if self.exclude.contains(&address) {
            return None;
        }
        let track = self.tracks.get(&address);
        if track.is_some_and(|track| !track.ejection.takes_calls(self.now)) {
            return None;
        }
        let requests = track.map_or(0, |track| track.requests(self.now));
        let slots = track.and_then(|track| track.slots(self.now));
        let slots = f64::from(slots.unwrap_or(endpoint.slots.0).max(1));
        Some(f64::from(requests + 1) / (slots * self.speed(endpoint)))
    }
}

impl Chance<'_> {
    /// Returns the part of its full speed that a backend server has after a cold start.
    fn speed(&self, endpoint: &Endpoint) -> f64 {
        let warmup = self.warmup.duration().as_secs_f64();
        let age = self.now.saturating_duration_since(endpoint.since);
        if warmup <= 0.0 {
            return 1.0;
        }
        (age.as_secs_f64() / warmup).clamp(MIN_SPEED, 1.0)
    }
}
