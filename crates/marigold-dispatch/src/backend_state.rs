//! What the daemon believes of the backend server beside it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use marigold_types::{ServiceName, SlotCount};
use tokio::time::Instant;

use crate::{Announcement, ServingState};

/// Lives that have left and are remembered, so that a delayed announcement does not bring one back.
const MAX_LEFT: usize = 64;

/// The life that takes requests, or is about to leave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendInstance {
    /// Its identity.
    pub identity: Arc<str>,
    /// When the life began, by its own clock.
    pub started_ms: Option<u64>,
    /// The newest announcement's number.
    pub sequence: u64,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: SlotCount,
    /// Since when it is leaving, if it is.
    pub draining_since: Option<Instant>,
    /// When it was last heard.
    pub last_announced: Instant,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// Another life than before.
    NewInstance,
    /// The same life in the same state.
    Unchanged,
    /// The life is leaving from now on.
    Draining,
    /// Older than what is known, or of a life that has left; nothing changed.
    Stale,
}

/// Follows the lives of the backend server beside the daemon.
///
/// Leaving is final for a life: only another life takes work again, whatever arrives late.
#[derive(Debug, Clone, Default)]
pub struct BackendState {
    current: Option<BackendInstance>,
    left: VecDeque<(Arc<str>, Option<u64>)>,
}

impl BackendState {
    /// Returns the life that is known, leaving or not.
    #[must_use]
    pub fn current(&self) -> Option<&BackendInstance> {
        self.current.as_ref()
    }

    /// Returns the life that takes new work.
    #[must_use]
    pub fn serving(&self) -> Option<&BackendInstance> {
        self.current
            .as_ref()
            .filter(|life| life.draining_since.is_none())
    }

    /// Takes in an announcement.
    pub fn apply_announcement(&mut self, news: &Announcement, now: Instant) -> AnnouncementOutcome {
        if self.has_left(&news.identity, news.started_ms) {
            return AnnouncementOutcome::Stale;
        }
        match &self.current {
            Some(life) if is_same(life, news) => self.update(news, now),
            Some(life) if is_older(life, news) => AnnouncementOutcome::Stale,
            _ => {
                self.replace(news, now);
                if news.state == ServingState::Draining {
                    AnnouncementOutcome::Draining
                } else {
                    AnnouncementOutcome::NewInstance
                }
            }
        }
    }

    /// Takes in that a life has left or is about to without saying when.
    pub fn mark_departed(&mut self, identity: &str, now: Instant) -> AnnouncementOutcome {
        let Some(life) = &mut self.current else {
            self.remember(Arc::from(identity), None);
            return AnnouncementOutcome::Stale;
        };
        if &*life.identity != identity {
            self.remember(Arc::from(identity), None);
            return AnnouncementOutcome::Stale;
        }
        life.draining_since.get_or_insert(now);
        let (identity, started_ms) = (life.identity.clone(), life.started_ms);
        self.remember(identity, started_ms);
        AnnouncementOutcome::Draining
    }

    fn update(&mut self, news: &Announcement, now: Instant) -> AnnouncementOutcome {
        let Some(life) = &mut self.current else {
            return AnnouncementOutcome::Stale;
        };
        if news.sequence <= life.sequence {
            return AnnouncementOutcome::Stale;
        }
        life.sequence = news.sequence;
        life.started_ms = life.started_ms.or(news.started_ms);
        life.last_announced = now;
        life.slots = news.slots;
        life.address = news.address;
        if news.state == ServingState::Draining && life.draining_since.is_none() {
            life.draining_since = Some(now);
            return AnnouncementOutcome::Draining;
        }
        AnnouncementOutcome::Unchanged
    }

    fn replace(&mut self, news: &Announcement, now: Instant) {
        if let Some(old) = self.current.take() {
            self.remember(old.identity, old.started_ms);
        }
        self.current = Some(BackendInstance {
            identity: news.identity.clone(),
            started_ms: news.started_ms,
            sequence: news.sequence,
            service: news.service.clone(),
            address: news.address,
            slots: news.slots,
            draining_since: (news.state == ServingState::Draining).then_some(now),
            last_announced: now,
        });
    }

    fn has_left(&self, identity: &str, started_ms: Option<u64>) -> bool {
        self.left.iter().any(|(other, other_born)| {
            let is_later = matches!((started_ms, other_born), (Some(new), Some(old)) if new > *old);
            **other == *identity && !is_later
        })
    }

    fn remember(&mut self, identity: Arc<str>, started_ms: Option<u64>) {
        if self.left.len() == MAX_LEFT {
            self.left.pop_front();
        }
        self.left.push_back((identity, started_ms));
    }
}

fn is_same(life: &BackendInstance, news: &Announcement) -> bool {
    let is_unknown = life.started_ms.is_none() || news.started_ms.is_none();
    life.identity == news.identity && (life.started_ms == news.started_ms || is_unknown)
}

/// Returns whether the announcement is of a life from before the known one.
fn is_older(life: &BackendInstance, news: &Announcement) -> bool {
    matches!((life.started_ms, news.started_ms), (Some(known), Some(new)) if new < known)
}
