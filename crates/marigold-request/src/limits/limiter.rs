//! The rate limits of one daemon, which allocates some of them for the whole mesh.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigold_config::{Config, Declaration, Resource};
use marigold_control::View;
use marigold_types::{Address, CallerName, Digest, Interval, ServiceName, Version};
use tokio::time::Instant;

use crate::limits::allocator::LimitAllocator;
use crate::limits::local_limit::LocalLimit;
use crate::limits::{Demand, Grant, MilliRate};
use crate::{Refusal, RefusalReason};

/// The percentage of a limit that all daemons together pass without a share.
const FLOOR_PERCENT: u64 = 10;
/// How long the largest mesh size is remembered, so that a partition does not double a limit.
const MESH_SIZE_TTL: Duration = Duration::from_hours(1);
/// The shortest retry delay for a limited caller.
const MIN_RETRY_DELAY: Interval = Interval::from_millis(100);

/// A declared limit.
#[derive(Debug, Clone)]
struct Rule {
    name: Arc<str>,
    caller: Option<CallerName>,
    rate: MilliRate,
}

/// Passes or refuses calls by the declared limits before anything is sent.
///
/// One daemon allocates each limit. It is chosen by rendezvous hashing (Thaler, Ravishankar, 1998)
/// over the visible daemons. It leases shares in proportion to demand for a short time; a new
/// allocator first waits for the length of one lease. A daemon without a share passes its part of a
/// floor rate.
pub struct Limiter {
    local: Address,
    version: Option<Version>,
    rules: BTreeMap<ServiceName, Vec<Rule>>,
    rates: BTreeMap<Arc<str>, MilliRate>,
    members: Vec<Address>,
    /// The largest number of members seen, and when.
    largest_mesh: (usize, Instant),
    /// The limits that calls of this daemon have used.
    local_limits: BTreeMap<Arc<str>, LocalLimit>,
    /// The limits that this daemon allocates.
    allocators: BTreeMap<Arc<str>, LimitAllocator>,
    /// The allocating daemon of each used limit, cached until the members change.
    allocator_addresses: BTreeMap<Arc<str>, Address>,
    members_changed_at: Instant,
}

impl Limiter {
    /// Creates the limiter of the daemon at `local`, without limits.
    #[must_use]
    pub fn new(local: Address, now: Instant) -> Self {
        Self {
            local,
            version: None,
            rules: BTreeMap::new(),
            rates: BTreeMap::new(),
            members: vec![local],
            largest_mesh: (1, now),
            local_limits: BTreeMap::new(),
            allocators: BTreeMap::new(),
            allocator_addresses: BTreeMap::new(),
            members_changed_at: now,
        }
    }

    /// Applies the limits and the members of a published view.
    pub fn refresh(&mut self, view: &View, now: Instant) {
        let lists = view.endpoints.values();
        let mut members: Vec<_> = lists
            .flat_map(|list| list.iter().map(|endpoint| endpoint.instance.address))
            .chain([self.local])
            .collect();
        members.sort_unstable();
        members.dedup();
        let is_expired = now.saturating_duration_since(self.largest_mesh.1) >= MESH_SIZE_TTL;
        if members.len() >= self.largest_mesh.0 || is_expired {
            self.largest_mesh = (members.len(), now);
        }
        if members != self.members {
            self.members = members;
            self.allocator_addresses.clear();
            self.members_changed_at = now;
        }
        if self.version != Some(view.config.version) {
            self.version = Some(view.config.version);
            self.read_rules(&view.config);
        }
        self.allocator_addresses
            .retain(|name, _| self.rates.contains_key(name));
        let rates = &self.rates;
        self.local_limits.retain(|name, _| rates.contains_key(name));
        self.allocators.retain(|name, _| rates.contains_key(name));
        for (name, limit) in &mut self.local_limits {
            limit.set_floor(floor(rates[name], self.largest_mesh.0), now);
        }
    }

