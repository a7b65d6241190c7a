//! Generates an XSD from a schema definition.

use super::{Attribute, Element, ValueKind};
use std::fmt::{Display, Write as _};

/// Beginning of the XSD, with the simple types that attributes refer to.
const HEAD: &str = r#"<?xml version="1.0" encoding="UTF-8"?>
<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema">
  <xs:simpleType name="span">
    <xs:restriction base="xs:string">
      <xs:pattern value="[0-9]+(\.[0-9]+)?(us|ms|s|m|h)"/>
    </xs:restriction>
  </xs:simpleType>
  <xs:simpleType name="name">
    <xs:restriction base="xs:string">
      <xs:pattern value="[A-Za-z0-9_.\-]{1,64}"/>
    </xs:restriction>
  </xs:simpleType>
  <xs:simpleType name="address">
    <xs:restriction base="xs:string">
      <xs:pattern value="[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}"/>
    </xs:restriction>
  </xs:simpleType>
"#;

/// Returns the W3C XSD 1.0 schema of a document with the root element `root`.
pub fn xsd(root: &Element) -> String {
    let mut out = String::from(HEAD);
    write_element(&mut out, root, 1);
    out += "</xs:schema>\n";
    out
}

/// Writes an element with its children, indented by `depth` levels.
///
/// The XSD does not restrict how often an element may appear. Child elements may come in any order, so the XSD has a
/// repeated choice, and only the program itself checks [`Occurrence`](super::Occurrence).
fn write_element(out: &mut String, element: &Element, depth: usize) {
    let pad = "  ".repeat(depth);
    let _ = writeln!(out, "{pad}<xs:element name=\"{}\">", element.name);
    write_annotation(out, element.description, depth + 1);
    let _ = writeln!(out, "{pad}  <xs:complexType>");
    if !element.children.is_empty() {
        let _ = writeln!(
            out,
            "{pad}    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">"
        );
        for child in element.children {
            write_element(out, child, depth + 3);
        }
        let _ = writeln!(out, "{pad}    </xs:choice>");
    }
    for attribute in element.attributes {
        write_attribute(out, attribute, depth + 2);
    }
    let _ = writeln!(out, "{pad}  </xs:complexType>\n{pad}</xs:element>");
}

fn write_annotation(out: &mut String, text: &str, depth: usize) {
    let pad = "  ".repeat(depth);
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(
        out,
        "{pad}<xs:annotation><xs:documentation>{text}</xs:documentation></xs:annotation>"
    );
}

fn write_attribute(out: &mut String, attribute: &Attribute, depth: usize) {
    let pad = "  ".repeat(depth);
    let use_or_default = match attribute.default {
        None => " use=\"required\"".to_owned(),
        Some("") => String::new(),
        Some(value) => format!(" default=\"{value}\""),
    };
    let simple_type = SimpleType::of(attribute.kind);
    let type_reference = match &simple_type {
        SimpleType::Named(name) => format!(" type=\"{name}\""),
        SimpleType::Restriction { .. } => String::new(),
    };
    let name = attribute.name;
    let _ = writeln!(
        out,
        "{pad}<xs:attribute name=\"{name}\"{type_reference}{use_or_default}>"
    );
    write_annotation(out, attribute.description, depth + 1);
    if let SimpleType::Restriction { base, facets } = simple_type {
        let _ = writeln!(
            out,
            "{pad}  <xs:simpleType><xs:restriction base=\"{base}\">{facets}</xs:restriction></xs:simpleType>"
        );
    }
    let _ = writeln!(out, "{pad}</xs:attribute>");
}

/// Type of an attribute in the XSD.
enum SimpleType {
    /// A built-in type of XSD, or one that is defined in [`HEAD`].
    Named(&'static str),
    /// A built-in type of XSD with facets that restrict it.
    Restriction { base: &'static str, facets: String },
}

impl SimpleType {
    fn of(kind: ValueKind) -> SimpleType {
        match kind {
            ValueKind::Text => SimpleType::Named("xs:string"),
            ValueKind::Name => SimpleType::Named("name"),
            ValueKind::Flag => SimpleType::Named("xs:boolean"),
            ValueKind::Duration => SimpleType::Named("span"),
            ValueKind::Address => SimpleType::Named("address"),
            ValueKind::Integer(min, max) => SimpleType::Restriction {
                base: "xs:unsignedLong",
                facets: bounds(min, (max != u64::MAX).then_some(max)),
            },
            ValueKind::Number(min, max) => SimpleType::Restriction {
                base: "xs:double",
                facets: bounds(min, (max != f64::MAX).then_some(max)),
            },
            ValueKind::Choice(words) => SimpleType::Restriction {
                base: "xs:string",
                facets: enumeration(words),
            },
        }
    }
}

fn bounds<T: Display>(min: T, max: Option<T>) -> String {
    let lower = format!("<xs:minInclusive value=\"{min}\"/>");
    match max {
        None => lower,
        Some(max) => format!("{lower}<xs:maxInclusive value=\"{max}\"/>"),
    }
}

fn enumeration(words: &[&str]) -> String {
    words
        .iter()
        .map(|word| format!("<xs:enumeration value=\"{word}\"/>"))
        .collect()
}
