//! Definitions of the commands and their arguments.

use clap::{Arg, ArgAction, Command, value_parser};
use primrosebay_platform::BOOT_VARIABLE;

/// Returns the definition of the command line with all commands.
pub fn command() -> Command {
    Command::new("primrosebay")
        .about("Schedules services, batch jobs, gang jobs and requests on one cluster")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands([
            serve(),
            member(),
            check(),
            dev(),
            stand_in(),
            submit(),
            cancel(),
            call(),
            explain(),
            get(),
            describe(),
            apply(),
            delete(),
            watch(),
            zone(),
            key(),
            top(),
            codes(),
            completions(),
        ])
}

fn global_args() -> [Arg; 3] {
    [
        Arg::new("server")
            .long("server")
            .global(true)
            .env("PRIMROSEBAY_SERVER")
            .value_name("ADDRESS")
            .default_value("127.0.0.1:7400")
            .help("Address of an entry instance or of the load balancer"),
        Arg::new("key")
            .long("key")
            .global(true)
            .env("PRIMROSEBAY_KEY")
            .hide_env_values(true)
            .value_name("KEY")
            .help("Key of a team or of the operators"),
        Arg::new("output")
            .short('o')
            .long("output")
            .global(true)
            .value_name("FORMAT")
            .value_parser(["table", "json", "yaml"])
            .default_value("table")
            .help("Output format"),
    ]
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("YAML file with the settings")
}

fn serve() -> Command {
    Command::new("serve")
        .about("Runs an entry instance")
        .arg(settings_arg())
}

fn member() -> Command {
    Command::new("member")
        .about(format!(
            "Runs an instance of a cell on the platform; {BOOT_VARIABLE} names its settings file"
        ))
        .arg(
            Arg::new("check")
                .long("check")
                .num_args(0)
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
}

fn dev() -> Command {
    Command::new("dev")
        .about("Runs a development cell of stand-ins with a workload in one process")
        .arg(
            Arg::new("plan").value_name("FILE").required(true).help(
                "YAML file with the cell and its workload, such as examples/thistlewood.yaml",
            ),
        )
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:0")
        .help("Address to listen on; port 0 selects a free port, which is printed")
}

fn number_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

fn stand_in() -> Command {
    Command::new("stand-in")
        .about("Runs a stand-in for one part of the platform, for tests")
        .subcommand_required(true)
        .subcommands(
            [
                Command::new("log").about("The log service"),
                Command::new("list").about("The list of instances").arg(
                    Arg::new("instances")
                        .long("instances")
                        .value_name("FILE")
                        .help("YAML file with the instances"),
                ),
                Command::new("worker").about("A worker").args([
                    number_arg("cores", "64"),
                    number_arg("memory-mib", "131072"),
                    number_arg("accelerators", "0"),
                ]),
                Command::new("minion").about("A minion").args([
                    number_arg("slots", "8"),
                    number_arg("connections", "64"),
                    number_arg("service-ms", "5"),
                ]),
            ]
            .map(|command| command.arg(listen_arg())),
        )
}

fn file_arg() -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .required(true)
        .help("YAML file, or - for standard input")
}

fn id_arg() -> Arg {
    Arg::new("id")
        .value_name("ID")
        .required(true)
        .help("Identifier of the job")
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits the jobs of a file")
        .arg(file_arg())
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the jobs have ended"),
        )
}

fn kind_arg() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .required(true)
        .help("keys, queues, teams, zones, jobs, tasks or workers")
}

fn positional_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .value_name(name.to_uppercase())
        .required(true)
}

fn get() -> Command {
    Command::new("get")
        .about("Lists the resources of a kind, or one resource")
        .arg(kind_arg())
        .arg(positional_arg("name").required(false))
}

fn describe() -> Command {
    Command::new("describe")
        .about("Shows a resource in full")
        .arg(kind_arg())
        .arg(positional_arg("name"))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Creates or replaces the resources and submits the jobs of a file")
        .arg(file_arg())
}

fn delete() -> Command {
    Command::new("delete")
        .about("Deletes a key, queue, team or zone")
        .arg(kind_arg())
        .arg(positional_arg("name"))
}

fn watch() -> Command {
    Command::new("watch")
        .about("Prints configuration changes as they occur")
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("OFFSET")
                .value_parser(value_parser!(u64))
                .help("Offset to start from; by default, only new changes are shown"),
        )
}

fn zone() -> Command {
    Command::new("zone")
        .about("Takes a zone out of service or returns it to service")
        .subcommand_required(true)
        .subcommands([
            Command::new("out")
                .about("Stops starting tasks in the zone")
                .arg(positional_arg("zone")),
            Command::new("in")
                .about("Resumes starting tasks in the zone")
                .arg(positional_arg("zone")),
        ])
}

fn key() -> Command {
    Command::new("key")
        .about("Creates or revokes keys of teams")
        .subcommand_required(true)
        .subcommands([
            Command::new("grant")
                .about("Creates a key and prints it; it cannot be shown again")
                .arg(positional_arg("name"))
                .arg(positional_arg("team")),
            Command::new("withdraw")
                .about("Revokes a key")
                .arg(positional_arg("name")),
        ])
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows why the tasks of a job are pending")
        .arg(id_arg())
}

fn top() -> Command {
    Command::new("top").about("Shows the resources that teams use and wait for")
}

fn check() -> Command {
    Command::new("check")
        .about("Checks settings without starting an instance")
        .arg(settings_arg())
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints a shell completion script")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell)),
        )
}

fn cancel() -> Command {
    Command::new("cancel").about("Cancels a job").arg(id_arg())
}

fn call() -> Command {
    Command::new("call")
        .about("Sends a request to a service")
        .arg(Arg::new("service").value_name("SERVICE").required(true))
        .arg(
            Arg::new("data")
                .short('d')
                .long("data")
                .value_name("TEXT")
                .default_value("")
                .help("Body of the request"),
        )
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Run the request at most once"),
        )
        .arg(
            Arg::new("deadline-ms")
                .long("deadline-ms")
                .value_parser(value_parser!(u64))
                .default_value("10000"),
        )
}

fn codes() -> Command {
    Command::new("codes").about("Lists the result codes")
}
