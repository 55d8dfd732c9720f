//! Compares docs/SETTINGS.md with the code.

use marigold_settings::render_reference;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

#[test]
fn page_is_up_to_date() {
    assert_eq!(
        PAGE,
        render_reference(),
        "regenerate the page with `marigoldd reference > docs/SETTINGS.md`"
    );
}
