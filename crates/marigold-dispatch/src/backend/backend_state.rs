//! The state of the backend server beside the daemon, from its announcements.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigold_types::{ServiceName, SlotCount};
use tokio::time::Instant;

use crate::{Announcement, Departure, RequestLimit, ServerVersion, ServingState};

/// The number of departed instances to remember, so that a delayed announcement does not revive one.
const MAX_DEPARTED: usize = 64;
/// An instance that was replaced without having left serves again if it goes on announcing itself while its replacement has
/// been silent for this long, several times the interval of announcements.
const REPLACEMENT_SILENCE: Duration = Duration::from_secs(6);
/// The sequence number of an instance's first announcement. One that is announced with a later number first has served
/// before.
const FIRST_SEQUENCE: u64 = 1;

/// What the backend server said last about the requests that it takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedLimit {
    /// It served before this daemon started, and has not responded since.
    Unknown,
    /// It names no limit.
    None,
    /// It names this limit.
    Limit(RequestLimit),
}

impl NamedLimit {
    /// Returns the limit, if one is known.
    #[must_use]
    pub fn limit(self) -> Option<RequestLimit> {
        match self {
            Self::Limit(limit) => Some(limit),
            Self::Unknown | Self::None => None,
        }
    }
}

/// The current instance of the backend server, serving or draining.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendInstance {
    /// The identifier of the instance.
    pub identity: Arc<str>,
    /// The start time of the instance in milliseconds, by its own clock; absent until it is announced.
    pub started_ms: Option<u64>,
    /// The sequence number of the latest announcement.
    pub sequence: u64,
    /// The service that the backend server implements.
    pub service: ServiceName,
    /// The version of its software, or `None` until it is announced.
    pub version: Option<ServerVersion>,
    /// The address that accepts requests.
    pub address: SocketAddr,
    /// The number of requests that it processes concurrently.
    pub slots: SlotCount,
    /// When it began to drain, or `None` while it serves.
    pub draining_since: Option<Instant>,
    /// When the latest announcement arrived.
    pub last_announced: Instant,
    /// The limit of requests that its responses name.
    pub limit: NamedLimit,
}

/// The effect of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// A new instance replaced the previous one.
    NewInstance,
    /// The instance is the same and in the same state.
    Unchanged,
    /// The instance began to drain.
    Draining,
    /// The announcement was outdated or of a departed instance, and was ignored.
    Stale,
}

/// Tracks the instances of the backend server beside the daemon.
///
/// Draining is final for an instance: only a new instance serves again, whatever announcements arrive late.
#[derive(Debug, Clone, Default)]
pub struct BackendState {
    current: Option<BackendInstance>,
    departed: VecDeque<DepartedInstance>,
}

#[derive(Debug, Clone)]
struct DepartedInstance {
    identity: Arc<str>,
    started_ms: Option<u64>,
    /// The sequence number of its latest announcement, if it was replaced without having said that it leaves: its replacement
    /// may be an earlier instance whose announcement was delayed.
    replaced_at: Option<u64>,
}

impl BackendState {
    /// Returns the current instance, serving or draining.
    #[must_use]
    pub fn current(&self) -> Option<&BackendInstance> {
        self.current.as_ref()
    }

    /// Returns the current instance if it accepts requests.
    #[must_use]
    pub fn serving(&self) -> Option<&BackendInstance> {
        self.current
            .as_ref()
            .filter(|instance| instance.draining_since.is_none())
    }

    /// Applies an announcement received at `now`.
    pub fn apply_announcement(
        &mut self,
        announcement: &Announcement,
        now: Instant,
    ) -> AnnouncementOutcome {
        if self.outlives_replacement(announcement, now) {
            self.departed
                .retain(|departed| departed.identity != announcement.identity);
            self.replace(announcement, now);
            return AnnouncementOutcome::NewInstance;
        }
        if self.has_departed(&announcement.identity, announcement.started_ms) {
            return AnnouncementOutcome::Stale;
        }
        match &self.current {
            Some(instance) if is_same_instance(instance, announcement) => {
                self.update(announcement, now)
            }
            Some(instance) if is_of_older_instance(instance, announcement) => {
                AnnouncementOutcome::Stale
            }
            _ => {
                self.replace(announcement, now);
                if announcement.state == ServingState::Draining {
                    AnnouncementOutcome::Draining
                } else {
                    AnnouncementOutcome::NewInstance
                }
            }
        }
    }

    /// Records what a response of the current instance said about its limit; returns what was known before if it
    /// differs.
    pub fn record_limit(&mut self, limit: NamedLimit) -> Option<NamedLimit> {
        let instance = self.current.as_mut()?;
        let previous = std::mem::replace(&mut instance.limit, limit);
        (previous != limit).then_some(previous)
    }

    /// Returns the current instance if it has said that it leaves, or the last one that has if none is current.
    #[must_use]
    pub fn leaving(&self) -> Option<Departure> {
        let Some(instance) = self.current.as_ref() else {
            let last = self.departed.back()?;
            return Some(Departure {
                identity: last.identity.clone(),
                started_ms: last.started_ms,
            });
        };
        instance.draining_since?;
        Some(Departure {
            identity: instance.identity.clone(),
            started_ms: instance.started_ms,
        })
    }

