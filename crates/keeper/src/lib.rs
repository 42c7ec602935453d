//! The keeper of the audit on disk and sockets: [`parquet_file`] has records as columnar files, [`store`] keeps links until they
//! are in one, [`server`] joins `harestage_audit::keeper` to sockets. Nothing here decides.
pub mod parquet_file;
pub mod server;
pub mod store;
