//! `primrosebay check`.

use clap::ArgMatches;
use primrosebay_settings::{Options, Settings};

use super::{read_input, serve, text};

/// Checks settings without starting anything.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let path = text(matches, "settings")?;
    let options = Options::parse(&read_input(path)?)?.with_env(serve::environment());
    Settings::resolve(&options)?;
    println!("{path} is valid");
    Ok(())
}
