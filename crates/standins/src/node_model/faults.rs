//! Faults that can be injected into a node.

use super::Micros;
use std::collections::BTreeMap;

/// How a node responds to offers of a failing class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassFault {
    /// With an error.
    Error,
    /// Not at all.
    Silence,
}

/// Active faults of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Receives messages but sends none; pending messages are sent when the fault ends.
    pub hangs: bool,
    /// Probability that a message from the node is lost.
    pub message_loss: f64,
    /// Starts tasks but never sends `Accepted` or `Running`.
    pub never_confirms: bool,
    /// Classes whose offers fail, by index.
    pub failing_classes: BTreeMap<u16, ClassFault>,
    /// Probability that an offer is rejected although there is capacity.
    pub false_rejections: f64,
    /// Share of its speed that is lost per second since the faults last changed.
    pub speed_loss_per_second: f64,
    /// Additional delay of load reports, in microseconds.
    pub extra_report_delay: Micros,
    /// Share of its cores that foreign load uses.
    pub foreign_load: f64,
    /// Every message from the node is sent twice.
    pub duplicates_messages: bool,
    /// Reports attempts that it never received.
    pub reports_unknown_attempts: bool,
}
