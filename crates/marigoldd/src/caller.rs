//! The callers' side: HTTP requests in, whole answers out.
