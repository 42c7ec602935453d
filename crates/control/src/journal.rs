//! The service's journal: what its group has agreed on, one record of the state machine each.
use harestage_shape::control::{Entry, Record};

pub fn bytes(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// The records that were agreed on. An error names the first that says nothing that this program knows.
pub fn records(data: &[Vec<u8>]) -> Result<Vec<Record>, String> {
    let read = |(n, bytes): (usize, &Vec<u8>)| {
        serde_json::from_slice(bytes).map_err(|why| format!("journal: record {n} can't be read: {why}"))
    };
    data.iter().enumerate().map(read).collect()
}

/// What of a long journal has to be kept: from its last whole shape on, and how the sites stand if nothing after that
/// says it.
pub fn shortened(data: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
    let entry = |bytes: &Vec<u8>| serde_json::from_slice::<Record>(bytes).ok().map(|record| record.entry);
    let shape = data.iter().rposition(|bytes| matches!(entry(bytes), Some(Entry::Shape(_)))).unwrap_or(0);
    let sites = data.iter().rposition(|bytes| matches!(entry(bytes), Some(Entry::Sites(_))));
    let before = sites.filter(|sites| *sites < shape).map(|sites| data[sites].clone());
    before.into_iter().chain(data[shape..].iter().cloned()).collect()
}

/// The journal of a service that was not a group yet: a list of records as a snapshot, then records.
pub fn read_old(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String> {
    let mut data = Vec::new();
    if let Some(snapshot) = snapshot {
        let whole: Vec<Record> =
            serde_json::from_slice(snapshot).map_err(|why| format!("the snapshot can't be read: {why}"))?;
        data.extend(whole.iter().map(bytes));
    }
    self::records(records)?;
    data.extend_from_slice(records);
    Ok(data)
}
