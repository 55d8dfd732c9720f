//! Request headers with which a caller sets options.

use std::sync::Arc;

use hyper::HeaderMap;
use marigold_request::deadline::Deadline;
use marigold_types::{CallerName, Interval};

/// The most daemons that a chain of calls may pass; ends loops of services that call each other.
pub const MAX_CALL_DEPTH: u8 = 32;

/// The header with the caller's name.
pub const CALLER_HEADER: &str = "marigold-caller";
/// The header with the number of daemons that the call has passed.
pub const DEPTH_HEADER: &str = "marigold-depth";
/// The header with the attempt number of the caller, from 0.
pub const ATTEMPT_HEADER: &str = "marigold-attempt";
/// The header with the key of an at-most-once request.
pub const KEY_HEADER: &str = "idempotency-key";

/// A header with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {name}: {problem}")]
pub struct HeaderError {
    /// The name of the header.
    pub name: &'static str,
    /// What is wrong and which values are allowed.
    pub problem: String,
}

/// The options of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// The time within which the caller expects the response; none when it set no limit.
    pub timeout: Option<Interval>,
    /// The number of daemons that the chain of calls has passed.
    pub depth: u8,
    /// The attempt number of the caller, from 0.
    pub attempt: u8,
    /// The caller's name; none when it did not give one.
    pub caller: Option<CallerName>,
    /// The key of an at-most-once request.
    pub key: Option<Arc<str>>,
}

impl CallOptions {
    /// Reads the options from the headers of a request.
    ///
    /// # Errors
    ///
    /// When a header is invalid. Ignoring it could run a request that must not run.
    pub fn read(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let timeout = read_header(headers, Deadline::HEADER, Deadline::parse_header)?;
        let depth = read_header(headers, DEPTH_HEADER, |text| {
            let depth = text.parse().ok().filter(|depth| *depth <= MAX_CALL_DEPTH);
            depth.ok_or_else(|| format!("allowed: 0 to {MAX_CALL_DEPTH}"))
        })?;
        let attempt = read_header(headers, ATTEMPT_HEADER, |text| {
            text.parse().map_err(|_| "allowed: 0 to 255".to_owned())
        })?;
        Ok(Self {
            timeout,
            depth: depth.unwrap_or_default(),
            attempt: attempt.unwrap_or_default(),
            caller: read_header(headers, CALLER_HEADER, str::parse)?,
            key: read_header(headers, KEY_HEADER, |text| Ok::<_, String>(Arc::from(text)))?,
        })
    }
}

/// Returns the key without parsing the other headers.
#[must_use]
pub fn read_key(headers: &HeaderMap) -> Option<Arc<str>> {
    let value = headers.get(KEY_HEADER)?.to_str().ok()?;
    Some(Arc::from(value))
}

fn read_header<T, E: ToString>(
    headers: &HeaderMap,
    name: &'static str,
    parse: impl Fn(&str) -> Result<T, E>,
) -> Result<Option<T>, HeaderError> {
    let error = |problem: &str| HeaderError {
        name,
        problem: problem.to_owned(),
    };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(error("it is given more than once; allowed: once"));
    }
    let text = value
        .to_str()
        .map_err(|_| error("allowed: visible ASCII characters"))?;
    parse(text)
        .map(Some)
        .map_err(|problem| error(&problem.to_string()))
}
