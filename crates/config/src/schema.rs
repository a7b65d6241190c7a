//! Elements and attributes as a table: checked documents, errors with their place, and the XSD made from it.

use roxmltree::Node;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// What an attribute holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// Any text that is not empty.
    Text,
    /// Letters, digits, `-`, `_` and `.`: what may stand in a native specification or a job id.
    Name,
    /// `true` or `false`.
    Flag,
    /// A whole number between two bounds.
    Count(u64, u64),
    /// A number between two bounds.
    Number(f64, f64),
    /// A time such as `250us`, `800ms`, `5s` or `2m`.
    Span,
    /// One of some words.
    Choice(&'static [&'static str]),
    /// An IPv4 address and a port.
    Address,
}

/// One attribute.
#[derive(Clone, Copy, Debug)]
pub struct Attribute {
    /// Its name.
    pub name: &'static str,
    /// What it holds.
    pub kind: ValueKind,
    /// Its value where it is left out; `None` makes it required, an empty text leaves it absent.
    pub default: Option<&'static str>,
    /// For people.
    pub about: &'static str,
}

/// How often an element may stand in its parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occurrence {
    /// Once, exactly.
    Once,
    /// Once or not at all: its attributes then have their defaults.
    Maybe,
    /// Any number of times.
    Any,
    /// Once or more.
    Some,
}

/// One element.
#[derive(Clone, Copy, Debug)]
pub struct Element {
    /// Its name.
    pub name: &'static str,
    /// How often it stands in its parent.
    pub often: Occurrence,
    /// Its attributes.
    pub attributes: &'static [Attribute],
    /// Elements in it.
    pub children: &'static [Element],
    /// For people.
    pub about: &'static str,
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {element}: {what}")]
pub struct Problem {
    /// Line, from 1.
    pub line: u32,
    /// Column, from 1.
    pub column: u32,
    /// Path of the element.
    pub element: String,
    /// What is wrong and what was expected.
    pub what: String,
}

/// All that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// At least one, in the order of the document.
    pub problems: Vec<Problem>,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}

/// A checked element: every attribute of the table has a value of its kind, or is absent where it may be.
#[derive(Clone, Debug)]
pub struct Document {
    /// Line in the file, from 1; 0 for an element that was left out.
    pub line: u32,
    /// Column, from 1.
    pub column: u32,
    path: String,
    values: BTreeMap<&'static str, String>,
    children: BTreeMap<&'static str, Vec<Document>>,
}

/// Longest document, in bytes.
const LONGEST: usize = 16 << 20;

impl Document {
    /// Parses `text` and checks it against `root`.
    ///
    /// # Errors
    /// [`ConfigError`] with every problem found, or the first that keeps it from being XML.
    pub fn parse(text: &str, root: &'static Element) -> Result<Document, ConfigError> {
        let fail = |line, column, what: String| ConfigError {
            problems: vec![Problem {
                line,
                column,
                element: root.name.into(),
                what,
            }],
        };
        if text.len() > LONGEST {
            return Err(fail(
                1,
                1,
                format!("the file is longer than {LONGEST} bytes"),
            ));
        }
        let tree = roxmltree::Document::parse(text).map_err(|e| {
            let at = e.pos();
            fail(at.row, at.col, format!("not well-formed XML: {e}"))
        })?;
        let node = tree.root_element();
        let mut problems = Vec::new();
        if node.tag_name().name() != root.name {
            let what = format!("<{}> was expected as the outermost element", root.name);
            problems.push(problem(node, node.tag_name().name(), what));
            return Err(ConfigError { problems });
        }
        let document = check(node, root, root.name, &mut problems);
        if problems.is_empty() {
            Ok(document)
        } else {
            Err(ConfigError { problems })
        }
    }

