//! The grammar of HTTP/1.1 messages by RFC 9110 and RFC 9112.
//!
//! Parsers of HTTP accept more than the grammar allows. A response that only such a parser understands is the work of a
//! backend server in trouble, and its body may be cut off or mixed up, so that it must not pass for a response. The checks
//! here are shared by everything that reads responses. See docs/design/http.md.

mod chunk;
mod field;
mod framing;
mod grammar_error;

pub use chunk::parse_chunk_line;
pub use field::{are_fields_terminated, is_field_line, parse_length};
pub use framing::{Framing, ResponseHead};
pub use grammar_error::GrammarError;
