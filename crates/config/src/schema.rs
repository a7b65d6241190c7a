//! Schema definitions: validation of XML documents, errors with their position, and generation of an XSD.

mod check;
mod document;
mod problem;
mod value;
mod xsd;

pub use document::Document;
pub use problem::{ConfigError, Problem};
pub use value::parse_duration;
pub use xsd::xsd;

/// Kind of value that an attribute accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// Any non-empty text.
    Text,
    /// Letters, digits, `-`, `_` and `.`, which are the characters allowed in native specifications and job ids.
    Name,
    /// `true` or `false`.
    Flag,
    /// An integer between two bounds, inclusive.
    Integer(u64, u64),
    /// A number between two bounds, inclusive.
    Number(f64, f64),
    /// A duration such as `250us`, `800ms`, `5s` or `2m`.
    Duration,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// An IPv4 address and a port.
    Address,
}

/// Definition of an attribute.
#[derive(Clone, Copy, Debug)]
pub struct Attribute {
    /// Name in the file.
    pub name: &'static str,
    /// Kind of value that it accepts.
    pub kind: ValueKind,
    /// Default value. `None` makes the attribute required; an empty text makes it optional without a default.
    pub default: Option<&'static str>,
    /// Description for operators, written into the XSD.
    pub description: &'static str,
}

/// How often an element may appear in its parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occurrence {
    /// Exactly once.
    Once,
    /// At most once. If it is missing, its attributes have their defaults.
    Optional,
    /// Any number of times.
    ZeroOrMore,
    /// At least once.
    OneOrMore,
}

impl Occurrence {
    /// Returns whether the element may appear at most once.
    pub(crate) fn is_single(self) -> bool {
        match self {
            Occurrence::Once | Occurrence::Optional => true,
            Occurrence::ZeroOrMore | Occurrence::OneOrMore => false,
        }
    }

    /// Returns whether the element must appear at least once.
    pub(crate) fn is_required(self) -> bool {
        match self {
            Occurrence::Once | Occurrence::OneOrMore => true,
            Occurrence::Optional | Occurrence::ZeroOrMore => false,
        }
    }
}

/// Definition of an element, with its attributes and child elements.
#[derive(Clone, Copy, Debug)]
pub struct Element {
    /// Name in the file.
    pub name: &'static str,
    /// How often it may appear in its parent.
    pub occurrence: Occurrence,
    /// Attributes.
    pub attributes: &'static [Attribute],
    /// Child elements.
    pub children: &'static [Element],
    /// Description for operators, written into the XSD.
    pub description: &'static str,
}

impl Element {
    /// Returns the definition of an attribute.
    pub(crate) fn attribute(&self, name: &str) -> Option<&'static Attribute> {
        self.attributes
            .iter()
            .find(|attribute| attribute.name == name)
    }
}
