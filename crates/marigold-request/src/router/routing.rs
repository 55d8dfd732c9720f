//! Combines locality, load, passive health checking and load balancing.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use marigold_control::{Endpoint, View};
use marigold_types::{Address, DataCentre, Interval, Region, ServiceName};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::balance::{Balancer, Candidates};
use crate::router::CallReport;
use crate::router::backend_pool::{BackendPool, TIERS};
use crate::router::backend_stats::BackendStats;
use crate::{Refusal, RefusalReason};

/// The load, in requests per slot, above which the next tier is considered: every slot is in use.
const SPILL_LOAD: f64 = 1.0;
/// The reduction in load, in requests per slot, that justifies going one tier further.
const TIER_PENALTY: f64 = 0.5;
/// The fraction of its capacity with which a new backend server starts its warm-up.
const MIN_WARMUP_FRACTION: f64 = 0.1;
/// The maximum percentage of the backend servers of a service that are ejected at a time.
const MAX_EJECTED_PERCENT: usize = 50;
/// The retry delay while no backend server takes work.
const NO_BACKEND_RETRY_DELAY: Interval = Interval::from_millis(1_000);

/// Selects backend servers for one ingress and records the results of its calls.
pub struct Router {
    data_centre: DataCentre,
    region: Region,
    balancer: Box<dyn Balancer>,
    rng: ChaCha8Rng,
    pools: BTreeMap<ServiceName, Arc<BackendPool>>,
    stats: HashMap<Address, BackendStats>,
}

impl Router {
    /// Creates the router of a daemon in `data_centre` of `region`.
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
            stats: HashMap::new(),
        }
    }

    /// Selects a backend server of `service` that is not in `exclude`.
    ///
    /// # Errors
    ///
    /// If no backend server takes work.
    pub fn pick(
        &mut self,
        view: &View,
        service: &ServiceName,
        exclude: &[Address],
        now: Instant,
    ) -> Result<Endpoint, Refusal> {
        let refusal = Refusal::retryable(RefusalReason::NoBackendServer, NO_BACKEND_RETRY_DELAY);
        let pool = self.pool(view, service, now).ok_or(refusal)?;
        let warmup = view.config.service(service).map(|service| service.warmup);
        let stats = &self.stats;
        let candidates_of = |list| CandidateSet {
            pool: &pool,
            stats,
            list,
            exclude,
            warmup: warmup.unwrap_or_default(),
            now,
        };
        let mut best: Option<(usize, f64)> = None;
        for tier in 0..TIERS {
            let candidates = candidates_of(pool.ready(tier));
            let Some(choice) = self.balancer.choose(&candidates, &mut self.rng) else {
                continue;
            };
            let load = candidates.load(choice).unwrap_or(f64::MAX);
            #[expect(clippy::cast_precision_loss, reason = "there are three tiers")]
            let cost = load + TIER_PENALTY * tier as f64;
            if best.is_none_or(|(_, low)| cost < low) {
                best = Some((candidates.list[choice], cost));
            }
            if load <= SPILL_LOAD {
                break;
            }
        }
        for tier in 0..TIERS {
            if best.is_some() {
                break;
            }
            let candidates = candidates_of(pool.suspect(tier));
            let choice = self.balancer.choose(&candidates, &mut self.rng);
            best = choice.map(|choice| (candidates.list[choice], 0.0));
        }
        let (index, _) = best.ok_or(refusal)?;
        Ok(pool.endpoint(index).clone())
    }

    /// Records the start of a call to `endpoint`; one [`Router::finished`] must follow.
    pub fn started(&mut self, endpoint: &Endpoint, now: Instant) {
        let address = endpoint.instance.address;
        let stats = self
            .stats
            .entry(address)
            .or_insert_with(|| BackendStats::new(endpoint.instance, endpoint.service.clone(), now));
        stats.started(now);
    }

    /// Records the end of a call to the backend server at `address`.
    pub fn finished(&mut self, address: Address, report: &CallReport, now: Instant) {
        let may_eject = self.may_eject(address);
        let Some(stats) = self.stats.get_mut(&address) else {
            return;
        };
        stats.finished(report.load, now);
        stats
            .ejection
            .finished(report.health_signal(), may_eject, now);
    }

    /// Returns whether one more backend server of the service at `address` may be ejected.
    fn may_eject(&self, address: Address) -> bool {
        let Some(stats) = self.stats.get(&address) else {
            return false;
        };
        let Some(pool) = self.pools.get(&stats.service) else {
            return false;
        };
        let list = pool.endpoints();
        let is_unhealthy = |endpoint: &&Endpoint| {
            let stats = self.stats.get(&endpoint.instance.address);
            stats.is_some_and(|stats| stats.ejection.is_unhealthy())
        };
        let unhealthy = list.iter().filter(is_unhealthy).count();
        (unhealthy + 1) * 100 <= list.len() * MAX_EJECTED_PERCENT
    }

    /// Returns the pool of `service`, rebuilt if another list was published.
    fn pool(
        &mut self,
        view: &View,
        service: &ServiceName,
        now: Instant,
    ) -> Option<Arc<BackendPool>> {
        if let Some(pool) = self.pools.get(service)
            && pool.is_current(view, service)
        {
            return Some(Arc::clone(pool));
        }
        let Some(list) = view.endpoints.get(service) else {
            self.pools.remove(service);
            return None;
        };
        let pool = BackendPool::new(Arc::clone(list), &self.data_centre, &self.region);
        let pool = Arc::new(pool);
        self.pools.insert(service.clone(), Arc::clone(&pool));
        self.discard_outdated(&pool, service, now);
        Some(pool)
    }

    /// Discards the statistics of backend servers that have left or were restarted.
    fn discard_outdated(&mut self, pool: &BackendPool, service: &ServiceName, now: Instant) {
        let list = pool.endpoints();
        self.stats.retain(|address, stats| {
            let position = list.binary_search_by_key(address, |endpoint| endpoint.instance.address);
            stats.service != *service || position.is_ok() || stats.in_flight() > 0
        });
        for endpoint in list {
            if let Some(stats) = self.stats.get_mut(&endpoint.instance.address)
                && stats.instance != endpoint.instance
            {
                *stats = BackendStats::new(endpoint.instance, service.clone(), now);
            }
        }
    }
}

