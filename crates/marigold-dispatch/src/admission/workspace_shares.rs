//! The parts of the slot time that workspaces get.
//!
//! Load pattern: one workspace sends several times its usual, and the slots can't process it all. What the others ask
//! for is served first, and the excess of the one waits or is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::WorkspaceName;
use tokio::time::Instant;

use crate::Precedence;
use crate::admission::workspace_share::WorkspaceShare;

/// The time constant of the exponential decay of what was asked for and used.
const SHARE_DECAY_TIME: Duration = Duration::from_secs(4);
/// Slot time, in seconds, below which a workspace is forgotten.
const MIN_TRACKED_TIME: f64 = 0.000_5;
/// The maximum number of workspaces tracked; the requests of further ones are taken as within their part.
const MAX_WORKSPACES: usize = 4_096;
/// Tolerance for rounding errors, relative to the part.
const ROUNDING_RATIO: f64 = 1e-6;

/// How the slot time that one precedence gets is divided.
#[derive(Debug, Clone, Copy)]
struct Division {
    /// The slot time that a workspace may use before the others go first.
    part: f64,
    /// The fraction of the slot time asked for that is within the parts.
    ratio: f64,
}

/// Divides the slot time evenly among the workspaces of one precedence: each gets what it asks for, up to a part that is
/// the same for all.
///
/// The part is calculated from what was used, so it needs no estimate of what the slots can process: it falls as soon
/// as requests wait or are refused.
///
/// Amounts are weighted by `exp(time / SHARE_DECAY_TIME)`, so that all decay alike without an update.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    shares: BTreeMap<WorkspaceName, WorkspaceShare>,
    divisions: BTreeMap<Precedence, Division>,
    /// The time at which an amount has weight 1.
    origin: Option<Instant>,
    is_outdated: bool,
}

impl WorkspaceShares {
    /// Records that a workspace asks for slot time.
    pub fn record_asked(
        &mut self,
        name: &WorkspaceName,
        precedence: Precedence,
        run: Duration,
        now: Instant,
    ) {
        self.move_origin(now);
        if !self.shares.contains_key(name) && self.shares.len() >= MAX_WORKSPACES {
            return;
        }
        let amount = run.as_secs_f64() * self.weight(now);
        let share = self.shares.entry(name.clone()).or_default();
        share.precedence = precedence;
        share.asked += amount;
        self.is_outdated = true;
    }

    /// Records that a request gets a slot whose run time was [asked for](Self::record_asked) at `asked_at`.
    pub fn record_used(&mut self, name: &WorkspaceName, run: Duration, asked_at: Instant) {
        let amount = run.as_secs_f64() * self.weight(asked_at);
        if let Some(share) = self.shares.get_mut(name) {
            share.used += amount;
            self.is_outdated = true;
        }
    }

    /// Calculates the parts from what was recorded; has to be called before they are read.
    pub fn update(&mut self) {
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        let mut by_precedence: BTreeMap<Precedence, Vec<&WorkspaceShare>> = BTreeMap::new();
        for share in self.shares.values() {
            by_precedence
                .entry(share.precedence)
                .or_default()
                .push(share);
        }
        self.divisions = by_precedence
            .into_iter()
            .map(|(precedence, shares)| (precedence, Division::of(shares)))
            .collect();
    }

    /// Returns whether a workspace has used more than its part.
    #[must_use]
    pub fn is_beyond(&self, name: &WorkspaceName) -> bool {
        let Some(share) = self.shares.get(name) else {
            return false;
        };
        let division = self.divisions.get(&share.precedence);
        division.is_some_and(|division| share.used > division.part * (1.0 + ROUNDING_RATIO))
    }

    /// Returns the fraction of the slot time that workspaces with `precedence` ask for that is within their parts.
    #[must_use]
    pub fn ratio_within(&self, precedence: Precedence) -> f64 {
        self.divisions
            .get(&precedence)
            .map_or(1.0, |division| division.ratio)
    }

    fn weight(&self, at: Instant) -> f64 {
        let Some(origin) = self.origin else {
            return 1.0;
        };
        let after = at.saturating_duration_since(origin).as_secs_f64();
        let before = origin.saturating_duration_since(at).as_secs_f64();
        ((after - before) / SHARE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Moves the origin before weights become large, and forgets workspaces that have sent nothing of late.
    fn move_origin(&mut self, now: Instant) {
        let origin = *self.origin.get_or_insert(now);
        if now.saturating_duration_since(origin) < SHARE_DECAY_TIME {
            return;
        }
        let scale = 1.0 / self.weight(now);
        self.shares.retain(|_, share| {
            share.asked *= scale;
            share.used *= scale;
            share.asked >= MIN_TRACKED_TIME
        });
        self.origin = Some(now);
        self.is_outdated = true;
    }
}

impl Division {
    /// Divides what `shares` have used in total.
    fn of(mut shares: Vec<&WorkspaceShare>) -> Self {
        shares.sort_by(|a, b| a.asked.total_cmp(&b.asked));
        let asked: f64 = shares.iter().map(|share| share.asked).sum();
        let used: f64 = shares.iter().map(|share| share.used).sum();
        let mut left = used;
        let mut part = f64::INFINITY;
        for (number, share) in shares.iter().enumerate() {
            #[expect(clippy::cast_precision_loss, reason = "at most a few thousand")]
            let even = left / (shares.len() - number) as f64;
            if share.asked > even * (1.0 + ROUNDING_RATIO) {
                part = even;
                break;
            }
            left -= share.asked;
        }
        let ratio = if asked > 0.0 { used / asked } else { 1.0 };
        Self {
            part,
            ratio: ratio.min(1.0),
        }
    }
}
