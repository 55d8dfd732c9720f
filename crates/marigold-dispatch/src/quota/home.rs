//! The daemon that grants the requests of workspaces.

use std::collections::HashMap;
use std::time::Duration;

use marigold_request::limits::{MilliRate, TokenBucket};
use marigold_types::{Interval, WorkspaceName};
use tokio::time::Instant;

use super::recent_max::RecentMax;
use super::slot_votes::{FULL_TRUST, SlotVotes};
use super::{
    HomeStamp, QuotaAsk, QuotaGrant, QuotaSlot, VOTE_TTL, Vote, WorkspaceAsk, WorkspaceGrant,
};
use crate::{RequestQuota, WorkspaceTable};

/// Retry delay for the requests of a workspace that the home does not know yet.
const UNKNOWN_RETRY: Duration = Duration::from_millis(200);
/// Limit on the retry delay of a workspace that is far over its quota.
const MAX_RETRY: Duration = Duration::from_secs(8);
/// Buckets of workspaces that are gone are dropped when there are this many more than workspaces.
const SPARE_BUCKETS: usize = 64;

/// What a workspace may still send.
#[derive(Debug, Clone)]
struct QuotaBucket {
    quota: RequestQuota,
    trust: u64,
    tokens: TokenBucket,
    /// The time until which tokens are expected to be taken by requests that were told to return.
    promised_until: Instant,
}

/// Grants the requests of the workspaces for whose slots this daemon has votes.
///
/// At any time the tokens of a workspace at all homes are at most its burst, and grow by at most its rate, since both are
/// multiplied by the [trust](SlotVotes::trust) of the home. A home that has started again has no tokens.
#[derive(Debug)]
pub struct QuotaHome {
    run: u64,
    started_at: Instant,
    daemons: RecentMax,
    slots: Vec<SlotVotes>,
    buckets: HashMap<WorkspaceName, QuotaBucket>,
}

impl QuotaHome {
    /// Creates the home of a daemon. `run` tells this run of the daemon from others.
    #[must_use]
    pub fn new(run: u64, now: Instant) -> Self {
        Self {
            run,
            started_at: now,
            daemons: RecentMax::default(),
            slots: QuotaSlot::all().map(|_| SlotVotes::new(now)).collect(),
            buckets: HashMap::new(),
        }
    }

    /// Records the number of known daemons, including this one.
    pub fn set_daemons(&mut self, count: usize, now: Instant) {
        self.daemons.record(count, now);
    }

    /// Returns the number of slots in which this home grants requests.
    #[must_use]
    pub fn trusted_slots(&self, now: Instant) -> usize {
        let slots = self.slots.iter();
        slots.filter(|slot| slot.is_trusted(now)).count()
    }

    /// Answers `ask`, or returns `None` if its slot does not exist.
    pub fn answer(
        &mut self,
        ask: &QuotaAsk,
        workspaces: &WorkspaceTable,
        now: Instant,
    ) -> Option<QuotaGrant> {
        let index = ask.slot.index()?;
        self.update_votes(index, ask, now);
        let trust = self.slots[index].trust();
        let grant = |want| self.grant(want, index, trust, workspaces, now);
        let granted = ask.wanted.iter().map(grant).collect();
        let spare = workspaces.len() * 2 + SPARE_BUCKETS;
        if self.buckets.len() > spare {
            self.buckets
                .retain(|name, _| workspaces.get(name).is_some());
        }
        Some(QuotaGrant {
            number: ask.number,
            slot: ask.slot,
            stamp: self.stamp(now),
            is_trusted: trust > 0,
            granted,
        })
    }

