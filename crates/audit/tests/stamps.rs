//! Stamps and their text.
use harestage_audit::stamp::{MAX_TEXT_BYTES, ParseStampError, Stamp, Versions};

#[test]
fn stamps_come_back_from_their_text_and_differ_with_each_field() {
    let goes = Versions { build: "1".into(), shape: 82, purge: 17, ..Versions::default() };
    let stamp = goes.stamp();
    assert_eq!(stamp.to_string().parse(), Ok(stamp));
    assert!(stamp.to_string().len() <= MAX_TEXT_BYTES);
    let others = [
        Versions { build: "2".into(), ..goes.clone() },
        Versions { settings: 1, ..goes.clone() },
        Versions { shape: 83, ..goes.clone() },
        Versions { purge: 18, ..goes.clone() },
        Versions { plan: "west".into(), ..goes.clone() },
        Versions { term: 1, ..goes.clone() },
        Versions { keys: 1, ..goes.clone() },
        // The same letters in another field.
        Versions { build: String::new(), plan: "1".into(), ..goes.clone() },
    ];
    assert!(others.iter().all(|other| other.stamp().digest != stamp.digest));
    for text in ["", "1.2.3", "0123456789abcdef.1", "0123456789abcdef.1.2.3", "0123456789abcdeg.1.2"] {
        assert_eq!(text.parse::<Stamp>(), Err(ParseStampError), "{text}");
    }
}
