//! Identifies waiting requests.

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a request that waits for a slot.
    pub struct Ticket;
}
