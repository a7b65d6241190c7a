//! The decision module alone, through its interface: one file for each concern, and one test for
//! each fault found.

mod backoff;
mod filters;
mod invalid_input;
mod load_estimate;
mod node_list;
mod preferences;
mod queue;
mod retries;
mod sampling;
mod slow_start;
mod support;
