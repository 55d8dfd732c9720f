//! What an ingress knows of the versions and the roll-out of one service.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::{RolloutOrder, RolloutState, RolloutStatus, VersionRule};
use crate::ServerVersion;

/// The share of the requests that a version gets before it is trusted: half of what operators accept, since a retry by
/// a caller is another request.
const CANARY_SHARE: f64 = 0.05;
/// Only idempotent requests test a version at first, since these can run again elsewhere.
const IDEMPOTENT_ONLY_TIME: Duration = Duration::from_secs(1);
/// The share of the requests at the beginning of a takeover, and later, so that a fault under load shows early.
const RAMP: [(Duration, f64); 2] = [
    (Duration::from_millis(600), 0.15),
    (Duration::from_millis(1_200), 0.4),
];
/// A version is not tested while its status was confirmed longer ago than this: it may have been rolled back.
const MAX_STATUS_AGE: Duration = Duration::from_millis(2_500);
/// How long a version that appears without an order gets no more than the share of a canary, since its order may be on
/// its way.
const PROVISIONAL_TIME: Duration = Duration::from_secs(3);
/// All versions that are found within this time of the first are not new: the directory arrives in parts.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// How long a completed version gets all requests. After this, servers of other versions are gone or were added since.
const COMPLETED_TIME: Duration = Duration::from_secs(20);

/// What an ingress knows of the versions and the roll-out of one service.
#[derive(Debug, Default)]
pub struct ServiceGate {
    order: Option<RolloutOrder>,
    /// When the order was given, as far as known here.
    ordered_at: Option<Instant>,
    status: Option<RolloutStatus>,
    status_since: Option<Instant>,
    confirmed_at: Option<Instant>,
    /// Versions whose roll-out ended without success or was replaced.
    distrusted: Vec<ServerVersion>,
    /// The versions in the directory, each with the time until which it is provisional.
    versions: BTreeMap<ServerVersion, Option<Instant>>,
    first_seen: Option<Instant>,
}

impl ServiceGate {
    /// Applies the versions that are in the directory now.
    pub fn observe(&mut self, versions: impl Iterator<Item = ServerVersion>, now: Instant) {
        let first_seen = *self.first_seen.get_or_insert(now);
        let is_discovery = now.saturating_duration_since(first_seen) < DISCOVERY_TIME;
        let provisional_until = (!is_discovery).then(|| now + PROVISIONAL_TIME);
        let known = std::mem::take(&mut self.versions);
        for version in versions {
            let until = known.get(&version).copied().unwrap_or(provisional_until);
            self.versions.insert(version, until);
        }
    }

    /// Applies the latest order and status; the status was confirmed to be the newest at `confirmed_at`.
    pub fn update(
        &mut self,
        order: &RolloutOrder,
        ordered_at: Instant,
        status: Option<&RolloutStatus>,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) {
        if let Some(previous) = self.order.replace(order.clone())
            && previous.id != order.id
        {
            let is_trusted = self.state() == Some(RolloutState::Completed);
            if !is_trusted && previous.target != order.target {
                self.distrusted.push(previous.target);
            }
            self.status = None;
        }
        self.distrusted.retain(|version| *version != order.target);
        self.ordered_at = Some(ordered_at);
        let status = status.filter(|status| status.is_of(order));
        if self.status.as_ref() != status {
            self.status = status.cloned();
            self.status_since = Some(now);
        }
        self.confirmed_at = confirmed_at;
    }

    fn state(&self) -> Option<RolloutState> {
        self.status.as_ref().map(|status| status.state)
    }

    /// Returns the age of the roll-out.
    pub fn age(&self, now: Instant) -> Duration {
        self.ordered_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the versions that may run a request.
    pub fn rule<R: Rng>(
        &self,
        is_first: bool,
        idempotent: bool,
        rng: &mut R,
        now: Instant,
    ) -> VersionRule {
        let Some(order) = &self.order else {
            return self.rule_without_order(is_first, rng, now);
        };
        let target = &order.target;
        let is_known = self.versions.contains_key(target);
        let has_others = self
            .versions
            .keys()
            .any(|version| version != target && !self.distrusted.contains(version));
        let state = self.state();
        if !has_others && state != Some(RolloutState::RolledBack) {
            return VersionRule::Any;
        }
        let is_picked = |share: f64, rng: &mut R| is_first && rng.random::<f64>() < share;
        let since =
            |at: Option<Instant>| at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        match state {
            Some(RolloutState::Canary) if is_known => {
                let share = self.canary_share(order, idempotent, now);
                if is_picked(share, rng) {
                    let target = target.clone();
                    let except = self.untrusted();
                    return VersionRule::Canary { target, except };
                }
                VersionRule::Except(self.untrusted())
            }
            Some(RolloutState::Shifting) if is_known => {
                let time = since(self.status_since);
                let step = RAMP.iter().find(|(until, _)| time < *until);
                match step {
                    Some((_, share)) if !is_picked(*share, rng) => {
                        VersionRule::Except(self.untrusted())
                    }
                    _ => VersionRule::Only(target.clone()),
                }
            }
            Some(RolloutState::Completed) => {
                if is_known && self.age(now) < order.duration + COMPLETED_TIME {
                    return VersionRule::Only(target.clone());
                }
                self.rule_after(&self.distrusted, now)
            }
            Some(RolloutState::RolledBack) => self.rule_after(&self.untrusted(), now),
            _ => VersionRule::Except(self.untrusted()),
        }
    }

    /// Returns the probability that a request tests the version. It has no memory, so that restarts and pauses of
    /// daemons do not add to the total.
    fn canary_share(&self, order: &RolloutOrder, idempotent: bool, now: Instant) -> f64 {
        let is_current = self
            .confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_STATUS_AGE);
        let age = self.age(now);
        let is_due = idempotent || age >= IDEMPOTENT_ONLY_TIME;
        if is_current && is_due && age < order.duration {
            CANARY_SHARE
        } else {
            0.0
        }
    }

    /// Returns the rule after a roll-out, besides `except`: versions that have just appeared wait for their order, if
    /// there are others.
    fn rule_after(&self, except: &[ServerVersion], now: Instant) -> VersionRule {
        let provisional = self.provisional(now);
        let is_left_out =
            |version: &ServerVersion| except.contains(version) || provisional.contains(version);
        let has_others = self.versions.keys().any(|version| !is_left_out(version));
        let provisional = provisional.iter().filter(|_| has_others);
        let except: Rc<[_]> = except.iter().chain(provisional).cloned().collect();
        if except.is_empty() {
            VersionRule::Any
        } else {
            VersionRule::Except(except)
        }
    }

    fn provisional(&self, now: Instant) -> Rc<[ServerVersion]> {
        let is_provisional = |until: &Option<Instant>| until.is_some_and(|until| now < until);
        self.versions
            .iter()
            .filter(|(_, until)| is_provisional(until))
            .map(|(version, _)| version.clone())
            .collect()
    }

    fn rule_without_order<R: Rng>(&self, is_first: bool, rng: &mut R, now: Instant) -> VersionRule {
        let provisional = self.provisional(now);
        let has_others = provisional.len() < self.versions.len();
        if provisional.is_empty() || !has_others {
            return VersionRule::Any;
        }
        if is_first && rng.random::<f64>() < CANARY_SHARE {
            return VersionRule::Any;
        }
        VersionRule::Except(provisional)
    }

    fn untrusted(&self) -> Rc<[ServerVersion]> {
        let target = self.order.as_ref().map(|order| order.target.clone());
        self.distrusted.iter().cloned().chain(target).collect()
    }
}
