//! Tests of the table of result codes and the page generated from it.

use std::path::Path;

use primrosebay_protocol::code::{TABLE, page};

/// Guards against a committed page that differs from the generated one.
#[test]
fn codes_page_is_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/codes.md");
    let page = page();
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &page).expect("the page can be written");
    }
    let current = std::fs::read_to_string(&path).expect("the page exists");
    assert!(
        current == page,
        "run with UPDATE_DOCS=1 and commit docs/codes.md"
    );
}

/// Guards against codes that the binary search in [`TABLE`] does not find.
#[test]
fn codes_are_in_ascending_order() {
    assert!(TABLE.is_sorted_by(|a, b| a.code < b.code));
}

/// Guards against codes without advice in the operators' page.
#[test]
fn every_code_has_advice_for_operators() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators.md");
    let page = std::fs::read_to_string(&path).expect("the page exists");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| ")).collect();
    for info in TABLE {
        let code = info.code.0.to_string();
        let has_code = |row: &&str| {
            row.split('|')
                .nth(1)
                .is_some_and(|cell| cell.contains(&code))
        };
        assert!(rows.iter().any(has_code), "{code} is not in {path:?}");
    }
}
