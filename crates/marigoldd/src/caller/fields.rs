//! Filters and converts the HTTP headers that are forwarded between caller and backend server.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop headers without a constant in `hyper`.
const HOP_BY_HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "trailer"];
/// The prefix of headers that only the mesh sets; those of a caller are not forwarded.
const MESH_HEADER_PREFIX: &str = "marigold-";

/// The headers of a message between daemons, in order.
pub type Fields = Vec<(Arc<str>, Vec<u8>)>;

/// Returns the headers to forward.
#[must_use]
pub fn from_headers(headers: &HeaderMap) -> Fields {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let forwarded = headers.iter().filter(|(name, _)| {
        let text = name.as_str();
        !HOP_BY_HOP.contains(name)
            && !HOP_BY_HOP_NAMES.contains(&text)
            && !text.starts_with(MESH_HEADER_PREFIX)
            && !connection_options.iter().any(|other| other == text)
    });
    forwarded
        .map(|(name, value)| (Arc::from(name.as_str()), value.as_bytes().to_vec()))
        .collect()
}

/// Converts `fields` to headers and drops malformed ones.
#[must_use]
pub fn to_headers(fields: &Fields) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(fields.len() + 4);
    for (name, value) in fields {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
