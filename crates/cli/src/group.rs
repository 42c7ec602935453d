//! `harestage group`: who is in a service's group, and who leads it; and the words by which a member of one is started.
use crate::ask::Call;
use crate::exit;
use harestage_group::{Member, ReplicaStatus};
use harestage_seats::{Answer, CouncilStart};
use std::net::SocketAddr;
use std::process::ExitCode;

/// How a service is a member of a group; without any of this it is one of its own.
#[derive(clap::Args)]
pub struct Membership {
    /// This member's name.
    #[arg(long)]
    member: Option<String>,
    /// Counts its disks: one that lost its disk comes back under the next number, as a new member.
    #[arg(long, default_value_t = 0, requires = "member")]
    incarnation: u64,
    /// Where other members reach this one.
    #[arg(long, requires = "member")]
    group_listen: Option<SocketAddr>,
    /// A founder of the group and its site, NAME=SITE, this one among them; --at and --serves follow in the same order.
    #[arg(long = "peer", requires = "member")]
    peers: Vec<String>,
    /// Where that founder is reached by other members.
    #[arg(long = "at")]
    at: Vec<SocketAddr>,
    /// Where that founder serves.
    #[arg(long = "serves")]
    serves: Vec<SocketAddr>,
    /// Wait until the group takes this member in, instead of founding it.
    #[arg(long, requires = "member", conflicts_with = "peers")]
    join: bool,
}

fn name_and_site(text: &str) -> Result<(String, String), String> {
    let (name, site) = text.split_once('=').ok_or_else(|| format!("{text:?} is not NAME=SITE"))?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let good = |text: &str| (1..=32).contains(&text.len()) && text.bytes().all(plain);
    match good(name) && good(site) {
        true => Ok((name.into(), site.into())),
        false => Err(format!("{text:?} is not NAME=SITE of letters, digits, dots and dashes")),
    }
}

impl Membership {
    /// `alone` is what it is called where it is in no group.
    pub fn checked(&self, alone: &str) -> Result<CouncilStart, String> {
        let Some(name) = &self.member else { return Ok(CouncilStart::alone(alone)) };
        if self.peers.len() != self.at.len() || self.peers.len() != self.serves.len() {
            return Err(format!(
                "--peer, --at and --serves come {}, {} and {} times: each founder needs all three",
                self.peers.len(),
                self.at.len(),
                self.serves.len()
            ));
        }
        if !self.join && self.peers.is_empty() {
            return Err("--member needs the founders (--peer) or --join".into());
        }
        if self.group_listen.is_none() {
            return Err("--member needs --group-listen".into());
        }
        let founder = |((peer, at), serves): ((&String, &SocketAddr), &SocketAddr)| {
            let (name, site) = name_and_site(peer).map_err(|why| format!("--peer: {why}"))?;
            Ok(Member {
                name,
                site,
                address: at.to_string(),
                service_address: serves.to_string(),
                incarnation: 0,
            })
        };
        let founders = self.peers.iter().zip(&self.at).zip(&self.serves).map(founder);
        let founders: Vec<Member> = founders.collect::<Result<_, String>>()?;
        let mut names: Vec<&str> = founders.iter().map(|m| m.name.as_str()).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(format!("--peer: {} is named twice", pair[0]));
        }
        if !self.join && !founders.iter().any(|m| m.name == *name) {
            return Err(format!("--member: {name} is not among the founders"));
        }
        Ok(CouncilStart {
            name: name.clone(),
            incarnation: self.incarnation,
            listen: self.group_listen,
            founders,
        })
    }
}

#[derive(clap::Subcommand)]
pub enum Group {
    /// Show the members, who leads, and whether it may speak.
    Status {
        /// Any member of the service; further ones are asked where it is away.
        #[arg(long = "service", required = true)]
        services: Vec<SocketAddr>,
        #[arg(long)]
        json: bool,
    },
    /// Take a member in that was started with --join.
    Add {
        #[arg(long = "service", required = true)]
        services: Vec<SocketAddr>,
        /// NAME=SITE
        member: String,
        #[arg(long, default_value_t = 0)]
        incarnation: u64,
        /// Where other members reach it.
        #[arg(long)]
        at: SocketAddr,
        /// Where it serves.
        #[arg(long)]
        serves: SocketAddr,
    },
    /// Take a member out, for one that is gone for good or comes back on a new disk.
    Remove {
        #[arg(long = "service", required = true)]
        services: Vec<SocketAddr>,
        name: String,
    },
}

enum Failure {
    Refused(String),
    Away(String),
}

pub fn run(what: Group) -> ExitCode {
    let done = match what {
        Group::Status { services, json } => status(&services, json),
        Group::Add { services, member, incarnation, at, serves } => {
            name_and_site(&member).map_err(Failure::Refused).and_then(|(name, site)| {
                let (at, serves) = (at.to_string(), serves.to_string());
                let member = Member { name, site, address: at, service_address: serves, incarnation };
                change(&services, &harestage_seats::Call::GroupAdd { member })
            })
        }
        Group::Remove { services, name } => change(&services, &harestage_seats::Call::GroupRemove { name }),
    };
    let (why, code) = match done {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Refused(why)) => (why, exit::REFUSED),
        Err(Failure::Away(why)) => (why, exit::AWAY),
    };
    eprintln!("harestage: {why}");
    ExitCode::from(code)
}

fn ask(at: SocketAddr, call: &harestage_seats::Call) -> Result<Answer, Failure> {
    Call::begin("service", at, call).and_then(|mut call| call.next()).map_err(Failure::Away)
}

/// What each member says; they may differ, and that is what staff wants to see.
fn status(services: &[SocketAddr], json: bool) -> Result<(), Failure> {
    let (mut seen, mut away) = (Vec::<ReplicaStatus>::new(), Vec::new());
    for at in services {
        match ask(*at, &harestage_seats::Call::GroupStatus) {
            Ok(Answer::GroupStatus(status)) => seen.push(*status),
            Ok(other) => away.push(format!("{at}: an unexpected answer: {other:?}")),
            Err(Failure::Away(why) | Failure::Refused(why)) => away.push(why),
        }
    }
    if seen.is_empty() {
        return Err(Failure::Away(away.join("; ")));
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&seen).unwrap_or_default());
        return Ok(());
    }
    for status in &seen {
        let leads = match (status.holds_leader_lease, status.is_leader) {
            (true, _) => "leads and speaks",
            (false, true) => "leads, and has lost the majority: hands nothing out",
            (false, false) => "follows",
        };
        let leader = status.leader.as_deref().unwrap_or("nobody");
        println!(
            "{:<16} {leads}; leader {leader}, term {}, agreed on {}",
            status.name, status.term, status.last_applied
        );
        if status.is_leader {
            for member in &status.members {
                let heard = status.name == member.name || status.recently_heard.contains(&member.name);
                let heard = if heard { "" } else { ", not heard lately" };
                println!("  {:<14} {} at {}{heard}", member.name, member.site, member.service_address);
            }
        }
    }
    away.iter().for_each(|why| eprintln!("harestage: {why}"));
    Ok(())
}

/// Asks whoever speaks for the group.
fn change(services: &[SocketAddr], call: &harestage_seats::Call) -> Result<(), Failure> {
    let answer = Call::find("service", services, call).and_then(|mut call| call.next::<Answer>());
    match answer.map_err(Failure::Away)? {
        Answer::GroupChanging => Ok(()),
        Answer::Refused(why) => Err(Failure::Refused(why)),
        other => Err(Failure::Away(format!("an unexpected answer: {other:?}"))),
    }
}
