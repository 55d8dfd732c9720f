//! How the body of a response is delimited.

use crate::GrammarError;
use http::{Response, Version};

use crate::field::{parse_length, trim_blanks};

const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// How the body of a response is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By its length in bytes.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// What the head of a response says of its body.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead {
    status: u16,
    is_http_1_0: bool,
    length: Option<u64>,
    chunked: bool,
}

impl ResponseHead {
    /// Returns how the body of a response that another parser has read is delimited, apart from responses to `HEAD`.
    ///
    /// # Errors
    ///
    /// If the grammar does not have the status, or what the fields say of the body.
    pub fn check<T>(response: &Response<T>) -> Result<Framing, GrammarError> {
        let is_http_1_0 = response.version() == Version::HTTP_10;
        let mut head = Self::new(response.status().as_u16(), is_http_1_0)?;
        for (name, value) in response.headers() {
            head.add(name.as_str(), value.as_bytes())?;
        }
        head.framing()
    }

    /// Creates the head of a response without fields.
    ///
    /// # Errors
    ///
    /// If no response to a request without an upgrade has this status.
    pub fn new(status: u16, is_http_1_0: bool) -> Result<Self, GrammarError> {
        if !STATUSES.contains(&status) {
            return Err(GrammarError::Status);
        }
        if status == SWITCHING_PROTOCOLS {
            return Err(GrammarError::Upgrade);
        }
        Ok(Self {
            status,
            is_http_1_0,
            length: None,
            chunked: false,
        })
    }

    /// Adds a `Content-Length` field.
    ///
    /// # Errors
    ///
    /// If it is malformed or differs from an earlier one.
    pub fn add_length(&mut self, value: &[u8]) -> Result<(), GrammarError> {
        let length = parse_length(value).ok_or(GrammarError::Length)?;
        if self.length.is_some_and(|other| other != length) {
            return Err(GrammarError::Length);
        }
        self.length = Some(length);
        Ok(())
    }

    /// Adds a `Transfer-Encoding` field.
    ///
    /// # Errors
    ///
    /// If it is not the only one, or not `chunked`.
    pub fn add_transfer_encoding(&mut self, value: &[u8]) -> Result<(), GrammarError> {
        let is_chunked = trim_blanks(value).eq_ignore_ascii_case(b"chunked");
        if self.chunked || self.is_http_1_0 || !is_chunked {
            return Err(GrammarError::TransferEncoding);
        }
        self.chunked = true;
        Ok(())
    }

    /// Adds a field if it concerns the body.
    ///
    /// # Errors
    ///
    /// If it is malformed.
    pub fn add(&mut self, name: &str, value: &[u8]) -> Result<(), GrammarError> {
        if name.eq_ignore_ascii_case("content-length") {
            self.add_length(value)
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.add_transfer_encoding(value)
        } else {
            Ok(())
        }
    }

    /// Returns how the body is delimited, apart from responses to `HEAD`.
    ///
    /// # Errors
    ///
    /// If the fields contradict each other or the status.
    pub fn framing(&self) -> Result<Framing, GrammarError> {
        if self.chunked && self.length.is_some() {
            return Err(GrammarError::TransferEncoding);
        }
        let states_body = self.chunked || self.length.is_some_and(|length| length > 0);
        match (self.status, self.length) {
            (..200 | NO_CONTENT, _) if states_body => Err(GrammarError::Body),
            // The length of this one is that of another response.
            (..200 | NO_CONTENT | NOT_MODIFIED, _) => Ok(Framing::Empty),
            _ if self.chunked => Ok(Framing::Chunked),
            (_, Some(length)) => Ok(Framing::Length(length)),
            (_, None) => Ok(Framing::UntilClose),
        }
    }
}
