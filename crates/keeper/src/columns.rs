//! Records of processes as columnar files (Parquet), one row a link, so that usual tools read them: what is asked for most
//! has columns of its own, and the link's words stand beside them whole, since its hash is over those.
//!
//! A file that can't be read is named, and the others still are; so is a row whose words are not those of its hash, or that
//! is of a later form.
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

/// What is wrong with a file or one of its rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub file: String,
    /// From 1 on; none: the file as a whole.
    pub row: Option<usize>,
    pub why: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.row {
            Some(row) => write!(f, "{}: row {row}: {}", self.file, self.why),
            None => write!(f, "{}: {}", self.file, self.why),
        }
    }
}

/// A link's own columns.
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
    let of = |kind, stamp: harestage_audit::stamp::Stamp| Row {
        kind,
        stamp: stamp.to_string(),
        shape: stamp.shape as i64,
        purge: stamp.purge as i64,
        from: 0,
        to: 0,
        downloads: 0,
    };
    match &link.body {
        Body::Began { versions: goes, .. } => of("began", goes.stamp()),
        Body::Switched { versions: goes } => of("switched", goes.stamp()),
        Body::Interval(span) => Row {
            from: span.from as i64,
            to: span.to as i64,
            downloads: span.download_count() as i64,
            ..of("span", span.stamp)
        },
        Body::Ended => of("ended", Default::default()),
    }
}

/// A file's bytes.
pub fn write(links: &[Link]) -> Result<Vec<u8>, String> {
    let told = |why: parquet::errors::ParquetError| why.to_string();
    let schema = Arc::new(parse_message_type(SCHEMA).map_err(told)?);
    let level = ZstdLevel::try_new(6).map_err(told)?;
    let properties = WriterProperties::builder().set_compression(Compression::ZSTD(level)).build();
    let mut file = SerializedFileWriter::new(Vec::new(), schema, Arc::new(properties)).map_err(told)?;
    let rows: Vec<Row> = links.iter().map(row).collect();
    let text = |text: &str| ByteArray::from(text.as_bytes().to_vec());
    let body = |link: &Link| ByteArray::from(serde_json::to_vec(&link.body).unwrap_or_default());
    let mut group = file.next_row_group().map_err(told)?;
    for column in 0.. {
        let Some(mut writer) = group.next_column().map_err(told)? else { break };
        let written = match writer.untyped() {
            ColumnWriter::Int32ColumnWriter(to) => {
                let values: Vec<i32> = links.iter().map(|link| link.format as i32).collect();
                to.write_batch(&values, None, None)
            }
            ColumnWriter::Int64ColumnWriter(to) => {
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
                to.write_batch(&links.iter().zip(&rows).map(value).collect::<Vec<i64>>(), None, None)
            }
            ColumnWriter::ByteArrayColumnWriter(to) => {
                let value = |(link, row): (&Link, &Row)| match column {
                    1 => text(&link.member),
                    5 => text(row.kind),
                    6 => text(&row.stamp),
                    12 => body(link),
                    13 => text(&link.previous_hash),
                    _ => text(&link.hash),
                };
                to.write_batch(&links.iter().zip(&rows).map(value).collect::<Vec<ByteArray>>(), None, None)
            }
            _ => Ok(0),
        };
        written.map_err(told)?;
        writer.close().map_err(told)?;
    }
    group.close().map_err(told)?;
    file.into_inner().map_err(told)
}

/// The links of a file, and what is wrong with it: a bad row is named, and the others are still read.
pub fn read(name: &str, bytes: Vec<u8>) -> (Vec<Link>, Vec<Wrong>) {
    let of_file = |why: String| vec![Wrong { file: name.into(), row: None, why }];
    let reader = match SerializedFileReader::new(Bytes::from(bytes)) {
        Ok(reader) => reader,
        Err(why) => return (Vec::new(), of_file(format!("can't be read: {why}"))),
    };
    let rows = match reader.get_row_iter(None) {
        Ok(rows) => rows,
        Err(why) => return (Vec::new(), of_file(format!("can't be read: {why}"))),
    };
    let (mut links, mut wrong) = (Vec::new(), Vec::new());
    for (n, row) in rows.enumerate() {
        let at = |why: String| Wrong { file: name.into(), row: Some(n + 1), why };
        match row {
            Ok(row) => match link_of(&row) {
                Ok(link) => links.push(link),
                Err(why) => wrong.push(at(why)),
            },
            // What follows in this file can't be told from it any more.
            Err(why) => {
                wrong.push(at(format!("can't be read: {why}")));
                break;
            }
        }
    }
    (links, wrong)
}

fn link_of(row: &parquet::record::Row) -> Result<Link, String> {
    let told = |why: parquet::errors::ParquetError| why.to_string();
    let text = |at: usize| row.get_string(at).cloned().map_err(told);
    let number = |at: usize| row.get_long(at).map(|n| n as u64).map_err(told);
    let form = row.get_int(0).map_err(told)? as u32;
    if form != FORMAT_VERSION {
        return Err(format!("of form {form}, and {FORMAT_VERSION} is known here"));
    }
    let body: Body =
        serde_json::from_str(&text(12)?).map_err(|why| format!("its words can't be read: {why}"))?;
    let link = Link {
        format: form,
        member: text(1)?,
        start: number(2)?,
        number: number(3)?,
        at_ms: number(4)?,
        previous_hash: text(13)?,
        hash: text(14)?,
        body,
    };
    let own = self::row(&link);
    let columns = (text(5)?, text(6)?, number(9)? as i64, number(10)? as i64, number(11)? as i64);
    if columns != (own.kind.to_string(), own.stamp, own.from, own.to, own.downloads) {
        return Err("its columns are not those of its words".into());
    }
    if !link.is_intact() {
        return Err("its words are not those of its hash".into());
    }
    Ok(link)
}
