//! `harestage drill`: plays a scenario and prints what was seen against what was expected.
use crate::exit;
use harestage_fleet::verdict::Verdict;
use harestage_fleet::{Fleet, Scenario};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(clap::Args)]
pub struct Drill {
    /// The scenario; `harestage schema scenario` says what may stand in it.
    scenario: PathBuf,
    /// Only say whether it could be played.
    #[arg(long)]
    check: bool,
    #[arg(long)]
    json: bool,
    /// Write everything that was said to this file, a JSON object a line.
    #[arg(long)]
    timeline: Option<PathBuf>,
}

pub fn run(drill: &Drill) -> ExitCode {
    match play(drill) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(exit::UNFINISHED),
        Err(why) => {
            eprintln!("harestage: {why}");
            ExitCode::from(exit::REFUSED)
        }
    }
}

/// False: something was not as expected.
fn play(drill: &Drill) -> Result<bool, String> {
    let scenario = Scenario::read_file(&drill.scenario)?;
    if drill.check {
        println!(
            "{}: {} processes, {} faults",
            scenario.name,
            scenario.processes.len(),
            scenario.faults.len()
        );
        return Ok(true);
    }
    let binary = std::env::current_exe().map_err(|why| format!("this program can't be found: {why}"))?;
    let mut fleet = Fleet::launch(scenario, &binary)?;
    let verdict = fleet.play();
    if let Some(path) = &drill.timeline {
        let lines = fleet.timeline().json_lines();
        std::fs::write(path, lines).map_err(|why| format!("{}: {why}", path.display()))?;
    }
    if drill.json {
        println!("{}", serde_json::to_string_pretty(&verdict).unwrap_or_default());
    } else {
        print(&verdict, &fleet);
    }
    Ok(verdict.holds())
}

fn print(verdict: &Verdict, fleet: &Fleet) {
    println!("{}: {} processes", verdict.scenario, verdict.processes);
    for finding in &verdict.findings {
        let mark = if finding.holds { "holds " } else { "FAILED" };
        let found = finding.found.map_or("nothing to measure".into(), |found| format!("{found:.3}"));
        let least = finding.at_least.map_or(String::new(), |least| format!(", at least {least}"));
        let most = finding.at_most.map_or(String::new(), |most| format!(", at most {most}"));
        println!("{mark} {}: {found}{least}{most}", finding.that);
    }
    for number in &verdict.never_came {
        println!("FAILED fault {number} never came: what it waits for was not said");
    }
    for name in &verdict.ended_by_themselves {
        println!("FAILED {name} ended though nobody told it to");
    }
    for finding in verdict.findings.iter().filter(|finding| !finding.holds).take(1) {
        println!("around {:.0} ms:\n{}", finding.look_at_ms, fleet.around(finding.look_at_ms));
    }
}
