//! A service replicated as a group of three or five members over the sites. The members agree on one log by Raft (the crate
//! `raft`, which does no I/O of its own). The leader runs the service on that log. It tells others only what the group has
//! committed, and only while it holds a leader lease.
//!
//! This crate does no I/O. Its inputs are messages from other members and the current time; what is to be written, sent and
//! done is returned as a [`StepOutput`]. Nothing of an output may leave the process before its writes are synced.
mod replica;
mod store;

pub use replica::{
    CommittedEntry, LEASE, Member, NotLeaderError, Replica, ReplicaStatus, Start, StartError, StepOutput,
    TICK, member_id,
};
