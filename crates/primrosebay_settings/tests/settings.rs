//! Tests of defaults, validation errors and overrides by environment variables.

use primrosebay_settings::{Options, Settings};
use rstest::rstest;

const REQUIRED: &str = "
instance: { name: entry-a1, zone: a, region: north }
addresses: { log: 127.0.0.1:7000, list: '[::1]:7000' }
";

fn resolve(text: &str, vars: &[(&str, &str)]) -> Result<Settings, String> {
    let vars = vars
        .iter()
        .map(|(name, text)| ((*name).to_owned(), (*text).to_owned()));
    let options = Options::parse(text).map_err(|error| error.to_string())?;
    Settings::resolve(&options.with_env(vars)).map_err(|error| error.to_string())
}

/// Guards against defaults that no longer match the design.
#[test]
fn defaults_match_the_design() {
    let settings = resolve(REQUIRED, &[]).expect("valid");
    insta::assert_debug_snapshot!("defaults", settings);
}

/// Guards against errors that are reported one at a time or without the path of the option.
#[test]
fn all_errors_are_reported_at_once() {
    let text = "
instance: { name: Entry, zone: a }
addresses: { peers: 10.0.0.1:1, log: log.example:7000, list: 127.0.0.1:7000 }
tls: { key: key.pem }
operators: { keys: [abc] }
limits: { body_bytes: 1, bodybytes: 2 }
timeouts: { heartbeat_ms: 700, drop_ms: '1', header_ms: -1 }
colour: red
";
    let error = resolve(
        text,
        &[("PRIMROSEBAY_LIMITS__WATCHERS", "many"), ("PATH", "x")],
    );
    insta::assert_snapshot!("errors", error.expect_err("many errors"));
}

/// Guards against environment variables that are ignored, and against misspelt ones that are
/// accepted.
#[test]
fn environment_overrides_options() {
    let hash = "0".repeat(64);
    let vars = [
        ("PRIMROSEBAY_LIMITS__BODY_BYTES", "2048"),
        // A variable of the client commands, which is not an option.
        ("PRIMROSEBAY_SERVER", "127.0.0.1:7400"),
        ("PRIMROSEBAY_OPERATORS__KEYS", &format!("['{hash}']")),
    ];
    let settings = resolve(REQUIRED, &vars).expect("valid");
    assert_eq!(settings.limits.body_bytes, 2048);
    assert_eq!(settings.operators, [hash.into()]);
    let error =
        resolve(REQUIRED, &[("PRIMROSEBAY_LIMIT__BODY_BYTES", "2048")]).expect_err("unknown");
    assert!(
        error.contains("limit.body_bytes: expected an option of docs/settings.md"),
        "{error}"
    );
}

/// Guards against a document of another form that is taken for one without options.
#[rstest]
#[case::not_yaml("a: [")]
#[case::not_a_mapping("- a")]
#[case::keys_not_text("limits: { 1: 2 }")]
#[case::empty("")]
fn invalid_documents_are_refused(#[case] text: &str) {
    assert!(resolve(text, &[]).is_err());
}

/// Guards against bodies that never fit into the budget for unfinished requests, so that a single one
/// is refused although the instance is idle.
#[rstest]
#[case("{ memory_bytes: 67108864, body_bytes: 4194304 }", true)]
#[case("{ memory_bytes: 67108864, body_bytes: 4194305 }", false)]
#[case("{ body_bytes: 16777217 }", false)]
#[case("{ memory_bytes: 67108863 }", false)]
fn largest_body_fits_into_the_memory(#[case] limits: &str, #[case] valid: bool) {
    let result = resolve(&format!("{REQUIRED}limits: {limits}\n"), &[]);
    assert_eq!(result.is_ok(), valid, "{result:?}");
}
