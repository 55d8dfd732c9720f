//! Settings with a fixed set of values.

/// Defines an enum together with the texts of its variants, so that parsing and `Display` agree.
macro_rules! choice {
    ($(#[$doc:meta])* $type:ident, $kind:literal, $allowed:literal,
        $($(#[$each:meta])* $variant:ident = $text:literal,)*) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $type {
            $($(#[$each])* $variant,)*
        }

        impl std::str::FromStr for $type {
            type Err = marigold_types::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($text => Ok(Self::$variant),)*
                    _ => Err(marigold_types::ParseError::new(text, $kind, $allowed)),
                }
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $text,)*
                })
            }
        }
    };
}
pub(crate) use choice;
