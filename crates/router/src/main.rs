//! The router program: `harestage-router [CONFIGURATION]`.
use harestage_router::program::{config, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let path = std::env::args().nth(1).or_else(|| std::env::var(config::CONFIG_VARIABLE).ok());
    let path = path
        .filter(|path| !path.is_empty())
        .ok_or(format!("variable {} is not set, and no path was given", config::CONFIG_VARIABLE));
    match path.and_then(|path| run(&path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("harestage-router: {why}");
            ExitCode::FAILURE
        }
    }
}
