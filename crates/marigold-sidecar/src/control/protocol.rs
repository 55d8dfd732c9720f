//! Interfaces to the platform's formats, implemented by its adapter.

use std::sync::Arc;

use bytes::Bytes;
use marigold_dispatch::{Announcement, RouteTable};
use marigold_log::TableName;

/// Input from the platform or a backend server could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{subject}: {problem}")]
pub struct DecodeError {
    /// What was being decoded, for example "heartbeat".
    pub subject: &'static str,
    /// Description of the problem, including the field if there is one.
    pub problem: String,
}

/// A request to the daemon itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// Readiness check of the platform.
    Readiness,
    /// The backend server announces its identity and state.
    Announce(Announcement),
    /// The backend server is shutting down.
    Leave {
        /// Identity of the process that is shutting down.
        identity: Arc<str>,
    },
}

/// Decodes control requests and encodes their responses.
pub trait ControlProtocol {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// If the method and path are unknown or the body is invalid.
    fn decode(&self, method: &str, path: &str, body: &[u8]) -> Result<ControlCall, DecodeError>;

    /// Returns the body and content type of the response to an accepted announcement.
    fn acknowledgement(&self) -> (Bytes, &'static str);
}

/// A part of a configuration that its decoder does not understand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPart {
    /// Path of the part, for example "routes.read.kind". It contains no values other than names.
    pub path: String,
    /// How the part is read.
    pub reading: &'static str,
}

/// A decoded configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct DecodedConfig {
    /// The routes, services and workspaces.
    pub table: RouteTable,
    /// Parts that may restrict callers and are not understood.
    pub unknown: Vec<UnknownPart>,
}

/// Location and format of the configuration in the store.
pub trait ConfigSource {
    /// Returns the table that holds the configuration.
    fn table(&self) -> TableName;

    /// Returns the key of the configuration in its table.
    fn key(&self) -> &str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// If any part is invalid; a configuration is never applied partially. Errors contain no keys of callers.
    fn decode(&self, bytes: &[u8]) -> Result<DecodedConfig, DecodeError>;
}
