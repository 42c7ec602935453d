//! The audit keeper on disk and sockets. [`parquet_file`] encodes records as Parquet files, [`store`] keeps links until they
//! are in such a file, and [`server`] connects `harestage_audit::keeper` to sockets. None of them makes decisions.
pub mod parquet_file;
pub mod server;
pub mod store;
