//! Test of the generated page `docs/settings.md`.

use std::path::Path;

/// Guards against a committed page that differs from the generated one.
#[test]
fn settings_page_is_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let page = primrosebay_settings::page();
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &page).expect("the page can be written");
    }
    let current = std::fs::read_to_string(&path).expect("the page exists");
    assert!(
        current == page,
        "run with UPDATE_DOCS=1 and commit docs/settings.md"
    );
}
