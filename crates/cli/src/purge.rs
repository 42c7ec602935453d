//! `harestage purge`: the service of purges, and what is asked of it.
use crate::{ask, exit};
use clap::{Args, Subcommand};
use harestage_purge::messages::{Request, Response};
use harestage_purge::promise::Report;
use harestage_purge::scope::Scope;
use std::net::SocketAddr;
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Purge {
    /// Ask for a purge: says its number and the delay that is promised.
    Submit {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        service: Service,
        /// Asked for again under the same key, it is the same purge.
        #[arg(long)]
        key: String,
        #[arg(long, default_value_t = 0)]
        tenant: u32,
        /// Wait until it is reached.
        #[arg(long)]
        wait: bool,
        /// Check what is asked for, and do nothing.
        #[arg(long)]
        dry_run: bool,
        #[arg(long)]
        json: bool,
    },
    /// Wait for the report of a purge; exits with 4 if it was reached late.
    Wait {
        number: u64,
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Members, what they have, and who is fenced.
    Status {
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Purges that live.
    List {
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
}

/// What is to be purged; one of these.
#[derive(Args)]
#[group(required = true, multiple = false)]
pub struct What {
    /// 16 hex digits.
    #[arg(long)]
    object: Option<String>,
    #[arg(long)]
    group: Option<u32>,
    /// Objects that have any of these tags.
    #[arg(long, value_delimiter = ',')]
    any_tag: Vec<String>,
    /// Objects that have all of these tags.
    #[arg(long, value_delimiter = ',')]
    all_tags: Vec<String>,
    /// Objects whose name begins so.
    #[arg(long)]
    prefix: Option<String>,
    #[arg(long)]
    glob: Option<String>,
    #[arg(long)]
    regex: Option<String>,
    /// Every copy there is.
    #[arg(long)]
    everything: bool,
}

impl What {
    fn scope(self) -> Scope {
        let What { object, group, any_tag, all_tags, prefix, glob, regex, everything: _ } = self;
        let tags = |tags: Vec<String>| (!tags.is_empty()).then(|| tags.into_iter().collect());
        object
            .map(Scope::Object)
            .or(group.map(Scope::Group))
            .or(tags(any_tag).map(Scope::AnyTag))
            .or(tags(all_tags).map(Scope::AllTags))
            .or(prefix.map(Scope::Prefix))
            .or(glob.map(Scope::Glob))
            .or(regex.map(Scope::Regex))
            .unwrap_or(Scope::Everything)
    }
}

#[derive(Args)]
pub struct Service {
    /// Address and port of the service of purges; of each member, where it is a group.
    #[arg(long, default_value = "127.0.0.1:9150")]
    purges: Vec<SocketAddr>,
}

enum Failure {
    Refused(String),
    Away(String),
    Late(String),
}

pub fn run(what: Purge) -> ExitCode {
    let told = match what {
        Purge::Submit { what, service, key, tenant, wait, dry_run, json } => {
            let scope = what.scope();
            match dry_run {
                true => dry(&scope, &service, json),
                false => submit(scope, &service, tenant, key, wait, json),
            }
        }
        Purge::Wait { number, service, json } => wait_for(number, &service, json),
        Purge::Status { service, json } => status(&service, json),
        Purge::List { service, json } => list(&service, json),
    };
    let (why, code) = match told {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Refused(why)) => (why, exit::REFUSED),
        Err(Failure::Away(why)) => (why, exit::AWAY),
        Err(Failure::Late(why)) => (why, exit::UNFINISHED),
    };
    eprintln!("harestage: {why}");
    ExitCode::from(code)
}

fn call(service: &Service, call: &Request) -> Result<Response, Failure> {
    let mut call = ask::Call::find("service of purges", &service.purges, call).map_err(Failure::Away)?;
    match call.next().map_err(Failure::Away)? {
        Response::Refused(why) => Err(Failure::Refused(why)),
        answer => Ok(answer),
    }
}

fn other(answer: &Response) -> Failure {
    Failure::Away(format!("an answer of another kind: {answer:?}"))
}

fn dry(scope: &Scope, service: &Service, json: bool) -> Result<(), Failure> {
    scope.compile().map_err(|why| Failure::Refused(why.to_string()))?;
    let status = match call(service, &Request::Status)? {
        Response::Status(status) => status,
        answer => return Err(other(&answer)),
    };
    if json {
        println!("{}", serde_json::json!({"scope": scope, "promise": status.promise}));
    } else {
        println!("{scope:?} can be asked for; {} ms would be promised", status.promise.within_ms);
    }
    Ok(())
}

fn submit(
    scope: Scope,
    service: &Service,
    tenant: u32,
    key: String,
    wait: bool,
    json: bool,
) -> Result<(), Failure> {
    match call(service, &Request::Submit { scope, tenant, key })? {
        Response::Accepted { number, promise } => {
            if json {
                println!("{}", serde_json::json!({"number": number, "promise": promise}));
            } else {
                println!("purge {number}: promised within {} ms", promise.within_ms);
            }
            if wait { wait_for(number, service, json) } else { Ok(()) }
        }
        answer => Err(other(&answer)),
    }
}

fn wait_for(number: u64, service: &Service, json: bool) -> Result<(), Failure> {
    let report = match call(service, &Request::Wait { number })? {
        Response::Report(report) => report,
        Response::Reached { number } => {
            match json {
                true => println!("{}", serde_json::json!({"number": number, "reached": true})),
                false => println!("purge {number}: reached; another member of the service gave the report"),
            }
            return Ok(());
        }
        answer => return Err(other(&answer)),
    };
    if json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        println!("{}", worded(&report));
    }
    if report.kept { Ok(()) } else { Err(Failure::Late(format!("purge {number} was reached late"))) }
}

fn worded(report: &Report) -> String {
    let fenced = match report.fenced.as_slice() {
        [] => String::new(),
        names => format!(", fenced for it: {}", names.join(" ")),
    };
    format!("purge {}: reached in {} of {} ms{fenced}", report.number, report.reached_ms, report.promised_ms)
}

fn status(service: &Service, json: bool) -> Result<(), Failure> {
    let status = match call(service, &Request::Status)? {
        Response::Status(status) => status,
        answer => return Err(other(&answer)),
    };
    if json {
        println!("{}", serde_json::to_string(&status).unwrap_or_default());
        return Ok(());
    }
    println!("term {}, last {}, {} not reached yet", status.term, status.last, status.open);
    println!("promise: {} ms, from {} measured", status.promise.within_ms, status.promise.measured);
    for member in status.members {
        let fenced = if member.fenced { ", fenced" } else { "" };
        let by = member.gatherer.as_ref().map(|by| format!(", by {by}")).unwrap_or_default();
        println!("{:<24} has {}{by}{fenced}", member.name, member.applied);
    }
    Ok(())
}

fn list(service: &Service, json: bool) -> Result<(), Failure> {
    let mut after = 0;
    loop {
        let items = match call(service, &Request::List { after })? {
            Response::List(items) => items,
            answer => return Err(other(&answer)),
        };
        let Some(last) = items.last() else { return Ok(()) };
        after = last.number;
        for item in items {
            if json {
                println!("{}", serde_json::to_string(&item).unwrap_or_default());
            } else {
                println!("{} at {}: {:?}", item.number, item.at_ms, item.payload);
            }
        }
    }
}
