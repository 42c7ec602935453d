//! Sets of ids that may hold a few others.
use harestage_audit::sketch::Ids;

#[test]
fn none_is_missed_and_few_others_seem_to_be_there() {
    let mut ids = Ids::default();
    for id in 0..3_000u64 {
        ids.push(id * 7);
    }
    let sketch = ids.take_sketch();
    assert!((0..3_000u64).all(|id| sketch.may_contain(id * 7)));
    let others = (0..20_000u64).filter(|id| sketch.may_contain(id * 7 + 3)).count();
    assert!(others < 400, "{others} of 20000");
    assert!(ids.is_empty() && !Ids::default().take_sketch().may_contain(5));
    assert!(sketch.bytes() <= 3_000 * 10 / 8 + 8);
}
