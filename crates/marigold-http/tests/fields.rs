//! Fields and lengths, well-formed and malformed.

use marigold_http::{is_field_line, parse_length};

/// Each case lists a line and whether it is a field.
macro_rules! field_tests {
    ($($name:ident: $line:expr => $is_field:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(is_field_line($line), $is_field);
        }
    )*};
}

field_tests! {
    field: b"X-A: b" => true;
    empty_value: b"X-A:" => true;
    value_of_other_bytes: b"X-A: \t\xe4\xff~" => true;
    no_colon: b"X-A b" => false;
    no_name: b": b" => false;
    blank_in_name: b"X A: b" => false;
    blank_before_colon: b"X-A : b" => false;
    blank_before_name: b" X-A: b" => false;
    control_byte_in_name: b"X\x01A: b" => false;
    nul_in_value: b"X-A: \0" => false;
    carriage_return_in_value: b"X-A: b\rc" => false;
    delete_in_value: b"X-A: \x7f" => false;
}

/// Each case lists a value and the length that it states.
macro_rules! length_tests {
    ($($name:ident: $value:literal => $length:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(parse_length($value.as_bytes()), $length);
        }
    )*};
}

length_tests! {
    digits: "120" => Some(120);
    leading_zeros: "007" => Some(7);
    surrounding_blanks: " \t5 " => Some(5);
    largest: "18446744073709551615" => Some(u64::MAX);
    too_large: "18446744073709551616" => None;
    empty: "" => None;
    plus: "+5" => None;
    minus: "-5" => None;
    hexadecimal: "0x5" => None;
    fraction: "5.0" => None;
    blank_between: "5 5" => None;
    list: "5, 5" => None;
    other_digits: "\u{0665}" => None;
    other_blanks: "\u{a0}5" => None;
    line_feed: "5\n" => None;
}
