//! Between daemons: calls and their outcomes over one connection for each pair.
//!
//! A session outlives its connections. After a break both ends agree on what became of each call that
//! was open: it still runs, it has ended and its outcome is sent again, or it never arrived and never
//! will run. See docs/design/platform.md.

mod call_id;
mod client;
mod frame;
mod frame_codec;
mod outcome;
mod pending;
mod server;
mod session;
mod socket;

pub use call_id::{CallId, SessionId};
pub use client::{LinkClient, LinkEvent, OpenCall, SendQueueFull};
pub use frame::{
    Call, ConfigChange, Follow, Frame, Hello, Reply, SiteRecord, StoreUpdate, Welcome,
};
pub use frame_codec::FrameCodec;
pub use outcome::{CallOutcome, CallResult};
pub use server::{CallHandler, LinkServer, StoreSync};
pub use session::ReplyHandle;
pub use socket::set_socket_options;
