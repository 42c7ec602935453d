//! The driver of the second review's cases: `driver NAME FOLDER`, from the root of the repository. `feed`, `lent` and
//! `lost` are no cases; review/REPORT-2.md says what they show.
mod alone;
mod common;
mod feed;
mod fresh;
mod lease;
mod lent;
mod lost;
mod order;
mod skew;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    // A panic of the driver says nothing of the rule. What it started ends with it.
    let _ = std::panic::catch_unwind(|| play(&words));
    std::process::exit(common::NOT_RUN);
}

fn play(words: &[String]) {
    let (case, folder) = (words[1].as_str(), words[2].as_str());
    match case {
        "lease" => lease::run(folder),
        "fresh" => fresh::run(folder),
        "order" => order::run(folder),
        "alone" => alone::run(folder),
        "skew" => skew::run(folder),
        "feed" => feed::run(folder),
        "lent" => lent::run(folder),
        "lost" => lost::run(folder),
        other => panic!("no case {other}"),
    }
}
