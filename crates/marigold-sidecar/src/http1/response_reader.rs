//! Reads the answers of one connection to a backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};

use super::field_block::is_hop_by_hop;
use super::{BodyDecoder, FieldBlock, HttpError, Response};
use crate::HeaderNames;

/// The most fields of a head.
const MAX_FIELDS: usize = 100;
/// The largest head of an answer.
const MAX_HEAD: usize = 64 << 10;

/// An answer with what its connection and its marks say.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one mark of the answer, independent of the others"
)]
#[derive(Debug, Clone, Default)]
pub struct ParsedResponse {
    /// The answer itself.
    pub response: Response,
    /// The id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether it carries the backend server's signature.
    pub signed: bool,
    /// Whether the backend server says that it did not run the request.
    pub not_run: bool,
    /// Whether its body was encoded on the way.
    pub encoded: bool,
    /// The identity of the backend server, where it tells.
    pub identity: Option<Arc<str>>,
    /// Whether the connection carries no further request.
    pub close: bool,
    /// How long the connection is kept without a request.
    pub idle_timeout: Option<Duration>,
    /// Whether its end is the end of the connection.
    pub close_delimited: bool,
}

#[derive(Debug)]
struct Partial {
    answer: ParsedResponse,
    decoder: BodyDecoder,
    body: BytesMut,
}

/// Takes whole answers out of the bytes of a connection.
#[derive(Debug)]
pub struct ResponseReader {
    names: Arc<HeaderNames>,
    /// Whether answers have no body, since the requests ask for heads only.
    bodiless: bool,
    limit: u64,
    partial: Option<Partial>,
}

impl ResponseReader {
    /// Builds a reader of answers with bodies of at most `limit` bytes.
    #[must_use]
    pub fn new(names: Arc<HeaderNames>, bodiless: bool, limit: u64) -> Self {
        Self {
            names,
            bodiless,
            limit,
            partial: None,
        }
    }

    /// Takes the next answer out of `input` if it is there as a whole.
    ///
    /// # Errors
    ///
    /// When what is there is no answer, after which the connection is of no more use.
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
                .decode(input, &mut partial.body, self.limit)?
            {
                return Ok(None);
            }
            let whole = self.take();
            // Interim answers announce the final one.
            if whole.response.status >= 200 {
                return Ok(Some(whole));
            }
        }
    }

    /// Takes the answer that ends with its connection, now that the connection has ended in order.
    ///
    /// # Errors
    ///
    /// When the connection ended inside an answer or without one.
    pub fn finish(&mut self) -> Result<ParsedResponse, HttpError> {
        match &self.partial {
            Some(partial) if partial.decoder == BodyDecoder::UntilEnd => Ok(self.take()),
            _ => Err(HttpError::Truncated),
        }
    }

    fn take(&mut self) -> ParsedResponse {
        let Some(partial) = self.partial.take() else {
            return ParsedResponse::default();
        };
        let mut answer = partial.answer;
        answer.response.body = partial.body.freeze();
        answer
    }

    fn read_head(&mut self, input: &mut BytesMut) -> Result<Option<Partial>, HttpError> {
        if input.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let used = match head.parse(input) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD => return Ok(None),
            _ => return Err(HttpError::Head),
        };
        let partial = interpret(&self.names, &head, self.bodiless)?;
        input.advance(used);
        Ok(Some(partial))
    }
}

fn interpret(
    names: &HeaderNames,
    head: &httparse::Response<'_, '_>,
    bodiless: bool,
) -> Result<Partial, HttpError> {
    let text = |value: &[u8]| std::str::from_utf8(value).ok().map(|t| Arc::from(t.trim()));
    let status = head.code.ok_or(HttpError::Head)?;
    let mut answer = ParsedResponse::default();
    answer.response.status = status;
    let mut connection = String::new();
    for field in head.headers.iter() {
        if field.name.eq_ignore_ascii_case("connection") {
            connection.push_str(std::str::from_utf8(field.value).map_err(|_| HttpError::Head)?);
            connection.push(',');
        }
    }
    answer.close = head.version == Some(0)
        || connection
            .split(',')
            .any(|word| word.trim().eq_ignore_ascii_case("close"));
    let mut block = FieldBlock::default();
    let mut length = None;
    let mut chunked = false;
    for field in head.headers.iter() {
        let is = |name: &str| field.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let size: u64 = std::str::from_utf8(field.value)
                .ok()
                .and_then(|value| value.trim().parse().ok())
                .ok_or(HttpError::Framing)?;
            if length.is_some_and(|other| other != size) {
                return Err(HttpError::Framing);
            }
            length = Some(size);
        } else if is("transfer-encoding") {
            if !field.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(HttpError::Framing);
            }
            chunked = true;
        } else if is("keep-alive") {
            answer.idle_timeout = parse_idle(field.value);
        } else {
            if is(&names.request_id) {
                answer.id = text(field.value);
            } else if is(&names.identity) {
                answer.identity = text(field.value);
            }
            answer.signed |= is(&names.signature);
            answer.not_run |= is(&names.not_run);
            answer.encoded |= is("content-encoding");
            if !is_hop_by_hop(field.name, &connection) {
                block.push(field.name, field.value);
            }
        }
    }
    answer.response.fields = block.freeze();
    let has_no_body = bodiless || status < 200 || status == 204 || status == 304;
    let decoder = match (has_no_body, chunked, length) {
        (true, ..) => BodyDecoder::Done,
        (false, true, _) => BodyDecoder::ChunkSize,
        (false, false, Some(size)) => BodyDecoder::Length(size),
        (false, false, None) => BodyDecoder::UntilEnd,
    };
    answer.close_delimited = decoder == BodyDecoder::UntilEnd;
    Ok(Partial {
        answer,
        decoder,
        body: BytesMut::new(),
    })
}

fn parse_idle(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