    fn stamp(&self, now: Instant) -> HomeStamp {
        let age = now.saturating_duration_since(self.started_at);
        HomeStamp {
            run: self.run,
            millis: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn update_votes(&mut self, index: usize, ask: &QuotaAsk, now: Instant) {
        let daemons = self.daemons.get(now);
        if let Some(ended_at) = self.slots[index].expire(now) {
            // What was added since the first vote ended is not counted.
            self.update_trust(index, daemons, ended_at);
        }
        let ends_at = match ask.vote {
            Vote::Unchanged => return,
            Vote::Withdrawn => now + VOTE_TTL,
            Vote::Cast(stamp) => {
                if stamp.run != self.run || stamp.millis > self.stamp(now).millis {
                    return;
                }
                let ends_at = self.started_at + Duration::from_millis(stamp.millis) + VOTE_TTL;
                if ends_at <= now {
                    return;
                }
                ends_at
            }
        };
        self.slots[index].count(ask, ends_at);
        self.update_trust(index, daemons, now);
    }

    fn update_trust(&mut self, index: usize, daemons: usize, now: Instant) {
        let slot = &mut self.slots[index];
        if !slot.update_trust(daemons, now) {
            return;
        }
        let trust = slot.trust();
        for (name, bucket) in &mut self.buckets {
            if QuotaSlot::of(name).index() == Some(index) {
                bucket.set(bucket.quota, trust, now);
            }
        }
    }

    fn grant(
        &mut self,
        want: &WorkspaceAsk,
        index: usize,
        trust: u64,
        workspaces: &WorkspaceTable,
        now: Instant,
    ) -> WorkspaceGrant {
        let mut grant = WorkspaceGrant {
            workspace: want.workspace.clone(),
            requests: 0,
            retry_after: UNKNOWN_RETRY,
            spacing: Duration::ZERO,
        };
        let is_own_slot = QuotaSlot::of(&want.workspace).index() == Some(index);
        let workspace = workspaces.get(&want.workspace);
        let Some(workspace) = workspace.filter(|_| is_own_slot && trust > 0) else {
            return grant;
        };
        let Some(quota) = workspace.quota else {
            grant.requests = want.requests;
            return grant;
        };
        let steady = now.saturating_duration_since(self.slots[index].steady_since);
        let bucket = self.buckets.entry(want.workspace.clone());
        let bucket = bucket.or_insert_with(|| QuotaBucket::new(quota, trust, steady, now));
        if bucket.quota != quota {
            bucket.set(quota, trust, now);
        }
        bucket.tokens.put_back(want.returned, now);
        while grant.requests < want.requests {
            if let Err(wait) = bucket.tokens.take(now) {
                let missing = wait.map_or(MAX_RETRY, Interval::duration);
                grant.spacing = bucket.interval();
                grant.retry_after = bucket.promise(want.requests - grant.requests, missing, now);
                break;
            }
            grant.requests += 1;
        }
        grant
    }
}

impl QuotaBucket {
    /// Creates the bucket of a home whose trust has been the same for `steady`.
    fn new(quota: RequestQuota, trust: u64, steady: Duration, now: Instant) -> Self {
        let mut bucket = Self {
            quota,
            trust,
            tokens: TokenBucket::new(MilliRate(0), now),
            promised_until: now,
        };
        bucket.set(quota, trust, now);
        bucket.tokens.fill(steady);
        bucket
    }

    fn set(&mut self, quota: RequestQuota, trust: u64, now: Instant) {
        (self.quota, self.trust) = (quota, trust);
        let rate = MilliRate(thousandths(quota.rate)).scaled(trust, FULL_TRUST);
        let burst = thousandths(quota.burst).saturating_mul(trust) / FULL_TRUST;
        self.tokens.set_limits(rate, burst, now);
    }

    /// Returns the time between two requests at the rate of this home.
    fn interval(&self) -> Duration {
        let rate = MilliRate(thousandths(self.quota.rate)).scaled(self.trust, FULL_TRUST);
        let interval =
            Duration::from_secs(1_000).checked_div(u32::try_from(rate.0).unwrap_or(u32::MAX));
        interval.unwrap_or(MAX_RETRY).min(MAX_RETRY)
    }

    /// Sets the next tokens aside in time for `requests` that are refused, and returns when the first is expected.
    /// Tokens are not held back for them: whoever asks first has them.
    fn promise(&mut self, requests: u32, wait: Duration, now: Instant) -> Duration {
        let first = self.promised_until.max(now + wait);
        let last = first + self.interval().saturating_mul(requests);
        self.promised_until = last.min(now + MAX_RETRY);
        first.saturating_duration_since(now).min(MAX_RETRY)
    }
}

/// Returns `number` in thousandths.
fn thousandths(number: f64) -> u64 {
    // Milliseconds are the thousandths of seconds.
    let seconds = Duration::try_from_secs_f64(number).unwrap_or(Duration::MAX);
    u64::try_from(seconds.as_millis()).unwrap_or(u64::MAX)
}
