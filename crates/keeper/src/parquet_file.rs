//! Records of processes as Parquet files with one row per link, so that common tools can read them. Frequently queried
//! values have their own columns. The body of the link is stored in full beside them, since its hash covers it.
//!
//! A file that can't be read is reported and the others are still read. The same holds for a row whose body does not match
//! its hash, or that has a newer format.
use bytes::Bytes;
use harestage_audit::chain::{Body, FORMAT_VERSION, Link};
use parquet::basic::{Compression, ZstdLevel};
use parquet::column::writer::ColumnWriter;
use parquet::data_type::ByteArray;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::record::RowAccessor;
use parquet::schema::parser::parse_message_type;
use std::fmt;
use std::sync::Arc;

const SCHEMA: &str = "message link {
    required int32 form;
    required binary member (UTF8);
    required int64 start;
    required int64 number;
    required int64 at_ms;
    required binary kind (UTF8);
    required binary stamp (UTF8);
    required int64 shape;
    required int64 purge;
    required int64 from_dl;
    required int64 to_dl;
    required int64 downloads;
    required binary body (UTF8);
    required binary before (UTF8);
    required binary hash (UTF8);
}";

/// An error in a file or in one of its rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadError {
    pub file: String,
    /// Row number from 1 on. None if the error concerns the whole file.
    pub row: Option<usize>,
    pub reason: String,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.row {
            Some(row) => write!(f, "{}: row {row}: {}", self.file, self.reason),
            None => write!(f, "{}: {}", self.file, self.reason),
        }
    }
}

/// The column values that are derived from the body of a link.
struct Row {
    kind: &'static str,
    stamp: String,
    shape: i64,
    purge: i64,
    from: i64,
    to: i64,
    downloads: i64,
}

fn row(link: &Link) -> Row {
    let base = |kind, stamp: harestage_audit::stamp::Stamp| Row {
        kind,
        stamp: stamp.to_string(),
        shape: stamp.shape as i64,
        purge: stamp.purge as i64,
        from: 0,
        to: 0,
        downloads: 0,
    };
    match &link.body {
        Body::Began { versions, .. } => base("began", versions.stamp()),
        Body::Switched { versions } => base("switched", versions.stamp()),
        Body::Interval(interval) => Row {
            from: interval.from as i64,
            to: interval.to as i64,
            downloads: interval.download_count() as i64,
            ..base("span", interval.stamp)
        },
        Body::Ended => base("ended", Default::default()),
    }
}

/// Encodes links as the bytes of a file.
pub fn write(links: &[Link]) -> Result<Vec<u8>, String> {
    let to_text = |error: parquet::errors::ParquetError| error.to_string();
    let schema = Arc::new(parse_message_type(SCHEMA).map_err(to_text)?);
    let level = ZstdLevel::try_new(6).map_err(to_text)?;
    let properties = WriterProperties::builder().set_compression(Compression::ZSTD(level)).build();
    let mut file = SerializedFileWriter::new(Vec::new(), schema, Arc::new(properties)).map_err(to_text)?;
    let rows: Vec<Row> = links.iter().map(row).collect();
    let text = |text: &str| ByteArray::from(text.as_bytes().to_vec());
    let body = |link: &Link| ByteArray::from(serde_json::to_vec(&link.body).unwrap_or_default());
    let mut group = file.next_row_group().map_err(to_text)?;
    for column in 0.. {
        let Some(mut writer) = group.next_column().map_err(to_text)? else { break };
        let written = match writer.untyped() {
            ColumnWriter::Int32ColumnWriter(column_writer) => {
                let values: Vec<i32> = links.iter().map(|link| link.format as i32).collect();
                column_writer.write_batch(&values, None, None)
            }
            ColumnWriter::Int64ColumnWriter(column_writer) => {
                let value = |(link, row): (&Link, &Row)| match column {
                    2 => link.start as i64,
                    3 => link.number as i64,
                    4 => link.at_ms as i64,
                    7 => row.shape,
                    8 => row.purge,
                    9 => row.from,
                    10 => row.to,
                    _ => row.downloads,
                };
                column_writer.write_batch(
                    &links.iter().zip(&rows).map(value).collect::<Vec<i64>>(),
                    None,
                    None,
                )
            }
            ColumnWriter::ByteArrayColumnWriter(column_writer) => {
                let value = |(link, row): (&Link, &Row)| match column {
                    1 => text(&link.member),
                    5 => text(row.kind),
                    6 => text(&row.stamp),
                    12 => body(link),
                    13 => text(&link.previous_hash),
                    _ => text(&link.hash),
                };
                column_writer.write_batch(
                    &links.iter().zip(&rows).map(value).collect::<Vec<ByteArray>>(),
                    None,
                    None,
                )
            }
            _ => Ok(0),
        };
        written.map_err(to_text)?;
        writer.close().map_err(to_text)?;
    }
    group.close().map_err(to_text)?;
    file.into_inner().map_err(to_text)
}

/// Reads the links of a file. A row with an error is reported, and the others are still read.
pub fn read(name: &str, bytes: Vec<u8>) -> (Vec<Link>, Vec<ReadError>) {
    let file_error = |reason: String| vec![ReadError { file: name.into(), row: None, reason }];
    let reader = match SerializedFileReader::new(Bytes::from(bytes)) {
        Ok(reader) => reader,
        Err(error) => return (Vec::new(), file_error(format!("can't be read: {error}"))),
    };
    let rows = match reader.get_row_iter(None) {
        Ok(rows) => rows,
        Err(error) => return (Vec::new(), file_error(format!("can't be read: {error}"))),
    };
    let (mut links, mut errors) = (Vec::new(), Vec::new());
    for (n, row) in rows.enumerate() {
        let row_error = |reason: String| ReadError { file: name.into(), row: Some(n + 1), reason };
        match row {
            Ok(row) => match decode_link(&row) {
                Ok(link) => links.push(link),
                Err(reason) => errors.push(row_error(reason)),
            },
            // The positions of later rows in this file are unknown.
            Err(error) => {
                errors.push(row_error(format!("can't be read: {error}")));
                break;
            }
        }
    }
    (links, errors)
}

fn decode_link(row: &parquet::record::Row) -> Result<Link, String> {
    let to_text = |error: parquet::errors::ParquetError| error.to_string();
    let text = |column: usize| row.get_string(column).cloned().map_err(to_text);
    let number = |column: usize| row.get_long(column).map(|n| n as u64).map_err(to_text);
    let format = row.get_int(0).map_err(to_text)? as u32;
    if format != FORMAT_VERSION {
        return Err(format!("of form {format}, and {FORMAT_VERSION} is known here"));
    }
    let body: Body =
        serde_json::from_str(&text(12)?).map_err(|error| format!("its body can't be read: {error}"))?;
    let link = Link {
        format,
        member: text(1)?,
        start: number(2)?,
        number: number(3)?,
        at_ms: number(4)?,
        previous_hash: text(13)?,
        hash: text(14)?,
        body,
    };
    let expected = self::row(&link);
    let columns = (text(5)?, text(6)?, number(9)? as i64, number(10)? as i64, number(11)? as i64);
    if columns != (expected.kind.to_string(), expected.stamp, expected.from, expected.to, expected.downloads)
    {
        return Err("its columns do not match its body".into());
    }
    if !link.is_intact() {
        return Err("its words are not those of its hash".into());
    }
    Ok(link)
}
