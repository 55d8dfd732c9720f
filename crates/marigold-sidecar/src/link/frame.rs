//! What daemons send to each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{CallKind, Rank, Site, SiteReport};
use marigold_types::{Digest, LogOffset, ServiceName, Version};
use serde::{Deserialize, Serialize};

use super::{CallId, CallOutcome, SessionId};

/// One message; a body of a call or reply follows its head in the same frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first message of the end that connects.
    Hello(Hello),
    /// The answer to [`Frame::Hello`].
    Welcome(Welcome),
    /// A request to run.
    Call(Call),
    /// What became of a call.
    Reply(Reply),
    /// Nobody waits for this call any more.
    Cancel(CallId),
    /// A further part of the body of the call or reply that follows under this id.
    #[serde(rename = "Part")]
    BodyPart(CallId),
    /// The state of the executor, when it has changed or was asked for.
    Site(SiteReport),
    /// Asks for a sign of life.
    Ping,
    /// Asks for news of the store; the end that opened the connection gets them for a while.
    Follow(Follow),
    /// News of the store; a change of the configuration follows the head.
    #[serde(rename = "News")]
    StoreUpdate(Box<StoreUpdate>),
}

/// Opens a connection of a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The session.
    pub session: SessionId,
    /// Counts the connections of the session; a greater one ends those before it.
    pub epoch: u32,
    /// Calls that were sent on earlier connections and whose outcome is not known.
    pub open: Vec<CallId>,
}

/// Tells what became of the calls that a [`Hello`] names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Names this life of the executor's daemon.
    #[serde(rename = "life")]
    pub run_id: u64,
    /// Calls that never arrived and never will run.
    pub unknown: Vec<CallId>,
    /// The state of the backend server.
    pub site: SiteReport,
}

/// Says what a daemon that wants news holds already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// The configuration that it holds, none before the first.
    pub config: Option<Version>,
    /// Whether it wants all records of daemons, rather than changes only.
    pub all_sites: bool,
}

/// What a daemon knows of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// How long ago the configuration was known to be the newest, none if that is not known.
    pub config_age: Option<Duration>,
    /// The configuration that the sender holds.
    pub config: Option<Version>,
    /// A change to the configuration, whose bytes follow.
    pub change: Option<ConfigChange>,
    /// Records of daemons that have changed, or all of them.
    pub sites: Vec<SiteRecord>,
    /// Whether the records are all that there are.
    pub all_sites: bool,
    /// The bytes of the change; they travel behind the head.
    #[serde(skip)]
    pub delta: Bytes,
}

/// How to come to a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The configuration that it changes; without one it is whole and compressed.
    pub base: Option<Version>,
    /// The digest of the changed configuration's bytes.
    pub digest: Digest,
    /// Where the store's next change is read from.
    pub next: LogOffset,
}

/// A daemon's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteRecord {
    /// Where the daemon takes calls.
    pub address: SocketAddr,
    /// What is known of it, none if it has left.
    pub site: Option<Site>,
}

/// A request on its way to the daemon beside a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its name within the session.
    pub id: CallId,
    /// All calls of the session below this one have ended for the caller.
    pub floor: CallId,
    /// The configuration that it was routed by.
    pub version: Version,
    /// The service that must run it.
    pub service: ServiceName,
    /// The service on whose instance it began.
    pub origin: ServiceName,
    /// What kind of work it is.
    pub kind: CallKind,
    /// How urgent it is.
    pub rank: Rank,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// How long its answer still earns full value.
    pub objective: Duration,
    /// How long anybody waits for its answer.
    #[serde(rename = "patience")]
    pub timeout: Duration,
    /// The id that its caller gave it.
    #[serde(rename = "request")]
    pub request_id: Arc<str>,
    /// Its method.
    pub method: Arc<str>,
    /// Its path and query.
    pub target: Arc<str>,
    /// The fields that are passed on.
    pub fields: Bytes,
    /// Its body; it travels behind the head.
    #[serde(skip)]
    pub body: Bytes,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The call.
    pub id: CallId,
    /// What became of it.
    pub outcome: CallOutcome,
    /// How long it waited for a slot.
    pub waited: Duration,
    /// How long it ran.
    pub ran: Duration,
    /// The state of the backend server.
    pub site: SiteReport,
    /// The answer's body; it travels behind the head.
    #[serde(skip)]
    pub body: Bytes,
}
