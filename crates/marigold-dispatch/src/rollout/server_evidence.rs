//! The counts of one backend server over time.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::window_counts::WindowCounts;
use super::{GivenUpRuns, KindCounts, VersionCounts};
use crate::{CallKind, ServerVersion};

/// How long counts are kept; the longest window that ends now, apart from that since the beginning.
const KEPT_TIME: Duration = Duration::from_secs(6);

/// The counts of one backend server over time.
#[derive(Debug)]
pub struct ServerEvidence {
    counts: VersionCounts,
    /// When the latest counts arrived.
    received_at: Instant,
    /// The counts from which those since the beginning are taken, or `None` for all since the start of the server.
    baseline: Option<VersionCounts>,
    recent: VecDeque<(Instant, VersionCounts)>,
}

impl ServerEvidence {
    /// Starts with the first counts of a server. Those before this are evidence if `is_target`: a server of the
    /// version to judge has run nothing before its roll-out.
    pub fn new(counts: VersionCounts, is_target: bool, now: Instant) -> Self {
        Self {
            baseline: (!is_target).then(|| counts.clone()),
            counts,
            received_at: now,
            recent: VecDeque::new(),
        }
    }

    /// Applies later counts. Those of another instance start from zero.
    pub fn update(&mut self, counts: VersionCounts, now: Instant) {
        let earlier = std::mem::replace(&mut self.counts, counts);
        if earlier.instance == self.counts.instance {
            self.recent.push_back((self.received_at, earlier));
        } else {
            self.recent.clear();
            self.baseline = None;
        }
        self.received_at = now;
        while let Some((at, _)) = self.recent.front()
            && now.saturating_duration_since(*at) > KEPT_TIME
        {
            self.recent.pop_front();
        }
    }

    /// Returns the version of the server.
    pub fn version(&self) -> &ServerVersion {
        &self.counts.version
    }

    /// Returns when the latest counts arrived.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Returns whether the server runs any request, as last reported.
    pub fn is_busy(&self) -> bool {
        self.counts.kinds.iter().any(|kind| !kind.open.is_empty())
    }

    /// Returns the kinds that have run on the server.
    pub fn kinds(&self) -> impl Iterator<Item = &CallKind> {
        self.counts.kinds.iter().map(|counts| &counts.kind)
    }

    /// Returns the latest counts of `kind`.
    pub fn latest(&self, kind: &CallKind) -> Option<&KindCounts> {
        find(&self.counts, kind)
    }

    /// Returns the counts of `kind` since `since`, or since the beginning.
    pub fn window(&self, kind: &CallKind, since: Option<Instant>) -> WindowCounts {
        let Some(latest) = self.latest(kind) else {
            return WindowCounts::default();
        };
        WindowCounts::between(self.earlier(kind, since), latest)
    }

    /// Returns the runs of `kind` that were given up since `since`, or since the beginning.
    pub fn given_up(&self, kind: &CallKind, since: Option<Instant>) -> GivenUpRuns {
        let Some(latest) = self.latest(kind) else {
            return GivenUpRuns::default();
        };
        match self.earlier(kind, since) {
            Some(earlier) => latest.given_up.since(&earlier.given_up),
            None => latest.given_up.clone(),
        }
    }

    /// Returns the counts of `kind` at `since`, or at the beginning.
    fn earlier(&self, kind: &CallKind, since: Option<Instant>) -> Option<&KindCounts> {
        let at_start = since.and_then(|since| {
            let earlier = self.recent.iter().rev().find(|(at, _)| *at <= since);
            earlier.map(|(_, counts)| counts)
        });
        let earlier = at_start.or(self.baseline.as_ref());
        earlier.and_then(|counts| find(counts, kind))
    }
}

fn find<'a>(counts: &'a VersionCounts, kind: &CallKind) -> Option<&'a KindCounts> {
    counts.kinds.iter().find(|counts| counts.kind == *kind)
}
