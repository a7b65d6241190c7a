//! Value kinds and the attribute constructor that the sections of the schema share.

use crate::schema::{Attribute, ValueKind};

/// A count of at least one.
pub(super) const COUNT: ValueKind = ValueKind::Integer(1, 1 << 32);
/// A positive number.
pub(super) const POSITIVE: ValueKind = ValueKind::Number(1e-9, f64::MAX);
/// A fraction between 0 and 1.
pub(super) const SHARE: ValueKind = ValueKind::Number(0.0, 1.0);
/// A number that is not negative.
pub(super) const NON_NEGATIVE: ValueKind = ValueKind::Number(0.0, f64::MAX);

/// Creates the definition of an attribute.
pub(super) const fn attribute(
    name: &'static str,
    kind: ValueKind,
    default: Option<&'static str>,
    description: &'static str,
) -> Attribute {
    Attribute {
        name,
        kind,
        default,
        description,
    }
}
