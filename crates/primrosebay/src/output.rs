//! Prints results of commands as tables, JSON or YAML.

use clap::ArgMatches;
use serde::Serialize;

/// Prints `value` in the format of the `output` argument. For the table format, prints `rows`, the
/// header and the lines of the table.
pub fn print(
    matches: &ArgMatches,
    value: &impl Serialize,
    rows: &[Vec<String>],
) -> eyre::Result<()> {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => println!("{}", serde_json::to_string_pretty(value)?),
        Some("yaml") => print!("{}", serde_norway::to_string(value)?),
        _ => print!("{}", format_table(rows)),
    }
    Ok(())
}

/// Formats rows as a table in which each column is as wide as its widest field.
fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|c| {
            rows.iter()
                .filter_map(|row| row.get(c))
                .map(|field| field.chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for row in rows {
        let line: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(field, &width)| format!("{field:width$}"))
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}
