//! `harestage shape`: looks at shapes in files, and at the one in service.
use crate::{ask, draw, exit};
use clap::Subcommand;
use harestage::time::Moment;
use harestage_shape::config::{self, ShapeConfig};
use harestage_shape::control::{ChangeEvent, Status};
use harestage_shape::messages::{Request, Response};
use harestage_shape::plan::{Plan, plan_change};
use harestage_shape::topology::{self, ARCHIVE};
use harestage_shape::validation::{self, Loads};
use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeSet;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Subcommand)]
pub enum Shape {
    /// Check a shape file; complaints go to standard error, a line each.
    Check {
        file: PathBuf,
        /// Say also what the loss of each site, and of each pair of them, would do.
        #[arg(long, value_name = "WHICH")]
        lose: Option<Lose>,
        #[arg(long)]
        json: bool,
    },
    /// Show what differs between two shape files.
    Diff {
        before: PathBuf,
        after: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Show the steps from one shape to another, or from the one in service.
    Plan {
        file: PathBuf,
        /// The shape that it starts from; absent: the one in service.
        #[arg(long)]
        from: Option<PathBuf>,
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
        /// Write a picture of the steps there.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Change the shape in service, and watch it to its end.
    Apply {
        file: PathBuf,
        #[command(flatten)]
        service: Service,
        /// Refuse unless this version is in service.
        #[arg(long)]
        expect: Option<u64>,
        /// Who applies it, for others to see.
        #[arg(long, default_value = "operator")]
        by: String,
        #[arg(long)]
        json: bool,
    },
    /// Show the shape in service, its members, and a change that is under way.
    Status {
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Draw a shape as SVG, or as text for Graphviz.
    Draw {
        file: PathBuf,
        #[arg(long)]
        dot: bool,
    },
}

/// Which losses are gone through.
#[derive(Clone, Copy, PartialEq, clap::ValueEnum)]
pub enum Lose {
    /// Each site, and each pair of them.
    Each,
    /// Each site.
    One,
}

#[derive(clap::Args)]
pub struct Service {
    /// Address and port of the control service; of each member, where it is a group.
    #[arg(long, default_value = "127.0.0.1:9100")]
    pub control: Vec<SocketAddr>,
}

/// What ends a command before its end.
pub enum Failure {
    Refused(String),
    Away(String),
    Unfinished(String),
}

pub fn run(what: Shape) -> ExitCode {
    let told = match what {
        Shape::Check { file, lose: None, json } => check_file(&file, json),
        Shape::Check { file, lose: Some(which), json } => crate::site::check_losses(&file, which, json),
        Shape::Diff { before, after, json } => diff(&before, &after, json),
        Shape::Plan { file, from, service, json, svg } => show_plan(&file, from, &service, json, svg),
        Shape::Apply { file, service, expect, by, json } => apply(&file, &service, expect, by, json),
        Shape::Status { service, json } => status(&service, json),
        Shape::Draw { file, dot } => draw_file(&file, dot),
    };
    let (why, code) = match told {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Refused(why)) => (why, exit::REFUSED),
        Err(Failure::Away(why)) => (why, exit::AWAY),
        Err(Failure::Unfinished(why)) => (why, exit::UNFINISHED),
    };
    why.lines().for_each(|line| eprintln!("harestage: {line}"));
    ExitCode::from(code)
}

fn read(file: &Path) -> Result<ShapeConfig, Failure> {
    config::read_file(file).map_err(|why| Failure::Refused(why.to_string()))
}

/// Reads a shape that holds.
pub fn take(file: &Path) -> Result<topology::Shape, Failure> {
    topology::validated_shape(&read(file)?).map_err(|complaints| {
        let lines: Vec<_> = complaints.iter().map(|c| format!("{}: {c}", file.display())).collect();
        Failure::Refused(lines.join("\n"))
    })
}

pub fn print_json(json: serde_json::Value) {
    println!("{json:#}");
}

fn check_file(file: &Path, json: bool) -> Result<(), Failure> {
    let shape = take(file)?;
    let loads: Loads = validation::loads(&shape).unwrap_or_default();
    let rows = shape.hubs().map(|(at, hub)| (hub.name.as_str(), loads.of(at), hub.capacity));
    let archive = shape.archive();
    let rows: Vec<_> = rows.chain([(archive.name.as_str(), loads.of(ARCHIVE), archive.capacity)]).collect();
    if json {
        let rows = rows.iter().map(
            |(name, asked, carries)| serde_json::json!({"name": name, "asked": asked, "carries": carries}),
        );
        print_json(serde_json::json!({"holds": true, "loads": rows.collect::<Vec<_>>()}));
        return Ok(());
    }
    for (name, asked, carries) in rows {
        println!("{name:<24} asked {asked:>8.1} of {carries:>8.1} fills a second");
    }
    Ok(())
}

fn diff(before: &Path, after: &Path, json: bool) -> Result<(), Failure> {
    let (before, after) = (read(before)?, read(after)?);
    let ties = |form: &ShapeConfig| -> std::collections::BTreeMap<String, Vec<String>> {
        let hubs = form.hubs.iter().map(|hub| (hub.name.clone(), hub.up.clone()));
        hubs.chain(form.branches.iter().map(|b| (b.name.clone(), b.hubs.clone()))).collect()
    };
    let (old, new) = (ties(&before), ties(&after));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let differing: Vec<_> = names.into_iter().filter(|name| old.get(*name) != new.get(*name)).collect();
    if json {
        let rows = differing.iter().map(
            |name| serde_json::json!({"place": name, "before": old.get(*name), "after": new.get(*name)}),
        );
        print_json(serde_json::Value::Array(rows.collect()));
        return Ok(());
    }
    for name in differing {
        match (old.get(name), new.get(name)) {
            (Some(from), Some(to)) => println!("{name}: {} -> {}", from.join(" "), to.join(" ")),
            (None, Some(to)) => println!("{name}: new, tied to {}", to.join(" ")),
            (Some(from), _) => println!("{name}: gone, was tied to {}", from.join(" ")),
            (None, None) => {}
        }
    }
    Ok(())
}

fn now() -> Moment {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Moment::at_micros(unix.as_micros() as u64)
}

fn show_plan(
    file: &Path,
    from: Option<PathBuf>,
    service: &Service,
    json: bool,
    svg: Option<PathBuf>,
) -> Result<(), Failure> {
    let wanted = read(file)?;
    let plan = match from {
        Some(from) => {
            plan_change(&take(&from)?, &wanted, now()).map_err(|why| Failure::Refused(why.to_string()))?
        }
        None => {
            match call(service, &Request::Plan { form: Box::new(wanted) })?.next().map_err(Failure::Away)? {
                Response::Plan(plan) => *plan,
                Response::Refused(lines) => return Err(Failure::Refused(lines.join("\n"))),
                other => return Err(Failure::Away(format!("an answer of another kind: {other:?}"))),
            }
        }
    };
    if let Some(path) = svg {
        std::fs::write(&path, draw::plan_svg(&plan))
            .map_err(|why| Failure::Refused(format!("{}: {why}", path.display())))?;
    }
    if json {
        print_json(serde_json::to_value(&plan).unwrap_or_default());
        return Ok(());
    }
    print_plan(&plan);
    Ok(())
}

fn print_plan(plan: &Plan) {
    println!(
        "from version {}, {} steps, {:.1} s",
        plan.from,
        plan.steps.len(),
        plan.min_duration().seconds()
    );
    for step in &plan.steps {
        let needs: Vec<_> = step
            .needs
            .iter()
            .map(|need| format!("{} {:.1} s old", need.hub, need.age_ms as f64 / 1e3))
            .collect();
        let needs = if needs.is_empty() { String::new() } else { format!(", needs {}", needs.join(", ")) };
        println!("step {}: {:.1}% of the load{needs}", step.number, step.moved * 100.0);
        for one in &step.moves {
            println!("  {}: {} -> {}", one.node, one.from.join(" "), one.to.join(" "));
        }
    }
}

fn call(service: &Service, call: &Request) -> Result<ask::Call, Failure> {
    ask::Call::find("control service", &service.control, call).map_err(Failure::Away)
}

fn apply(file: &Path, service: &Service, expect: Option<u64>, by: String, json: bool) -> Result<(), Failure> {
    let form = Box::new(read(file)?);
    let mut reading = call(service, &Request::Apply { form, expect, by })?;
    let bar = std::io::stderr().is_terminal().then(|| {
        let style = ProgressStyle::with_template("{bar:30} {pos}/{len} {elapsed} {msg}");
        ProgressBar::new(0).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
    });
    loop {
        let said = match reading.next().map_err(Failure::Away)? {
            Response::Event(said) => said,
            Response::Refused(lines) => return Err(Failure::Refused(lines.join("\n"))),
            other => return Err(Failure::Away(format!("an answer of another kind: {other:?}"))),
        };
        if json {
            println!("{}", serde_json::to_string(&said).unwrap_or_default());
        } else if let Some(bar) = &bar {
            show(bar, &said);
        } else {
            println!("{}", worded(&said));
        }
        if let ChangeEvent::Ended { complete, version } = said {
            bar.iter().for_each(ProgressBar::finish_and_clear);
            if complete {
                eprintln!("version {version} is in service");
                return Ok(());
            }
            return Err(Failure::Unfinished(format!("the change was given up at version {version}")));
        }
    }
}

fn show(bar: &ProgressBar, said: &ChangeEvent) {
    match said {
        ChangeEvent::Started { steps, .. } => bar.set_length(*steps as u64),
        ChangeEvent::StepSettled { step, .. } => bar.set_position(*step as u64),
        _ => {}
    }
    bar.set_message(worded(said));
}

fn worded(said: &ChangeEvent) -> String {
    match said {
        ChangeEvent::Started { from, steps, by } => format!("from version {from}, {steps} steps, by {by}"),
        ChangeEvent::StepPublished { step, of, version } => {
            format!("step {step} of {of} is out as version {version}")
        }
        ChangeEvent::StepSettled { step, of } => format!("step {step} of {of} has settled"),
        ChangeEvent::StepReverted { step, version, reason } => {
            format!("step {step} undone by version {version}: {reason}")
        }
        ChangeEvent::Held { step, of, reason } => format!("after step {step} of {of}: {reason}"),
        ChangeEvent::Ended { complete: true, version } => format!("complete at version {version}"),
        ChangeEvent::Ended { complete: false, version } => format!("given up at version {version}"),
        ChangeEvent::Site { site, state, reason } => {
            format!("site {site} is {} now: {reason}", harestage_sites::site_state::state_label(state))
        }
        ChangeEvent::ViewChanged { site, view, .. } => format!("site {site} is held to be {view}"),
        ChangeEvent::WaitCycle { hub, object, path, waited_ms, seen_before } => {
            let path = path.join(" -> ");
            format!(
                "{hub} broke loop {path} of object {object} after {waited_ms:.0} ms, seen {seen_before} times before"
            )
        }
    }
}

fn status(service: &Service, json: bool) -> Result<(), Failure> {
    let status = match call(service, &Request::Status)?.next().map_err(Failure::Away)? {
        Response::Status(status) => *status,
        other => return Err(Failure::Away(format!("an answer of another kind: {other:?}"))),
    };
    if json {
        print_json(serde_json::to_value(&status).unwrap_or_default());
        return Ok(());
    }
    print_status(&status);
    Ok(())
}

fn print_status(status: &Status) {
    println!("version {}, term {}", status.version, status.term);
    match &status.change {
        Some(change) => {
            let held = change.held.as_deref().map(|why| format!(", holds: {why}")).unwrap_or_default();
            println!(
                "change by {}: step {} of {}, {} undone, {:.1} s{held}",
                change.by,
                change.step,
                change.of,
                change.undone,
                change.lasted_ms as f64 / 1e3
            );
        }
        None => println!("no change under way"),
    }
    println!(
        "archive: {:.2} of its stopping point, parts given out {:.1}",
        status.archive_share, status.allocated
    );
    for member in &status.members {
        println!(
            "{:<24} version {:>5}, silent {:>6} ms, {:>5.1} times its usual time, {:>7.1} fetches a second",
            member.name, member.version, member.silent_ms, member.slowness, member.fetches
        );
    }
    println!("loops broken: {}", status.wait_cycles);
    status.last_wait_cycles.iter().for_each(|said| println!("  {}", worded(said)));
}

fn draw_file(file: &Path, dot: bool) -> Result<(), Failure> {
    let shape = topology::Shape::from_config(&read(file)?).map_err(|complaints| {
        Failure::Refused(complaints.iter().map(|c| c.to_string()).collect::<Vec<_>>().join("\n"))
    })?;
    print!("{}", if dot { draw::dot(&shape) } else { draw::svg(&shape) });
    Ok(())
}
