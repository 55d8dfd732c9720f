//! Where a daemon listens for its peers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// The IP number and UDP port at which a daemon listens for other daemons.
///
/// It outlives a restart, unlike [`InstanceId`](crate::InstanceId).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address(pub SocketAddr);

impl FromStr for Address {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| {
            ParseError::new(text, "address", "an IP number and port, as 10.0.0.1:7000")
        })
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
