//! The drivers of the review's cases, with their stand-ins: an archive, a cache of the platform, clients and a proxy.
//! One word says which case is played; `TROUBLE=0` leaves its disruption out. Only the standard library is used.
mod common;
mod node;
mod one;
mod proxy;
mod router;
mod three;
mod two;

use std::process::exit;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play: fn(&mut common::Play) -> Result<bool, String> = match case.as_str() {
        "1" => one::play,
        "2" => two::play,
        "3" => three::play,
        _ => {
            eprintln!("review-case: which case? 1, 2 or 3");
            exit(2);
        }
    };
    let mut at = common::Play::open(&case, trouble);
    let outcome = play(&mut at);
    at.end();
    match outcome {
        Ok(true) => {
            at.note("verdict: the rule held");
            exit(0)
        }
        Ok(false) => {
            at.note("verdict: the rule was broken");
            exit(1)
        }
        Err(why) => {
            at.note(&format!("verdict: the case could not run: {why}"));
            exit(2)
        }
    }
}
