//! Size lines of chunks, well-formed and malformed.

use marigold_http::parse_chunk_line;

/// Each case lists a line and the size that it states.
macro_rules! line_tests {
    ($($name:ident: $line:literal => $size:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(parse_chunk_line($line.as_bytes()), $size);
        }
    )*};
}

line_tests! {
    digits: "1aF" => Some(0x1af);
    zero: "0" => Some(0);
    leading_zeros: "0005" => Some(5);
    largest: "ffffffffffffffff" => Some(u64::MAX);
    too_many_digits: "00000000000000005" => None;
    empty: "" => None;
    blank: " " => None;
    blank_before: " 5" => None;
    blank_after: "5 " => None;
    plus: "+5" => None;
    minus: "-5" => None;
    prefix: "0x5" => None;
    other_letter: "5g" => None;
    two_numbers: "5 5" => None;
    carriage_return: "5\r" => None;
    extension: "5;a" => Some(5);
    extension_with_value: "5 ; a = b" => Some(5);
    extension_with_text: "5;a=\"b;\\\"c\"" => Some(5);
    two_extensions: "5;a=b;c" => Some(5);
    only_extension: ";a=b" => None;
    extension_without_name: "5;" => None;
    extension_without_value: "5;a=" => None;
    extension_with_open_text: "5;a=\"b" => None;
    extension_with_control_byte: "5;a\u{1}" => None;
    text_after_extension: "5;a b" => None;
    blank_after_extension: "5;a " => None;
}
