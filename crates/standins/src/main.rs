//! `harestage-standin FILE`: plays a script of stand-ins on loopback.
use harestage_standins::Script;
use std::process::ExitCode;

fn main() -> ExitCode {
    let path = std::env::args().nth(1).unwrap_or_default();
    let text = std::fs::read(&path).map_err(|why| why.to_string());
    let played = text.and_then(|text| {
        Script::read(&text).and_then(|s| s.play(&Default::default())).map_err(|why| why.to_string())
    });
    match played {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("harestage-standin: {path}: {why}");
            ExitCode::FAILURE
        }
    }
}
