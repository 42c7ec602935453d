//! A router whose socket calls fail for a moment, are interrupted, and read and write only a part.
mod fixture;
use fixture::*;
use std::path::PathBuf;
use std::process::Command;

/// Builds the shim and returns its path.
fn shim() -> PathBuf {
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/faulty_calls.c");
    let library =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("faulty_calls-{}.so", std::process::id()));
    let built =
        launch(Command::new("cc").args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source)).wait();
    assert!(built.unwrap().success(), "the shim was not built");
    library
}

#[test]
fn calls_that_fail_for_a_moment_cost_no_request() {
    let body = |fields: &str| fields.bytes().cycle().take(100_000).collect::<Vec<u8>>();
    let mut fixture = Fixture::open(2, None, move |_, fields| {
        Reply::Answer("ACK", "res=HIT,first=0", body(&fields[fields.find("obj").unwrap()..][..20]))
    });
    let _ = fixture.router.kill();
    let _ = fixture.router.wait();
    let library = shim();
    fixture.router = start_with(&fixture.config, &format!("LD_PRELOAD={} exec \"$0\"", library.display()));
    fixture.wait_until_ready();
    let mut clients: Vec<Client> = (0..6).map(|_| fixture.client()).collect();
    for round in 0..5 {
        for (no, client) in (1..).zip(&clients) {
            (1..=3).for_each(|tag| {
                client.send_download(10 * round + tag, "filing", no * 100 + round, 2_900, "")
            });
        }
        for (no, client) in (1..).zip(&mut clients) {
            for _ in 1..=3 {
                let answer = client.next_message().expect("an answer");
                let object = format!("obj={:016x}", no * 100 + round);
                assert_eq!(answer[1], "ACK");
                assert_eq!(answer[3].len(), 100_000);
                assert!(answer[3].starts_with(object.as_bytes()), "{:?}", answer[3].slice(..20));
            }
        }
    }
    // What has come by the end of listening is accepted and answered in spite of failures.
    fixture.signal("-TERM");
    let mut late: Vec<Client> = (0..20).map(|_| fixture.client()).collect();
    (700..).zip(&late).for_each(|(object, client)| client.send_download(1, "filing", object, 2_000, ""));
    let mut answered = 0;
    late.iter_mut().chain(&mut clients).for_each(|client| {
        let answers: Vec<Items> = std::iter::from_fn(|| client.next_message()).collect();
        assert!(answers.iter().all(|answer| answer[1] == "ACK"), "{answers:?}");
        answered += answers.len();
    });
    assert_eq!(answered, 20);
    assert!(fixture.router.wait().unwrap().success());
    let _ = std::fs::remove_file(library);
}
