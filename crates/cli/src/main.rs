//! The command `harestage`.
mod ask;
mod draw;
mod log;
mod purge;
mod shape;

use clap::{Parser, Subcommand};
use harestage_control::serve::Keeper;
use harestage_hub::net::Hub;
use harestage_hub::start::HubFile;
use harestage_shape::form;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// A front for caches of large objects behind thin links.
#[derive(Parser)]
#[command(version, about)]
struct Harestage {
    /// How the log on standard error is worded.
    #[arg(long, value_enum, default_value = "text", global = true)]
    log: log::Form,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Run a hub: a cache above the branches.
    Hub {
        /// The hub's file; `harestage schema hub` says what may stand in it.
        file: PathBuf,
    },
    /// Run the service that numbers shapes and hands them out.
    Control {
        /// Address and port for hubs and operators.
        #[arg(long)]
        listen: SocketAddr,
        /// The folder where the service writes down what it tells.
        #[arg(long)]
        journal: PathBuf,
        /// The shape to begin with, where the journal is new.
        #[arg(long)]
        first: Option<PathBuf>,
    },
    /// Run the service of purges.
    Purges {
        /// Address and port for hubs and clients.
        #[arg(long)]
        listen: SocketAddr,
        /// The folder of its log.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Ask for purges, and see what became of them.
    Purge {
        #[command(subcommand)]
        what: purge::Purge,
    },
    /// Run a router, as `harestage-router` does.
    Router { file: String },
    /// Look at shapes, and change the one in service.
    Shape {
        #[command(subcommand)]
        what: shape::Shape,
    },
    /// Print the JSON schema of a file.
    Schema {
        #[arg(value_enum)]
        of: SchemaOf,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum SchemaOf {
    Shape,
    Hub,
}

/// What a script can tell failures by.
pub(crate) mod exit {
    /// The input is wrong, or was refused.
    pub const REFUSED: u8 = 1;
    /// The service can't be reached, or went away.
    pub const AWAY: u8 = 3;
    /// A change ended where it stood, or holds.
    pub const UNFINISHED: u8 = 4;
}

fn main() -> ExitCode {
    let Harestage { log, what } = Harestage::parse();
    let told = match what {
        What::Hub { file } => hub(&file, log),
        What::Control { listen, journal, first } => control(listen, &journal, first, log),
        What::Purges { listen, folder } => purges(listen, &folder, log),
        What::Purge { what } => return purge::run(what),
        What::Router { file } => harestage_router::program::run(&file),
        What::Shape { what } => return shape::run(what),
        What::Schema { of } => {
            let text = match of {
                SchemaOf::Shape => form::schema(),
                SchemaOf::Hub => harestage_hub::start::schema(),
            };
            print!("{text}");
            Ok(())
        }
    };
    match told {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("harestage: {why}");
            ExitCode::from(exit::REFUSED)
        }
    }
}

fn hub(file: &std::path::Path, form: log::Form) -> Result<(), String> {
    let start = HubFile::read(file)?.checked().map_err(|why| format!("{}: {why}", file.display()))?;
    let (log, _written_at_end) = log::open(&start.name, form);
    let hub = Hub::bind(start).map_err(|why| format!("{}: {why}", file.display()))?;
    hub.serve(log, log::until_signal()?);
    Ok(())
}

fn control(
    listen: SocketAddr,
    journal: &std::path::Path,
    first: Option<PathBuf>,
    log_form: log::Form,
) -> Result<(), String> {
    let first = first.map(|path| form::read_file(&path)).transpose().map_err(|why| why.to_string())?;
    let (log, _written_at_end) = log::open("control", log_form);
    let keeper = Keeper::open(listen, journal, first.as_ref(), log)?;
    keeper.serve(log::until_signal()?)
}

fn purges(listen: SocketAddr, folder: &std::path::Path, form: log::Form) -> Result<(), String> {
    let (log, _written_at_end) = log::open("purges", form);
    harestage_purger::Purger::open(listen, folder, log)?.serve(log::until_signal()?)
}
