//! Holds docs/SETTINGS.md to the code.

use marigold_settings::render_reference;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

#[test]
fn page_is_what_the_code_prints() {
    assert_eq!(
        PAGE,
        render_reference(),
        "print it anew with `marigoldd reference`"
    );
}
