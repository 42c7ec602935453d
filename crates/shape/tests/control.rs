//! The control service: what it journals before it acts, and recovery from a crash at any point.
mod common;
use common::*;
use harestage_shape::config::ShapeConfig;
use harestage_shape::control::{ChangeError, ChangeEvent, Control, Effect, Entry, HubReport, Record};
use harestage_shape::rollout::Transition;

const START: u64 = 1_000_000;

/// A service with a journal, and hubs that follow each version at once.
struct Service {
    control: Control,
    journal: Vec<Record>,
    published: Vec<u64>,
    events: Vec<ChangeEvent>,
    now: u64,
}

impl Service {
    fn open(journal: Vec<Record>, now: u64) -> Service {
        let (control, effects) = Control::open(&journal, Some(&two_hubs()), at_ms(now)).unwrap();
        let mut service = Service { control, journal, published: Vec::new(), events: Vec::new(), now };
        service.carry_out(effects);
        service
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write(record) => self.journal.push(record),
                Effect::Publish(version) => self.published.push(version),
                Effect::Announce(event) => self.events.push(event),
            }
        }
    }

    fn tick(&mut self) {
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
            self.tick();
            if !self.control.is_changing() {
                return;
            }
        }
        panic!("the change never ended: {:?}", self.events.last());
    }

    fn apply(&mut self, config: &ShapeConfig) -> Result<(), ChangeError> {
        let effects = self.control.apply(config, None, "op", at_ms(self.now))?;
        self.carry_out(effects);
        Ok(())
    }
}

fn expected_config(version: u64) -> ShapeConfig {
    ShapeConfig { version, ..third_hub(START) }
}

#[test]
fn a_change_runs_to_its_end_and_is_journaled() {
    let mut service = Service::open(Vec::new(), START);
    service.apply(&third_hub(START)).unwrap();
    service.run();
    let version = service.control.shape().version();
    assert_eq!(service.control.shape().to_config(), expected_config(version));
    assert!(service.published.windows(2).all(|two| two[0] < two[1]), "{:?}", service.published);
    assert_eq!(service.events.last(), Some(&ChangeEvent::Ended { complete: true, version }));
    let reopened = Service::open(service.journal.clone(), service.now);
    assert_eq!(reopened.control.shape().to_config(), expected_config(version));
    assert_eq!(reopened.control.term(), 2);
}

/// The service is stopped after each record of its journal and reopened: the change ends the same, and no
/// version number is published again with another shape.
#[test]
fn a_change_survives_a_crash_after_any_record() {
    let mut whole = Service::open(Vec::new(), START);
    whole.apply(&third_hub(START)).unwrap();
    whole.run();
    let started = whole.journal.iter().position(|r| matches!(r.entry, Entry::ChangeStarted { .. })).unwrap();
    for cut in started + 1..whole.journal.len() {
        let journal = whole.journal[..cut].to_vec();
        let mut next = Service::open(journal, START + cut as u64 * 1_000);
        let ended = whole.journal[..cut]
            .iter()
            .any(|r| matches!(r.entry, Entry::Transition(Transition::Ended { .. })));
        assert_eq!(next.control.is_changing(), !ended, "cut at {cut}");
        let first_version = next.published[0];
        next.run();
        assert_eq!(
            next.control.shape().to_config(),
            expected_config(next.control.shape().version()),
            "cut at {cut}"
        );
        assert!(next.published.iter().all(|version| *version >= first_version));
    }
}

/// A leader that was replaced goes on writing: its records follow those of the new term and are ignored.
#[test]
fn records_of_a_replaced_leader_are_ignored() {
    let mut old = Service::open(Vec::new(), START);
    old.apply(&third_hub(START)).unwrap();
    (0..30).for_each(|_| old.tick());
    let mut new = Service::open(old.journal.clone(), old.now);
    let shared = new.journal.len();
    old.run();
    let late_records: Vec<Record> = old.journal[shared - 1..].to_vec();
    assert!(!late_records.is_empty() && late_records.iter().all(|record| record.term == 1));
    (0..10).for_each(|_| new.tick());
    let mut mixed = new.journal.clone();
    mixed.extend(late_records);
    let recalled = Service::open(mixed, new.now);
    assert_eq!(recalled.control.shape().to_config(), new.control.shape().to_config());
    assert_eq!(recalled.control.term(), 3);
}

#[test]
fn one_change_at_a_time_and_only_from_the_expected_version() {
    let mut service = Service::open(Vec::new(), START);
    let mismatch = service.control.apply(&third_hub(START), Some(7), "op", at_ms(START)).unwrap_err();
    assert_eq!(mismatch, ChangeError::VersionMismatch { expected: 7, actual: 1 });
    assert_eq!(service.apply(&two_hubs()), Err(ChangeError::Unchanged { version: 1 }));
    service.apply(&third_hub(START)).unwrap();
    let second = service.apply(&two_hubs()).unwrap_err();
    assert!(matches!(&second, ChangeError::Busy { by, .. } if by == "op"), "{second}");
    service.run();
    let mut cyclic = two_hubs();
    cyclic.hubs[0].up = vec!["b".into()];
    cyclic.hubs[1].up = vec!["a".into()];
    assert_eq!(service.apply(&cyclic).unwrap_err().to_string(), "loop: a -> b -> a");
    service.apply(&two_hubs()).unwrap();
    service.run();
    assert_eq!(
        service.control.shape().to_config(),
        ShapeConfig { version: service.control.shape().version(), ..two_hubs() }
    );
}