    /// Puts a value in place of what the file says: `path` names elements and, last, the attribute. `root` is the
    /// table that the document was checked against.
    ///
    /// # Errors
    /// [`ConfigError`] where there is no such attribute, the element may stand more than once, or the value is wrong.
    pub fn set(
        &mut self,
        root: &'static Element,
        path: &str,
        value: &str,
    ) -> Result<(), ConfigError> {
        let fail = |what: String| {
            let problem = Problem {
                line: 0,
                column: 0,
                element: path.into(),
                what,
            };
            ConfigError {
                problems: vec![problem],
            }
        };
        let (mut element, mut document, mut steps) = (root, self, path.split('/').peekable());
        while let Some(step) = steps.next() {
            if steps.peek().is_some() {
                let single = |e: &&Element| {
                    e.name == step && matches!(e.often, Occurrence::Maybe | Occurrence::Once)
                };
                element = element.children.iter().find(single).ok_or_else(|| {
                    fail(format!(
                        "there is no single element '{step}' in <{}>",
                        element.name
                    ))
                })?;
                document = document
                    .children
                    .get_mut(step)
                    .and_then(|c| c.first_mut())
                    .ok_or_else(|| fail(format!("element '{step}' is not there")))?;
                continue;
            }
            let attribute = element.attributes.iter().find(|a| a.name == step);
            let attribute = attribute
                .ok_or_else(|| fail(format!("<{}> has no attribute '{step}'", element.name)))?;
            check_value(attribute.kind, value)
                .map_err(|expected| fail(format!("\"{value}\": {expected} was expected")))?;
            document.values.insert(attribute.name, value.into());
        }
        Ok(())
    }

    /// A problem found later with a value of this element.
    pub fn problem(&self, what: impl Into<String>) -> Problem {
        Problem {
            line: self.line,
            column: self.column,
            element: self.path.clone(),
            what: what.into(),
        }
    }

    /// The one child of that name; elements that may be left out are there with their defaults.
    pub fn child(&self, name: &str) -> &Document {
        match self.children.get(name).and_then(|c| c.first()) {
            Some(child) => child,
            None => unreachable!("the table has no single element {name} in {}", self.path),
        }
    }

    /// The children of that name, in order.
    pub fn children(&self, name: &str) -> &[Document] {
        self.children.get(name).map_or(&[], Vec::as_slice)
    }

    /// The text of an attribute, where it is there.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// The text of an attribute that the table requires or gives a default.
    pub fn word(&self, name: &str) -> &str {
        self.text(name).unwrap_or_default()
    }

    /// A flag.
    pub fn flag(&self, name: &str) -> bool {
        self.word(name) == "true"
    }

    /// A whole number.
    pub fn count(&self, name: &str) -> u64 {
        self.word(name).parse().unwrap_or_default()
    }

    /// A number.
    pub fn number(&self, name: &str) -> f64 {
        self.word(name).parse().unwrap_or_default()
    }

    /// A span.
    pub fn span(&self, name: &str) -> Duration {
        parse_span(self.word(name)).unwrap_or_default()
    }

    /// A span in microseconds.
    pub fn micros(&self, name: &str) -> u64 {
        u64::try_from(self.span(name).as_micros()).unwrap_or(u64::MAX)
    }

    /// An address.
    pub fn address(&self, name: &str) -> SocketAddr {
        let v4: SocketAddrV4 = self
            .word(name)
            .parse()
            .unwrap_or(SocketAddrV4::new([127, 0, 0, 1].into(), 0));
        v4.into()
    }
}

fn problem(node: Node<'_, '_>, path: &str, what: String) -> Problem {
    let at = node.document().text_pos_at(node.range().start);
    Problem {
        line: at.row,
        column: at.col,
        element: path.into(),
        what,
    }
}

fn check(
    node: Node<'_, '_>,
    element: &'static Element,
    path: &str,
    problems: &mut Vec<Problem>,
) -> Document {
    let at = node.document().text_pos_at(node.range().start);
    let mut document = defaults(element, path);
    (document.line, document.column) = (at.row, at.col);
    for given in node.attributes() {
        let Some(attribute) = element.attributes.iter().find(|a| a.name == given.name()) else {
            if given.namespace().is_none() {
                let known: Vec<&str> = element.attributes.iter().map(|a| a.name).collect();
                let what = format!(
                    "unknown attribute '{}'; expected one of: {}",
                    given.name(),
                    known.join(", ")
                );
                problems.push(problem(node, path, what));
            }
            continue;
        };
        match check_value(attribute.kind, given.value()) {
            Ok(()) => {
                document.values.insert(attribute.name, given.value().into());
            }
            Err(expected) => {
                let what = format!(
                    "{}=\"{}\": {expected} was expected",
                    attribute.name,
                    given.value()
                );
                problems.push(problem(node, path, what));
            }
        }
    }
    for attribute in element.attributes.iter().filter(|a| a.default.is_none()) {
        if node.attribute(attribute.name).is_none() {
            let what = format!(
                "attribute '{}' is missing: {}",
                attribute.name, attribute.about
            );
            problems.push(problem(node, path, what));
        }
    }
    let mut found: BTreeMap<&'static str, Vec<Document>> = BTreeMap::new();
    for child in node.children() {
        if child.is_text() && child.text().is_some_and(|t| !t.trim().is_empty()) {
            let what = format!(
                "text '{}' is not expected here",
                child.text().unwrap_or_default().trim()
            );
            problems.push(problem(child, path, what));
        }
        if !child.is_element() {
            continue;
        }
        let name = child.tag_name().name();
        let Some(known) = element.children.iter().find(|e| e.name == name) else {
            let known: Vec<String> = element
                .children
                .iter()
                .map(|e| format!("<{}>", e.name))
                .collect();
            let expected = if known.is_empty() {
                "nothing".into()
            } else {
                known.join(", ")
            };
            problems.push(problem(
                child,
                path,
                format!("unknown element <{name}>; expected: {expected}"),
            ));
            continue;
        };
        let inner = format!("{path}/{name}");
        let list = found.entry(known.name).or_default();
        if !list.is_empty() && matches!(known.often, Occurrence::Once | Occurrence::Maybe) {
            problems.push(problem(child, &inner, "may stand only once".into()));
        }
        list.push(check(child, known, &inner, problems));
    }
    for child in element.children {
        let missing = !found.contains_key(child.name);
        if missing && matches!(child.often, Occurrence::Once | Occurrence::Some) {
            let what = format!("element <{}> is missing: {}", child.name, child.about);
            problems.push(problem(node, path, what));
        }
    }
    document.children.extend(found);
    document
}

