//! Stamps and their text.
use harestage_audit::stamp::{Goes, LONGEST, NoStamp, Stamp};

#[test]
fn stamps_come_back_from_their_text_and_differ_with_each_field() {
    let goes = Goes { build: "1".into(), shape: 82, purge: 17, ..Goes::default() };
    let stamp = goes.stamp();
    assert_eq!(stamp.to_string().parse(), Ok(stamp));
    assert!(stamp.to_string().len() <= LONGEST);
    let others = [
        Goes { build: "2".into(), ..goes.clone() },
        Goes { settings: 1, ..goes.clone() },
        Goes { shape: 83, ..goes.clone() },
        Goes { purge: 18, ..goes.clone() },
        Goes { plan: "west".into(), ..goes.clone() },
        Goes { term: 1, ..goes.clone() },
        Goes { keys: 1, ..goes.clone() },
        // The same letters in another field.
        Goes { build: String::new(), plan: "1".into(), ..goes.clone() },
    ];
    assert!(others.iter().all(|other| other.stamp().digest != stamp.digest));
    for text in ["", "1.2.3", "0123456789abcdef.1", "0123456789abcdef.1.2.3", "0123456789abcdeg.1.2"] {
        assert_eq!(text.parse::<Stamp>(), Err(NoStamp), "{text}");
    }
}
