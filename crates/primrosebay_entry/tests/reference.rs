//! Runs the examples in docs/api.md and compares the answers.

mod cell;

use std::path::Path;

use async_std::task::block_on;
use cell::{Cell, OPERATOR};
use primrosebay_protocol::api::{JobView, Submitted};
use primrosebay_state::id::JobId;
use tide::http::Method;

/// Placeholder for the identifier of the submitted job, which differs between runs.
const EXAMPLE_JOB: &str = "0123456789abcdef-1";

/// Runs the examples in order on one instance in the only zone, `a`, and returns the page with the
/// actual answers. An example is a code block of the language `http`: the call, its body if it has
/// one, and the status with the answer.
async fn run_examples(page: &str) -> String {
    let cell = Cell::start(&["a"]).await;
    let (mut job, mut output) = (EXAMPLE_JOB.to_owned(), String::new());
    let mut rest = page;
    while let Some((before, block)) = rest.split_once("```http\n") {
        let (block, after) = block.split_once("```").expect("a closed block");
        let lines: Vec<&str> = block.lines().take_while(|line| !is_status(line)).collect();
        let answer = run_example(&cell, &lines, &mut job).await;
        output += &[before, "```http\n", &lines.join("\n"), "\n", &answer, "```"].concat();
        rest = after;
    }
    output + rest
}

/// Returns whether a line begins with an HTTP status, that is, with an example's answer.
fn is_status(line: &str) -> bool {
    line.split(' ')
        .next()
        .is_some_and(|word| word.parse::<u16>().is_ok())
}

/// Makes the call of one example and returns the status with the answer. `job` is the identifier of
/// the job that was submitted last, in place of [`EXAMPLE_JOB`].
async fn run_example(cell: &Cell, lines: &[&str], job: &mut String) -> String {
    let mut words = lines[0].split(' ');
    let method: Method = words.next().expect("a method").parse().expect("a method");
    let path = words.next().expect("a path").replace(EXAMPLE_JOB, job);
    let key = match words.next() {
        Some("(team)") => "shops-key",
        Some("(anyone)") => "",
        _ => OPERATOR,
    };
    let body = lines[1..].join("\n");
    let (status, mut text) = cell.call(0, key, method, &path, body).await;
    if let Ok(submitted) = serde_json::from_str::<Submitted>(&text) {
        *job = submitted.id.to_string();
        let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
        cell.wait(|_| zone.read(|coordinator| coordinator.job(submitted.id).is_some()))
            .await;
    }
    if method == Method::Delete && path.ends_with(job.as_str()) {
        let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
        let ended = |job: JobView| job.outcome.is_some();
        let id: JobId = job.parse().expect("an id");
        cell.wait(|_| zone.read(|coordinator| coordinator.job(id).is_some_and(ended)))
            .await;
    }
    if path == "/metrics" {
        let first = text.lines().find(|line| line.starts_with("config_next"));
        text = first.unwrap_or_default().to_owned();
    }
    [
        &status.to_string(),
        " ",
        text.replace(job.as_str(), EXAMPLE_JOB).trim_end(),
        "\n",
    ]
    .concat()
}

/// Guards against a reference page that differs from the answers of an instance.
#[test]
fn examples_of_the_reference_are_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/api.md");
    let page = std::fs::read_to_string(&path).expect("the page exists");
    let current = block_on(run_examples(&page));
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &current).expect("the page can be written");
    } else {
        assert_unchanged(&page, &current);
    }
}

/// Checks that both pages are equal, line by line.
fn assert_unchanged(page: &str, current: &str) {
    for (line, (old, new)) in (1..).zip(page.lines().zip(current.lines())) {
        assert_eq!(
            old, new,
            "line {line}: run with UPDATE_DOCS=1 and commit docs/api.md"
        );
    }
    assert_eq!(page.len(), current.len());
}
