//! Command-line tool for the operators of citronproxy.

mod args;
mod client;
mod commands;
mod confirm;
mod diff;
mod error;
mod grid;
mod help;
mod report;
mod sheet;
mod wait;

use {
    args::{Command, Options},
    client::Client,
    error::CtlError,
    std::process::ExitCode,
    tokio::runtime::Builder,
};

fn main() -> ExitCode {
    env_logger::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("citronctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), CtlError> {
    let mut args = pico_args::Arguments::from_env();
    let help = args.contains(["-h", "--help"]);
    let options = Options::parse(&mut args)?;
    let command = Command::parse(&mut args)?;
    if help || command == Command::Help {
        print!("{}", help::text(&command));
        return Ok(());
    }
    if command == Command::Explain {
        return commands::explain::run(args);
    }
    let client = Client::new(&options)?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CtlError::Failed(error.to_string()))?;
    runtime.block_on(commands::run(command, args, &options, &client))
}
