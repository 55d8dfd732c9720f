//! Parsing of responses on a connection to a backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use marigold_http::{Framing, ResponseHead, are_fields_terminated};

use super::field_block::is_hop_by_hop;
use super::{BodyDecoder, FieldBlock, HttpError, Response};
use crate::{BodyBuffer, HeaderNames};

/// First byte of a response.
const STATUS_LINE_START: u8 = b'H';
/// Limit on the header fields of a response.
const MAX_FIELDS: usize = 100;
/// The value by which a backend server says that it is shutting down.
const LEAVING_VALUE: &[u8] = b"1";
/// Limit on the size of a response's head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Limit on the interim responses on a connection.
const MAX_INTERIM_RESPONSES: u32 = 32;

/// A response and the metadata in its header fields.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of the response"
)]
#[derive(Debug, Clone, Default)]
pub struct ParsedResponse {
    /// The response to forward.
    pub response: Response,
    /// Id of the request that it belongs to.
    pub id: Option<Arc<str>>,
    /// Whether it has the signature of the backend server.
    pub signed: bool,
    /// Whether the backend server reports that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding.
    pub encoded: bool,
    /// Identity of the backend server, if the response states it.
    pub identity: Option<Arc<str>>,
    /// The fields that name the backend server's limit of requests per second, separated by commas.
    pub request_limit: Option<String>,
    /// Whether the backend server says that it is shutting down.
    pub leaving: bool,
    /// Whether the connection cannot be reused.
    pub close: bool,
    /// Idle timeout of the connection that the backend server announces.
    pub idle_timeout: Option<Duration>,
    /// Whether the body ends when the connection is closed.
    pub close_delimited: bool,
}

#[derive(Debug)]
struct Partial {
    parsed: ParsedResponse,
    decoder: BodyDecoder,
    body: BodyBuffer,
}

/// Parses the responses on one connection.
#[derive(Debug)]
pub struct ResponseReader {
    names: Arc<HeaderNames>,
    /// Whether responses have no body, as for `HEAD` requests.
    bodiless: bool,
    max_body_bytes: u64,
    partial: Option<Partial>,
    interim_responses: u32,
}

impl ResponseReader {
    /// Creates a reader. `bodiless` is whether responses have no body, as for `HEAD` requests.
    #[must_use]
    pub fn new(names: Arc<HeaderNames>, bodiless: bool, max_body_bytes: u64) -> Self {
        Self {
            names,
            bodiless,
            max_body_bytes,
            partial: None,
            interim_responses: 0,
        }
    }

    /// Removes the next final response from `input`, or returns `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// If the response is malformed or exceeds a limit. The connection cannot be used further.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<ParsedResponse>, HttpError> {
        loop {
            if self.partial.is_none() {
                self.partial = self.read_head(input)?;
            }
            let Some(partial) = &mut self.partial else {
                return Ok(None);
            };
            if !partial
                .decoder
                .decode(input, &mut partial.body, self.max_body_bytes)?
            {
                return Ok(None);
            }
            let parsed = self.take();
            // Interim responses are discarded.
            if parsed.response.status >= 200 {
                return Ok(Some(parsed));
            }
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(HttpError::InterimResponses);
            }
        }
    }

    /// Returns the size of the incomplete body received so far.
    #[must_use]
    pub fn body_len(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.body.len())
    }

    /// Returns the bytes that are allocated for the body after `count` more bytes have been read, at most.
    #[must_use]
    pub fn allocated_after(&self, count: usize) -> usize {
        self.partial
            .as_ref()
            .map_or(count, |partial| partial.body.allocated_after(count))
    }

    /// Returns the response whose body was delimited by the orderly close of the connection.
    ///
    /// # Errors
    ///
    /// If the connection was closed before a response or within one.
    pub fn finish(&mut self) -> Result<ParsedResponse, HttpError> {
        match &self.partial {
            Some(partial) if partial.decoder.is_until_close() => Ok(self.take()),
            _ => Err(HttpError::Truncated),
        }
    }

    fn take(&mut self) -> ParsedResponse {
        let Some(partial) = self.partial.take() else {
            return ParsedResponse::default();
        };
        let mut parsed = partial.parsed;
        parsed.response.body = partial.body.finish();
        parsed
    }

    fn read_head(&mut self, input: &mut BytesMut) -> Result<Option<Partial>, HttpError> {
        if input.is_empty() {
            return Ok(None);
        }
        // The parser skips empty lines before the status line.
        if input[0] != STATUS_LINE_START {
            return Err(HttpError::Head);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let used = match head.parse(input) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(HttpError::Head),
        };
        if !are_fields_terminated(&input[..used]) {
            return Err(HttpError::Head);
        }
        let partial = parse_head(&self.names, &head, self.bodiless)?;
        if partial.decoder.remaining() > Some(self.max_body_bytes) {
            return Err(HttpError::BodySize);
        }
        input.advance(used);
        Ok(Some(partial))
    }
}

