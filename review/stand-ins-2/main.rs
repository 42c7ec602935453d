//! The driver of the second review's cases: `driver NAME CASE-FOLDER`, from the root of the repository.
mod alone;
mod common;
mod fresh;
mod lease;
mod order;
mod skew;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (case, folder) = (words[1].as_str(), words[2].as_str());
    match case {
        "lease" => lease::run(folder),
        "fresh" => fresh::run(folder),
        "order" => order::run(folder),
        "alone" => alone::run(folder),
        "skew" => skew::run(folder),
        other => panic!("no case {other}"),
    }
}
