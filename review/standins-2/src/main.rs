//! Cases of the review. Usage: `review-standins-2 CASE BINARY FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run.

mod client;
mod deployment;
mod http;
mod instance;
mod json;
mod pipelined;
mod record;
mod store;
mod store_copy;
mod upstream;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, binary, folder] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE BINARY FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let (binary, folder) = (Path::new(binary), Path::new(folder));
    let outcome = match case.as_str() {
        "store-copy" => store_copy::run(binary, folder, has_trouble),
        "pipelined" => pipelined::run(binary, folder, has_trouble),
        other => Err(format!("no case {other}")),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
