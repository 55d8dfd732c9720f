//! Header and trailer fields.

/// Returns whether `line`, without its line break, is a field: a name, a colon and a value.
#[must_use]
pub fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    is_token(&line[..colon]) && line[colon + 1..].iter().copied().all(is_value_byte)
}

/// Returns whether each line of `head` ends with CR and LF. A lone LF in a value would start another field.
#[must_use]
pub fn are_fields_terminated(head: &[u8]) -> bool {
    let mut previous = 0;
    head.iter().all(|byte| {
        let is_terminated = *byte != b'\n' || previous == b'\r';
        previous = *byte;
        is_terminated
    })
}

/// Parses the value of a `Content-Length` field, which has digits only, besides surrounding blanks and tabs.
#[must_use]
pub fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = trim_blanks(value);
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Removes leading and trailing blanks and tabs.
pub(crate) fn trim_blanks(mut value: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', rest @ ..] | [rest @ .., b' ' | b'\t'] = value {
        value = rest;
    }
    value
}

/// Returns whether `name` is a token, as names of fields and chunk extensions are.
pub(crate) fn is_token(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().copied().all(is_token_byte)
}

/// Returns whether a token may contain `byte`.
pub(crate) fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether the value of a field may contain `byte`.
pub(crate) fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
