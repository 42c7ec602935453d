//! The keeper of the audit on disk and sockets: [`columns`] has records as columnar files, [`store`] keeps links until they
//! are in one, [`serve`] joins `harestage_audit::keeper` to sockets. Nothing here decides.
pub mod columns;
pub mod serve;
pub mod store;
