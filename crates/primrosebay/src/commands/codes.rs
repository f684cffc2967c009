//! `primrosebay codes`: lists the result codes.

use clap::ArgMatches;
use primrosebay_protocol::code::{CodeInfo, TABLE};

use crate::output;

/// Lists the result codes.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let mut rows = vec![
        ["CODE", "STATUS", "RAN", "RETRY", "MEANING"]
            .map(str::to_owned)
            .to_vec(),
    ];
    rows.extend(TABLE.iter().map(code_row));
    let meanings: Vec<_> = TABLE
        .iter()
        .map(|entry| (entry.code, entry.meaning))
        .collect();
    output::print(matches, &meanings, &rows)
}

fn code_row(entry: &CodeInfo) -> Vec<String> {
    vec![
        entry.code.to_string(),
        entry.status.to_string(),
        format!("{:?}", entry.ran).to_lowercase(),
        format!("{:?}", entry.retry).to_lowercase(),
        entry.meaning.to_owned(),
    ]
}
