//! Parsing of requests on a caller's connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use marigold_dispatch::CallerLimits;
use marigold_http::parse_length;
use tokio::time::Instant;

use super::field_block::is_hop_by_hop;
use super::{BodyDecoder, CallerKey, FieldBlock, HttpError, Request};
use crate::{Body, BodyBuffer, HeaderNames};

/// Limit on the time that a caller says it waits, so that it can be added to any other.
const MAX_CALLER_TIMEOUT: Duration = Duration::from_hours(24);
/// Limit on the header fields of a request.
const MAX_FIELDS: usize = 100;

#[derive(Debug)]
struct Partial {
    request: Request,
    decoder: BodyDecoder,
    body: BodyBuffer,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

/// Parses the requests on one connection.
#[derive(Debug)]
pub struct RequestReader {
    names: Arc<HeaderNames>,
    /// Whether the fields of keys and workspaces are taken out, see [`Self::set_keyed`].
    is_keyed: bool,
    partial: Option<Partial>,
    head_since: Option<Instant>,
}

impl RequestReader {
    /// Creates the reader of a new connection.
    #[must_use]
    pub fn new(names: Arc<HeaderNames>) -> Self {
        Self {
            names,
            is_keyed: true,
            partial: None,
            head_since: None,
        }
    }

    /// Sets whether keys and workspaces have a meaning. If they have none, their fields are forwarded like any other.
    pub fn set_keyed(&mut self, is_keyed: bool) {
        self.is_keyed = is_keyed;
    }

    /// Returns when the first byte of an incomplete head was received, or `None` if no head is incomplete.
    #[must_use]
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since
    }

    /// Returns whether a request has been received in part.
    #[must_use]
    pub fn is_mid_request(&self) -> bool {
        self.partial.is_some() || self.head_since.is_some()
    }

    /// Returns the bytes allocated for the body that is arriving.
    #[must_use]
    pub fn allocated(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.body.allocated())
    }

    /// Returns the bytes that are allocated for the body after `count` more bytes have been read, at most.
    #[must_use]
    pub fn allocated_after(&self, count: usize) -> usize {
        // Before the head is complete, the body begins with what follows it.
        self.partial
            .as_ref()
            .map_or(count, |partial| partial.body.allocated_after(count))
    }

    /// Returns whether a body is arriving.
    #[must_use]
    pub fn is_mid_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the id of the request whose body is arriving, if it has one.
    #[must_use]
    pub fn request_id(&self) -> Option<Arc<str>> {
        self.partial.as_ref()?.request.id.clone()
    }

    /// Returns how long the caller of the request whose body is arriving waits, if it states that.
    #[must_use]
    pub fn caller_timeout(&self) -> Option<Duration> {
        self.partial.as_ref()?.request.caller_timeout
    }

    /// Drops what has been received of a request. The connection cannot be used further.
    pub fn discard(&mut self) {
        self.partial = None;
        self.head_since = None;
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body. Returns `true` at most
    /// once for each request.
    pub fn take_expect_continue(&mut self) -> bool {
        self.partial
            .as_mut()
            .is_some_and(|partial| std::mem::take(&mut partial.expects_continue))
    }

    /// Removes the next request from `input`, or returns `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// If the request is malformed or exceeds a limit. The connection cannot be used further.
    pub fn next(
        &mut self,
        input: &mut BytesMut,
        limits: &CallerLimits,
        now: Instant,
    ) -> Result<Option<Request>, HttpError> {
        if self.partial.is_none() {
            self.partial = self.read_head(input, limits, now)?;
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        if !partial
            .decoder
            .decode(input, &mut partial.body, limits.max_body.0)?
        {
            return Ok(None);
        }
        let complete = self.partial.take().map(|mut partial| {
            partial.request.body = partial.body.finish();
            partial.request
        });
        Ok(complete)
    }

    fn read_head(
        &mut self,
        input: &mut BytesMut,
        limits: &CallerLimits,
        now: Instant,
    ) -> Result<Option<Partial>, HttpError> {
        // Empty lines before a request are permitted and ignored.
        while input.starts_with(b"\r\n") {
            input.advance(2);
        }
        if input.is_empty() {
            return Ok(None);
        }
        self.head_since.get_or_insert(now);
        let limit = usize::try_from(limits.max_head.0).unwrap_or(usize::MAX);
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut fields);
        let used = match head.parse(input) {
            Ok(httparse::Status::Complete(used)) if used <= limit => used,
            Ok(httparse::Status::Partial) if input.len() <= limit => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadSize),
            Err(_) => return Err(HttpError::Head),
        };
        let partial = parse_head(&self.names, self.is_keyed, &head)?;
        if partial.decoder.remaining() > Some(limits.max_body.0) {
            return Err(HttpError::BodySize);
        }
        input.advance(used);
        self.head_since = None;
        Ok(Some(partial))
    }
}

