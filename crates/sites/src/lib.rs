//! Every decision on the loss of a whole site, without input or output: times and chance are handed in.
//!
//! - [`sight`]: what one process can say of other sites, by its own questions and their answers.
//! - [`watch`]: what many such witnesses together prove: lost, slow, cut off from some, cut off from the services, leaving.
//! - [`plan`]: where the load of each site, and of each pair, goes when it is lost; made beforehand for every version.
//! - [`ration`]: what is refused first where not all fits, and when those who were refused may come again.
//! - [`budget`]: how many repeated attempts a process may add to what is asked of it anyway.
//! - [`standby`]: what a hub or a branch does about a loss while no service speaks.
//! - [`direct`]: the control service's state machine with all of this.
//! - [`standing`]: a site's way from its loss back into service, and the steps of an evacuation.
pub mod controller;
pub mod failure_detector;
pub mod fallback;
pub mod liveness;
pub mod plan;
pub mod quota;
pub mod retry_budget;
pub mod site_state;
