//! The commands, one module for each group.

mod check;
mod codes;
mod explain;
mod jobs;
mod member;
mod request;
mod resources;
mod serve;
mod stand_in;

use clap::ArgMatches;
use eyre::eyre;

use crate::dev;

/// Runs the command that the arguments select.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let (name, matches) = matches
        .subcommand()
        .ok_or_else(|| eyre!("no command given"))?;
    match name {
        "serve" => async_std::task::block_on(serve::run(matches)),
        "member" => async_std::task::block_on(member::run(matches)),
        "dev" => async_std::task::block_on(dev::run(matches)),
        "stand-in" => async_std::task::block_on(stand_in::run(matches)),
        "submit" => async_std::task::block_on(jobs::submit(matches)),
        "get" => async_std::task::block_on(resources::get(matches)),
        "describe" => async_std::task::block_on(resources::describe(matches)),
        "apply" => async_std::task::block_on(resources::apply(matches)),
        "delete" => async_std::task::block_on(resources::delete(matches)),
        "zone" => async_std::task::block_on(resources::zone(matches)),
        "key" => async_std::task::block_on(resources::key(matches)),
        "watch" => async_std::task::block_on(resources::watch(matches)),
        "explain" => async_std::task::block_on(explain::explain(matches)),
        "top" => async_std::task::block_on(explain::top(matches)),
        "check" => check::run(matches),
        "completions" => completions(matches),
        "cancel" => async_std::task::block_on(jobs::cancel(matches)),
        "call" => async_std::task::block_on(request::call(matches)),
        "codes" => codes::run(matches),
        other => Err(eyre!("unknown command {other}")),
    }
}

/// Prints a completion script for a shell.
fn completions(matches: &ArgMatches) -> eyre::Result<()> {
    let shell = matches
        .get_one::<clap_complete::Shell>("shell")
        .copied()
        .ok_or_else(|| eyre!("no shell given"))?;
    let mut command = crate::cli::command();
    clap_complete::generate(shell, &mut command, "primrosebay", &mut std::io::stdout());
    Ok(())
}

/// Returns the value of a required argument that is a string.
pub fn required_arg<'a>(matches: &'a ArgMatches, name: &str) -> eyre::Result<&'a str> {
    matches
        .get_one::<String>(name)
        .map(String::as_str)
        .ok_or_else(|| eyre!("argument {name} is missing"))
}

/// Reads a file, or standard input for `-`.
pub fn read_input(path: &str) -> eyre::Result<String> {
    use eyre::WrapErr;
    if path == "-" {
        return std::io::read_to_string(std::io::stdin()).wrap_err("cannot read standard input");
    }
    std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))
}
