//! Decides on a roll-out from the counts of all backend servers of its service.

use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::LogOffset;
use tokio::time::Instant;

use super::{
    RolloutEvidence, RolloutOrder, RolloutState, RolloutStatus, RolloutStep, StepCause,
    VersionCounts,
};

/// The time kept for the takeover before the deadline, as a fraction of the duration. Until then the version is tested,
/// since some faults show late.
const TAKEOVER_RATIO: f64 = 0.3;
/// The least time kept for the takeover, if that is at most half of the duration: the ramp, the longest runs on the
/// other versions, and writing the status.
const MIN_TAKEOVER_TIME: Duration = Duration::from_secs(5);
/// The version is given up without a takeover if less time than this fraction of the kept time is left.
const LATEST_TAKEOVER_RATIO: f64 = 0.6;
/// How long a decider compares the versions before it trusts one, if time allows: one that has just taken over does not
/// know yet which kinds other versions serve.
const MIN_WATCH_TIME: Duration = Duration::from_secs(3);
/// How long the version is watched with all requests before the other versions' servers may stop.
const MIN_SHIFT_TIME: Duration = Duration::from_millis(2_200);
/// The time before the deadline at which a takeover ends although servers of other versions still run requests.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_200);

/// Decides on one roll-out, at one decider.
#[derive(Debug)]
pub struct RolloutJudge {
    order: RolloutOrder,
    /// When the order was given.
    ordered_at: Instant,
    evidence: RolloutEvidence,
    /// When this decider first compared the versions.
    watched_since: Option<Instant>,
    /// When the version began to take over, as far as this decider knows.
    shifting_since: Option<Instant>,
}

impl RolloutJudge {
    /// Starts to judge `order`, which was given at `ordered_at`.
    #[must_use]
    pub fn new(order: RolloutOrder, ordered_at: Instant) -> Self {
        Self {
            evidence: RolloutEvidence::new(order.target.clone()),
            order,
            ordered_at,
            watched_since: None,
            shifting_since: None,
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Changes the id of the order, which the store has lost and taken again.
    pub fn set_order_id(&mut self, id: LogOffset) {
        self.order.id = id;
    }

    /// Corrects the time of the order, of which this decider may have heard late.
    pub fn set_ordered_at(&mut self, ordered_at: Instant) {
        self.ordered_at = ordered_at;
    }

    /// Returns the evidence.
    #[must_use]
    pub fn evidence(&self) -> &RolloutEvidence {
        &self.evidence
    }

    /// Applies the counts of the backend server beside the daemon at `address`.
    pub fn update(&mut self, address: SocketAddr, counts: VersionCounts, now: Instant) {
        self.evidence.update(address, counts, now);
    }

    /// Returns the next change of the roll-out, given its recorded `status`, or `None` if there is nothing to change now.
    pub fn decide(&mut self, status: Option<&RolloutStatus>, now: Instant) -> Option<RolloutStep> {
        let state = status
            .filter(|status| status.is_of(&self.order))
            .map(|status| status.state);
        let age = now.saturating_duration_since(self.ordered_at);
        let left = self.order.duration.saturating_sub(age);
        let step = |state, cause| Some(RolloutStep { state, cause });
        if state.is_some_and(RolloutState::is_final) {
            return None;
        }
        if left.is_zero() {
            return step(RolloutState::RolledBack, StepCause::DeadlinePassed);
        }
        let Some(state) = state else {
            return step(RolloutState::Canary, StepCause::Ordered);
        };
        if let Some(evidence) = self.evidence.failing(now) {
            return step(RolloutState::RolledBack, StepCause::Failing(evidence));
        }
        if let Some(evidence) = self.evidence.slow(now) {
            return step(RolloutState::RolledBack, StepCause::Slow(evidence));
        }
        if state == RolloutState::Canary {
            let watched_since = *self.watched_since.get_or_insert(now);
            let has_watched = now.saturating_duration_since(watched_since) >= MIN_WATCH_TIME;
            return self.decide_takeover(left, has_watched);
        }
        let since = *self.shifting_since.get_or_insert(now);
        let has_ramped = now.saturating_duration_since(since) >= MIN_SHIFT_TIME;
        if has_ramped && self.evidence.are_others_idle(now) {
            return step(RolloutState::Completed, StepCause::OthersIdle);
        }
        if left <= DEADLINE_MARGIN {
            return step(RolloutState::Completed, StepCause::DeadlineNear);
        }
        None
    }

    fn decide_takeover(&self, left: Duration, has_watched: bool) -> Option<RolloutStep> {
        let kept = self.takeover_time();
        if left > kept {
            return None;
        }
        let is_latest = left <= kept.mul_f64(LATEST_TAKEOVER_RATIO);
        let (state, cause) = if self.evidence.is_enough() && (has_watched || is_latest) {
            (RolloutState::Shifting, StepCause::Sound)
        } else if is_latest {
            (RolloutState::RolledBack, StepCause::TooFewResponses)
        } else {
            return None;
        };
        Some(RolloutStep { state, cause })
    }

    fn takeover_time(&self) -> Duration {
        let duration = self.order.duration;
        let kept = duration.mul_f64(TAKEOVER_RATIO).max(MIN_TAKEOVER_TIME);
        kept.min(duration / 2)
    }
}
