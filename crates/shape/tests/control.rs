//! The service: what it writes down before it does it, and who goes on after a death at any point.
mod common;
use common::*;
use harestage_shape::config::ShapeConfig;
use harestage_shape::control::{ChangeError, ChangeEvent, Control, Effect, Entry, HubReport, Record};
use harestage_shape::rollout::Transition;

const START: u64 = 1_000_000;

/// A service with a journal, and hubs that follow at once.
struct Site {
    control: Control,
    journal: Vec<Record>,
    published: Vec<u64>,
    said: Vec<ChangeEvent>,
    now: u64,
}

impl Site {
    fn open(journal: Vec<Record>, now: u64) -> Site {
        let (control, effects) = Control::open(&journal, Some(&two_hubs()), at_ms(now)).unwrap();
        let mut site = Site { control, journal, published: Vec::new(), said: Vec::new(), now };
        site.carry_out(effects);
        site
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write(record) => self.journal.push(record),
                Effect::Publish(version) => self.published.push(version),
                Effect::Announce(said) => self.said.push(said),
            }
        }
    }

    fn turn(&mut self) {
        self.now += 100;
        let report =
            HubReport { version: self.control.shape().version(), slowness: 1.0, ..HubReport::default() };
        for hub in ["a", "b", "c"] {
            let (_, effects) = self.control.on_report(hub, &report, at_ms(self.now));
            self.carry_out(effects);
        }
        let effects = self.control.tick(at_ms(self.now));
        self.carry_out(effects);
    }

    fn run(&mut self) {
        for _ in 0..2_000 {
            self.turn();
            if !self.control.is_changing() {
                return;
            }
        }
        panic!("the change never ended: {:?}", self.said.last());
    }

    fn apply(&mut self, form: &ShapeConfig) -> Result<(), ChangeError> {
        let effects = self.control.apply(form, None, "op", at_ms(self.now))?;
        self.carry_out(effects);
        Ok(())
    }
}

fn wanted(version: u64) -> ShapeConfig {
    ShapeConfig { version, ..third_hub(START) }
}

#[test]
fn a_change_runs_to_its_end_and_is_written_down() {
    let mut site = Site::open(Vec::new(), START);
    site.apply(&third_hub(START)).unwrap();
    site.run();
    let version = site.control.shape().version();
    assert_eq!(site.control.shape().to_config(), wanted(version));
    assert!(site.published.windows(2).all(|two| two[0] < two[1]), "{:?}", site.published);
    assert_eq!(site.said.last(), Some(&ChangeEvent::Ended { complete: true, version }));
    let again = Site::open(site.journal.clone(), site.now);
    assert_eq!(again.control.shape().to_config(), wanted(version));
    assert_eq!(again.control.term(), 2);
}

/// Killed after each line of its journal, and taken up by the next: the same end, and no number told twice with
/// another shape behind it.
#[test]
fn a_change_survives_the_death_of_its_runner_at_any_line() {
    let mut whole = Site::open(Vec::new(), START);
    whole.apply(&third_hub(START)).unwrap();
    whole.run();
    let begun = whole.journal.iter().position(|r| matches!(r.entry, Entry::ChangeStarted { .. })).unwrap();
    for cut in begun + 1..whole.journal.len() {
        let journal = whole.journal[..cut].to_vec();
        let mut next = Site::open(journal, START + cut as u64 * 1_000);
        let ended = whole.journal[..cut]
            .iter()
            .any(|r| matches!(r.entry, Entry::Transition(Transition::Ended { .. })));
        assert_eq!(next.control.is_changing(), !ended, "cut at {cut}");
        let told = next.published[0];
        next.run();
        assert_eq!(next.control.shape().to_config(), wanted(next.control.shape().version()), "cut at {cut}");
        assert!(next.published.iter().all(|version| *version >= told));
    }
}

/// The runner that was replaced writes on: its lines stand behind those of the new term, and do not count.
#[test]
fn a_runner_that_was_replaced_can_not_interleave() {
    let mut old = Site::open(Vec::new(), START);
    old.apply(&third_hub(START)).unwrap();
    (0..30).for_each(|_| old.turn());
    let mut new = Site::open(old.journal.clone(), old.now);
    let shared = new.journal.len();
    old.run();
    let late: Vec<Record> = old.journal[shared - 1..].to_vec();
    assert!(!late.is_empty() && late.iter().all(|record| record.term == 1));
    (0..10).for_each(|_| new.turn());
    let mut mixed = new.journal.clone();
    mixed.extend(late);
    let recalled = Site::open(mixed, new.now);
    assert_eq!(recalled.control.shape().to_config(), new.control.shape().to_config());
    assert_eq!(recalled.control.term(), 3);
}

#[test]
fn one_change_at_a_time_and_only_from_the_version_that_was_looked_at() {
    let mut site = Site::open(Vec::new(), START);
    let moved = site.control.apply(&third_hub(START), Some(7), "op", at_ms(START)).unwrap_err();
    assert_eq!(moved, ChangeError::VersionMismatch { expected: 7, actual: 1 });
    assert_eq!(site.apply(&two_hubs()), Err(ChangeError::Unchanged { version: 1 }));
    site.apply(&third_hub(START)).unwrap();
    let second = site.apply(&two_hubs()).unwrap_err();
    assert!(matches!(&second, ChangeError::Busy { by, .. } if by == "op"), "{second}");
    site.run();
    let mut looped = two_hubs();
    looped.hubs[0].up = vec!["b".into()];
    looped.hubs[1].up = vec!["a".into()];
    assert_eq!(site.apply(&looped).unwrap_err().to_string(), "loop: a -> b -> a");
    site.apply(&two_hubs()).unwrap();
    site.run();
    assert_eq!(
        site.control.shape().to_config(),
        ShapeConfig { version: site.control.shape().version(), ..two_hubs() }
    );
}
