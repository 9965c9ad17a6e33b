//! Binary of an instance.

mod cli;
mod instance;

use {
    citron_adapter::PlatformAdapter,
    citronproxy::{
        dev,
        edge::{self, EdgeSettings},
        logs,
        settings::Settings,
    },
    cli::{Command, HELP},
    std::{error::Error, fmt::Display, path::Path, process::ExitCode},
    tokio::runtime::Builder,
};

/// Exit code for wrong usage or invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    logs::start();
    match Command::parse(pico_args::Arguments::from_env()) {
        Ok(Command::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Dev) => exit_code(run_dev()),
        Ok(Command::Edge(file)) => with_edge_settings(&file, |settings| {
            let platform = PlatformAdapter::new(settings.store_address);
            edge::run(platform, settings, file.clone()).map_err(Into::into)
        }),
        Ok(Command::CheckEdge(file)) => with_edge_settings(&file, |_| Ok(())),
        Ok(Command::Check(file)) => with_settings(&file, |_| Ok(())),
        Ok(Command::Run(file)) => with_settings(&file, instance::run),
        Err(error) => usage_error(error),
    }
}

fn with_settings(
    file: &Path,
    run: impl FnOnce(Settings) -> Result<(), Box<dyn Error>>,
) -> ExitCode {
    match Settings::load(file) {
        Ok(settings) => exit_code(run(settings)),
        Err(error) => usage_error(error),
    }
}

fn with_edge_settings(
    file: &Path,
    run: impl FnOnce(EdgeSettings) -> Result<(), Box<dyn Error>>,
) -> ExitCode {
    match EdgeSettings::load(file) {
        Ok(settings) => exit_code(run(settings)),
        Err(error) => usage_error(error),
    }
}

fn run_dev() -> Result<(), Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(dev::run())
}

fn usage_error(error: impl Display) -> ExitCode {
    eprintln!("citronproxy: {error}");
    ExitCode::from(EXIT_USAGE)
}

fn exit_code(result: Result<(), Box<dyn Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("citronproxy: {error}");
            ExitCode::FAILURE
        }
    }
}
