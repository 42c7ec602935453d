//! `harestage-measure AREA`: measures one area and its baseline in one run, writes target/measure/AREA.json, and fails
//! where a bound is broken. QUICK=1 takes loads that CI can bear. `harestage-measure drill` prints the scenario of a lost site;
//! `part` and `hollow` are processes that the capacity run starts for itself.
use std::process::ExitCode;

fn main() -> ExitCode {
    let area = std::env::args().nth(1).unwrap_or_default();
    let quick = std::env::var("QUICK").is_ok_and(|quick| quick == "1");
    if area == "drill" {
        println!("{:#}", serde_json::to_value(harestage_measure::site::drill()).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    if area == "part" {
        return part();
    }
    if area == "hollow" {
        return hollow();
    }
    let figures = match area.as_str() {
        "audit" => harestage_measure::audit::measure(quick),
        "capacity" => harestage_measure::capacity::measure(quick),
        "purge" => harestage_measure::purge::measure(quick),
        "shape" => harestage_measure::shape::measure(quick),
        "site" => harestage_measure::site::measure(quick),
        _ => {
            eprintln!("harestage-measure: {area:?} is no area; areas: audit, capacity, purge, shape, site");
            return ExitCode::FAILURE;
        }
    };
    let folder = std::path::Path::new("target/measure");
    let path = folder.join(format!("{}.json", figures.area()));
    let wrote = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, figures.json()));
    if let Err(why) = wrote {
        eprintln!("harestage-measure: {}: {why}", path.display());
        return ExitCode::FAILURE;
    }
    print!("{}", figures.json());
    let broken = figures.broken();
    broken.iter().for_each(|line| eprintln!("harestage-measure: {line}"));
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Hollow members of the capacity run, until the input closes.
fn hollow() -> ExitCode {
    let spec = std::env::args().nth(2).unwrap_or_default();
    match harestage_measure::capacity::hollow::host(&spec, std::io::BufReader::new(std::io::stdin())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("harestage-measure: hollow: {why}");
            ExitCode::FAILURE
        }
    }
}

/// One part of the capacity run, in a process of its own.
fn part() -> ExitCode {
    let (name, size) = (std::env::args().nth(2).unwrap_or_default(), std::env::args().nth(3));
    let size = size.and_then(|size| size.parse().ok()).unwrap_or(0);
    let found = match size {
        0 => None,
        size => harestage_measure::capacity::slopes::part(&name, size),
    };
    match found {
        Some(found) => println!("{}", serde_json::to_string(&found).unwrap_or_default()),
        None => {
            eprintln!("harestage-measure: {name:?} of size {size} is no part");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
