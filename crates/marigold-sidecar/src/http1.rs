//! HTTP/1.1 as callers and backend servers speak it.
//!
//! Heads are parsed by `httparse`. The framing is kept here because answers of backend servers are
//! matched by the id of their request, not by their order on the connection, which ready-made clients
//! do not offer. See docs/design/platform.md.

mod body_decoder;
mod error;
mod field_block;
mod request;
mod request_reader;
mod response;
mod response_reader;
mod writer;

pub use body_decoder::BodyDecoder;
pub use error::{HttpError, Rejection};
pub use field_block::FieldBlock;
pub use request::Request;
pub use request_reader::RequestReader;
pub use response::Response;
pub use response_reader::{ParsedResponse, ResponseReader};
pub use writer::{encode_request, encode_response, reason_phrase};
