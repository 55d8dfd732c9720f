//! Kind of call in a load run.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use marigold_types::{ByteSize, ParseError, ServiceName};

const SYNTAX: &str = "/PATH with any of ,weight=N ,once=SERVICE and ,body=SIZE";
const MAX_WEIGHT: u32 = 1_000;
const MAX_BODY: ByteSize = ByteSize(64 << 20);

/// A path to call, and the properties of its calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRoute {
    /// The path to call.
    pub path: Arc<str>,
    /// The share of the calls, relative to the weights of the other routes.
    pub weight: u32,
    /// The service whose idempotency keys the calls carry, or `None` if the calls may be repeated.
    pub once: Option<ServiceName>,
    /// The size of the body. A repeatable call without a body is a `GET`.
    pub body: ByteSize,
}

impl LoadRoute {
    /// Returns a route of repeatable calls without a body.
    #[must_use]
    pub fn repeatable(path: &str) -> Self {
        Self {
            path: Arc::from(path),
            weight: 1,
            once: None,
            body: ByteSize(0),
        }
    }

    /// Returns a route of at-most-once calls with a body of 64 bytes.
    #[must_use]
    pub fn once(path: &str, service: ServiceName) -> Self {
        Self {
            once: Some(service),
            body: ByteSize(64),
            ..Self::repeatable(path)
        }
    }

    /// Returns the route with `weight`.
    #[must_use]
    pub fn with_weight(self, weight: u32) -> Self {
        Self { weight, ..self }
    }
}

impl FromStr for LoadRoute {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new(text, "load route", SYNTAX);
        let mut parts = text.split(',');
        let path = parts.next().filter(|path| path.starts_with('/'));
        let mut route = Self::repeatable(path.ok_or_else(error)?);
        for part in parts {
            let (key, value) = part.split_once('=').ok_or_else(error)?;
            match key {
                "weight" => route.weight = value.parse().map_err(|_| error())?,
                "once" => route.once = Some(value.parse().map_err(|_| error())?),
                "body" => route.body = value.parse().map_err(|_| error())?,
                _ => return Err(error()),
            }
        }
        if !(1..=MAX_WEIGHT).contains(&route.weight) || route.body > MAX_BODY {
            return Err(error());
        }
        Ok(route)
    }
}

impl fmt::Display for LoadRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.path)
    }
}
