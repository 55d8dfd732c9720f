//! Addresses of daemons.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// The IP address and UDP port at which a daemon listens for other daemons.
///
/// Unlike an [`InstanceId`](crate::InstanceId), it stays the same when the daemon restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address(pub SocketAddr);

impl FromStr for Address {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| {
            ParseError::new(
                text,
                "address",
                "an IP address and port, such as 10.0.0.1:7000",
            )
        })
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
