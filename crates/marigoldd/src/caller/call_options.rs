//! What a caller asks for in the headers of a request.

use std::sync::Arc;

use hyper::HeaderMap;
use marigold_request::deadline::Deadline;
use marigold_types::{CallerName, Interval};

/// The deepest chain of calls; it ends a loop of services that call one another.
pub const MAX_CALL_DEPTH: u8 = 32;

/// The header that names the caller.
pub const CALLER_HEADER: &str = "marigold-caller";
/// The header that says how many daemons the call has passed.
pub const DEPTH_HEADER: &str = "marigold-depth";
/// The header that says which attempt of its caller it is.
pub const ATTEMPT_HEADER: &str = "marigold-attempt";
/// The header that carries a key.
pub const KEY_HEADER: &str = "idempotency-key";

/// A header that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {name}: {problem}")]
pub struct HeaderError {
    /// The header.
    pub name: &'static str,
    /// What is wrong and what is allowed.
    pub problem: String,
}

/// The options of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// The time that the caller allows.
    pub timeout: Option<Interval>,
    /// How many daemons have handed on the requests that it stems from.
    pub depth: u8,
    /// Which attempt of its caller it is.
    pub attempt: u8,
    /// Who calls.
    pub caller: Option<CallerName>,
    /// The key that it runs under at most once.
    pub key: Option<Arc<str>>,
}

impl CallOptions {
    /// Reads the options from the headers of a request.
    ///
    /// # Errors
    ///
    /// When a header is there and cannot be read; ignoring it could run what must not run.
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

/// Returns the key of a request whose other headers have not been read.
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
        return Err(error("it is given more than once; allowed: one"));
    }
    let text = value
        .to_str()
        .map_err(|_| error("allowed: visible ASCII characters"))?;
    parse(text)
        .map(Some)
        .map_err(|problem| error(&problem.to_string()))
}
