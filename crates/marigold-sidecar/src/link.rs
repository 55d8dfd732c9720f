//! Protocol between daemons: calls, their outcomes and store updates.
//!
//! An ingress has one session, and at most one connection, with each executor. A session outlives its
//! connections. After a reconnect both ends agree on the state of each open call: it is still running, it
//! has ended and its outcome is sent again, or it was never received and will never run. See docs/design/platform.md.

mod body_handover;
mod call_id;
mod client;
mod frame;
mod frame_codec;
mod incoming_body;
mod keepalive;
mod open_calls;
mod outcome;
mod server;
mod session;
mod socket;

pub use body_handover::BodyHandover;
pub use call_id::{CallId, SessionId};
pub use client::{LinkClient, LinkEvent, LinkListener, LinkMemory, OpenCall, SendQueueFull};
pub use frame::{
    Call, ConfigChange, Follow, Frame, Hello, Reply, RolloutEntry, RolloutUpdate, SiteRecord,
    StoreUpdate, Welcome,
};
pub use frame_codec::{FrameCodec, Packet};
pub use outcome::{CallOutcome, CallResult};
pub use server::{CallHandler, LinkServer, QuotaHandler, StoreSync};
pub use session::ReplyHandle;
pub use socket::set_socket_options;
