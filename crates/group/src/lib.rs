//! A service as a group of three or five members over the sites, without input or output. One log is agreed on by Raft
//! (the crate `raft`, which does no I/O of its own); the member that leads runs the service on it, and tells others only
//! what the group has agreed on, while it knows that it still leads.
//!
//! Bytes from other members and moments come in; what is to be written, sent and done comes back as a [`Turn`]. Everything
//! of a turn that leaves the process does so after its writes are synced.
mod replica;
mod store;

pub use replica::{
    CommittedEntry, LEASE, Member, NotLeaderError, Replica, ReplicaStatus, Start, StartError, StepOutput,
    TICK, member_id,
};
