//! The votes that a home has in one slot.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use super::QuotaAsk;

/// The part of a quota that a home may grant, in thousandths.
pub(super) const FULL_TRUST: u64 = 1_000;
/// A home with at most this part of the votes, in thousandths, grants nothing, and one that lacks at most this part grants
/// everything. Between, the part that it grants grows evenly, so that homes that share the votes never grant more than the
/// quota together.
const MIN_VOTES: u64 = 250;

/// The vote of one daemon. A withdrawn vote is kept until it would have ended, in case an earlier ask comes later.
#[derive(Debug, Clone, Copy)]
struct CastVote {
    run: u64,
    number: u64,
    daemons: u32,
    ends_at: Instant,
    is_withdrawn: bool,
}

/// The votes for a home, and the part of each quota that they entitle it to.
#[derive(Debug, Clone)]
pub(super) struct SlotVotes {
    votes: HashMap<SocketAddr, CastVote>,
    /// No vote ends earlier.
    next_end: Option<Instant>,
    trust: u64,
    /// Since when the trust has been the same.
    pub(super) steady_since: Instant,
}

impl SlotVotes {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            votes: HashMap::new(),
            next_end: None,
            trust: 0,
            steady_since: now,
        }
    }

    /// Returns whether the home may grant anything.
    pub(super) fn is_trusted(&self, now: Instant) -> bool {
        self.trust > 0 && self.votes.values().any(|vote| vote.ends_at > now)
    }

    /// Returns the part of each quota that the home may grant, in thousandths.
    pub(super) fn trust(&self) -> u64 {
        self.trust
    }

    /// Removes the votes that have ended and returns when the first of them did.
    pub(super) fn expire(&mut self, now: Instant) -> Option<Instant> {
        if self.next_end.is_none_or(|end| end > now) {
            return None;
        }
        let ends = self.votes.values().map(|vote| vote.ends_at);
        let first = ends.filter(|end| *end <= now).min();
        self.votes.retain(|_, vote| vote.ends_at > now);
        self.next_end = self.votes.values().map(|vote| vote.ends_at).min();
        first
    }

    /// Counts or withdraws the vote of the sender of `ask`. It would end at `ends_at`.
    pub(super) fn count(&mut self, ask: &QuotaAsk, ends_at: Instant) {
        let is_withdrawn = ask.vote == super::Vote::Withdrawn;
        if let Some(former) = self.votes.get(&ask.from) {
            let is_earlier = former.run == ask.run && former.number >= ask.number;
            // The run that withdrew the vote of its previous one comes after it.
            let is_previous = former.run != ask.run && former.is_withdrawn && !is_withdrawn;
            if is_earlier || is_previous {
                return;
            }
        }
        let vote = CastVote {
            run: ask.run,
            number: ask.number,
            daemons: ask.daemons,
            ends_at,
            is_withdrawn,
        };
        self.votes.insert(ask.from, vote);
        let next_end = self.next_end.map_or(ends_at, |end| end.min(ends_at));
        self.next_end = Some(next_end);
    }

    /// Computes the trust for a mesh of `daemons`; returns whether it changed.
    pub(super) fn update_trust(&mut self, daemons: usize, now: Instant) -> bool {
        let counted = || self.votes.values().filter(|vote| !vote.is_withdrawn);
        // The largest number that anyone knows: a home that knows few daemons must not take their votes for all.
        let largest = counted().map(|vote| u64::from(vote.daemons)).max();
        let total = largest.unwrap_or(0).max(daemons as u64).max(1);
        let part = counted().count() as u64 * FULL_TRUST / total;
        let trust = part.saturating_sub(MIN_VOTES) * FULL_TRUST / (FULL_TRUST - 2 * MIN_VOTES);
        let trust = trust.min(FULL_TRUST);
        let has_changed = trust != self.trust;
        if has_changed {
            self.trust = trust;
            self.steady_since = now;
        }
        has_changed
    }
}
