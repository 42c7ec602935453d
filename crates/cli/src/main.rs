//! The command `harestage`.
mod ask;
mod audit;
mod draw;
mod drill;
mod group;
mod log;
mod purge;
mod shape;
mod site;
mod start;
mod witness;

use clap::{Parser, Subcommand};
use harestage_branch::net::BranchFeed;
use harestage_branch::start::FeedFile;
use harestage_control::serve::Keeper;
use harestage_hub::net::Hub;
use harestage_hub::start::HubFile;
use harestage_keeper::serve::Follows;
use harestage_purger::gather::{GatherStart, SiteGatherer};
use harestage_shape::config;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A front for caches of large objects behind thin links.
#[derive(Parser)]
#[command(version, about)]
struct Harestage {
    /// How the log on standard error is worded.
    #[arg(long, value_enum, default_value = "text", global = true)]
    log: log::Form,
    /// For rigs: how far this process's wall clock is off, in milliseconds.
    #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
    clock_off_ms: i64,
    /// For rigs: a folder that gets what each sync covers.
    #[arg(long, hide = true)]
    synced_copy: Option<PathBuf>,
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
        #[command(flatten)]
        group: group::Membership,
    },
    /// Run the service of purges.
    Purges {
        /// Address and port for hubs and clients.
        #[arg(long)]
        listen: SocketAddr,
        /// The folder of its log.
        #[arg(long)]
        folder: PathBuf,
        #[command(flatten)]
        group: group::Membership,
    },
    /// Run a gatherer: it stands at a site, between its hubs and branch feeds and the service of purges.
    Gather {
        /// What it calls itself towards the service; no other gatherer has the name.
        #[arg(long)]
        name: String,
        /// Address and port for the site's hubs and branch feeds.
        #[arg(long)]
        listen: SocketAddr,
        /// A member of the service of purges; once for each.
        #[arg(long = "purges", required = true)]
        purges: Vec<SocketAddr>,
    },
    /// Run the keeper of the audit: the record of what every process acted on.
    Keeper {
        /// Address and port for processes that report, and operators.
        #[arg(long)]
        listen: SocketAddr,
        /// The folder of its log and its records.
        #[arg(long)]
        folder: PathBuf,
        /// Members of the control service, for what is due.
        #[arg(long = "control", required = true)]
        controls: Vec<SocketAddr>,
        /// Members of the service of purges; absent: there is none.
        #[arg(long = "purges")]
        purges: Vec<SocketAddr>,
        #[command(flatten)]
        group: group::Membership,
    },
    /// Ask who acted on which version, and check the records of it.
    Audit {
        #[command(subcommand)]
        what: audit::Audit,
    },
    /// See who is in a service's group, and change that.
    Group {
        #[command(subcommand)]
        what: group::Group,
    },
    /// Ask for purges, and see what became of them.
    Purge {
        #[command(subcommand)]
        what: purge::Purge,
    },
    /// What is trusted at a start, and where the starts of hubs are.
    Start {
        #[command(subcommand)]
        what: start::StartOf,
    },
    /// Run a branch's own feed: it tells the branch's routers of hubs and purges, also while no service can be reached.
    Feed {
        /// The feed's file; `harestage schema feed` says what may stand in it.
        file: PathBuf,
    },
    /// Run a router, as `harestage-router` does.
    Router {
        file: String,
        /// A further address of the control feed: where one breaks, the next is followed.
        #[arg(long = "feed")]
        feeds: Vec<SocketAddr>,
        #[command(flatten)]
        watch: witness::Watch,
    },
    /// Look at shapes, and change the one in service.
    Shape {
        #[command(subcommand)]
        what: shape::Shape,
    },
    /// Play a scenario of many processes and faults on loopback, and judge it.
    Drill(drill::Drill),
    /// Stand-ins by a script: an archive, edge caches, clients.
    #[command(hide = true)]
    Standin { file: PathBuf },
    /// Ends what a rig has started once the rig is gone.
    #[command(hide = true)]
    Mind,
    /// How the sites stand, what the loss of one would do, and the way out and back.
    Site {
        #[command(subcommand)]
        what: site::Site,
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
    Feed,
    Scenario,
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
    let Harestage { log, clock_off_ms, synced_copy, what } = Harestage::parse();
    harestage_sockets::clock::set_offset(clock_off_ms);
    if let Some(Err(why)) = synced_copy.map(|folder| harestage_segments::mirror_synced_files(&folder)) {
        eprintln!("harestage: --synced-copy: {why}");
        return ExitCode::from(exit::REFUSED);
    }
    let told = match what {
        What::Hub { file } => hub(&file, log),
        What::Start { what } => return start::run(what),
        What::Feed { file } => feed(&file, log),
        What::Control { listen, journal, first, group } => control(listen, &journal, first, &group, log),
        What::Purges { listen, folder, group } => purges(listen, &folder, &group, log),
        What::Gather { name, listen, purges } => gather(GatherStart { name, listen, services: purges }, log),
        What::Group { what } => return group::run(what),
        What::Purge { what } => return purge::run(what),
        What::Keeper { listen, folder, controls, purges, group } => {
            let follows = Follows { controls, purges };
            keeper(listen, &folder, follows, &group, log)
        }
        What::Audit { what } => return audit::run(what),
        What::Router { file, feeds, watch } => {
            harestage_router::program::run_with(&file, feeds, witness::attach(&watch, &file))
        }
        What::Shape { what } => return shape::run(what),
        What::Site { what } => return site::run(what),
        What::Drill(drill) => return drill::run(&drill),
        What::Standin { file } => standin(&file),
        What::Mind => {
            harestage_fleet::mind::mind(std::io::stdin().lock());
            Ok(())
        }
        What::Schema { of } => {
            let text = match of {
                SchemaOf::Shape => config::schema(),
                SchemaOf::Hub => harestage_hub::start::schema(),
                SchemaOf::Feed => harestage_branch::start::schema(),
                SchemaOf::Scenario => harestage_fleet::scenario::schema(),
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

fn feed(file: &std::path::Path, form: log::Form) -> Result<(), String> {
    let start = FeedFile::read(file)?.checked().map_err(|why| format!("{}: {why}", file.display()))?;
    let (log, _written_at_end) = log::open(&start.name, form);
    let feed = BranchFeed::bind(start).map_err(|why| format!("{}: {why}", file.display()))?;
    feed.serve(log, log::until_signal()?);
    Ok(())
}

fn control(
    listen: SocketAddr,
    journal: &std::path::Path,
    first: Option<PathBuf>,
    group: &group::Membership,
    log_form: log::Form,
) -> Result<(), String> {
    let start = group.checked("control")?;
    let first = first.map(|path| config::read_file(&path)).transpose().map_err(|why| why.to_string())?;
    let (log, _written_at_end) = log::open(&start.name, log_form);
    let keeper = Keeper::open_member(listen, journal, first.as_ref(), &start, log)?;
    keeper.serve(log::until_signal()?)
}

fn purges(
    listen: SocketAddr,
    folder: &std::path::Path,
    group: &group::Membership,
    form: log::Form,
) -> Result<(), String> {
    let start = group.checked("purges")?;
    let (log, _written_at_end) = log::open(&start.name, form);
    harestage_purger::Purger::open_member(listen, folder, &start, log)?.serve(log::until_signal()?)
}

fn gather(start: GatherStart, form: log::Form) -> Result<(), String> {
    let (logger, _written_at_end) = log::open(&start.name, form);
    SiteGatherer::bind(start)?.serve(logger, log::until_signal()?);
    Ok(())
}

fn keeper(
    listen: SocketAddr,
    folder: &std::path::Path,
    follows: Follows,
    group: &group::Membership,
    form: log::Form,
) -> Result<(), String> {
    let start = group.checked("keeper")?;
    let (log, _written_at_end) = log::open(&start.name, form);
    let keeper = harestage_keeper::serve::Keeper::open(listen, folder, &start, follows, log)?;
    keeper.serve(log::until_signal()?)
}

fn standin(file: &std::path::Path) -> Result<(), String> {
    let named = |why: String| format!("{}: {why}", file.display());
    let text = std::fs::read(file).map_err(|why| named(why.to_string()))?;
    let script = harestage_standins::Script::read(&text).map_err(|why| named(why.to_string()))?;
    let (signal, stop) = (log::until_signal()?, Arc::new(AtomicBool::new(false)));
    let stopping = stop.clone();
    std::thread::spawn(move || {
        let _ = signal.recv_blocking();
        stopping.store(true, Ordering::Relaxed);
    });
    script.play(&stop).map_err(|why| named(why.to_string()))
}
