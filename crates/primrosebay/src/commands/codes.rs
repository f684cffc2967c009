//! `primrosebay codes`.

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
    rows.extend(TABLE.iter().map(row));
    let value: Vec<_> = TABLE.iter().map(|e| (e.code, e.meaning)).collect();
    output::print(matches, &value, &rows)
}

fn row(entry: &CodeInfo) -> Vec<String> {
    vec![
        entry.code.to_string(),
        entry.status.to_string(),
        format!("{:?}", entry.ran).to_lowercase(),
        format!("{:?}", entry.retry).to_lowercase(),
        entry.meaning.to_owned(),
    ]
}
