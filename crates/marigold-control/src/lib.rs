//! Decisions of the control side: who is there, who follows the log, and how versions spread.
//!
//! There are no sockets, threads or clocks here: a [`Controller`] is given events and the time and
//! returns actions, so that a test on a paused clock drives it. See docs/design/control.md.

mod action;
mod board;
mod controller;
mod endpoint;
mod event;
mod local;
mod view;

pub use action::Action;
pub use board::Board;
pub use controller::Controller;
pub use endpoint::{Endpoint, EndpointState};
pub use event::Event;
pub use local::Local;
pub use view::View;
