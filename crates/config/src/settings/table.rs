//! What the sections of the settings' table have in common.

use crate::schema::{Attribute, ValueKind};

/// A whole number of one or more.
pub(super) const ANY_COUNT: ValueKind = ValueKind::Integer(1, 1 << 32);
/// A number above zero.
pub(super) const POSITIVE: ValueKind = ValueKind::Number(1e-9, f64::MAX);
/// A fraction of a whole.
pub(super) const SHARE: ValueKind = ValueKind::Number(0.0, 1.0);
/// A number of zero or more.
pub(super) const WEIGHT: ValueKind = ValueKind::Number(0.0, f64::MAX);

/// One attribute of a section.
pub(super) const fn attribute(
    name: &'static str,
    kind: ValueKind,
    default: Option<&'static str>,
    about: &'static str,
) -> Attribute {
    Attribute {
        name,
        kind,
        default,
        description: about,
    }
}
