//! Size lines of chunks.

use crate::field::{is_token_byte, is_value_byte, trim_blanks};

/// Hexadecimal digits of the largest size.
const MAX_SIZE_DIGITS: usize = 16;

/// Parses the size line of a chunk, without its line break: the size in hexadecimal digits, in bytes, and extensions, which
/// have no meaning. Returns `None` if the line is malformed.
#[must_use]
pub fn parse_chunk_line(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let (digits, extensions) = line.split_at(digits.count());
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS || !are_extensions(extensions) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Returns whether `rest` consists of extensions: each a semicolon and a name, which may have a value.
fn are_extensions(mut rest: &[u8]) -> bool {
    while !rest.is_empty() {
        let Some(after) = skip_extension(rest) else {
            return false;
        };
        rest = after;
    }
    true
}

fn skip_extension(rest: &[u8]) -> Option<&[u8]> {
    let name = skip_blanks(rest).strip_prefix(b";")?;
    let after = skip_token(skip_blanks(name))?;
    let Some(value) = skip_blanks(after).strip_prefix(b"=") else {
        return Some(after);
    };
    let value = skip_blanks(value);
    match value.strip_prefix(b"\"") {
        Some(text) => skip_quoted(text),
        None => skip_token(value),
    }
}

fn skip_blanks(text: &[u8]) -> &[u8] {
    let blanks = text.len() - text.trim_ascii_start().len();
    // Other white space is no blank, and stays in front.
    if trim_blanks(&text[..blanks]).is_empty() {
        &text[blanks..]
    } else {
        text
    }
}

fn skip_token(text: &[u8]) -> Option<&[u8]> {
    let count = text.iter().take_while(|byte| is_token_byte(**byte)).count();
    (count > 0).then(|| &text[count..])
}

/// Returns what follows the quotation mark at the end of `text`.
fn skip_quoted(mut text: &[u8]) -> Option<&[u8]> {
    loop {
        text = match text {
            [b'"', rest @ ..] => return Some(rest),
            [b'\\', byte, rest @ ..] | [byte, rest @ ..] if is_value_byte(*byte) => rest,
            _ => return None,
        };
    }
}
