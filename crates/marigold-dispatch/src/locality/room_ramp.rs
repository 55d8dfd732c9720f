//! The room that a data centre is believed to have after it came back.

use std::time::Duration;

use tokio::time::Instant;

/// The time in which a data centre that had no room gets all of its demand back: its servers' caches and connections are
/// cold.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Follows the room of a data centre: down at once, up by its largest room in [`RETURN_TIME`].
#[derive(Debug, Clone, Copy)]
pub(super) struct RoomRamp {
    room: f64,
    largest: f64,
    changed_at: Instant,
}

impl RoomRamp {
    /// Begins with all of the room that is seen first, such as at the start of this daemon.
    pub fn new(room: f64, now: Instant) -> Self {
        Self {
            room,
            largest: room,
            changed_at: now,
        }
    }

    /// Follows the room that the data centre has now, and returns what is believed of it.
    pub fn follow(&mut self, room: f64, now: Instant) -> f64 {
        self.largest = self.largest.max(room);
        let passed = now.saturating_duration_since(self.changed_at);
        let rise = self.largest * passed.as_secs_f64() / RETURN_TIME.as_secs_f64();
        self.room = room.min(self.room + rise);
        self.changed_at = now;
        self.room
    }
}
