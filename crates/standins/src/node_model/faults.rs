//! Faults that a scenario or a test injects into a node.

use super::Micros;
use std::collections::BTreeMap;

/// How offers of a failing class are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassFault {
    /// With an error.
    Error,
    /// Not at all.
    Silence,
}

/// Faults of a node that are active now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Receives offers and answers none; pending messages are sent when the fault ends.
    pub hangs: bool,
    /// Share of its messages that is lost.
    pub message_loss: f64,
    /// Starts what it accepts and never confirms it.
    pub never_confirms: bool,
    /// Classes whose offers fail, by index.
    pub failing_classes: BTreeMap<u16, ClassFault>,
    /// Share of offers that is rejected although there is capacity.
    pub false_rejections: f64,
    /// Share of its pace that is lost in each second since the faults last changed.
    pub pace_loss_per_second: f64,
    /// Additional delay of load reports, in microseconds.
    pub extra_report_delay: Micros,
    /// Share of its cores that another program uses.
    pub foreign_load: f64,
    /// Sends every message twice.
    pub duplicates_messages: bool,
    /// Reports attempts that it was never sent.
    pub reports_unknown_attempts: bool,
}