fn defaults(element: &'static Element, path: &str) -> Document {
    let values = element
        .attributes
        .iter()
        .filter_map(|a| Some((a.name, a.default?)));
    let values = values
        .filter(|(_, v)| !v.is_empty())
        .map(|(n, v)| (n, v.to_owned()))
        .collect();
    let single = |e: &&Element| matches!(e.often, Occurrence::Maybe | Occurrence::Once);
    let children = element
        .children
        .iter()
        .filter(single)
        .map(|e| (e.name, vec![defaults(e, &format!("{path}/{}", e.name))]))
        .collect();
    Document {
        line: 0,
        column: 0,
        path: path.into(),
        values,
        children,
    }
}

/// Parses a time such as `250us`, `800ms`, `5s` or `2m`.
pub fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (count, unit) = text.split_at(digits);
    let seconds = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(count.parse::<f64>().ok()? * seconds).ok()
}

fn check_value(kind: ValueKind, text: &str) -> Result<(), String> {
    let ok = match kind {
        ValueKind::Text => !text.is_empty(),
        ValueKind::Name => {
            let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            !text.is_empty() && text.len() <= 64 && text.chars().all(fits)
        }
        ValueKind::Flag => matches!(text, "true" | "false"),
        ValueKind::Count(least, most) => text
            .parse::<u64>()
            .is_ok_and(|n| (least..=most).contains(&n)),
        ValueKind::Number(least, most) => text
            .parse::<f64>()
            .is_ok_and(|n| (least..=most).contains(&n)),
        ValueKind::Span => parse_span(text).is_some_and(|s| s <= Duration::from_secs(366 * 86_400)),
        ValueKind::Choice(words) => words.contains(&text),
        ValueKind::Address => text.parse::<SocketAddrV4>().is_ok(),
    };
    if ok { Ok(()) } else { Err(expected(kind)) }
}

fn expected(kind: ValueKind) -> String {
    match kind {
        ValueKind::Text => "a text".into(),
        ValueKind::Name => "a name of up to 64 letters, digits, '-', '_' and '.'".into(),
        ValueKind::Flag => "true or false".into(),
        ValueKind::Count(least, u64::MAX) => format!("a whole number of {least} or more"),
        ValueKind::Count(least, most) => format!("a whole number from {least} to {most}"),
        ValueKind::Number(least, most) if most == f64::MAX => {
            format!("a number of {least} or more")
        }
        ValueKind::Number(least, most) => format!("a number from {least} to {most}"),
        ValueKind::Span => "a time such as 250us, 800ms, 5s or 2m, a year at most,".into(),
        ValueKind::Choice(words) => words.join(" or "),
        ValueKind::Address => "an IPv4 address and a port, such as 127.0.0.1:7070,".into(),
    }
}

