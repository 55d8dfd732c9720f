//! A kind of call that the load is made of.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use marigold_types::{ByteSize, ParseError, ServiceName};

const ALLOWED: &str = "/PATH with any of ,weight=N ,once=SERVICE and ,body=SIZE";
const MAX_WEIGHT: u32 = 1_000;
const MAX_BODY: ByteSize = ByteSize(64 << 20);

/// A path that is called, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRoute {
    /// The path.
    pub path: Arc<str>,
    /// Its share of the calls.
    pub weight: u32,
    /// The service whose keys its calls carry, when a call may not be repeated.
    pub once: Option<ServiceName>,
    /// The size of the body; a call without one is a `GET`.
    pub body: ByteSize,
}

impl LoadRoute {
    /// Builds a route of repeatable calls without a body.
    #[must_use]
    pub fn repeatable(path: &str) -> Self {
        Self {
            path: Arc::from(path),
            weight: 1,
            once: None,
            body: ByteSize(0),
        }
    }

    /// Builds a route of calls that may run at most once, with a small body.
    #[must_use]
    pub fn once(path: &str, service: ServiceName) -> Self {
        Self {
            once: Some(service),
            body: ByteSize(64),
            ..Self::repeatable(path)
        }
    }

    /// Gives the route `weight`.
    #[must_use]
    pub fn with_weight(self, weight: u32) -> Self {
        Self { weight, ..self }
    }
}

impl FromStr for LoadRoute {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new(text, "load route", ALLOWED);
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