/// The candidates of one tier for one request.
struct CandidateSet<'a> {
    pool: &'a BackendPool,
    stats: &'a HashMap<Address, BackendStats>,
    list: &'a [usize],
    exclude: &'a [Address],
    warmup: Interval,
    now: Instant,
}

impl Candidates for CandidateSet<'_> {
    fn count(&self) -> usize {
        self.list.len()
    }

    fn load(&self, index: usize) -> Option<f64> {
        let endpoint = self.pool.endpoint(self.list[index]);
        let address = endpoint.instance.address;
        if self.exclude.contains(&address) {
            return None;
        }
        let stats = self.stats.get(&address);
        if stats.is_some_and(|stats| !stats.ejection.takes_calls(self.now)) {
            return None;
        }
        let requests = stats.map_or(0, |stats| stats.requests(self.now));
        let slots = stats.and_then(|stats| stats.slots(self.now));
        let slots = f64::from(slots.unwrap_or(endpoint.slots.0).max(1));
        Some(f64::from(requests + 1) / (slots * self.warmup_fraction(endpoint)))
    }
}

impl CandidateSet<'_> {
    /// Returns the fraction of its capacity that a backend server is given during its warm-up.
    fn warmup_fraction(&self, endpoint: &Endpoint) -> f64 {
        let warmup = self.warmup.duration().as_secs_f64();
        let age = self.now.saturating_duration_since(endpoint.since);
        if warmup <= 0.0 {
            return 1.0;
        }
        (age.as_secs_f64() / warmup).clamp(MIN_WARMUP_FRACTION, 1.0)
    }
}
