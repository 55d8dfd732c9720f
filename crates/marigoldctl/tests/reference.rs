//! docs/COMMANDS.md is what the program's own arguments say.

#[test]
fn page_is_current() {
    let page = include_str!("../../../docs/COMMANDS.md");
    assert!(
        page == marigoldctl::reference(),
        "run `cargo run --bin marigoldctl -- reference > docs/COMMANDS.md`"
    );
}
