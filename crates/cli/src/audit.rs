//! `harestage audit`: who acted on what, when a version was taken up, who lags behind, what is known of a download; and
//! records on disk: whether they hold, as they are, and as a timeline.
use crate::ask::Call;
use crate::exit;
use harestage_audit::chain::Link;
use harestage_audit::history::{Finding, History, LinkOutcome, StampPeriod};
use harestage_audit::lagging::{MemberStatus, Obstacle};
use harestage_audit::messages::{self, KeeperStatus, OperatorResponse};
use harestage_audit::obligations::{Obligations, Staleness};
use harestage_keeper::columns;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(clap::Args)]
pub struct Keepers {
    /// A member of the keeper; further ones are asked where it does not speak.
    #[arg(long = "keeper", required = true)]
    keepers: Vec<SocketAddr>,
    #[arg(long)]
    json: bool,
}

#[derive(clap::Subcommand)]
pub enum Audit {
    /// What is due, who is heard, who is shut out, and what was found.
    Status {
        #[command(flatten)]
        of: Keepers,
    },
    /// Who acted on what between two moments of the keeper's clock, and what they did by it.
    Who {
        /// Unix milliseconds, or so many seconds ago (`-90`).
        #[arg(long, allow_hyphen_values = true, default_value_t = -3600)]
        from: i64,
        #[arg(long, allow_hyphen_values = true, default_value_t = 0)]
        to: i64,
        /// Only what went by a stamp that was late or forbidden.
        #[arg(long)]
        late: bool,
        #[command(flatten)]
        of: Keepers,
    },
    /// When each process took a version, or a purge, up.
    When {
        #[arg(long)]
        shape: Option<u64>,
        #[arg(long)]
        purge: Option<u64>,
        #[command(flatten)]
        of: Keepers,
    },
    /// Who lacks something, for how long, and what is done about it. Exit code 4: somebody does.
    Stragglers {
        #[command(flatten)]
        of: Keepers,
    },
    /// What is known of one download, by its id: 16 hex digits.
    Explain {
        id: String,
        #[command(flatten)]
        of: Keepers,
    },
    /// Says stragglers and findings as they come, for so long.
    Watch {
        /// Seconds; 0: until it is ended.
        #[arg(long, default_value_t = 0)]
        seconds: u64,
        #[command(flatten)]
        of: Keepers,
    },
    /// Checks records on disk: every file, every row, every chain. Exit code 4: something does not hold.
    Verify {
        /// Folders of the keeper's members, or files.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Writes records on disk out: a JSON object a line, or a timeline as SVG.
    Export {
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// One row a process, a colour a version, gaps hatched.
        #[arg(long)]
        svg: bool,
    },
}

enum Failure {
    Refused(String),
    Away(String),
    Unfinished(String),
}

pub fn run(what: Audit) -> ExitCode {
    let done = match what {
        Audit::Status { of } => status(&of),
        Audit::Who { from, to, late, of } => who(from, to, late, &of),
        Audit::When { shape, purge, of } => when(shape, purge, &of),
        Audit::Stragglers { of } => stragglers(&of),
        Audit::Explain { id, of } => explain(&id, &of),
        Audit::Watch { seconds, of } => watch(seconds, &of),
        Audit::Verify { paths, json } => verify(&paths, json),
        Audit::Export { paths, svg } => export(&paths, svg),
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

fn ask(of: &Keepers, call: &messages::OperatorRequest) -> Result<OperatorResponse, Failure> {
    let answer = Call::find("keeper", &of.keepers, call).and_then(|mut call| call.next());
    match answer.map_err(Failure::Away)? {
        OperatorResponse::Refused(why) => Err(Failure::Refused(why)),
        answer => Ok(answer),
    }
}

fn unexpected<T>(answer: &OperatorResponse) -> Result<T, Failure> {
    Err(Failure::Away(format!("an answer of another kind: {answer:?}")))
}

fn json(of: &Keepers, what: &impl serde::Serialize) -> bool {
    if of.json {
        println!("{}", serde_json::to_string_pretty(what).unwrap_or_default());
    }
    of.json
}

fn get_status(of: &Keepers) -> Result<KeeperStatus, Failure> {
    match ask(of, &messages::OperatorRequest::AuditStatus)? {
        OperatorResponse::Status(status) => Ok(*status),
        other => unexpected(&other),
    }
}

fn status(of: &Keepers) -> Result<(), Failure> {
    let status = get_status(of)?;
    if json(of, &status) {
        return Ok(());
    }
    println!("due: shape {}, purge {}; keeper's term {}", status.shape, status.purge, status.term);
    let chains = &status.chains;
    println!(
        "{} members, {} starts, {} links, {} downloads, {} gaps",
        chains.members,
        chains.chains,
        chains.links,
        chains.downloads,
        chains.gaps.len()
    );
    chains.gaps.iter().for_each(print_gap);
    for (member, share) in &status.excluded {
        println!(
            "{member}: {}",
            if share.0 > 0.0 { format!("let in by {:.2}", share.0) } else { "shut out".into() }
        );
    }
    status.findings.iter().for_each(|finding| println!("FOUND {}", words(finding)));
    Ok(())
}

fn print_gap(gap: &harestage_audit::history::Gap) {
    let links = gap.links.map_or(String::new(), |(a, b)| format!(", links {a} to {b}"));
    let downloads =
        gap.downloads.map_or(", downloads unknown".into(), |(a, b)| format!(", downloads {a} to {b}"));
    println!(
        "gap: {} ({}), {} to {} ms{links}{downloads}: {}",
        gap.member, gap.start, gap.from_ms, gap.to_ms, gap.reason
    );
}

fn words(finding: &Finding) -> String {
    match finding {
        Finding::Altered { member, start, number, reason: why } => {
            format!("{member} ({start}): link {number} was altered: {why}")
        }
        Finding::ConcurrentStarts { member, starts: (a, b), .. } => {
            format!("{member}: two processes have this name, started at {a} and {b}")
        }
        Finding::Undeclared { member, stamp, hub, pulls } => {
            format!("{member}: {pulls} pulls at {hub} under {stamp}, which it never declared")
        }
        Finding::UsesOtherVersion { member, declared: says, actual: acts_by, place, hub, pulls } => {
            let by = acts_by.map_or("no version that is known".into(), |by| format!("version {by}"));
            format!("{member}: says version {says} and acts by {by}: {pulls} pulls for {place} at {hub}")
        }
        Finding::ForbiddenAccepted { member, stamp, hub, pulls, overdue_ms: past_ms } => {
            format!("{member}: {hub} took {pulls} pulls under {stamp}, {past_ms} ms past the bound")
        }
    }
}

/// Unix milliseconds of a moment on the command line, by the keeper's clock.
fn moment(given: i64, now_ms: u64) -> u64 {
    if given <= 0 { now_ms.saturating_sub(given.unsigned_abs() * 1_000) } else { given as u64 }
}

fn who(from: i64, to: i64, late: bool, of: &Keepers) -> Result<(), Failure> {
    let now_ms = get_status(of)?.now_ms;
    let call =
        messages::OperatorRequest::AuditWho { from_ms: moment(from, now_ms), to_ms: moment(to, now_ms) };
    let mut spells = match ask(of, &call)? {
        OperatorResponse::Who(spells) => spells,
        other => return unexpected(&other),
    };
    if late {
        spells.retain(|spell| spell.worst_staleness >= Staleness::Late);
    }
    if json(of, &spells) {
        return Ok(());
    }
    spells.iter().for_each(print_spell);
    let members: std::collections::BTreeSet<&str> =
        spells.iter().map(|spell| spell.member.as_str()).collect();
    let downloads: u64 = spells.iter().flat_map(|spell| spell.counts.values()).sum();
    println!("{} processes, {downloads} downloads", members.len());
    Ok(())
}

fn print_spell(spell: &StampPeriod) {
    let downloads = spell.downloads.map_or("no downloads".into(), |(a, b)| format!("downloads {a} to {b}"));
    let counts: Vec<String> = spell.counts.iter().map(|(what, many)| format!("{many} {what}")).collect();
    let lacked = spell.behind_ms.map_or(String::new(), |ms| format!(", lacked something for {ms} ms"));
    let oldest = match spell.oldest_ms {
        0 => String::new(),
        ms => format!(", oldest copy of {ms} ms"),
    };
    println!(
        "{} by shape {}, purge {} ({}): {} to {} ms, {downloads}, {}, {} pulls{lacked}{oldest}",
        spell.member,
        spell.stamp.shape,
        spell.stamp.purge,
        standing(spell.worst_staleness),
        spell.from_ms,
        spell.to_ms,
        if counts.is_empty() { "nothing".into() } else { counts.join(", ") },
        spell.pulls
    );
}

fn standing(is: Staleness) -> &'static str {
    match is {
        Staleness::UpToDate => "up to date",
        Staleness::Harmless => "harmless",
        Staleness::Late => "late",
        Staleness::Forbidden => "forbidden",
    }
}

fn when(shape: Option<u64>, purge: Option<u64>, of: &Keepers) -> Result<(), Failure> {
    let taken = match ask(of, &messages::OperatorRequest::AuditWhen { shape, purge })? {
        OperatorResponse::When(taken) => taken,
        other => return unexpected(&other),
    };
    if json(of, &taken) {
        return Ok(());
    }
    for taken in &taken {
        match (taken.at_ms, taken.after_ms) {
            (Some(at), Some(after)) => {
                println!("{} ({}): at {at} ms, {after} ms after it was due", taken.member, taken.start)
            }
            (Some(at), None) => println!("{} ({}): at {at} ms", taken.member, taken.start),
            _ => println!("{} ({}): never", taken.member, taken.start),
        }
    }
    Ok(())
}

fn stragglers(of: &Keepers) -> Result<(), Failure> {
    let members = match ask(of, &messages::OperatorRequest::AuditLagging)? {
        OperatorResponse::Lagging(members) => members,
        other => return unexpected(&other),
    };
    let behind: Vec<&MemberStatus> = members
        .iter()
        .filter(|m| m.staleness >= Staleness::Late || m.share.is_some() || m.obstacle.is_some())
        .collect();
    if !json(of, &behind) {
        behind.iter().for_each(|member| println!("{}", straggler(member)));
    }
    match behind.len() {
        0 => Ok(()),
        many => Err(Failure::Unfinished(format!("{many} of {} lag behind", members.len()))),
    }
}

fn straggler(member: &MemberStatus) -> String {
    let lacks = member.behind_ms.map_or(String::new(), |ms| format!(", lacks something for {ms} ms"));
    let reached = if member.reachable { "" } else { ", can't be reached" };
    let cannot = match &member.obstacle {
        Some(Obstacle::Rejects { shape, reason: why }) => format!(", refuses version {shape}: {why}"),
        Some(Obstacle::Crashes { shape, starts }) => {
            format!(", has started {starts} times without version {shape}")
        }
        None => String::new(),
    };
    let share = match member.share {
        Some(share) if share.0 > 0.0 => format!(", let in by {:.2}", share.0),
        Some(_) => ", shut out".into(),
        None if member.kept_by_floor => ", kept in by the floor".into(),
        None => String::new(),
    };
    format!(
        "{} at {}: shape {}, purge {} ({}){lacks}{reached}{cannot}{share}, brought {} times",
        member.member,
        member.site,
        member.stamp.shape,
        member.stamp.purge,
        standing(member.staleness),
        member.updates_sent
    )
}

fn explain(id: &str, of: &Keepers) -> Result<(), Failure> {
    let number = u64::from_str_radix(id, 16).ok().filter(|_| id.len() == 16);
    let id = number.ok_or_else(|| Failure::Refused(format!("{id:?} is not 16 hex digits")))?;
    let explained = match ask(of, &messages::OperatorRequest::AuditExplain { id })? {
        OperatorResponse::Explained(explained) => explained,
        other => return unexpected(&other),
    };
    if json(of, &explained) {
        return Ok(());
    }
    for e in &explained {
        let sure = if e.exact {
            "was"
        } else {
            "may have been (the sketch says so, and is wrong once in a hundred)"
        };
        println!(
            "it {sure} at {} ({}), between {} and {} ms, by shape {}, purge {}: link {}",
            e.member, e.start, e.from_ms, e.to_ms, e.stamp.shape, e.stamp.purge, e.link
        );
    }
    match explained.is_empty() {
        true => Err(Failure::Unfinished("nobody's record may hold it; see gaps in the status".into())),
        false => Ok(()),
    }
}

fn watch(seconds: u64, of: &Keepers) -> Result<(), Failure> {
    let begun = std::time::Instant::now();
    let (mut found, mut before) = (0, Vec::new());
    while seconds == 0 || begun.elapsed() < Duration::from_secs(seconds) {
        let status = get_status(of)?;
        status.findings.iter().skip(found).for_each(|finding| println!("FOUND {}", words(finding)));
        found = status.findings.len();
        let behind: Vec<String> = status
            .members
            .iter()
            .filter(|m| m.staleness >= Staleness::Late || m.share.is_some())
            .map(|m| format!("{}: {}", m.member, standing(m.staleness)))
            .collect();
        if behind != before {
            println!("{}", if behind.is_empty() { "nobody lags behind".into() } else { behind.join("; ") });
            before = behind;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    Ok(())
}

/// The records of folders and files: those in columnar files, and what was read wrongly.
fn read(paths: &[PathBuf]) -> Result<(Vec<Link>, Vec<columns::Wrong>), Failure> {
    let mut files = Vec::new();
    for path in paths {
        let within = path.join("files");
        let folder = if within.is_dir() { within } else { path.clone() };
        if folder.is_dir() {
            let entries = std::fs::read_dir(&folder)
                .map_err(|why| Failure::Refused(format!("{}: {why}", folder.display())))?;
            let parquet = |path: &PathBuf| path.extension().is_some_and(|end| end == "parquet");
            files.extend(entries.flatten().map(|entry| entry.path()).filter(parquet));
        } else {
            files.push(path.clone());
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(Failure::Refused("there are no files of records there".into()));
    }
    let (mut links, mut wrong) = (Vec::new(), Vec::new());
    for file in files {
        let name = file.display().to_string();
        match std::fs::read(&file) {
            Ok(bytes) => {
                let (read, bad) = columns::read(&name, bytes);
                links.extend(read);
                wrong.extend(bad);
            }
            Err(why) => wrong.push(columns::Wrong { file: name, row: None, why: why.to_string() }),
        }
    }
    links.sort_by(|a, b| (&a.member, a.start, a.number).cmp(&(&b.member, b.start, b.number)));
    Ok((links, wrong))
}

/// Goes through all chains as the keeper does, with nothing due.
fn check(links: &[Link]) -> (History, Vec<String>) {
    let (mut file, owed, mut refused) = (History::default(), Obligations::default(), Vec::new());
    for link in links {
        let now = harestage::time::Moment::at_micros(link.at_ms.saturating_mul(1_000));
        file.on_report(&link.member, link.start, link.at_ms, now);
        if let LinkOutcome::Rejected(why) = file.add_link(link, &owed, now) {
            refused.push(format!("{} ({}): link {}: {why}", link.member, link.start, link.number));
        }
    }
    (file, refused)
}

fn verify(paths: &[PathBuf], as_json: bool) -> Result<(), Failure> {
    let (links, wrong) = read(paths)?;
    let (file, refused) = check(&links);
    let summary = file.summary();
    if as_json {
        let wrong: Vec<String> = wrong.iter().map(ToString::to_string).collect();
        let said = serde_json::json!({"links": links.len(), "chains": summary.chains, "downloads": summary.downloads,
            "gaps": summary.gaps, "wrong": wrong, "refused": refused});
        println!("{}", serde_json::to_string_pretty(&said).unwrap_or_default());
    } else {
        println!("{} links of {} starts, {} downloads", links.len(), summary.chains, summary.downloads);
        summary.gaps.iter().for_each(print_gap);
        wrong.iter().for_each(|wrong| println!("WRONG {wrong}"));
        refused.iter().for_each(|why| println!("WRONG {why}"));
    }
    match wrong.len() + refused.len() {
        0 => Ok(()),
        many => Err(Failure::Unfinished(format!("{many} things do not hold; the rest was read"))),
    }
}

fn export(paths: &[PathBuf], svg: bool) -> Result<(), Failure> {
    let (links, wrong) = read(paths)?;
    wrong.iter().for_each(|wrong| eprintln!("harestage: {wrong}"));
    if svg {
        println!("{}", timeline(&links));
    } else {
        links.iter().for_each(|link| println!("{}", serde_json::to_string(link).unwrap_or_default()));
    }
    Ok(())
}

const WIDTH: f64 = 1_000.0;
const ROW: f64 = 18.0;
const NAMES: f64 = 150.0;

/// One row a process, a colour a version of the shape, and what is not known hatched.
fn timeline(links: &[Link]) -> String {
    let (file, _) = check(links);
    let spells = file.periods_between(0, u64::MAX);
    let gaps = file.summary().gaps;
    let members: BTreeMap<&str, usize> = {
        let names: std::collections::BTreeSet<&str> = links.iter().map(|link| link.member.as_str()).collect();
        names.into_iter().enumerate().map(|(n, name)| (name, n)).collect()
    };
    let times = spells
        .iter()
        .flat_map(|s| [s.from_ms, s.to_ms])
        .chain(gaps.iter().flat_map(|g| [g.from_ms, g.to_ms]));
    let (first, last) = times.fold((u64::MAX, 0), |(a, b), ms| (a.min(ms), b.max(ms)));
    let at = |ms: u64| {
        NAMES + (ms.saturating_sub(first)) as f64 / (last.saturating_sub(first)).max(1) as f64 * WIDTH
    };
    let height = members.len() as f64 * ROW + 30.0;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"11\">\n\
         <defs><pattern id=\"gap\" width=\"6\" height=\"6\" patternUnits=\"userSpaceOnUse\" patternTransform=\"rotate(45)\">\
         <rect width=\"6\" height=\"6\" fill=\"#fff\"/><line x1=\"0\" y1=\"0\" x2=\"0\" y2=\"6\" stroke=\"#c33\" stroke-width=\"2\"/></pattern></defs>\n",
        NAMES + WIDTH + 20.0
    );
    for (name, row) in &members {
        svg += &format!("<text x=\"4\" y=\"{}\">{name}</text>\n", *row as f64 * ROW + 13.0);
    }
    let bar = |row: usize, from: u64, to: u64, fill: &str, title: &str| {
        let (x, width) = (at(from), (at(to) - at(from)).max(1.0));
        let y = row as f64 * ROW + 3.0;
        format!(
            "<rect x=\"{x:.1}\" y=\"{y}\" width=\"{width:.1}\" height=\"{}\" fill=\"{fill}\"><title>{title}</title></rect>\n",
            ROW - 6.0
        )
    };
    for spell in &spells {
        // Neighbouring numbers far apart on the wheel.
        let hue = spell.stamp.shape * 137 % 360;
        let title = format!("{} by shape {}, purge {}", spell.member, spell.stamp.shape, spell.stamp.purge);
        svg += &bar(
            members[spell.member.as_str()],
            spell.from_ms,
            spell.to_ms,
            &format!("hsl({hue},60%,60%)"),
            &title,
        );
    }
    for gap in &gaps {
        if let Some(row) = members.get(gap.member.as_str()) {
            svg +=
                &bar(*row, gap.from_ms, gap.to_ms, "url(#gap)", &format!("{}: {}", gap.member, gap.reason));
        }
    }
    svg += &format!("<text x=\"{NAMES}\" y=\"{}\">0 s</text>", height - 8.0);
    svg += &format!(
        "<text x=\"{}\" y=\"{}\">{:.1} s</text>\n</svg>",
        NAMES + WIDTH - 40.0,
        height - 8.0,
        last.saturating_sub(first) as f64 / 1e3
    );
    svg
}