fn parse_head(
    names: &HeaderNames,
    is_keyed: bool,
    head: &httparse::Request<'_, '_>,
) -> Result<Partial, HttpError> {
    let text = |value: &[u8]| {
        std::str::from_utf8(value)
            .map(str::trim)
            .map(Arc::<str>::from)
    };
    let mut connection = String::new();
    for field in head.headers.iter() {
        if field.name.eq_ignore_ascii_case("connection") {
            connection.push_str(std::str::from_utf8(field.value).map_err(|_| HttpError::Head)?);
            connection.push(',');
        }
    }
    let mut request = Request {
        method: Arc::from(head.method.unwrap_or_default()),
        target: Arc::from(head.path.unwrap_or_default()),
        host: Arc::from(""),
        id: None,
        caller_timeout: None,
        key: CallerKey::Absent,
        fields: Bytes::new(),
        body: Body::default(),
        close: wants_close(&connection, head.version),
    };
    let mut block = FieldBlock::default();
    let mut length = None;
    let mut chunked = false;
    let mut expects_continue = false;
    for field in head.headers.iter() {
        let is = |name: &str| field.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let size = parse_length(field.value).ok_or(HttpError::Framing)?;
            if length.is_some_and(|other| other != size) {
                return Err(HttpError::Framing);
            }
            length = Some(size);
        } else if is("transfer-encoding") {
            if chunked || !field.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(HttpError::Framing);
            }
            chunked = true;
        } else if is("expect") {
            expects_continue = field.value.eq_ignore_ascii_case(b"100-continue");
        } else if is(&names.deadline) {
            let value = text(field.value).map_err(|_| HttpError::Head)?;
            request.caller_timeout = parse_millis(&value);
        } else if is_keyed && is(&names.key) {
            request.key.add(field.value);
        } else if is_keyed && is(&names.workspace) {
            // Only the daemon says whose the request is.
        } else if is(&names.request_id) {
            request.id = text(field.value).ok();
            block.push(field.name, field.value);
        } else if is("host") {
            request.host = text(field.value).map_err(|_| HttpError::Head)?;
            block.push(field.name, field.value);
        } else if !names.is_daemon_owned(field.name) && !is_hop_by_hop(field.name, &connection) {
            if is(&names.key) || is(&names.workspace) {
                request.key = CallerKey::Forwarded;
            }
            block.push(field.name, field.value);
        }
    }
    // A message with both framings, or with one that its version does not have, may be an attempt at request smuggling.
    if chunked && (length.is_some() || head.version == Some(0)) {
        return Err(HttpError::Framing);
    }
    request.fields = block.freeze();
    let decoder = match (chunked, length) {
        (true, _) => BodyDecoder::chunked(),
        (false, Some(size)) => BodyDecoder::with_length(size),
        (false, None) => BodyDecoder::empty(),
    };
    Ok(Partial {
        request,
        decoder,
        body: BodyBuffer::default(),
        expects_continue,
    })
}

fn wants_close(connection: &str, version: Option<u8>) -> bool {
    let has = |option: &str| {
        let mut options = connection.split(',').map(str::trim);
        options.any(|other| other.eq_ignore_ascii_case(option))
    };
    has("close") || (version == Some(0) && !has("keep-alive"))
}

fn parse_millis(text: &str) -> Option<Duration> {
    let millis: f64 = text.parse().ok()?;
    let seconds = millis / 1_000.0;
    if seconds > MAX_CALLER_TIMEOUT.as_secs_f64() {
        return Some(MAX_CALLER_TIMEOUT);
    }
    Duration::try_from_secs_f64(seconds).ok()
}
