//! Which daemons there are, which of them are linked, and who reads the store. See docs/design/platform.md.

mod directory;
mod first_contact;
mod link_rate;
mod link_selector;
mod poll_timer;
mod relay_selector;

pub use directory::{Directory, Site};
pub use first_contact::FirstContact;
pub use link_rate::LinkRate;
pub use link_selector::LinkSelector;
pub use poll_timer::PollTimer;
pub use relay_selector::{RelaySelector, UpdateSource};
