//! Wire format of messages between daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::quota::{QuotaAsk, QuotaGrant};
use marigold_dispatch::{
    CallKind, Precedence, Rank, RolloutOrder, RolloutStatus, Site, SiteReport, VersionCounts,
};
use marigold_request::quarantine::{CrashRecord, Fingerprint};
use marigold_types::{Digest, LogOffset, ServiceName, Version, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::{CallId, CallOutcome, SessionId};
use crate::Body;

/// Body of a [`Frame::Hello`] from a daemon that understands the present format of [`Frame::CrashRecords`]. Older
/// daemons send none or another one, and send no records to a daemon that sends this one.
pub const CRASH_RECORDS_FEATURE: &[u8] = b"crash-records-2";

/// Body of a [`Frame::Welcome`] from a daemon that understands [`Frame::QuotaAsk`]. Older daemons send none.
pub const QUOTA_FEATURE: &[u8] = b"quotas-1";

/// One message. The body of a call or reply, or the last part of it, and the delta of a store update follow
/// the encoded frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First message of the daemon that connects.
    Hello(Hello),
    /// Response to [`Frame::Hello`].
    Welcome(Welcome),
    /// Request to run on the backend server.
    Call(Call),
    /// Outcome of a call.
    Reply(Reply),
    /// Cancels a call whose caller no longer waits.
    Cancel(CallId),
    /// Part of the body of a call or reply that follows with the same id.
    #[serde(rename = "Part")]
    BodyPart(CallId),
    /// State of the executor, sent when it changes and in response to [`Frame::Ping`].
    #[serde(rename = "Site")]
    Report(SiteReport),
    /// Requests a response, to detect an unresponsive executor.
    Ping,
    /// Requests a store update. The daemon that opened the connection also subscribes to further ones, until
    /// the subscription expires.
    Follow(Follow),
    /// Update of the contents of the store.
    #[serde(rename = "News")]
    StoreUpdate(Box<StoreUpdate>),
    /// Requests that were in flight when backend servers crashed.
    CrashRecords(Vec<CrashRecord>),
    /// Orders and states of roll-outs. This and the following are only sent once a roll-out has been ordered.
    Rollouts(RolloutUpdate),
    /// Requests the counts of the backend server, if it implements this service.
    CountsRequest(ServiceName),
    /// The counts of the backend server as evidence on its version.
    VersionCounts(VersionCounts),
    /// Asks for requests within the quotas of workspaces. It is sent only to daemons that state [`QUOTA_FEATURE`].
    QuotaAsk(QuotaAsk),
    /// Answers [`Frame::QuotaAsk`].
    QuotaGrant(QuotaGrant),
}

/// Opens a connection of a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Session that the connection belongs to.
    pub session: SessionId,
    /// Number of the connection within the session. A connection supersedes those with lower numbers.
    pub epoch: u32,
    /// Calls that were sent on earlier connections and have no known outcome.
    pub open: Vec<CallId>,
}

/// Accepts a connection and resolves the open calls of its [`Hello`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Random id of this run of the executor's daemon, to detect restarts.
    #[serde(rename = "life")]
    pub run_id: u64,
    /// Open calls that were not received and will never run.
    pub unknown: Vec<CallId>,
    /// State of the executor.
    pub site: SiteReport,
}

/// States which contents of the store a follower already has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// Its configuration, or `None` before the first.
    pub config: Option<Version>,
    /// Whether it needs all records of daemons, rather than only changes.
    pub all_sites: bool,
}

/// Contents of the store known to the sender.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Time since the sender's configuration was last confirmed to be the newest, or `None` if it never was.
    pub config_age: Option<Duration>,
    /// The sender's configuration.
    pub config: Option<Version>,
    /// Describes [`delta`](Self::delta), if there is one.
    pub change: Option<ConfigChange>,
    /// Records of daemons: all of them, or only those that have changed.
    pub sites: Vec<SiteRecord>,
    /// Whether [`sites`](Self::sites) contains the records of all daemons.
    pub all_sites: bool,
    /// Change of the configuration. It follows the encoded frame.
    #[serde(skip)]
    pub delta: Bytes,
}

/// Describes a change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The configuration that the delta applies to. Without it, the delta is a complete, compressed
    /// configuration.
    pub base: Option<Version>,
    /// Digest of the encoded configuration after the change.
    pub digest: Digest,
    /// Offset of the next change in the store.
    pub next: LogOffset,
}

/// Record of a daemon in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteRecord {
    /// Address at which the daemon accepts calls.
    pub address: SocketAddr,
    /// The record, or `None` if it was deleted.
    pub site: Option<Site>,
}

/// Roll-outs known to the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The latest roll-out of each service.
    pub rollouts: Vec<RolloutEntry>,
    /// Time since the states were last confirmed to be the newest, or `None` if they never were.
    pub status_age: Option<Duration>,
}

/// A roll-out and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEntry {
    /// The order.
    pub order: RolloutOrder,
    /// Time since it was given.
    pub age: Duration,
    /// Its status, or `None` if none is known.
    pub status: Option<RolloutStatus>,
}

/// A request sent to the executor of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Id within the session.
    pub id: CallId,
    /// All calls of the session with lower ids have ended for the ingress, so their outcomes are no longer
    /// needed.
    pub floor: CallId,
    /// Configuration that the request was routed by.
    pub version: Version,
    /// Service that must run the request.
    pub service: ServiceName,
    /// Service of the instance at which the request entered the mesh.
    pub origin: ServiceName,
    /// Kind of the route, by which run times are predicted.
    pub kind: CallKind,
    /// Workspace of the caller, or `None` if the route is open or the configuration has no workspaces.
    pub workspace: Option<WorkspaceName>,
    /// Precedence of the workspace, which goes before the rank.
    pub precedence: Precedence,
    /// Urgency of the request.
    pub rank: Rank,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Remaining time in which a response has its full value.
    pub objective: Duration,
    /// Remaining time until the caller stops waiting.
    #[serde(rename = "patience")]
    pub timeout: Duration,
    /// Request id set by the caller.
    #[serde(rename = "request")]
    pub request_id: Arc<str>,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub target: Arc<str>,
    /// Encoded header fields.
    pub fields: Bytes,
    /// Body of the request. It follows the encoded frame.
    #[serde(skip)]
    pub body: Body,
}

impl Call {
    /// Returns what identifies the request when its caller sends it again under another id.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::with_caller(
            &self.service,
            &self.origin,
            &self.method,
            &self.target,
            &self.body.prefix(Fingerprint::BODY_BYTES),
        )
    }
}

/// Outcome of a call and statistics of its run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Id of the call.
    pub id: CallId,
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Time spent waiting for a slot.
    pub waited: Duration,
    /// Time since the request was sent to the backend server, or zero if it was not.
    pub ran: Duration,
    /// State of the executor after the call.
    pub site: SiteReport,
    /// Body of the response. It follows the encoded frame.
    #[serde(skip)]
    pub body: Body,
}
