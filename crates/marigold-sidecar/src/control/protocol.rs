//! The borders to the platform's formats.

use std::sync::Arc;

use bytes::Bytes;
use marigold_dispatch::{Announcement, RouteTable};
use marigold_log::TableName;

/// What cannot be decoded, and why.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{subject}: {problem}")]
pub struct DecodeError {
    /// What was read, as "announcement".
    pub subject: &'static str,
    /// What is wrong with it, with the field where there is one.
    pub problem: String,
}

/// A call to this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// The platform asks whether callers may come.
    Readiness,
    /// The backend server tells of itself.
    Announce(Announcement),
    /// The backend server leaves.
    Leave {
        /// The identity of the life that leaves.
        identity: Arc<str>,
    },
}

/// Decodes calls and encodes their answers.
pub trait ControlProtocol {
    /// Decodes a call.
    ///
    /// # Errors
    ///
    /// When there is no such call or its body is wrong.
    fn decode(&self, method: &str, path: &str, body: &[u8]) -> Result<ControlCall, DecodeError>;

    /// Returns the body and its type of the answer to a call that was taken in.
    fn acknowledgement(&self) -> (Bytes, &'static str);
}

/// Where the configuration stands and how it is written.
pub trait ConfigSource {
    /// The table that holds the configuration.
    fn table(&self) -> TableName;

    /// The key of the configuration in its table.
    fn key(&self) -> &str;

    /// Decodes a configuration as a whole.
    ///
    /// # Errors
    ///
    /// When any part of it is wrong; nothing of it is taken then.
    fn decode(&self, bytes: &[u8]) -> Result<RouteTable, DecodeError>;
}
