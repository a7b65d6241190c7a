//! Scripted days: a fleet on loopback sockets, a load, faults over time, taps between them, and the verdict.
//!
//! [`script`] reads a day; [`play`] plays it with real controllers, stand-in nodes and a node list; [`tap`] sits on
//! every socket and writes down what crosses it; the audit judges that. [`trouble`] turns a recording of the bench
//! into a day.

pub mod clients;
pub mod cluster;
pub mod play;
pub mod script;
pub mod tap;
pub mod trouble;

pub use play::{Report, play};
pub use script::Script;

/// The days that the program carries with it, by name.
pub fn shipped() -> &'static [(&'static str, &'static str)] {
    &[
        ("quiet", include_str!("../days/quiet.xml")),
        ("hang", include_str!("../days/hang.xml")),
        ("answers-lost", include_str!("../days/answers-lost.xml")),
        ("never-confirms", include_str!("../days/never-confirms.xml")),
        ("class-fails", include_str!("../days/class-fails.xml")),
        ("false-refusals", include_str!("../days/false-refusals.xml")),
        ("ageing", include_str!("../days/ageing.xml")),
        ("dies", include_str!("../days/dies.xml")),
        ("cold-restart", include_str!("../days/cold-restart.xml")),
        ("drains", include_str!("../days/drains.xml")),
        ("list-stale", include_str!("../days/list-stale.xml")),
        ("list-down", include_str!("../days/list-down.xml")),
        ("neighbour", include_str!("../days/neighbour.xml")),
        ("accepted", include_str!("../days/accepted.xml")),
        ("reports-late", include_str!("../days/reports-late.xml")),
        ("flush", include_str!("../days/flush.xml")),
        ("cut", include_str!("../days/cut.xml")),
        ("liars", include_str!("../days/liars.xml")),
        ("burst", include_str!("../days/burst.xml")),
        ("bad-clients", include_str!("../days/bad-clients.xml")),
        ("controller-killed", include_str!("../days/controller-killed.xml")),
        ("rack-cut-off", include_str!("../days/rack-cut-off.xml")),
        ("update-in-doubt", include_str!("../days/update-in-doubt.xml")),
        ("overlapping", include_str!("../days/overlapping.xml")),
    ]
}
