//! Stamps and their text form.
use harestage_audit::stamp::{MAX_TEXT_BYTES, ParseStampError, Stamp, Versions};

#[test]
fn stamps_are_parsed_from_their_text_and_differ_with_each_field() {
    let versions = Versions { build: "1".into(), shape: 82, purge: 17, ..Versions::default() };
    let stamp = versions.stamp();
    assert_eq!(stamp.to_string().parse(), Ok(stamp));
    assert!(stamp.to_string().len() <= MAX_TEXT_BYTES);
    let others = [
        Versions { build: "2".into(), ..versions.clone() },
        Versions { settings: 1, ..versions.clone() },
        Versions { shape: 83, ..versions.clone() },
        Versions { purge: 18, ..versions.clone() },
        Versions { plan: "west".into(), ..versions.clone() },
        Versions { term: 1, ..versions.clone() },
        Versions { keys: 1, ..versions.clone() },
        // The same text in another field.
        Versions { build: String::new(), plan: "1".into(), ..versions.clone() },
    ];
    assert!(others.iter().all(|other| other.stamp().digest != stamp.digest));
    for text in ["", "1.2.3", "0123456789abcdef.1", "0123456789abcdef.1.2.3", "0123456789abcdeg.1.2"] {
        assert_eq!(text.parse::<Stamp>(), Err(ParseStampError), "{text}");
    }
}
