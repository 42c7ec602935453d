//! `harestage start`: what each kind of process trusts of what it finds, where hubs are in their starts, and staff's part.
use crate::exit;
use harestage_wire::node;
use harestage_wire::peer::{self, HubStart};
use harestage_wire::resp::{Bounds, Decoder};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(2);

#[derive(clap::Subcommand)]
pub enum StartOf {
    /// Print what each kind of process trusts of what it finds at its start.
    Table,
    /// Where each hub is in its start, and why it waits. Exit code 4: somebody is not through.
    Status {
        #[arg(long = "hub", required = true)]
        hubs: Vec<SocketAddr>,
        #[arg(long)]
        json: bool,
    },
    /// Hold the starts of these hubs where they are.
    Hold {
        #[arg(long = "hub", required = true)]
        hubs: Vec<SocketAddr>,
    },
    /// Let them go on.
    Go {
        #[arg(long = "hub", required = true)]
        hubs: Vec<SocketAddr>,
    },
}

pub fn run(what: StartOf) -> ExitCode {
    match what {
        StartOf::Table => {
            print!("{}", harestage_restart::trust::markdown());
            ExitCode::SUCCESS
        }
        StartOf::Status { hubs, json } => status(&hubs, json),
        StartOf::Hold { hubs } => tell(&hubs, Some(true)),
        StartOf::Go { hubs } => tell(&hubs, Some(false)),
    }
}

/// Asks one hub, and tells it something where that is wanted.
fn ask(hub: SocketAddr, hold: Option<bool>) -> Result<HubStart, String> {
    let away = |why: std::io::Error| format!("{hub}: {why}");
    let mut stream = TcpStream::connect_timeout(&hub, WITHIN).map_err(away)?;
    stream.set_read_timeout(Some(WITHIN)).map_err(away)?;
    let packet = node::encode_gauges_query(peer::start_query_tag(hold));
    stream.write_all(&packet.head).and_then(|()| stream.write_all(&packet.body)).map_err(away)?;
    stream.write_all(harestage_wire::resp::LINE_END).map_err(away)?;
    let mut decoder = Decoder::new(
        Bounds { max_items: 4, max_item_bytes: 4 << 10, initial_item_capacity: 4 << 10 },
        4 << 10,
    );
    loop {
        match decoder.next_message() {
            Ok(Some(items)) => {
                return peer::decode_start(&items).ok_or(format!("{hub}: it is no hub of ours"));
            }
            Ok(None) => {
                let bytes = stream.read(decoder.read_buffer()).map_err(away)?;
                if bytes == 0 {
                    return Err(format!("{hub}: it went away"));
                }
                decoder.commit(bytes);
            }
            Err(why) => return Err(format!("{hub}: {why}")),
        }
    }
}

fn status(hubs: &[SocketAddr], json: bool) -> ExitCode {
    let (mut through, mut away) = (true, false);
    let mut all = Vec::new();
    for hub in hubs {
        match ask(*hub, None) {
            Ok(start) => {
                through &= start.stage == "all";
                if !json {
                    let held = if start.held { ", held by staff" } else { "" };
                    println!(
                        "{} at {hub}: {}, {} copies on disk{held}",
                        start.name, start.stage, start.copies
                    );
                }
                all.push(serde_json::json!({"hub": start.name, "at": hub.to_string(), "stage": start.stage,
                    "copies": start.copies, "held": start.held}));
            }
            Err(why) => {
                eprintln!("harestage: {why}");
                away = true;
            }
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
    }
    match (away, through) {
        (true, _) => ExitCode::from(exit::AWAY),
        (false, false) => ExitCode::from(exit::UNFINISHED),
        (false, true) => ExitCode::SUCCESS,
    }
}

fn tell(hubs: &[SocketAddr], hold: Option<bool>) -> ExitCode {
    let told = hubs.iter().filter(|hub| match ask(**hub, hold) {
        Ok(start) => {
            println!("{}: {}", start.name, if start.held { "held" } else { "goes on" });
            true
        }
        Err(why) => {
            eprintln!("harestage: {why}");
            false
        }
    });
    if told.count() == hubs.len() { ExitCode::SUCCESS } else { ExitCode::from(exit::AWAY) }
}
