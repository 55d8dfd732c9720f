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
pub struct Current {
    /// Its identity.
    pub identity: Arc<str>,
    /// When the life began, by its own clock.
    pub born: Option<u64>,
    /// The newest announcement's number.
    pub sequence: u64,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: SlotCount,
    /// Since when it is leaving, if it is.
    pub leaving: Option<Instant>,
    /// When it was last heard.
    pub heard: Instant,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Another life than before.
    New,
    /// The same life in the same state.
    Same,
    /// The life is leaving from now on.
    Leaving,
    /// Older than what is known, or of a life that has left; nothing changed.
    Stale,
}

/// Follows the lives of the backend server beside the daemon.
///
/// Leaving is final for a life: only another life takes work again, whatever arrives late.
#[derive(Debug, Clone, Default)]
pub struct BackendState {
    current: Option<Current>,
    left: VecDeque<(Arc<str>, Option<u64>)>,
}

impl BackendState {
    /// Returns the life that is known, leaving or not.
    #[must_use]
    pub fn current(&self) -> Option<&Current> {
        self.current.as_ref()
    }

    /// Returns the life that takes new work.
    #[must_use]
    pub fn serving(&self) -> Option<&Current> {
        self.current.as_ref().filter(|life| life.leaving.is_none())
    }

    /// Takes in an announcement.
    pub fn announced(&mut self, news: &Announcement, now: Instant) -> Heard {
        if self.has_left(&news.identity, news.born) {
            return Heard::Stale;
        }
        match &self.current {
            Some(life) if is_same(life, news) => self.update(news, now),
            Some(life) if is_older(life, news) => Heard::Stale,
            _ => {
                self.replace(news, now);
                if news.state == ServingState::Draining {
                    Heard::Leaving
                } else {
                    Heard::New
                }
            }
        }
    }

    /// Takes in that a life has left or is about to without saying when.
    pub fn left(&mut self, identity: &str, now: Instant) -> Heard {
        let Some(life) = &mut self.current else {
            self.remember(Arc::from(identity), None);
            return Heard::Stale;
        };
        if &*life.identity != identity {
            self.remember(Arc::from(identity), None);
            return Heard::Stale;
        }
        life.leaving.get_or_insert(now);
        let (identity, born) = (life.identity.clone(), life.born);
        self.remember(identity, born);
        Heard::Leaving
    }

    fn update(&mut self, news: &Announcement, now: Instant) -> Heard {
        let Some(life) = &mut self.current else {
            return Heard::Stale;
        };
        if news.sequence <= life.sequence {
            return Heard::Stale;
        }
        life.sequence = news.sequence;
        life.born = life.born.or(news.born);
        life.heard = now;
        life.slots = news.slots;
        life.address = news.address;
        if news.state == ServingState::Draining && life.leaving.is_none() {
            life.leaving = Some(now);
            return Heard::Leaving;
        }
        Heard::Same
    }

    fn replace(&mut self, news: &Announcement, now: Instant) {
        if let Some(old) = self.current.take() {
            self.remember(old.identity, old.born);
        }
        self.current = Some(Current {
            identity: news.identity.clone(),
            born: news.born,
            sequence: news.sequence,
            service: news.service.clone(),
            address: news.address,
            slots: news.slots,
            leaving: (news.state == ServingState::Draining).then_some(now),
            heard: now,
        });
    }

    fn has_left(&self, identity: &str, born: Option<u64>) -> bool {
        self.left.iter().any(|(other, other_born)| {
            let is_later = matches!((born, other_born), (Some(new), Some(old)) if new > *old);
            **other == *identity && !is_later
        })
    }

    fn remember(&mut self, identity: Arc<str>, born: Option<u64>) {
        if self.left.len() == MAX_LEFT {
            self.left.pop_front();
        }
        self.left.push_back((identity, born));
    }
}

fn is_same(life: &Current, news: &Announcement) -> bool {
    let is_unknown = life.born.is_none() || news.born.is_none();
    life.identity == news.identity && (life.born == news.born || is_unknown)
}

/// Returns whether the announcement is of a life from before the known one.
fn is_older(life: &Current, news: &Announcement) -> bool {
    matches!((life.born, news.born), (Some(known), Some(new)) if new < known)
}
