//! `primrosebay check`: checks a settings file.

use clap::ArgMatches;
use primrosebay_settings::{Options, Settings};

use super::{read_input, required_arg, serve};

/// Checks a settings file without starting an instance.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let path = required_arg(matches, "settings")?;
    let options = Options::parse(&read_input(path)?)?.with_env(serve::settings_environment());
    Settings::resolve(&options)?;
    println!("{path} is valid");
    Ok(())
}
