//! HTTP/1.1 to callers and backend servers.
//!
//! Heads are parsed by `httparse`. Bodies are framed here because a response of a backend server is matched
//! to its request by id, not by its order on the connection, which existing HTTP clients do not support. See docs/design/platform.md.

mod body_decoder;
mod caller_key;
mod error;
mod field_block;
mod request;
mod request_reader;
mod response;
mod response_reader;
mod writer;

pub use body_decoder::BodyDecoder;
pub use caller_key::CallerKey;
pub use error::{HttpError, Rejection};
pub use field_block::FieldBlock;
pub use request::Request;
pub use request_reader::RequestReader;
pub use response::Response;
pub use response_reader::{ParsedResponse, ResponseReader};
pub use writer::{encode_request, encode_response_head, reason_phrase, response_head_size};
