//! What heads of responses say of the body.

use marigold_http::{Framing, GrammarError, ResponseHead};

fn framing(
    status: u16,
    is_http_1_0: bool,
    fields: &[(&str, &str)],
) -> Result<Framing, GrammarError> {
    let mut head = ResponseHead::new(status, is_http_1_0)?;
    for (name, value) in fields {
        head.add(name, value.as_bytes())?;
    }
    head.framing()
}

/// Each case lists a status, the minor version, fields and the framing.
macro_rules! framing_tests {
    ($($name:ident: $status:literal, $minor:literal, [$($field:literal: $value:literal),*] => $framing:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(framing($status, $minor == 0, &[$(($field, $value)),*]), $framing);
        }
    )*};
}

framing_tests! {
    length: 200, 1, ["Content-Length": "5", "X-A": "b"] => Ok(Framing::Length(5));
    chunked: 200, 1, ["transfer-encoding": " Chunked "] => Ok(Framing::Chunked);
    until_close: 200, 0, [] => Ok(Framing::UntilClose);
    equal_lengths: 200, 1, ["Content-Length": "5", "Content-Length": "5"] => Ok(Framing::Length(5));
    different_lengths: 200, 1, ["Content-Length": "5", "Content-Length": "6"] => Err(GrammarError::Length);
    signed_length: 200, 1, ["Content-Length": "+5"] => Err(GrammarError::Length);
    both: 200, 1, ["Transfer-Encoding": "chunked", "Content-Length": "5"] => Err(GrammarError::TransferEncoding);
    two_encodings: 200, 1, ["Transfer-Encoding": "chunked", "Transfer-Encoding": "chunked"]
        => Err(GrammarError::TransferEncoding);
    other_encoding: 200, 1, ["Transfer-Encoding": "gzip, chunked"] => Err(GrammarError::TransferEncoding);
    chunked_http_1_0: 200, 0, ["Transfer-Encoding": "chunked"] => Err(GrammarError::TransferEncoding);
    interim: 103, 1, [] => Ok(Framing::Empty);
    interim_with_body: 100, 1, ["Content-Length": "5"] => Err(GrammarError::Body);
    no_content: 204, 1, ["Content-Length": "0"] => Ok(Framing::Empty);
    no_content_with_body: 204, 1, ["Content-Length": "5"] => Err(GrammarError::Body);
    no_content_with_chunks: 204, 1, ["Transfer-Encoding": "chunked"] => Err(GrammarError::Body);
    not_modified: 304, 1, ["Content-Length": "5"] => Ok(Framing::Empty);
    largest_status: 599, 1, ["Content-Length": "0"] => Ok(Framing::Length(0));
    status_0: 0, 1, [] => Err(GrammarError::Status);
    status_99: 99, 1, [] => Err(GrammarError::Status);
    status_600: 600, 1, [] => Err(GrammarError::Status);
    status_999: 999, 1, [] => Err(GrammarError::Status);
    unasked_upgrade: 101, 1, [] => Err(GrammarError::Upgrade);
}
