//! Every decision on the loss of a whole site, without input or output: times and random numbers are passed
//! in.
//!
//! - [`liveness`]: what one process observes of other sites, by its own queries and their answers.
//! - [`failure_detector`]: what many such witnesses prove together: lost, slow, cut off from some sites or
//!   from the services, leaving.
//! - [`plan`]: where the load of each site, and of each pair of sites, goes when it is lost; computed
//!   beforehand for every version.
//! - [`quota`]: what is refused first when there is more demand than capacity, and when refused requests may
//!   be retried.
//! - [`retry_budget`]: how many retries a process may add to its first attempts.
//! - [`fallback`]: what a hub or a branch does about a loss while no control service is reachable.
//! - [`controller`]: the control service's state machine that combines all of this.
//! - [`site_state`]: the states of a site from its loss to its re-admission, and the steps of an evacuation.
pub mod controller;
pub mod failure_detector;
pub mod fallback;
pub mod liveness;
pub mod plan;
pub mod quota;
pub mod retry_budget;
pub mod site_state;