fn parse_head(
    names: &HeaderNames,
    head: &httparse::Response<'_, '_>,
    bodiless: bool,
) -> Result<Partial, HttpError> {
    let text = |value: &[u8]| std::str::from_utf8(value).ok().map(|t| Arc::from(t.trim()));
    let status = head.code.ok_or(HttpError::Head)?;
    let mut message = ResponseHead::new(status, head.version == Some(0))?;
    let mut parsed = ParsedResponse::default();
    parsed.response.status = status;
    let mut connection = String::new();
    for field in head.headers.iter() {
        if field.name.eq_ignore_ascii_case("connection") {
            connection.push_str(std::str::from_utf8(field.value).map_err(|_| HttpError::Head)?);
            connection.push(',');
        }
    }
    parsed.close = head.version == Some(0)
        || connection
            .split(',')
            .any(|option| option.trim().eq_ignore_ascii_case("close"));
    let mut block = FieldBlock::default();
    for field in head.headers.iter() {
        let is = |name: &str| field.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            message.add_length(field.value)?;
        } else if is("transfer-encoding") {
            message.add_transfer_encoding(field.value)?;
        } else if is("keep-alive") {
            parsed.idle_timeout = parse_idle_timeout(field.value);
        } else {
            if is(&names.request_id) {
                let id = text(field.value);
                if parsed.id.is_some() && parsed.id != id {
                    return Err(HttpError::Head);
                }
                parsed.id = id;
            } else if is(&names.identity) {
                parsed.identity = text(field.value);
            } else if is(&names.request_limit) {
                append_value(&mut parsed.request_limit, field.value);
            }
            parsed.leaving |= is(&names.leaving) && field.value.trim_ascii() == LEAVING_VALUE;
            parsed.signed |= is(&names.signature);
            parsed.not_run |= is(&names.not_run);
            parsed.encoded |= is("content-encoding");
            if !is_hop_by_hop(field.name, &connection) {
                block.push(field.name, field.value);
            }
        }
    }
    parsed.response.fields = block.freeze();
    let decoder = match message.framing()? {
        _ if bodiless => BodyDecoder::empty(),
        Framing::Empty => BodyDecoder::empty(),
        Framing::Chunked => BodyDecoder::chunked(),
        Framing::Length(size) => BodyDecoder::with_length(size),
        Framing::UntilClose => BodyDecoder::until_close(),
    };
    parsed.close_delimited = decoder.is_until_close();
    Ok(Partial {
        parsed,
        decoder,
        body: BodyBuffer::default(),
    })
}

/// Appends a field to those of the same name, separated by a comma.
fn append_value(values: &mut Option<String>, value: &[u8]) {
    let value = String::from_utf8_lossy(value);
    match values {
        Some(values) => {
            values.push(',');
            values.push_str(&value);
        }
        None => *values = Some(value.into_owned()),
    }
}

/// Parses the `timeout` parameter of the `Keep-Alive` header.
fn parse_idle_timeout(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
