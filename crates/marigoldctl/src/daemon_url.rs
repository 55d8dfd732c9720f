//! The URL of a daemon's admin API.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use marigold_types::ParseError;

/// The address of a daemon's admin API, as `[admin] listen` of its settings. The scheme `http://`
/// is optional in input.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DaemonUrl(pub SocketAddr);

impl FromStr for DaemonUrl {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let address = text.strip_prefix("http://").unwrap_or(text);
        address
            .trim_end_matches('/')
            .parse()
            .map(Self)
            .map_err(|_| ParseError::new(text, "daemon", "as http://10.0.0.1:9001"))
    }
}

impl fmt::Display for DaemonUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.0)
    }
}
