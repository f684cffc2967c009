//! The command line of primrosebay.

mod cli;
mod client;
mod commands;
mod dev;
mod logging;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match commands::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("primrosebay: {e:#}");
            ExitCode::FAILURE
        }
    }
}
