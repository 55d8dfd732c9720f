//! docs/COMMANDS.md matches the definitions of the arguments.

#[test]
fn page_is_up_to_date() {
    let page = include_str!("../../../docs/COMMANDS.md");
    assert!(
        page == marigoldctl::reference(),
        "run `cargo run --bin marigoldctl -- reference > docs/COMMANDS.md`"
    );
}
