//! Holds an XML document against the table.

use super::Element;
use super::document::Document;
use super::problem::{ConfigError, Problem};
use super::value::check_value;
use roxmltree::Node;
use std::collections::BTreeMap;

/// Longest document, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// Parses `text` and checks it against `root`.
///
/// # Errors
/// [`ConfigError`] with every problem found, or the first that keeps it from being XML.
pub(super) fn parse_and_check(text: &str, root: &'static Element) -> Result<Document, ConfigError> {
    let unreadable = |line, column, what: String| Problem {
        line,
        column,
        element: root.name.into(),
        what,
    };
    if text.len() > MAX_BYTES {
        let what = format!("the file is longer than {MAX_BYTES} bytes");
        return Err(unreadable(1, 1, what).into());
    }
    let tree = roxmltree::Document::parse(text).map_err(|error| {
        let place = error.pos();
        unreadable(
            place.row,
            place.col,
            format!("not well-formed XML: {error}"),
        )
    })?;
    let node = tree.root_element();
    let name = node.tag_name().name();
    if name != root.name {
        let what = format!("<{}> was expected as the outermost element", root.name);
        return Err(problem_at(node, name, what).into());
    }
    let mut checker = Checker::default();
    let document = checker.check_element(node, root, root.name);
    if checker.problems.is_empty() {
        Ok(document)
    } else {
        Err(ConfigError {
            problems: checker.problems,
        })
    }
}

fn problem_at(node: Node<'_, '_>, path: &str, what: String) -> Problem {
    let place = node.document().text_pos_at(node.range().start);
    Problem {
        line: place.row,
        column: place.col,
        element: path.into(),
        what,
    }
}

/// Collects all problems of a document, in its order.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn report(&mut self, node: Node<'_, '_>, path: &str, what: impl Into<String>) {
        self.problems.push(problem_at(node, path, what.into()));
    }

    fn check_element(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        path: &str,
    ) -> Document {
        let place = node.document().text_pos_at(node.range().start);
        let mut document = Document::with_defaults(element, path);
        (document.line, document.column) = (place.row, place.col);
        self.check_attributes(node, element, &mut document);
        self.check_required_attributes(node, element, path);
        let children = self.check_children(node, element, path);
        self.check_required_children(node, element, path, &children);
        document.children.extend(children);
        document
    }

    /// Takes over the attributes that are given, and reports those that are unknown or have a wrong value.
    fn check_attributes(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        document: &mut Document,
    ) {
        for given in node.attributes() {
            let (name, value) = (given.name(), given.value());
            let Some(attribute) = element.attribute(name) else {
                // Attributes of another namespace are not ours, such as the place of a schema.
                if given.namespace().is_none() {
                    let known: Vec<&str> = element.attributes.iter().map(|a| a.name).collect();
                    let known = known.join(", ");
                    let what = format!("unknown attribute '{name}'; expected one of: {known}");
                    self.report(node, &document.path, what);
                }
                continue;
            };
            match check_value(attribute.kind, value) {
                Ok(()) => {
                    document.values.insert(attribute.name, value.into());
                }
                Err(expected) => {
                    let what = format!("{name}=\"{value}\": {expected} was expected");
                    self.report(node, &document.path, what);
                }
            }
        }
    }

    fn check_required_attributes(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        path: &str,
    ) {
        for attribute in element.attributes {
            if attribute.default.is_none() && node.attribute(attribute.name).is_none() {
                let (name, about) = (attribute.name, attribute.description);
                self.report(
                    node,
                    path,
                    format!("attribute '{name}' is missing: {about}"),
                );
            }
        }
    }

    /// The elements that are given, by name.
    fn check_children(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        path: &str,
    ) -> BTreeMap<&'static str, Vec<Document>> {
        let mut found: BTreeMap<&'static str, Vec<Document>> = BTreeMap::new();
        for child in node.children() {
            self.check_text(child, path);
            if !child.is_element() {
                continue;
            }
            let name = child.tag_name().name();
            let Some(known) = element.children.iter().find(|e| e.name == name) else {
                let expected = names_of_children(element);
                let what = format!("unknown element <{name}>; expected: {expected}");
                self.report(child, path, what);
                continue;
            };
            let child_path = format!("{path}/{name}");
            let same_name = found.entry(known.name).or_default();
            if !same_name.is_empty() && known.occurrence.is_single() {
                self.report(child, &child_path, "may stand only once");
            }
            same_name.push(self.check_element(child, known, &child_path));
        }
        found
    }

    /// Text between elements may be white space only.
    fn check_text(&mut self, node: Node<'_, '_>, path: &str) {
        let text = node.text().unwrap_or_default().trim();
        if node.is_text() && !text.is_empty() {
            self.report(node, path, format!("text '{text}' is not expected here"));
        }
    }

    fn check_required_children(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        path: &str,
        found: &BTreeMap<&'static str, Vec<Document>>,
    ) {
        for child in element.children {
            if child.occurrence.is_required() && !found.contains_key(child.name) {
                let (name, about) = (child.name, child.description);
                self.report(node, path, format!("element <{name}> is missing: {about}"));
            }
        }
    }
}

/// Names of the elements that may stand in an element, for messages.
fn names_of_children(element: &Element) -> String {
    if element.children.is_empty() {
        return "nothing".into();
    }
    let names: Vec<String> = element
        .children
        .iter()
        .map(|child| format!("<{}>", child.name))
        .collect();
    names.join(", ")
}