/// The XML schema (W3C XSD 1.0) of a document whose outermost element is `root`.
pub fn xsd(root: &Element) -> String {
    let mut out = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
    out += "<xs:schema xmlns:xs=\"http://www.w3.org/2001/XMLSchema\">\n";
    out += "  <xs:simpleType name=\"span\">\n    <xs:restriction base=\"xs:string\">\n";
    out += "      <xs:pattern value=\"[0-9]+(\\.[0-9]+)?(us|ms|s|m|h)\"/>\n    </xs:restriction>\n  </xs:simpleType>\n";
    out += "  <xs:simpleType name=\"name\">\n    <xs:restriction base=\"xs:string\">\n";
    out += "      <xs:pattern value=\"[A-Za-z0-9_.\\-]{1,64}\"/>\n    </xs:restriction>\n  </xs:simpleType>\n";
    out += "  <xs:simpleType name=\"address\">\n    <xs:restriction base=\"xs:string\">\n";
    out += "      <xs:pattern value=\"[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}\"/>\n    </xs:restriction>\n  </xs:simpleType>\n";
    write_element(&mut out, root, 1, true);
    out += "</xs:schema>\n";
    out
}

fn write_element(out: &mut String, element: &Element, depth: usize, outermost: bool) {
    let pad = "  ".repeat(depth);
    let occurs = match element.often {
        _ if outermost => "",
        Occurrence::Once => "",
        Occurrence::Maybe => " minOccurs=\"0\"",
        Occurrence::Any => " minOccurs=\"0\" maxOccurs=\"unbounded\"",
        Occurrence::Some => " maxOccurs=\"unbounded\"",
    };
    let _ = writeln!(out, "{pad}<xs:element name=\"{}\"{occurs}>", element.name);
    write_about(out, element.about, depth + 1);
    let _ = writeln!(out, "{pad}  <xs:complexType>");
    if !element.children.is_empty() {
        // Elements stand in any order: a choice repeated, whose counts the program itself checks.
        let _ = writeln!(
            out,
            "{pad}    <xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">"
        );
        for child in element.children {
            write_element(
                out,
                &Element {
                    often: Occurrence::Once,
                    ..*child
                },
                depth + 3,
                false,
            );
        }
        let _ = writeln!(out, "{pad}    </xs:choice>");
    }
    for attribute in element.attributes {
        write_attribute(out, attribute, depth + 2);
    }
    let _ = writeln!(out, "{pad}  </xs:complexType>\n{pad}</xs:element>");
}

fn write_about(out: &mut String, about: &str, depth: usize) {
    let pad = "  ".repeat(depth);
    let about = about.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(
        out,
        "{pad}<xs:annotation><xs:documentation>{about}</xs:documentation></xs:annotation>"
    );
}

fn write_attribute(out: &mut String, attribute: &Attribute, depth: usize) {
    let pad = "  ".repeat(depth);
    let given = match attribute.default {
        None => " use=\"required\"".to_owned(),
        Some("") => String::new(),
        Some(value) => format!(" default=\"{value}\""),
    };
    let named = match attribute.kind {
        ValueKind::Text => Some("xs:string"),
        ValueKind::Name => Some("name"),
        ValueKind::Flag => Some("xs:boolean"),
        ValueKind::Span => Some("span"),
        ValueKind::Address => Some("address"),
        ValueKind::Count(..) | ValueKind::Number(..) | ValueKind::Choice(_) => None,
    };
    let named = named.map(|n| format!(" type=\"{n}\"")).unwrap_or_default();
    let _ = writeln!(
        out,
        "{pad}<xs:attribute name=\"{}\"{named}{given}>",
        attribute.name
    );
    write_about(out, attribute.about, depth + 1);
    let restriction = match attribute.kind {
        ValueKind::Count(least, most) => {
            Some(("xs:unsignedLong", bounds(least, most, most == u64::MAX)))
        }
        ValueKind::Number(least, most) => {
            Some(("xs:double", bounds(least, most, most == f64::MAX)))
        }
        ValueKind::Choice(words) => {
            let words = words
                .iter()
                .map(|w| format!("<xs:enumeration value=\"{w}\"/>"))
                .collect();
            Some(("xs:string", words))
        }
        _ => None,
    };
    if let Some((base, facets)) = restriction {
        let _ = writeln!(
            out,
            "{pad}  <xs:simpleType><xs:restriction base=\"{base}\">{facets}</xs:restriction></xs:simpleType>"
        );
    }
    let _ = writeln!(out, "{pad}</xs:attribute>");
}

fn bounds(least: impl std::fmt::Display, most: impl std::fmt::Display, open: bool) -> String {
    let upper = if open {
        String::new()
    } else {
        format!("<xs:maxInclusive value=\"{most}\"/>")
    };
    format!("<xs:minInclusive value=\"{least}\"/>{upper}")
}
