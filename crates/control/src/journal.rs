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

/// What of a long journal has to be kept: from its last whole shape on.
pub fn shortened(mut data: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
    let is_shape = |bytes: &Vec<u8>| {
        serde_json::from_slice::<Record>(bytes).is_ok_and(|record| matches!(record.entry, Entry::Shape(_)))
    };
    let last = data.iter().rposition(is_shape).unwrap_or(0);
    data.drain(..last);
    data
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
