//! The limits of one daemon, as a user of some and the keeper of others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigold_config::{Config, Declaration, Resource};
use marigold_control::View;
use marigold_types::{Address, CallerName, Digest, Interval, ServiceName, Version};
use tokio::time::Instant;

use crate::limits::allocator::LimitAllocator;
use crate::limits::user::User;
use crate::limits::{Demand, Grant, MilliRate};
use crate::{Refusal, RefusalReason};

/// The part of a limit, in hundredths, that all daemons together pass without a share.
const FLOOR: u64 = 10;
/// How long the largest mesh seen is remembered, so that a partition does not double a limit.
const MEMORY: Duration = Duration::from_hours(1);
/// The least time after which a refused caller is asked to come back.
const MIN_RETRY: Interval = Interval::from_millis(100);

/// A declared limit.
#[derive(Debug, Clone)]
struct Rule {
    name: Arc<str>,
    caller: Option<CallerName>,
    rate: MilliRate,
}

/// Passes or refuses calls by the declared limits before anything is sent.
///
/// Each limit has a keeper among the daemons, found by rendezvous hashing over the members that a
/// daemon sees (Thaler, Ravishankar, 1998). It gives shares by demand, each for a short lease, and a
/// new keeper waits for one lease first. A daemon without a share passes its part of a floor.
pub struct Limiter {
    local: Address,
    version: Option<Version>,
    rules: BTreeMap<ServiceName, Vec<Rule>>,
    rates: BTreeMap<Arc<str>, MilliRate>,
    members: Vec<Address>,
    /// The largest number of members seen, and when.
    largest: (usize, Instant),
    users: BTreeMap<Arc<str>, User>,
    keepers: BTreeMap<Arc<str>, LimitAllocator>,
    /// The keeper of each limit that is used, for the present members.
    found: BTreeMap<Arc<str>, Address>,
    /// When the members last changed.
    settled: Instant,
}

impl Limiter {
    /// Builds the limits of the daemon at `local`, none declared yet.
    #[must_use]
    pub fn new(local: Address, now: Instant) -> Self {
        Self {
            local,
            version: None,
            rules: BTreeMap::new(),
            rates: BTreeMap::new(),
            members: vec![local],
            largest: (1, now),
            users: BTreeMap::new(),
            keepers: BTreeMap::new(),
            found: BTreeMap::new(),
            settled: now,
        }
    }

    /// Takes the limits and the members of a published view.
    pub fn refresh(&mut self, view: &View, now: Instant) {
        let lists = view.endpoints.values();
        let mut members: Vec<_> = lists
            .flat_map(|list| list.iter().map(|endpoint| endpoint.instance.address))
            .chain([self.local])
            .collect();
        members.sort_unstable();
        members.dedup();
        let is_old = now.saturating_duration_since(self.largest.1) >= MEMORY;
        if members.len() >= self.largest.0 || is_old {
            self.largest = (members.len(), now);
        }
        if members != self.members {
            self.members = members;
            self.found.clear();
            self.settled = now;
        }
        if self.version != Some(view.config.version) {
            self.version = Some(view.config.version);
            self.read_rules(&view.config);
        }
        self.found.retain(|name, _| self.rates.contains_key(name));
        let rates = &self.rates;
        self.users.retain(|name, _| rates.contains_key(name));
        self.keepers.retain(|name, _| rates.contains_key(name));
        for (name, user) in &mut self.users {
            user.set_floor(floor(rates[name], self.largest.0), now);
        }
    }

    /// Passes or refuses one call.
    ///
    /// # Errors
    ///
    /// When a limit is used up; the call has been sent nowhere.
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
            let floor = floor(rule.rate, self.largest.0);
            let user = self.users.entry(Arc::clone(&rule.name));
            let user = user.or_insert_with(|| User::new(floor, now));
            user.take(now).map_err(|wait| {
                let delay = wait.unwrap_or_default().max(MIN_RETRY);
                Refusal::retryable(RefusalReason::Limited, delay)
            })?;
        }
        Ok(())
    }

    /// Returns the questions to send to each keeper now; call it each 100 ms or so.
    ///
    /// Its own questions to itself are among them: give them to [`Limiter::on_demand`].
    pub fn tick(&mut self, now: Instant) -> Vec<(Address, Vec<Demand>)> {
        self.keepers.retain(|_, keeper| !keeper.is_idle(now));
        self.users.retain(|_, user| !user.is_idle(now));
        let mut questions: BTreeMap<Address, Vec<Demand>> = BTreeMap::new();
        for (name, user) in &mut self.users {
            let Some(rate) = user.ask(now) else {
                continue;
            };
            let limit = Arc::clone(name);
            let found = self.found.entry(Arc::clone(name));
            let find = || keeper_of(name, &self.members).unwrap_or(self.local);
            let keeper = *found.or_insert_with(find);
            questions
                .entry(keeper)
                .or_default()
                .push(Demand { limit, rate });
        }
        questions.into_iter().collect()
    }

    /// Answers the questions of the daemon at `from`.
    pub fn on_demand(&mut self, from: Address, demands: &[Demand], now: Instant) -> Vec<Grant> {
        demands
            .iter()
            .filter_map(|demand| self.grant(from, demand, now))
            .collect()
    }

    /// Takes a keeper's answers.
    pub fn on_grants(&mut self, grants: &[Grant], now: Instant) {
        for grant in grants {
            if let Some(user) = self.users.get_mut(&grant.limit) {
                user.granted(grant.rate, grant.lease.duration(), now);
            }
        }
    }

    fn grant(&mut self, from: Address, demand: &Demand, now: Instant) -> Option<Grant> {
        let rate = *self.rates.get(&demand.limit)?;
        let (seen, largest) = (self.members.len() as u64, self.largest.0 as u64);
        // A side of a partition gives out only its own part of the limit.
        let total = rate.scaled(100 - FLOOR, 100).scaled(seen, largest);
        let keeper = self.keepers.entry(Arc::clone(&demand.limit));
        let keeper = keeper.or_insert_with(|| LimitAllocator::new(self.settled, self.largest.0));
        let given = keeper.grant(from, demand.rate, total, now);
        let lease = u64::try_from(given.lease.as_millis()).unwrap_or(u64::MAX);
        Some(Grant {
            limit: Arc::clone(&demand.limit),
            rate: given.rate,
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

/// Returns what one of `members` daemons passes without a share.
fn floor(rate: MilliRate, members: usize) -> MilliRate {
    rate.scaled(FLOOR, 100).scaled(1, members as u64)
}

/// Returns the member that keeps the limit `name`.
fn keeper_of(name: &str, members: &[Address]) -> Option<Address> {
    let weight = |member: &Address| Digest::of(format!("{name} {member}").as_bytes()).prefix();
    members.iter().copied().max_by_key(weight)
}
