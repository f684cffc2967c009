//! Comparison of figures with their targets, and their output formats.

use primrosebay_bench::figure::{Figure, Target};
use rstest::rstest;

/// Guards against a target that is compared in the wrong direction.
#[rstest]
#[case(Target::AtLeast(2.0), 2.0, true)]
#[case(Target::AtLeast(2.0), 1.9, false)]
#[case(Target::AtMost(2.0), 2.0, true)]
#[case(Target::AtMost(2.0), 2.1, false)]
fn targets_have_a_direction(#[case] target: Target, #[case] value: f64, #[case] met: bool) {
    assert_eq!(Figure::new("f", value, "ms", target).met, met);
}

/// Guards against changes of the output formats, which other tools parse.
#[test]
fn json_and_table_have_all_parts() {
    let figure =
        Figure::new("decision", 3.0, "ms", Target::AtMost(4.0)).with_baseline("first fit", 6.0);
    assert_eq!(
        figure.json(),
        r#"{"name":"decision","value":3.0,"unit":"ms","target":{"at_most":4.0},"met":true,"baselines":[{"name":"first fit","value":6.0,"ratio":0.5}]}"#
    );
    assert_eq!(
        figure.row(),
        "| decision | 3.00 ms | at most 4.00 | yes | first fit: 6.00 (ratio 0.5000) |"
    );
}