    /// Passes or refuses one call.
    ///
    /// # Errors
    ///
    /// If a limit is used up. The call must not be sent.
    pub fn allow(
        &mut self,
        service: &ServiceName,
        caller: Option<&CallerName>,
        now: Instant,
    ) -> Result<(), Refusal> {
        let Some(rules) = self.rules.get(service) else {
            return Ok(());
        };
        let applies = |rule: &&Rule| rule.caller.is_none() || rule.caller.as_ref() == caller;
        for rule in rules.iter().filter(applies) {
            let floor = floor(rule.rate, self.largest_mesh.0);
            let limit = self.local_limits.entry(Arc::clone(&rule.name));
            let limit = limit.or_insert_with(|| LocalLimit::new(floor, now));
            limit.take(now).map_err(|wait| {
                let delay = wait.unwrap_or_default().max(MIN_RETRY_DELAY);
                Refusal::retryable(RefusalReason::Limited, delay)
            })?;
        }
        Ok(())
    }

    /// Returns the demands to send to each allocating daemon now; call it about every 100 ms.
    ///
    /// They include demands to this daemon itself, which go to [`Limiter::on_demand`].
    pub fn tick(&mut self, now: Instant) -> Vec<(Address, Vec<Demand>)> {
        self.allocators
            .retain(|_, allocator| !allocator.is_idle(now));
        self.local_limits.retain(|_, limit| !limit.is_idle(now));
        let mut demands: BTreeMap<Address, Vec<Demand>> = BTreeMap::new();
        for (name, local_limit) in &mut self.local_limits {
            let Some(rate) = local_limit.next_demand(now) else {
                continue;
            };
            let limit = Arc::clone(name);
            let address = self.allocator_addresses.entry(Arc::clone(name));
            let find = || allocator_of(name, &self.members).unwrap_or(self.local);
            let allocator = *address.or_insert_with(find);
            demands
                .entry(allocator)
                .or_default()
                .push(Demand { limit, rate });
        }
        demands.into_iter().collect()
    }

    /// Answers the demands of the daemon at `from`.
    pub fn on_demand(&mut self, from: Address, demands: &[Demand], now: Instant) -> Vec<Grant> {
        demands
            .iter()
            .filter_map(|demand| self.grant(from, demand, now))
            .collect()
    }

    /// Applies an allocator's answers.
    pub fn on_grants(&mut self, grants: &[Grant], now: Instant) {
        for grant in grants {
            if let Some(limit) = self.local_limits.get_mut(&grant.limit) {
                limit.apply_grant(grant.rate, grant.lease.duration(), now);
            }
        }
    }

    fn grant(&mut self, from: Address, demand: &Demand, now: Instant) -> Option<Grant> {
        let rate = *self.rates.get(&demand.limit)?;
        let (visible, largest) = (self.members.len() as u64, self.largest_mesh.0 as u64);
        // Each side of a partition allocates only its own fraction of the limit.
        let total = rate
            .scaled(100 - FLOOR_PERCENT, 100)
            .scaled(visible, largest);
        let allocator = self.allocators.entry(Arc::clone(&demand.limit));
        let allocator = allocator
            .or_insert_with(|| LimitAllocator::new(self.members_changed_at, self.largest_mesh.0));
        let allocation = allocator.grant(from, demand.rate, total, now);
        let lease = u64::try_from(allocation.lease.as_millis()).unwrap_or(u64::MAX);
        Some(Grant {
            limit: Arc::clone(&demand.limit),
            rate: allocation.rate,
            lease: Interval::from_millis(lease),
        })
    }

    fn read_rules(&mut self, config: &Config) {
        self.rules.clear();
        self.rates.clear();
        for (resource, declaration) in config.declarations() {
            let (Resource::Limit(name), Declaration::Limit(limit)) =
                (resource, declaration.as_ref())
            else {
                continue;
            };
            let rule = Rule {
                name: Arc::clone(name),
                caller: limit.caller.clone(),
                rate: limit.rate.into(),
            };
            self.rates.insert(Arc::clone(name), rule.rate);
            let rules = self.rules.entry(limit.service.clone()).or_default();
            rules.push(rule);
        }
    }
}

/// Returns the rate that one of `members` daemons passes without a share.
fn floor(rate: MilliRate, members: usize) -> MilliRate {
    rate.scaled(FLOOR_PERCENT, 100).scaled(1, members as u64)
}

/// Returns the member that allocates the limit `name`.
fn allocator_of(name: &str, members: &[Address]) -> Option<Address> {
    let weight = |member: &Address| Digest::of(format!("{name} {member}").as_bytes()).prefix();
    members.iter().copied().max_by_key(weight)
}
