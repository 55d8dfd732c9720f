//! What a data centre publishes about a service.

use tokio::time::Instant;

/// The demand and the room of a data centre for one service, in slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DataCentreFigures {
    /// The slots that all requests which arise in the data centre would hold: their rate times their run time.
    pub arising: f64,
    /// The slots of its backend servers that accept requests. A cold or slow server counts by its pace, one that is
    /// leaving not at all.
    pub slots: f64,
    /// When the figures were published, by the clock of the daemon that received them.
    pub published_at: Instant,
}