    /// Restores a departure that a previous run of the daemon has recorded.
    pub fn restore_departure(&mut self, departure: &Departure, now: Instant) {
        let is_current = (self.current.as_ref()).is_some_and(|instance| {
            instance.identity == departure.identity
                && (instance.started_ms.is_none() || instance.started_ms == departure.started_ms)
        });
        if is_current {
            self.mark_departed(&departure.identity, now);
        } else if !self.has_departed(&departure.identity, departure.started_ms) {
            self.remember_departed(departure.identity.clone(), departure.started_ms);
        }
    }

    /// Records that an instance has departed, or will shortly without another announcement.
    pub fn mark_departed(&mut self, identity: &str, now: Instant) -> AnnouncementOutcome {
        let Some(instance) = &mut self.current else {
            self.remember_departed(Arc::from(identity), None);
            return AnnouncementOutcome::Stale;
        };
        if &*instance.identity != identity {
            self.remember_departed(Arc::from(identity), None);
            return AnnouncementOutcome::Stale;
        }
        instance.draining_since.get_or_insert(now);
        let (identity, started_ms) = (instance.identity.clone(), instance.started_ms);
        self.remember_departed(identity, started_ms);
        AnnouncementOutcome::Draining
    }

    fn update(&mut self, announcement: &Announcement, now: Instant) -> AnnouncementOutcome {
        let Some(instance) = &mut self.current else {
            return AnnouncementOutcome::Stale;
        };
        if announcement.sequence <= instance.sequence {
            return AnnouncementOutcome::Stale;
        }
        instance.sequence = announcement.sequence;
        instance.started_ms = instance.started_ms.or(announcement.started_ms);
        instance.last_announced = now;
        instance.slots = announcement.slots;
        if announcement.version.is_some() {
            instance.version.clone_from(&announcement.version);
        }
        instance.address = announcement.address;
        if announcement.state == ServingState::Draining && instance.draining_since.is_none() {
            instance.draining_since = Some(now);
            return AnnouncementOutcome::Draining;
        }
        AnnouncementOutcome::Unchanged
    }

    fn replace(&mut self, announcement: &Announcement, now: Instant) {
        if let Some(old) = self.current.take() {
            let replaced_at = old.draining_since.is_none().then_some(old.sequence);
            self.remember(DepartedInstance {
                identity: old.identity,
                started_ms: old.started_ms,
                replaced_at,
            });
        }
        self.current = Some(BackendInstance {
            identity: announcement.identity.clone(),
            started_ms: announcement.started_ms,
            sequence: announcement.sequence,
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            address: announcement.address,
            slots: announcement.slots,
            draining_since: (announcement.state == ServingState::Draining).then_some(now),
            last_announced: now,
            limit: if announcement.sequence == FIRST_SEQUENCE {
                NamedLimit::None
            } else {
                NamedLimit::Unknown
            },
        });
    }

    fn has_departed(&self, identity: &str, started_ms: Option<u64>) -> bool {
        self.departed.iter().any(|departed| {
            let is_later = matches!(
                (started_ms, departed.started_ms),
                (Some(new), Some(old)) if new > old
            );
            *departed.identity == *identity && !is_later
        })
    }

    /// Returns whether an announcement is of an instance that was replaced without having left, and goes on while its
    /// replacement is silent.
    fn outlives_replacement(&self, announcement: &Announcement, now: Instant) -> bool {
        let is_silent = self.current.as_ref().is_some_and(|current| {
            now.saturating_duration_since(current.last_announced) >= REPLACEMENT_SILENCE
        });
        let mut entries = self
            .departed
            .iter()
            .filter(|departed| departed.identity == announcement.identity)
            .peekable();
        let is_replaced = |departed: &DepartedInstance| {
            departed.started_ms == announcement.started_ms
                && departed
                    .replaced_at
                    .is_some_and(|sequence| announcement.sequence > sequence)
        };
        is_silent
            && announcement.state == ServingState::Ready
            && entries.peek().is_some()
            && entries.all(is_replaced)
    }

    fn remember_departed(&mut self, identity: Arc<str>, started_ms: Option<u64>) {
        self.remember(DepartedInstance {
            identity,
            started_ms,
            replaced_at: None,
        });
    }

    fn remember(&mut self, departed: DepartedInstance) {
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(departed);
    }
}

fn is_same_instance(instance: &BackendInstance, announcement: &Announcement) -> bool {
    let has_no_start_time = instance.started_ms.is_none() || announcement.started_ms.is_none();
    instance.identity == announcement.identity
        && (instance.started_ms == announcement.started_ms || has_no_start_time)
}

/// Returns whether the announcement is of an instance that started before the current one.
fn is_of_older_instance(instance: &BackendInstance, announcement: &Announcement) -> bool {
    matches!((instance.started_ms, announcement.started_ms), (Some(known), Some(new)) if new < known)
}
