//! The quotas of workspaces, which all daemons keep together. See docs/design/quotas.md.
//!
//! Workspaces are divided into slots. For each slot every daemon gives its vote to one daemon at a time, the home of the
//! slot, and asks it for permission before it sends a request. A home grants the part of each quota that its votes entitle
//! it to, so that all homes together never grant more than the quota, whoever can reach whom.

mod ask;
mod desk;
mod desk_slot;
mod home;
mod recent_max;
mod slot;
mod slot_votes;
mod stamp;

pub use ask::{QuotaAsk, QuotaGrant, Vote, WorkspaceAsk, WorkspaceGrant};
pub use desk::{DeskActions, QuotaDesk};
pub use desk_slot::{QuotaTicket, QuotaVerdict};
pub use home::QuotaHome;
pub use slot::QuotaSlot;
pub use stamp::HomeStamp;

use std::time::Duration;

/// A home counts a vote for this long after it made the stamp that the vote carries.
pub const VOTE_TTL: Duration = Duration::from_secs(2);
/// A granted request is sent at most this long after the ask. Longer ago, the grant may count in a window that has ended.
pub const GRANT_TTL: Duration = Duration::from_millis(400);
/// A request waits at most this long for a home.
pub const MAX_WAIT: Duration = Duration::from_millis(350);
