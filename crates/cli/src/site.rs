//! `harestage site`: how the sites stand, what the loss of one would do, and staff's part in taking one out and back.
use crate::ask::Call;
use crate::exit;
use crate::shape::{Failure, Lose, Service, print_json, take};
use harestage::time::Moment;
use harestage_sites::controller::{self, SiteResponse, SiteStatus, view_label};
use harestage_sites::plan::{SitePlan, SitePlans};
use harestage_sites::site_state::{SiteCommand, state_label};
use std::collections::BTreeSet;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(clap::Subcommand)]
pub enum Site {
    /// Show how each site stands, what is seen of it, and what its loss would do.
    Status {
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Show what is done when these sites are lost together.
    Plan {
        #[arg(required = true)]
        sites: Vec<String>,
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Evacuate a site, in steps.
    Leave {
        site: String,
        #[command(flatten)]
        service: Service,
        #[arg(long, default_value = "operator")]
        by: String,
    },
    /// Let a site come back that was kept out, in steps.
    Return {
        site: String,
        #[command(flatten)]
        service: Service,
        #[arg(long, default_value = "operator")]
        by: String,
    },
    /// Keep a site out until it is let back; one that comes back goes out again at once.
    Hold {
        site: String,
        #[command(flatten)]
        service: Service,
        #[arg(long, default_value = "operator")]
        by: String,
    },
}

pub fn run(what: Site) -> ExitCode {
    let done = match what {
        Site::Status { service, json } => status(&service, json),
        Site::Plan { sites, service, json } => plan(&service, sites, json),
        Site::Leave { site, service, by } => ask(&service, site, SiteCommand::Leave, by),
        Site::Return { site, service, by } => ask(&service, site, SiteCommand::Return, by),
        Site::Hold { site, service, by } => ask(&service, site, SiteCommand::Hold, by),
    };
    let (why, code) = match done {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Refused(why)) => (why, exit::REFUSED),
        Err(Failure::Away(why)) => (why, exit::AWAY),
        Err(Failure::Unfinished(why)) => (why, exit::UNFINISHED),
    };
    eprintln!("harestage: {why}");
    ExitCode::from(code)
}

fn call(service: &Service, call: &controller::SiteRequest) -> Result<SiteResponse, Failure> {
    let answer = Call::find("control service", &service.control, call).and_then(|mut call| call.next());
    match answer.map_err(Failure::Away)? {
        SiteResponse::Refused(why) => Err(Failure::Refused(why)),
        answer => Ok(answer),
    }
}

fn unexpected(answer: &SiteResponse) -> Failure {
    Failure::Away(format!("an answer of another kind: {answer:?}"))
}

fn status(service: &Service, json: bool) -> Result<(), Failure> {
    let sites = match call(service, &controller::SiteRequest::Sites)? {
        SiteResponse::Sites(sites) => sites,
        other => return Err(unexpected(&other)),
    };
    if json {
        print_json(serde_json::to_value(&sites).unwrap_or_default());
        return Ok(());
    }
    sites.iter().for_each(print_status);
    Ok(())
}

fn print_status(status: &SiteStatus) {
    let SiteStatus { site, state: standing, view, hubs, witnesses, .. } = status;
    println!(
        "{site:<12} {}, seen as {}; {hubs} hubs, {witnesses} witnesses",
        state_label(standing),
        view_label(view)
    );
    let fullest = format!("{} at {:.2}", status.fullest, status.fullest_share);
    match status.fits {
        true => println!("{:<12} its loss is borne: fullest {fullest}", ""),
        false => {
            println!(
                "{:<12} its loss is not borne: {:.3} refused, fullest {fullest}",
                "", status.refused_share
            )
        }
    }
}

fn plan(service: &Service, sites: Vec<String>, json: bool) -> Result<(), Failure> {
    let lost: BTreeSet<String> = sites.into_iter().collect();
    let plan = match call(service, &controller::SiteRequest::SitePlan { lost })? {
        SiteResponse::SitePlan(plan) => *plan,
        other => return Err(unexpected(&other)),
    };
    if json {
        print_json(serde_json::to_value(&plan).unwrap_or_default());
        return Ok(());
    }
    print_plan(&plan);
    for (place, ties) in &plan.upstreams {
        println!("  {place}: {}", ties.join(" "));
    }
    Ok(())
}

fn ask(service: &Service, site: String, ask: SiteCommand, by: String) -> Result<(), Failure> {
    match call(service, &controller::SiteRequest::Site { site, command: ask, by })? {
        SiteResponse::SiteBegun { site, state } => {
            println!("site {site} is {} now", state_label(&state));
            Ok(())
        }
        other => Err(unexpected(&other)),
    }
}

fn print_plan(plan: &SitePlan) {
    let lost = plan.lost.join(" + ");
    if plan.all_lost {
        return println!("{lost:<28} nobody is left");
    }
    let says = match plan.fits() {
        true => "borne".to_string(),
        false => format!("NOT borne: {:.3} of all refused", plan.refused_share),
    };
    println!(
        "{lost:<28} {says}; {} places move, fullest {} at {:.2}, archive {:.2} at first and {:.2} then",
        plan.upstreams.len(),
        plan.fullest,
        plan.fullest_share,
        plan.archive_first,
        plan.archive_after
    );
    for (hub, over) in &plan.refused {
        println!("  {hub}: {over:.1} fills a second refused");
    }
}

/// `harestage shape check --lose`: what would be refused, before anything fails.
pub fn check_losses(file: &Path, which: Lose, json: bool) -> Result<(), Failure> {
    let shape = take(file)?;
    if shape.sites().is_empty() {
        return Err(Failure::Refused(format!("{}: no hub names a site", file.display())));
    }
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let plans =
        SitePlans::build(&shape, None, which == Lose::Each, Moment::at_micros(unix.as_micros() as u64));
    let borne = plans.all().all(SitePlan::fits);
    if json {
        let plans: Vec<&SitePlan> = plans.all().collect();
        print_json(serde_json::json!({"holds": true, "borne": borne, "losses": plans}));
    } else {
        plans.all().for_each(print_plan);
    }
    match borne {
        true => Ok(()),
        false => Err(Failure::Unfinished("not every loss is borne".into())),
    }
}
