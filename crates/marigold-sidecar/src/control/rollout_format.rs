//! The platform's format of orders and states of roll-outs.

use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{RolloutStatus, ServerVersion};
use marigold_log::TableName;
use marigold_types::ServiceName;

use super::DecodeError;

/// An order as the operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTerms {
    /// The service.
    pub service: ServiceName,
    /// The version that is to take over.
    pub target: ServerVersion,
    /// The time within which the roll-out has to be decided.
    pub duration: Duration,
}

/// Location and format of roll-outs in the store. Orders are in the table of the configuration.
pub trait RolloutFormat {
    /// Returns the table of states.
    fn status_table(&self) -> TableName;

    /// Returns whether the record at `key` is an order.
    fn is_order(&self, key: &str) -> bool;

    /// Returns the key of the status of the roll-out of `service`.
    fn status_key(&self, service: &ServiceName) -> String;

    /// Decodes the order at `key`.
    ///
    /// # Errors
    ///
    /// If any part is invalid, or the order is for another service than its key.
    fn decode_order(&self, key: &str, bytes: &[u8]) -> Result<OrderTerms, DecodeError>;

    /// Decodes the status at `key`, or returns `None` if the record is not the status of a roll-out.
    ///
    /// # Errors
    ///
    /// If any part is invalid.
    fn decode_status(
        &self,
        key: &str,
        bytes: &[u8],
    ) -> Result<Option<(ServiceName, RolloutStatus)>, DecodeError>;

    /// Encodes a status.
    fn encode_status(&self, status: &RolloutStatus) -> Bytes;
}
